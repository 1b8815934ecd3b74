// The internal protocol between entry VMs from client to server, with valid,
// malformed and hostile input.
#include "inner/message_codec.hpp"
#include "inner/peer_client.hpp"
#include "inner/peer_server.hpp"
#include "model/codec.hpp"

#include <json/value.h>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

const clock_mapping client_clock(time_point(milliseconds(0)),
                                 1'700'000'000'000);
// The receiver's monotonic clock is one hour ahead.
const clock_mapping server_clock(time_point(milliseconds(3'600'000)),
                                 1'700'000'000'000);

job sample_job()
{
    job item;
    item.request.customer = "umkhonto";
    item.request.key = "k";
    item.request.payload = "line\n\"quoted\" \xc3\xa9";
    item.request.deadline = time_point(milliseconds(5000));
    item.token = "t";
    return item;
}

heartbeat sample_heartbeat()
{
    heartbeat message;
    message.vm = "a1";
    message.incarnation = "i";
    message.zone = "a";
    message.address = "127.0.0.1:7001";
    message.sequence = 18'000'000'000'000'000'000ULL;
    message.leaving = true;
    message.config_version = 9;
    message.closings = {{"b", "operator", 8, true}};
    message.scheduler = "a2";
    message.scheduler_address = "127.0.0.1:7002";
    return message;
}

} // namespace

TEST_GROUP(inner_protocol)
{
    // Arguments that the handlers received.
    std::vector<heartbeat> heartbeats;
    std::vector<job> jobs;
    std::vector<configuration> configs;
    std::vector<provisional_closing> closings;
    std::vector<std::string> ids;
    std::vector<job_outcome> outcomes;
    http_handler server;
    peer_api client;
    // Modifies a reply before the client receives it.
    std::function<void(http_reply&)> modify_reply;

    void setup() override
    {
        server = make_peer_server(handlers(), server_clock);
        client = make_peer_client(
            [this](const std::string&,
                   const http_request& request,
                   time_point,
                   const std::function<void(http_reply)>& done)
            {
                http_reply reply;
                reply.response = post(request.body);
                if (modify_reply)
                {
                    modify_reply(reply);
                }
                done(std::move(reply));
            },
            client_clock);
    }

    peer_handlers handlers()
    {
        peer_handlers result;
        result.on_heartbeat = [this](const heartbeat& message)
        {
            heartbeats.push_back(message);
            return heartbeat_reply{{}, message};
        };
        result.on_get_config = [this]
        {
            return config_reply{{}, configs.back()};
        };
        result.on_put_config = [this](const configuration& config)
        {
            configs.push_back(config);
            return failure{};
        };
        result.on_close_zone = [this](const provisional_closing& closing)
        {
            closings.push_back(closing);
            return failure{};
        };
        result.on_enqueue = [this](const job& item)
        {
            jobs.push_back(item);
            return failure{result_code::conflict, "not the scheduler"};
        };
        result.on_cancel = [this](const std::string& id)
        {
            ids.push_back(id);
            return failure{result_code::not_found, "unknown"};
        };
        result.on_job_status = [this](const std::string& id)
        {
            ids.push_back(id);
            job_status_reply reply;
            reply.outcome.state = job_state::running;
            reply.explanation = "runs";
            return reply;
        };
        result.on_job_done =
            [this](const std::string& id, const job_outcome& outcome)
        {
            ids.push_back(id);
            outcomes.push_back(outcome);
            return failure{};
        };
        result.on_status = []
        {
            zone_status status;
            status.zone = "a";
            status.largest_open_shape = 8;
            status.servers = {{"s1", "r1", "a", "held", 8, 3, 2, 7}};
            status.customers = {{"umkhonto", "a", 8, 4, 2, 1, 4}};
            status.jobs = {
                {"umkhonto", "k", "check", "a", "queued", 2, "", "w"}};
            return status;
        };
        return result;
    }

    http_response post(const std::string& body)
    {
        http_response response;
        http_request request;
        request.target = inner_target;
        request.body = body;
        server(request, [&](const http_response& given) { response = given; });
        return response;
    }

    // Code of the error in the reply to `body`: a JSON-RPC error or the result
    // code of the handler; 0 if there is none.
    int error_of(const std::string& body)
    {
        failure why;
        const auto json = parse_json(post(body).body, why);
        if (!json)
        {
            return 0;
        }
        return json->isMember("error") ? (*json)["error"]["code"].asInt()
                                       : (*json)["result"]["code"].asInt();
    }
};

// Guards against a field that is lost or changed between two entry VMs, such as
// a deadline that has to be converted to another monotonic clock.
TEST(inner_protocol, messages_round_trip)
{
    const auto deadline = time_point(milliseconds(1000));
    const auto sent = sample_heartbeat();
    heartbeat_reply beat;
    client.send_heartbeat(
        "x", sent, deadline, [&](const heartbeat_reply& got) { beat = got; });
    CHECK(!beat.error);
    CHECK(to_json(beat.from) == to_json(sent));

    failure enqueued;
    client.enqueue("x",
                   sample_job(),
                   deadline,
                   [&](const failure& got) { enqueued = got; });
    CHECK(enqueued.code == result_code::conflict);
    CHECK(enqueued.reason == "not the scheduler");
    CHECK(jobs.at(0).request.payload == sample_job().request.payload);
    CHECK(jobs.at(0).request.deadline == time_point(milliseconds(3'605'000)));

    configuration config;
    config.version = 6;
    config.zones["a"] = zone_state::out;
    client.put_config("x", config, deadline, [](const failure&) {});
    config_reply fetched;
    client.get_config(
        "x", deadline, [&](const config_reply& got) { fetched = got; });
    CHECK(fetched.config.version == 6);
    CHECK(fetched.config.zones.at("a") == zone_state::out);

    client.close_zone(
        "x", {"a", "operator", 5, false}, deadline, [](const failure&) {});
    CHECK(closings.at(0).changed_by == "operator");

    failure cancelled;
    client.cancel("x",
                  "umkhonto/k",
                  deadline,
                  [&](const failure& got) { cancelled = got; });
    CHECK(cancelled.code == result_code::not_found);

    job_status_reply status;
    client.job_status("x",
                      "umkhonto/k",
                      deadline,
                      [&](const job_status_reply& got) { status = got; });
    CHECK(status.outcome.state == job_state::running);
    CHECK(status.explanation == "runs");

    job_outcome outcome;
    outcome.state = job_state::done;
    outcome.answer = std::string("a\0b", 3);
    client.job_done(
        "x", "umkhonto/k", outcome, deadline, [](const failure&) {});
    CHECK(outcomes.at(0).answer == outcome.answer);
    CHECK(ids.size() == 3);

    zone_status zone;
    client.status("x", deadline, [&](const zone_status& got) { zone = got; });
    CHECK(zone.servers.at(0).epoch == 7);
    CHECK(zone.customers.at(0).reclaimable == 4);
    CHECK(zone.jobs.at(0).state == "queued");
}

// Guards against malformed input that crashes the process, reaches a handler or
// gets a reply without an error code.
TEST(inner_protocol, malformed_input_is_refused)
{
    const auto call = [](const std::string& method, const std::string& params)
    {
        return R"({"jsonrpc":"2.0","id":1,"method":")" + method +
               R"(","params":)" + params + "}";
    };
    const std::vector<std::string> bodies{
        "",
        "{",
        "null",
        "7",
        "[]",
        "[" + call("status", "{}") + "]",
        std::string(100000, '['),
        std::string(9U << 20U, ' '),
        R"({"jsonrpc":"2.0","method":"status"})",
        R"({"jsonrpc":"1.0","id":1,"method":"status"})",
        R"({"jsonrpc":"2.0","id":1,"id":2,"method":"status"})",
        R"({"jsonrpc":"2.0","id":1,"method":7})",
        call("no_such_method", "{}"),
        call("heartbeat", "{}"),
        call("heartbeat", "[]"),
        call("heartbeat", R"({"heartbeat":7})"),
        call("heartbeat", R"({"heartbeat":{}})"),
        call("heartbeat", R"({"heartbeat":{"vm":7,"incarnation":"i"}})"),
        call("heartbeat",
             R"({"heartbeat":{"vm":"a","incarnation":"i","sequence":-1}})"),
        call("heartbeat",
             R"({"heartbeat":{"vm":"a","incarnation":"i","closings":[7]}})"),
        call("enqueue", R"({"job":{}})"),
        call("enqueue", R"({"job":{"request":{"accelerators":1e99}}})"),
        call("put_config", R"({"config":{"version":"high"}})"),
        call("close_zone", R"({"closing":{}})"),
        call("job_done", R"({"job_id":"a/k","outcome":{"state":"running"}})"),
        call("job_done", R"({"job_id":"a/k","outcome":{"state":"odd"}})"),
        call("job_done", R"({"job_id":{},"outcome":{}})"),
        call("cancel", R"({"job_id":null})")};
    for (const auto& body : bodies)
    {
        CHECK_TEXT(error_of(body) != 0, body.substr(0, 200).c_str());
    }
    CHECK(heartbeats.empty() && jobs.empty() && configs.empty());
    CHECK(closings.empty() && ids.empty());
    http_response response;
    http_request read;
    read.method = "GET";
    read.target = inner_target;
    server(read, [&](const http_response& given) { response = given; });
    CHECK(response.status == 405);
}

// Guards against a reply that is accepted for another request, and against a
// malformed reply that counts as "not handled": it must read as a lost reply.
TEST(inner_protocol, malformed_reply_reads_as_lost)
{
    const std::vector<std::string> replies{
        "",
        "{",
        "[]",
        "{}",
        R"({"jsonrpc":"2.0","id":99,"result":{"code":0}})",
        R"({"jsonrpc":"2.0","id":1})",
        R"({"jsonrpc":"2.0","id":1,"result":7})",
        R"({"jsonrpc":"2.0","id":1,"result":{"code":"zero"}})"};
    configs.emplace_back();
    for (const auto& body : replies)
    {
        setup();
        modify_reply = [&](http_reply& reply)
        {
            reply.response.body = body;
        };
        failure got;
        client.enqueue("x",
                       sample_job(),
                       time_point(milliseconds(1000)),
                       [&](const failure& error) { got = error; });
        CHECK_TEXT(got.code == result_code::answer_lost, body.c_str());
        // Request ids start at 1 in each client.
        setup();
        client.get_config("x",
                          time_point(milliseconds(1000)),
                          [&](const config_reply& reply)
                          { got = reply.error; });
        CHECK_TEXT(got.code == result_code::answer_lost, body.c_str());
        setup();
        client.status("x",
                      time_point(milliseconds(1000)),
                      [&](const zone_status& reply) { got = reply.error; });
        CHECK_TEXT(got.code == result_code::answer_lost, body.c_str());
    }
}

// Guards against an error code from a newer version that is read as success.
TEST(inner_protocol, reads_unknown_codes_as_errors)
{
    Json::Value json;
    json["code"] = 999;
    failure error;
    failure why;
    CHECK(read_failure(json, error, why));
    CHECK(error.code == result_code::internal_error);
}
