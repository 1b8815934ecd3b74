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
    // What the platform answers; none: it never answers.
    std::optional<http_response> answer;
    // Time of the circuit breakers.
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
                if (answer)
                {
                    respond(*answer);
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
        settings.breaker.failures_to_open = 2;
        platform = make_http_services(settings,
                                      {client->caller(),
                                       [this] { return now; },
                                       [this](std::function<void()> action)
                                       {
                                           net.post(std::move(action));
                                       }});
    }

    void answer_with(const failure& error, const std::string& fields = "{}")
    {
        failure why;
        answer = json_response(error, *parse_json(fields, why));
    }

    // Waits for a completion that must come after the hook has returned.
    template <class Reply, class Call>
    Reply wait_for(const Call& call)
    {
        std::optional<Reply> reply;
        call([&reply](Reply got) { reply = std::move(got); });
        CHECK_FALSE(reply.has_value());
        CHECK(net.run_until([&] { return reply.has_value(); }));
        return *reply;
    }

    table_write_reply write(milliseconds limit = long_timeout)
    {
        return wait_for<table_write_reply>(
            [&](auto done)
            {
                platform.store.write({{"a", "1", 0, false}, {"b", "", 7, true}},
                                     monotonic_now() + limit,
                                     done);
            });
    }

    table_read_reply read(milliseconds limit = long_timeout)
    {
        return wait_for<table_read_reply>(
            [&](auto done)
            { platform.store.read("a", monotonic_now() + limit, done); });
    }
};

// Guards against a change that loses its expected version or its removal on
// the wire: it would overwrite another writer.
TEST(adapter_platform, write_sends_all_of_each_change)
{
    answer_with({}, R"({"versions":[3,0]})");
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

// Guards against rows, pages, objects and members that are read incompletely.
TEST(adapter_platform, reads_rows_pages_objects_and_members)
{
    answer_with({}, R"({"row":{"key":"a","value":"v","version":9}})");
    CHECK(read().row.version == 9);

    answer_with({},
                R"({"rows":[{"key":"a","value":"v","version":9}],"next":"a"})");
    const auto page = wait_for<table_scan_reply>(
        [&](auto done) {
            platform.store.scan(
                "p", "q", 50, monotonic_now() + long_timeout, done);
        });
    CHECK(page.rows.size() == 1);
    CHECK(page.next == "a");
    CHECK(received.back().body.find("50") != std::string::npos);

    const std::string content("\0{binary", 8);
    answer = http_response{200, content, "application/octet-stream"};
    const auto object = wait_for<object_reply>(
        [&](auto done) {
            platform.objects.get("a/b 1", monotonic_now() + long_timeout, done);
        });
    CHECK(object.content == content);
    CHECK(received.back().target == "/v1/objects/a%2Fb%201");

    answer_with({},
                R"({"members":[{"id":"e1","role":"entry","leaving":true}]})");
    const auto members = wait_for<member_list_reply>(
        [&](auto done)
        { platform.members.read(monotonic_now() + long_timeout, done); });
    CHECK(members.members.size() == 1);
    CHECK(members.members[0].role == vm_role::entry);
    CHECK(members.members[0].leaving);
}

// Guards against "not run" for a write that may have taken effect: a lost
// connection, a late answer, or an answer that says nothing about the write.
TEST(adapter_platform, write_of_unknown_outcome_is_never_store_unavailable)
{
    answer = http_response{close_without_reply, "", ""};
    CHECK(write().error.code == result_code::answer_lost);
    answer.reset();
    CHECK(write(short_timeout).error.code == result_code::timeout);

    for (const auto& text : {R"({"versions":[3]})",
                             R"({"versions":["x",0]})",
                             R"({"versions":7})",
                             R"({})"})
    {
        connect(address_of(server->port()));
        answer_with({}, text);
        CHECK(write().error.code == result_code::answer_lost);
    }
    for (const auto code : {result_code::internal_error,
                            result_code::unreachable,
                            result_code::circuit_open})
    {
        connect(address_of(server->port()));
        answer_with({code, "the platform's own trouble"});
        CHECK(write().error.code == result_code::answer_lost);
    }
    for (const auto& body :
         {"<html>bad gateway</html>", "", "[]", R"({"code":0})"})
    {
        connect(address_of(server->port()));
        answer = http_response{502, body, "text/html"};
        CHECK(write().error.code == result_code::answer_lost);
    }
}

// Guards against a write reported as possibly done although it was not sent or
// was refused whole.
TEST(adapter_platform, write_without_effect_is_told)
{
    answer_with({result_code::conflict, "row a has version 2"});
    const auto conflict = write();
    CHECK(conflict.error.code == result_code::conflict);
    CHECK(conflict.error.reason == "row a has version 2");

    answer_with({result_code::store_unavailable, "outage"});
    CHECK(write().error.code == result_code::store_unavailable);

    answer_with({result_code::shed, "too many connections, not run"});
    CHECK(write().error.code == result_code::store_unavailable);

    connect("127.0.0.1:1");
    CHECK(write().error.code == result_code::store_unavailable);
}

// Guards against calls that wait for a platform that is down, and against a
// write as the probe, whose outcome could stay unknown.
TEST(adapter_platform, circuit_opens_and_a_read_closes_it)
{
    answer = http_response{close_without_reply, "", ""};
    write();
    write();
    CHECK(write().error.code == result_code::circuit_open);
    CHECK(read().error.code == result_code::circuit_open);
    CHECK(received.size() == 2);

    now += circuit_breaker_settings{}.open_time;
    answer_with({}, R"({"row":{},"versions":[1,2]})");
    CHECK(write().error.code == result_code::circuit_open);
    CHECK(read().error.code == result_code::ok);
    CHECK(write().error.code == result_code::ok);
}

// Guards against an open circuit because of refusals: conflicts are the normal
// end of a race.
TEST(adapter_platform, conflicts_do_not_open_the_circuit)
{
    answer_with({result_code::conflict, "row a has version 2"});
    for (int i = 0; i < 10; ++i)
    {
        CHECK(write().error.code == result_code::conflict);
    }
}

// Guards against an outage of the object store that also stops the table
// or the member list.
TEST(adapter_platform, services_have_separate_circuits)
{
    answer_with({result_code::store_unavailable, "outage"});
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
    answer_with({}, R"({"row":{},"members":[]})");
    CHECK(read().error.code == result_code::ok);
    const auto members = wait_for<member_list_reply>(
        [&](auto done)
        { platform.members.read(monotonic_now() + long_timeout, done); });
    CHECK(members.error.code == result_code::ok);
}
