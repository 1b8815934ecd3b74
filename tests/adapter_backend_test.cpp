#include "http_fixture.hpp"

#include "backend/http_backend.hpp"
#include "http/json_reply.hpp"
#include "model/codec.hpp"

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

const clock_mapping test_clock(time_point(milliseconds(1000)),
                               1'700'000'000'000);

task sample_task()
{
    task item;
    item.id = "c/k#1.1";
    item.member = 1;
    item.members = 2;
    item.accelerators = 8;
    item.parent_job.request.customer = "c";
    item.parent_job.request.key = "k";
    item.parent_job.request.payload = "p";
    return item;
}

} // namespace

TEST_GROUP(adapter_backend)
{
    loopback_network net;
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> client;
    backend_api api;
    std::string address;
    std::vector<std::pair<std::string, Json::Value>> received;
    // Reply of the backend server; if empty, it never replies.
    std::optional<http_response> response;
    const lease_token token{"vm-1", "inc", 7};

    void setup() override
    {
        server = std::make_unique<http_server>(
            net.traffic(),
            net.control(),
            http_server_settings{},
            [this](const http_request& request, const auto& respond)
            {
                failure why;
                received.emplace_back(request.target,
                                      *parse_json(request.body, why));
                if (response)
                {
                    respond(*response);
                }
            });
        failure why;
        CHECK(server->listen(why));
        client = std::make_unique<http_client>(net.traffic(), net.control());
        api = make_http_backend(client->send_function(), test_clock);
        address = address_of(server->port());
    }

    void teardown() override
    {
        server.reset();
        client.reset();
    }

    void respond_with(const failure& error, const std::string& fields = "{}")
    {
        failure why;
        response = json_response(error, *parse_json(fields, why));
    }

    // Calls a hook and waits for its completion, which must not occur before
    // the hook has returned.
    template <class Reply, class Call>
    Reply wait_for(const Call& call)
    {
        std::optional<Reply> reply;
        call([&reply](Reply got) { reply = std::move(got); });
        CHECK_FALSE(reply.has_value());
        CHECK(net.run_until([&] { return reply.has_value(); }));
        return *reply;
    }

    claim_reply claim()
    {
        return wait_for<claim_reply>(
            [&](auto done)
            {
                api.claim(address,
                          "vm-1",
                          milliseconds(3000),
                          monotonic_now() + long_timeout,
                          done);
            });
    }

    renew_reply renew()
    {
        return wait_for<renew_reply>(
            [&](auto done)
            {
                api.renew(address,
                          {token, 4, milliseconds(1500)},
                          monotonic_now() + long_timeout,
                          done);
            });
    }

    task_reply start(milliseconds timeout = long_timeout)
    {
        return wait_for<task_reply>(
            [&](auto done) {
                api.start(address,
                          token,
                          sample_task(),
                          monotonic_now() + timeout,
                          done);
            });
    }

    void check_last_call(const std::string& target)
    {
        const auto& [called, body] = received.back();
        STRCMP_EQUAL(target.c_str(), called.c_str());
        CHECK(body["owner"].asString() == token.owner);
        CHECK(body["incarnation"].asString() == token.incarnation);
        CHECK(body["epoch"].asUInt64() == token.epoch);
    }
};

// Guards against a takeover that misses a task: a new scheduler learns the
// tasks only from the reply to the claim.
TEST(adapter_backend, claim_returns_every_task)
{
    Json::Value fields;
    fields["incarnation"] = "inc";
    fields["epoch"] = 7;
    fields["rack"] = "r1";
    fields["accelerators"] = 8;
    fields["slots"] = 4;
    fields["leaving"] = true;
    task_status running;
    running.item = sample_task();
    running.state = task_state::running;
    fields["tasks"].append(to_json(running, test_clock));
    response = json_response({}, fields);

    const auto reply = claim();
    CHECK(reply.error.code == result_code::ok);
    CHECK(reply.token.owner == "vm-1");
    CHECK(reply.token.incarnation == "inc");
    CHECK(reply.token.epoch == 7);
    CHECK(reply.rack == "r1");
    CHECK(reply.accelerators == 8);
    CHECK(reply.slots == 4);
    CHECK(reply.leaving);
    CHECK(reply.tasks.size() == 1);
    CHECK(reply.tasks[0].item.id == "c/k#1.1");
    CHECK(reply.tasks[0].item.members == 2);
    CHECK(received[0].second["lease_ms"].asInt() == 3000);
}

// Guards against a lease without fencing: a claim reply without epoch or
// incarnation, or with invalid tasks, must not grant a lease.
TEST(adapter_backend, incomplete_claim_reply_grants_no_lease)
{
    for (const auto& fields :
         {R"({})",
          R"({"incarnation":"inc"})",
          R"({"incarnation":"","epoch":1})",
          R"({"incarnation":"inc","epoch":-1})",
          R"({"incarnation":"inc","epoch":1,"tasks":7})",
          R"({"incarnation":"inc","epoch":1,"tasks":[{"state":"odd"}]})"})
    {
        respond_with({}, fields);
        const auto reply = claim();
        CHECK(reply.error.code == result_code::answer_lost);
        CHECK(reply.token.epoch == 0);
    }
    respond_with({result_code::lease_held, "held by vm-2"});
    CHECK(claim().error.code == result_code::lease_held);
}

// Guards against acknowledging an event that was not delivered, and against
// accepting part of the events when one of them is invalid: the missing one
// would be lost.
TEST(adapter_backend, renew_acknowledges_and_fetches_events)
{
    respond_with({}, R"({"leaving":true,"events":[{"sequence":5,
        "task_id":"c/k#1.1","state":"finished","answer":"a"}]})");
    const auto reply = renew();
    CHECK(reply.error.code == result_code::ok);
    CHECK(reply.leaving);
    CHECK(reply.events.size() == 1);
    CHECK(reply.events[0].sequence == 5);
    CHECK(reply.events[0].state == task_state::finished);
    CHECK(reply.events[0].answer == "a");
    check_last_call("/v1/renew");
    CHECK(received.back().second["acknowledged"].asInt() == 4);
    CHECK(received.back().second["wait_ms"].asInt() == 1500);

    respond_with({}, R"({"events":[{"sequence":5},{"sequence":"x"}]})");
    const auto broken = renew();
    CHECK(broken.error.code == result_code::answer_lost);
    CHECK(broken.events.empty());
}

// Guards against a call that the backend server cannot fence because the token
// is missing, and against a commit deadline that is not sent.
TEST(adapter_backend, task_calls_carry_lease_token)
{
    respond_with({}, R"({"state":"running"})");
    const auto deadline = monotonic_now() + long_timeout;
    CHECK(start().state == task_state::running);
    check_last_call("/v1/start");
    CHECK(received.back().second["task"]["id"].asString() == "c/k#1.1");

    const auto wait = [&](const auto& call)
    {
        CHECK_FALSE(wait_for<task_reply>(call).error);
    };
    const time_point commit_deadline(milliseconds(3000));
    wait(
        [&](auto done)
        {
            api.prepare(
                address, token, sample_task(), commit_deadline, deadline, done);
        });
    check_last_call("/v1/prepare");
    CHECK(received.back().second["commit_deadline"].asInt64() ==
          1'700'000'002'000);
    wait([&](auto done)
         { api.commit(address, token, "c/k#1.1", deadline, done); });
    check_last_call("/v1/commit");
    CHECK(received.back().second["task_id"].asString() == "c/k#1.1");
    wait([&](auto done)
         { api.stop(address, token, "c/k#1.1", true, deadline, done); });
    check_last_call("/v1/stop");
    CHECK(received.back().second["checkpoint"].asBool());
    CHECK_FALSE(wait_for<failure>(
        [&](auto done) { api.release(address, token, deadline, done); }));
    check_last_call("/v1/release");
}

// Guards against running a task twice, and against reporting a running task as
// not run, because failures of a start are mapped to the wrong result code.
TEST(adapter_backend, start_failures_map_to_result_codes)
{
    for (const auto code : {result_code::stale_epoch,
                            result_code::server_full,
                            result_code::wrong_state,
                            result_code::unknown_task})
    {
        respond_with({code, "refused"});
        CHECK(start().error.code == code);
    }
    respond_with({result_code::shed, "too many connections, not run"});
    CHECK(start().error.code == result_code::server_full);

    for (const auto& fields : {R"({})", R"({"state":"odd"})"})
    {
        respond_with({}, fields);
        CHECK(start().error.code == result_code::answer_lost);
    }
    respond_with(
        {result_code::unreachable, "a service of the server is unreachable"});
    CHECK(start().error.code == result_code::answer_lost);
    response = http_response{500, "stack trace", "text/plain"};
    CHECK(start().error.code == result_code::answer_lost);
    response = http_response{close_without_reply, "", ""};
    CHECK(start().error.code == result_code::answer_lost);
    response.reset();
    CHECK(start(short_timeout).error.code == result_code::timeout);
    address = "127.0.0.1:1";
    CHECK(start().error.code == result_code::unreachable);
}

// Guards against an HTTP client that sends a start again after a reused
// connection is lost.
TEST(adapter_backend, lost_start_is_not_resent)
{
    respond_with({}, R"({"state":"running"})");
    CHECK_FALSE(start().error);
    response = http_response{close_without_reply, "", ""};
    CHECK(start().error.code == result_code::answer_lost);
    CHECK(received.size() == 2);
}
