// Adapter to the users' platform: decoding of rows and replies.
#include "http_fixture.hpp"

#include "http/json_reply.hpp"
#include "model/codec.hpp"
#include "platform/operator_rows.hpp"
#include "platform/servers.hpp"
#include "platform/store.hpp"
#include "platform/wire.hpp"

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

// Completes each call at once with a fixed reply and keeps the request.
struct canned_http
{
    http_reply reply;
    http_request request;

    http_send_function send_function()
    {
        return [this](const std::string&,
                      http_request sent,
                      time_point,
                      const std::function<void(http_reply)>& done)
        {
            request = std::move(sent);
            done(reply);
        };
    }

    void set_reply(int status, const std::string& body)
    {
        reply.error = {};
        reply.response.status = status;
        reply.response.body = body;
    }
};

const std::string server_row =
    R"({"backend":"svc","address":"10.0.0.1:80","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":64000,"mem_mb":100,"gpus":8},"labels":["a","r1-2"],)"
    R"("born":1700000000000,"seq":4})";

failure ignored;

} // namespace

TEST_GROUP(platform_wire){};

// Guards against values of the store that are altered in transit.
TEST(platform_wire, base64_of_all_lengths)
{
    std::string bytes;
    for (int i = 0; i < 300; ++i)
    {
        const auto text = platform::base64_encode(bytes);
        CHECK_EQUAL(0U, text.size() % 4);
        CHECK(platform::base64_decode(text) == bytes);
        bytes += static_cast<char>(i * 7);
    }
    STRCMP_EQUAL("bm9kZS0x", platform::base64_encode("node-1").c_str());
    CHECK(!platform::base64_decode("abc"));
    CHECK(!platform::base64_decode("a!=="));
    CHECK(!platform::base64_decode("===="));
}

TEST_GROUP(platform_rows)
{
    deployment_rows rows = platform::make_deployment_rows();
    failure why;
};

// Guards against a malformed server row that is taken as a usable server.
TEST(platform_rows, decodes_server_rows)
{
    const auto entry =
        rows.decode_server_row({"servers/i-1", server_row, 1}, why);
    CHECK(entry.has_value());
    STRCMP_EQUAL("i-1", entry->id.c_str());
    STRCMP_EQUAL("r1-2", entry->rack.c_str());
    CHECK_EQUAL(8, entry->capacity.accelerators);
    for (const char* malformed :
         {"", "[]", "{}", R"({"backend":3})", R"({"state":"odd"})"})
    {
        why = {};
        CHECK(!rows.decode_server_row({"servers/i-2", malformed, 1}, why));
        CHECK(static_cast<bool>(why));
    }
    auto unknown_state = server_row;
    unknown_state.replace(unknown_state.find("ready"), 5, "away!");
    why = {};
    CHECK(!rows.decode_server_row({"servers/i-3", unknown_state, 1}, why));
}

// Guards against decoding a part of the configuration wrongly, and against
// decoding unrelated rows as operator rows.
TEST(platform_rows, decodes_operator_rows)
{
    const std::string text =
        R"({"config_version":7,"routes":[{"name":"r","hostname":"h",)"
        R"("prefix":"/p/","backend":"svc","priority":2,"max_attempts":3,)"
        R"("stretch":1.5,"goal_ms":600,"allow_anonymous":true}],)"
        R"("services":[{"name":"svc","standby":false}],)"
        R"("tenants":[{"name":"t","api_keys":["k"],)"
        R"("guaranteed":{"gpus":72},"weight":2.5,)"
        R"("cap":{"cpu":64000,"mem_mb":0,"gpus":40}},)"
        R"({"name":"u","api_keys":["l"],"weight":0}]})";
    const auto operator_entry =
        rows.decode_operator_row({"op/config", text, 1}, why);
    const auto& config = std::get<deployment_config>(*operator_entry);
    CHECK_EQUAL(7U, config.version);
    CHECK_EQUAL(2, config.queues[0].policy.priority);
    CHECK_EQUAL(600, config.queues[0].policy.latency_slack.count());
    CHECK(config.queues[0].allow_anonymous);
    CHECK_EQUAL(72, config.customers[0].guaranteed_accelerators);
    CHECK_EQUAL(2.5, config.customers[0].weight);
    CHECK(config.customers[0].limit == (resources{64000, 0, 40}));
    CHECK_EQUAL(0, config.customers[1].weight);
    CHECK(config.customers[1].limit == resources{});
    const auto zone = rows.decode_operator_row({"op/evacuate/z", "{}", 1}, why);
    STRCMP_EQUAL("z", std::get<zone_evacuation>(*zone).zone.c_str());
    CHECK(!rows.decode_operator_row({"op/wave/1", "{}", 1}, why));
    CHECK(!why);
    CHECK(!rows.decode_operator_row({"op/config", "no json", 1}, why));
    CHECK(static_cast<bool>(why));
}

TEST_GROUP(platform_store)
{
    canned_http net;
    table store = platform::make_store({"10.0.0.1:1"},
                                       {net.send_function(),
                                        net.send_function(),
                                        [](const std::string&, double) {
                                        }});
    std::optional<result_code> code;

    void transact(int status, const std::string& body)
    {
        net.set_reply(status, body);
        store.transact({{{"jobs/x/a", 0}}, {{"jobs/x/a", "v"}}, {}},
                       no_deadline,
                       [this](const table_transact_reply& reply)
                       { code = reply.error.code; });
    }
};

// Guards against reporting "not written" for a write that may have taken
// effect.
TEST(platform_store, write_outcome_by_status)
{
    transact(200, R"({"ver":3,"now_ms":1})");
    CHECK(code == result_code::ok);
    const auto sent = parse_json(net.request.body, ignored);
    STRCMP_EQUAL("jobs", (*sent)["writes"][0]["table"].asCString());
    STRCMP_EQUAL("x/a", (*sent)["writes"][0]["key"].asCString());
    transact(412, R"({"rows":[],"ver":3})");
    CHECK(code == result_code::conflict);
    transact(503, "");
    CHECK(code == result_code::store_unavailable);
    transact(429, "{}");
    CHECK(code == result_code::store_unavailable);
    // These are refused again, however often they are repeated.
    transact(400, "{}");
    CHECK(code == result_code::bad_request);
    transact(413, "{}");
    CHECK(code == result_code::body_too_large);
    transact(500, "{}");
    CHECK(code == result_code::answer_lost);
    transact(200, "cut off");
    CHECK(code == result_code::answer_lost);
    net.reply.error = {result_code::timeout, "late"};
    store.transact({},
                   no_deadline,
                   [this](const table_transact_reply& reply)
                   { code = reply.error.code; });
    CHECK(code == result_code::timeout);
    net.reply.error = {result_code::unreachable, "refused"};
    store.transact({},
                   no_deadline,
                   [this](const table_transact_reply& reply)
                   { code = reply.error.code; });
    CHECK(code == result_code::store_unavailable);
}

// Guards against losing or repeating a row between the pages of a scan.
TEST(platform_store, scan_pages_keep_all_rows)
{
    net.set_reply(200,
                  R"({"rows":[{"table":"jobs","key":"a","value":"","ver":1},)"
                  R"({"table":"jobs","key":"b","value":"","ver":2}],)"
                  R"("has_more":true,"ver":9})");
    table_scan_reply page;
    const auto keep_page = [&page](const table_scan_reply& reply)
    {
        page = reply;
    };
    store.scan("jobs/", "jobs/a", 2, no_deadline, keep_page);
    CHECK_EQUAL(1U, page.rows.size());
    STRCMP_EQUAL("jobs/b", page.next.c_str());
    CHECK_EQUAL(9U, page.version);
    store.scan("jobs/x/", "", 8, no_deadline, keep_page);
    CHECK(net.request.target.find("from=x%2F&to=x0") != std::string::npos);
}

// Guards against a watcher that continues after the store has dropped the
// history it needs.
TEST(platform_store, watch_reports_dropped_history)
{
    net.set_reply(410, "{}");
    store.watch("op/",
                5,
                milliseconds(10),
                no_deadline,
                [this](const table_watch_reply& reply)
                { code = reply.error.code; });
    CHECK(code == result_code::not_found);
}

TEST_GROUP(platform_servers)
{
    canned_http net;
    server_api servers =
        platform::make_servers({net.send_function(), net.send_function()});
    order_reply last_reply;

    void start(int status, const std::string& body)
    {
        net.set_reply(status, body);
        servers.start({"10.0.0.1:1", "i-1", 7},
                      {{{"ab", 0, 1, 2}, 3}, "text", 500, "point"},
                      no_deadline,
                      [this](const order_reply& reply) { last_reply = reply; });
    }
};

// Guards against treating an order as refused that may have been executed.
TEST(platform_servers, start_outcome_by_status)
{
    start(200, R"({"clock_ms":12})");
    CHECK(last_reply.outcome == order_outcome::done);
    CHECK_EQUAL(12, *last_reply.clock);
    const auto sent = parse_json(net.request.body, ignored);
    STRCMP_EQUAL("ab.0.1.2", (*sent)["task"].asCString());
    CHECK_EQUAL(3, (*sent)["attempt_id"].asInt());
    CHECK_EQUAL(7, (*sent)["fencing_token"].asInt());
    STRCMP_EQUAL("i-1", net.request.headers[0].value.c_str());
    const std::pair<const char*, order_outcome> conflicts[]{
        {R"({"reason":"fence"})", order_outcome::fenced},
        {R"({"reason":"old"})", order_outcome::superseded},
        {R"({"reason":"late"})", order_outcome::lease_expired},
        {R"({"reason":"room"})", order_outcome::no_capacity},
        {R"({"reason":"new"})", order_outcome::unknown},
        {"", order_outcome::unknown}};
    for (const auto& [body, outcome] : conflicts)
    {
        start(409, body);
        CHECK(last_reply.outcome == outcome);
    }
    start(503, "");
    CHECK(last_reply.outcome == order_outcome::refused);
    start(421, "");
    CHECK(last_reply.outcome == order_outcome::other_incarnation);
    start(500, "");
    CHECK(last_reply.outcome == order_outcome::unknown);
}

// Guards against an invalid entry in a list of runs that hides the others.
TEST(platform_servers, renewal_reply_lists_runs)
{
    net.set_reply(
        200,
        R"({"clock_ms":5,"born":9,"active":[["ab.0.0.1",2,"p",41,3.5],)"
        R"(["odd",1,"",0],7],"ended":[[58,"ab.0.0.9",1,"done",""],)"
        R"([59,"ab.0.0.8",1,"odd",""],[60,"ab.0.0.7",1,"alone","q"]]})");
    renewal_reply reply;
    servers.renew({"10.0.0.1:1", "i-1", 7},
                  {100, 57, milliseconds(10)},
                  no_deadline,
                  [&reply](const renewal_reply& item) { reply = item; });
    CHECK_EQUAL(9, reply.incarnation);
    CHECK_EQUAL(1U, reply.active.size());
    CHECK_EQUAL(41, reply.active[0].percent);
    CHECK_EQUAL(2U, reply.ended.size());
    CHECK(reply.ended[1].outcome == run_outcome::gang_incomplete);
}
