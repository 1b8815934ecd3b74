#include "http_fixture.hpp"

#include "http/json_reply.hpp"
#include "model/codec.hpp"
#include "services/http_services.hpp"
#include "services/services_codec.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

namespace
{

constexpr milliseconds long_timeout{4000};
constexpr milliseconds short_timeout{100};
constexpr int close_without_reply = 0;

} // namespace

TEST_GROUP(adapter_platform)
{
    loopback_network net;
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> client;
    http_services platform;
    std::vector<http_request> received;
    // Reply of the platform; none: it never replies.
    std::optional<http_response> response;
    // Clock of the circuit breakers.
    time_point now{};

    void setup() override
    {
        server = std::make_unique<http_server>(
            net.traffic(),
            net.control(),
            http_server_settings{},
            [this](http_request request, const auto& respond)
            {
                received.push_back(std::move(request));
                if (response)
                {
                    respond(*response);
                }
            });
        failure why;
        CHECK(server->listen(why));
        client = std::make_unique<http_client>(net.traffic(), net.control());
        connect(address_of(server->port()));
    }

    void teardown() override
    {
        server.reset();
        client.reset();
    }

    void connect(const std::string& address)
    {
        http_services_settings settings;
        settings.address = address;
        settings.breaker.failure_threshold = 2;
        platform = make_http_services(settings,
                                      {client->send_function(),
                                       [this] { return now; },
                                       [this](std::function<void()> action)
                                       {
                                           net.post(std::move(action));
                                       }});
    }

    void respond_with(const failure& error, const std::string& fields = "{}")
    {
        failure why;
        response = json_response(error, *parse_json(fields, why));
    }

    // Waits for the reply, which must arrive after the call has returned.
    template <class Reply, class Call>
    Reply wait_for(const Call& call)
    {
        std::optional<Reply> reply;
        call([&reply](Reply got) { reply = std::move(got); });
        CHECK_FALSE(reply.has_value());
        CHECK(net.run_until([&] { return reply.has_value(); }));
        return *reply;
    }

    table_write_reply write(milliseconds timeout = long_timeout)
    {
        return wait_for<table_write_reply>(
            [&](auto done)
            {
                platform.kv_table.write(
                    {{"a", "1", 0, false}, {"b", "", 7, true}},
                    monotonic_now() + timeout,
                    done);
            });
    }

    table_read_reply read(milliseconds timeout = long_timeout)
    {
        return wait_for<table_read_reply>(
            [&](auto done)
            { platform.kv_table.read("a", monotonic_now() + timeout, done); });
    }
};

// Guards against a change that loses its expected version or its removal flag
// on the wire: it would overwrite the change of another writer.
TEST(adapter_platform, write_sends_all_of_each_change)
{
    respond_with({}, R"({"versions":[3,0]})");
    const auto reply = write();
    CHECK(reply.error.code == result_code::ok);
    CHECK((reply.versions == std::vector<std::uint64_t>{3, 0}));
    failure why;
    const auto body = parse_json(received[0].body, why);
    const auto changes = table_changes_from_json(*body, why);
    CHECK(changes.has_value());
    CHECK((*changes)[0].key == "a");
    CHECK((*changes)[0].value == "1");
    CHECK((*changes)[1].expected_version == 7);
    CHECK((*changes)[1].remove);
}

// Guards against decoding rows, pages, objects or members incompletely.
TEST(adapter_platform, reads_rows_pages_objects_and_members)
{
    respond_with({}, R"({"row":{"key":"a","value":"v","version":9}})");
    CHECK(read().row.version == 9);

    respond_with(
        {}, R"({"rows":[{"key":"a","value":"v","version":9}],"next":"a"})");
    const auto page = wait_for<table_scan_reply>(
        [&](auto done)
        {
            platform.kv_table.scan(
                "p", "q", 50, monotonic_now() + long_timeout, done);
        });
    CHECK(page.rows.size() == 1);
    CHECK(page.next == "a");
    CHECK(received.back().body.find("50") != std::string::npos);

    const std::string content("\0{binary", 8);
    response = http_response{200, content, "application/octet-stream"};
    const auto object = wait_for<object_reply>(
        [&](auto done) {
            platform.objects.get("a/b 1", monotonic_now() + long_timeout, done);
        });
    CHECK(object.content == content);
    CHECK(received.back().target == "/v1/objects/a%2Fb%201");

    respond_with({},
                 R"({"members":[{"id":"e1","role":"entry","leaving":true}]})");
    const auto members = wait_for<member_list_reply>(
        [&](auto done)
        { platform.members.read(monotonic_now() + long_timeout, done); });
    CHECK(members.members.size() == 1);
    CHECK(members.members[0].role == vm_role::entry);
    CHECK(members.members[0].leaving);
}

// Guards against reporting "not run" for a write that may have taken effect:
// after a lost connection, a late reply, or one without the write's outcome.
TEST(adapter_platform, write_of_unknown_outcome_is_never_store_unavailable)
{
    response = http_response{close_without_reply, "", ""};
    CHECK(write().error.code == result_code::answer_lost);
    response.reset();
    CHECK(write(short_timeout).error.code == result_code::timeout);

    for (const auto& text : {R"({"versions":[3]})",
                             R"({"versions":["x",0]})",
                             R"({"versions":7})",
                             R"({})"})
    {
        connect(address_of(server->port()));
        respond_with({}, text);
        CHECK(write().error.code == result_code::answer_lost);
    }
    for (const auto code : {result_code::internal_error,
                            result_code::unreachable,
                            result_code::circuit_open})
    {
        connect(address_of(server->port()));
        respond_with({code, "the platform's own trouble"});
        CHECK(write().error.code == result_code::answer_lost);
    }
    for (const auto& body :
         {"<html>bad gateway</html>", "", "[]", R"({"code":0})"})
    {
        connect(address_of(server->port()));
        response = http_response{502, body, "text/html"};
        CHECK(write().error.code == result_code::answer_lost);
    }
}

// Guards against reporting a write as possibly done that was not sent or was
// refused as a whole.
TEST(adapter_platform, write_without_effect_is_reported)
{
    respond_with({result_code::conflict, "row a has version 2"});
    const auto conflict = write();
    CHECK(conflict.error.code == result_code::conflict);
    CHECK(conflict.error.reason == "row a has version 2");

    respond_with({result_code::store_unavailable, "outage"});
    CHECK(write().error.code == result_code::store_unavailable);

    respond_with({result_code::shed, "too many connections, not run"});
    CHECK(write().error.code == result_code::store_unavailable);

    connect("127.0.0.1:1");
    CHECK(write().error.code == result_code::store_unavailable);
}

// Guards against calls that wait for a platform that is down, and against using
// a write as the probe of the circuit: its outcome could stay unknown.
TEST(adapter_platform, circuit_opens_and_a_read_closes_it)
{
    response = http_response{close_without_reply, "", ""};
    write();
    write();
    CHECK(write().error.code == result_code::circuit_open);
    CHECK(read().error.code == result_code::circuit_open);
    CHECK(received.size() == 2);

    now += circuit_breaker_settings{}.open_duration;
    respond_with({}, R"({"row":{},"versions":[1,2]})");
    CHECK(write().error.code == result_code::circuit_open);
    CHECK(read().error.code == result_code::ok);
    CHECK(write().error.code == result_code::ok);
}

// Guards against refusals that open the circuit: a conflict is the normal
// result of a race between writers.
TEST(adapter_platform, conflicts_do_not_open_the_circuit)
{
    respond_with({result_code::conflict, "row a has version 2"});
    for (int i = 0; i < 10; ++i)
    {
        CHECK(write().error.code == result_code::conflict);
    }
}

// Guards against an outage of the object store that also blocks the table or
// the member list.
TEST(adapter_platform, services_have_separate_circuits)
{
    respond_with({result_code::store_unavailable, "outage"});
    const auto put = [&]
    {
        return wait_for<failure>(
                   [&](auto done) {
                       platform.objects.put(
                           "k", "v", monotonic_now() + long_timeout, done);
                   })
            .code;
    };
    put();
    put();
    CHECK(put() == result_code::circuit_open);
    respond_with({}, R"({"row":{},"members":[]})");
    CHECK(read().error.code == result_code::ok);
    const auto members = wait_for<member_list_reply>(
        [&](auto done)
        { platform.members.read(monotonic_now() + long_timeout, done); });
    CHECK(members.error.code == result_code::ok);
}
