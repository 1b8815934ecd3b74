// The calls that the leader makes through other VMs: messages, the relay and
// the leader's side.
#include "relay/relay_http.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

constexpr std::int64_t unix_start = 1'700'000'000'000;

run_id run_of(const std::string& job, int index)
{
    return {{job, 0, 0, index}, 1};
}

// Backend servers that record the calls and reply when told to.
struct fake_servers
{
    std::vector<std::pair<server_target, start_order>> starts;
    std::vector<std::function<void(order_reply)>> start_replies;
    std::vector<run_id> stops;
    std::vector<std::function<void(order_reply)>> stop_replies;
    std::vector<renew_order> renewals;
    std::vector<std::function<void(renewal_reply)>> renewal_replies;

    server_api api()
    {
        server_api calls;
        calls.start = [this](const server_target& to,
                             const start_order& order,
                             time_point,
                             std::function<void(order_reply)> done)
        {
            starts.emplace_back(to, order);
            start_replies.push_back(std::move(done));
        };
        calls.stop = [this](const server_target&,
                            const run_id& run,
                            time_point,
                            std::function<void(order_reply)> done)
        {
            stops.push_back(run);
            stop_replies.push_back(std::move(done));
        };
        calls.renew = [this](const server_target&,
                             const renew_order& order,
                             time_point,
                             std::function<void(renewal_reply)> done)
        {
            renewals.push_back(order);
            renewal_replies.push_back(std::move(done));
        };
        return calls;
    }
};

order_reply done_reply()
{
    order_reply reply;
    reply.outcome = order_outcome::done;
    return reply;
}

relay_batch batch_of(std::uint64_t epoch, std::vector<relay_call> calls)
{
    relay_batch batch;
    batch.epoch = epoch;
    batch.leader_address = "10.0.0.1:7000";
    batch.sent_unix_ms = unix_start;
    batch.payloads["job"] = "text";
    batch.calls = std::move(calls);
    return batch;
}

relay_call start_call(std::uint64_t id)
{
    relay_call call;
    call.id = id;
    call.kind = relay_call_kind::start;
    call.address = "10.0.0.9:1";
    call.server = "s1";
    call.run = run_of("job", 0);
    call.lease_until = 500;
    call.time_left = milliseconds(800);
    return call;
}

} // namespace

TEST_GROUP(relay_messages){};

// Guards against a field that is lost on the way between two VMs.
TEST(relay_messages, batch_survives_the_wire)
{
    auto batch = batch_of(7, {start_call(3)});
    batch.calls[0].checkpoint = "point";
    failure why;
    const auto read = parse_relay_batch(to_text(batch), why);
    CHECK(read.has_value());
    CHECK_EQUAL(7, read->epoch);
    CHECK_EQUAL(unix_start, read->sent_unix_ms);
    CHECK(read->payloads == batch.payloads);
    CHECK_EQUAL(3, read->calls[0].id);
    CHECK(read->calls[0].run == batch.calls[0].run);
    CHECK(read->calls[0].lease_until == batch.calls[0].lease_until);
    CHECK(read->calls[0].checkpoint == "point");
    CHECK_EQUAL(800, read->calls[0].time_left.count());
}

TEST(relay_messages, report_survives_the_wire)
{
    relay_report report{7, "vm-2", {}};
    relay_result result;
    result.id = 9;
    result.reply.order = {order_outcome::done, "200", 812};
    result.reply.incarnation = unix_start;
    result.reply.active.push_back({run_of("job", 1), "point", 42});
    result.reply.ended.push_back(
        {5, run_of("job", 2), run_outcome::gang_ended, "last"});
    report.results.push_back(result);
    failure why;
    const auto read = parse_relay_report(to_text(report), why);
    CHECK(read.has_value());
    CHECK(read->relay == "vm-2");
    const auto& reply = read->results[0].reply;
    CHECK(reply.order.clock == std::optional<server_clock>(812));
    CHECK_EQUAL(unix_start, reply.incarnation);
    CHECK(reply.active[0].run == run_of("job", 1));
    CHECK_EQUAL(42, reply.active[0].percent);
    CHECK_EQUAL(5, reply.ended[0].number);
    CHECK(reply.ended[0].outcome == run_outcome::gang_ended);
    CHECK(reply.ended[0].checkpoint == "last");
}

// Guards against one malformed message that ends the process or is taken for a
// call.
TEST(relay_messages, malformed_messages_are_refused)
{
    const std::string calls_prefix =
        "{\"epoch\":1,\"leader\":\"a\",\"sent\":1,\"calls\":";
    const std::vector<std::string> texts{
        "",
        "[]",
        "7",
        "{\"epoch\":\"x\"}",
        "{\"epoch\":1,\"leader\":\"a\",\"sent\":1,\"calls\":[[1]]}",
        calls_prefix + "[[1,9,\"a\",\"s\",\"\",0,\"\",null,0,0,0]]}",
        calls_prefix + "[[1,0,\"a\",\"s\",\"bad\",0,\"\",5,0,0,0]]}",
        "{\"epoch\":1,\"leader\":\"a\",\"sent\":1,\"payloads\":{\"j\":1}}",
        "{\"epoch\":1,\"relay\":\"a\",\"results\":[[1,99,\"\",0,0,[],[]]]}",
        "{\"epoch\":1,\"relay\":\"a\",\"results\":[[1,0,\"\",0,0,[[1]],[]]]}"};
    for (const auto& text : texts)
    {
        failure why;
        const bool is_batch = parse_relay_batch(text, why).has_value();
        CHECK(!is_batch || text.find("results") != std::string::npos);
        failure why_report;
        const bool is_report = parse_relay_report(text, why_report).has_value();
        CHECK(!is_report || text.find("results") == std::string::npos);
        failure why_member;
        CHECK_FALSE(parse_relay_member(text, why_member).has_value());
    }
}

TEST_GROUP(call_relay)
{
    fake_servers servers;
    std::int64_t now = 1'000'000;
    std::int64_t clock_offset = 0;
    std::vector<relay_report> reports;
    std::shared_ptr<call_relay> relay;

    void setup() override
    {
        call_relay_hooks hooks;
        hooks.servers = servers.api();
        hooks.now = [this]
        {
            return time_point(milliseconds(now));
        };
        hooks.boot_now = [this]
        {
            return boot_time(milliseconds(now));
        };
        hooks.unix_now = [this]
        {
            return unix_start + clock_offset;
        };
        hooks.count = [](const std::string&, double) {
        };
        hooks.send = [this](const std::string&, const relay_report& report)
        {
            reports.push_back(report);
        };
        relay = std::make_shared<call_relay>("vm-2", std::move(hooks));
        relay->tick();
    }

    void pass(int ms)
    {
        for (int i = 0; i < ms; i += 25)
        {
            now += 25;
            relay->tick();
        }
    }

    bool accept(relay_batch batch)
    {
        failure why;
        return relay->accept(std::move(batch), why);
    }
};

// Guards against a relay that starts a run without its payload, or reports
// nothing to a leader that waits.
TEST(call_relay, makes_calls_and_reports_them)
{
    CHECK(accept(batch_of(7, {start_call(3)})));
    CHECK_EQUAL(1, servers.starts.size());
    CHECK(servers.starts[0].second.payload == "text");
    CHECK_EQUAL(7, servers.starts[0].first.epoch);
    // It shows that it is alive while the call is in flight.
    pass(1000);
    CHECK(reports.size() >= 4);
    CHECK(reports.back().results.empty());
    servers.start_replies[0](done_reply());
    pass(50);
    const auto count = reports.size();
    CHECK_EQUAL(3, reports.back().results.at(0).id);
    pass(1000);
    CHECK_EQUAL(count, reports.size());
}

// Guards against orders of a leader that has been replaced: this VM already
// makes calls for the next one.
TEST(call_relay, refuses_earlier_leader)
{
    CHECK(accept(batch_of(8, {start_call(1)})));
    CHECK_FALSE(accept(batch_of(7, {start_call(2)})));
    CHECK_EQUAL(1, servers.starts.size());
    // A reply to a call of the earlier leader is not reported to the next one.
    CHECK(accept(batch_of(9, {})));
    servers.start_replies[0](done_reply());
    pass(200);
    for (const auto& report : reports)
    {
        CHECK(report.epoch != 9 || report.results.empty());
    }
}

// Guards against a process that was suspended and then acts on orders that have
// waited in its sockets meanwhile.
TEST(call_relay, refuses_what_arrived_while_suspended)
{
    pass(100);
    now += 5000;
    CHECK_FALSE(accept(batch_of(7, {start_call(1)})));
    relay->tick();
    now += 100;
    CHECK_FALSE(accept(batch_of(7, {start_call(2)})));
    pass(400);
    CHECK(accept(batch_of(7, {start_call(3)})));
    CHECK_EQUAL(1, servers.starts.size());
}

// Guards against batches that were held up on the way: the leader has made
// their calls itself, and the server may have restarted.
TEST(call_relay, refuses_delayed_batch)
{
    clock_offset = 2000;
    CHECK_FALSE(accept(batch_of(7, {start_call(1)})));
    clock_offset = -2000;
    CHECK_FALSE(accept(batch_of(7, {start_call(2)})));
    clock_offset = 60;
    CHECK(accept(batch_of(7, {start_call(3)})));
}

// Guards against new work on a VM that stops; the calls in flight are reported.
TEST(call_relay, stopping_vm_refuses_batches)
{
    CHECK(accept(batch_of(7, {start_call(1)})));
    relay->stop_accepting();
    CHECK_FALSE(accept(batch_of(7, {start_call(2)})));
    servers.start_replies[0](done_reply());
    pass(50);
    CHECK_EQUAL(1, reports.back().results.size());
}

// Guards against an unknown call, and against a batch that is refused because
// of what the reply was initialized with.
TEST(call_relay, requests_of_vms_are_handled)
{
    const auto request = make_relay_request(batch_of(7, {start_call(1)}));
    CHECK(!handle_relay_request(request, *relay, nullptr));
    CHECK_EQUAL(1, servers.starts.size());
    const auto report = make_relay_request(relay_report{7, "vm-2", {}});
    CHECK(handle_relay_request(report, *relay, nullptr).code ==
          result_code::conflict);
    http_request unknown;
    unknown.target = "/v1/relay/none";
    CHECK(handle_relay_request(unknown, *relay, nullptr).code ==
          result_code::not_found);
}

TEST_GROUP(relayed_servers)
{
    struct sent_batch
    {
        std::string address;
        relay_batch batch;
        std::function<void(const failure&)> done;
    };

    fake_servers direct;
    std::int64_t now = 1'000'000;
    std::vector<std::function<void()>> posted;
    std::vector<sent_batch> sent;
    std::shared_ptr<relayed_servers> calls;
    server_api api;
    int replies = 0;
    order_outcome last_outcome = order_outcome::done;

    void setup() override
    {
        relayed_servers_hooks hooks;
        hooks.direct = direct.api();
        hooks.now = [this]
        {
            return time_point(milliseconds(now));
        };
        hooks.unix_now = []
        {
            return unix_start;
        };
        hooks.post = [this](std::function<void()> action)
        {
            posted.push_back(std::move(action));
        };
        hooks.count = [](const std::string&, double) {
        };
        hooks.send = [this](const std::string& address,
                            const relay_batch& batch,
                            time_point,
                            std::function<void(const failure&)> done)
        {
            sent.push_back({address, batch, std::move(done)});
        };
        calls = std::make_shared<relayed_servers>(
            relayed_servers_settings{"vm-1", "10.0.0.1:7000", 7, 2},
            std::move(hooks));
        api = calls->api();
        calls->set_members({{"vm-1", "10.0.0.1:7000", "zone-a", 1},
                            {"vm-2", "10.0.0.2:7000", "zone-a", 0.5},
                            {"vm-3", "10.0.0.3:7000", "zone-a", 0.12}});
    }

    static server_target target_of(const std::string& server)
    {
        return {"10.0.0.9:1", server, 7, "zone-a", "r1"};
    }

    void pass(int ms)
    {
        for (int i = 0; i < ms; i += 25)
        {
            now += 25;
            calls->tick();
            auto actions = std::exchange(posted, {});
            for (const auto& action : actions)
            {
                action();
            }
        }
    }

    // Makes the servers known, with relays in use from then on.
    void renew_all()
    {
        for (const auto* server : {"s1", "s2"})
        {
            renew(server);
        }
        pass(25);
    }

    void renew(const std::string& server, int timeout_ms = 1800)
    {
        api.renew(target_of(server),
                  {500, 0, milliseconds(800)},
                  time_point(milliseconds(now + timeout_ms)),
                  [this](const renewal_reply&) { ++replies; });
    }

    void start(int index, int timeout_ms = 800)
    {
        api.start(target_of("s1"),
                  {run_of("job", index), "text", 500, ""},
                  time_point(milliseconds(now + timeout_ms)),
                  [this](const order_reply& reply)
                  {
                      ++replies;
                      last_outcome = reply.outcome;
                  });
    }

    void report(std::uint64_t id, order_outcome outcome = order_outcome::done)
    {
        relay_report item{7, "vm-2", {}};
        relay_result result;
        result.id = id;
        result.reply.order.outcome = outcome;
        item.results.push_back(result);
        calls->on_report(item);
    }
};

// Guards against batches for a few servers, which cost more than the calls.
TEST(relayed_servers, few_servers_are_called_directly)
{
    renew("s1");
    pass(200);
    CHECK_EQUAL(1, direct.renewals.size());
    CHECK(sent.empty());
}

// Guards against one message for each member of a gang, each with the payload.
TEST(relayed_servers, orders_of_a_rack_share_a_batch)
{
    renew_all();
    start(0);
    start(1);
    start(2);
    pass(25);
    CHECK_EQUAL(1, sent.size());
    CHECK(sent[0].address == "10.0.0.2:7000");
    CHECK_EQUAL(3, sent[0].batch.calls.size());
    CHECK_EQUAL(1, sent[0].batch.payloads.size());
    report(sent[0].batch.calls[0].id);
    CHECK_EQUAL(1, replies);
}

// Guards against lease renewals that wait behind starts.
TEST(relayed_servers, renewals_go_first)
{
    renew_all();
    start(0);
    renew("s2");
    pass(25);
    CHECK(sent[0].batch.calls[0].kind == relay_call_kind::renew);
}

// Guards against orders that are lost with the relay, or made twice by the
// leader: they are made directly once, and a late report is ignored.
TEST(relayed_servers, calls_of_a_refused_batch_are_made_directly)
{
    renew_all();
    direct.renewals.clear();
    start(0);
    pass(25);
    sent[0].done({result_code::unreachable, "refused"});
    CHECK_EQUAL(1, direct.starts.size());
    CHECK(direct.starts[0].second.payload == "text");
    report(sent[0].batch.calls[0].id);
    CHECK_EQUAL(0, replies);
    direct.start_replies[0](done_reply());
    CHECK_EQUAL(1, replies);
    // The other VM of the zone takes its place.
    start(1);
    pass(25);
    CHECK(sent.back().address == "10.0.0.3:7000");
}

// Guards against leases that run out because a relay stands still.
TEST(relayed_servers, calls_of_a_silent_relay_are_made_directly)
{
    renew_all();
    renew("s1");
    direct.renewals.clear();
    pass(700);
    CHECK(direct.renewals.empty());
    pass(200);
    CHECK_EQUAL(1, direct.renewals.size());
}

// Guards against a run that is taken for not started, and started elsewhere,
// because the leader cannot reach the server: the relay may have started it
// before it was cut off from the leader.
TEST(relayed_servers, start_through_silent_relay_is_unknown)
{
    renew_all();
    start(0, 3000);
    pass(900);
    CHECK_EQUAL(1, direct.starts.size());
    direct.start_replies[0]({order_outcome::not_sent, "", std::nullopt});
    CHECK_EQUAL(1, replies);
    CHECK(last_outcome == order_outcome::unknown);
}

// Guards against a slow recovery where it is certain that the relay has made
// no call.
TEST(relayed_servers, start_of_a_refused_batch_can_be_refused)
{
    renew_all();
    start(0, 3000);
    pass(25);
    sent[0].done({result_code::vm_stopping, "stopping"});
    direct.start_replies.at(0)({order_outcome::not_sent, "", std::nullopt});
    CHECK(last_outcome == order_outcome::not_sent);
}

// Guards against a call that is never answered.
TEST(relayed_servers, call_without_result_is_reported_by_its_deadline)
{
    renew_all();
    start(0, 400);
    pass(350);
    CHECK_EQUAL(0, replies);
    pass(50);
    CHECK_EQUAL(1, replies);
}

// Guards against batches without limit to a VM with a slow link.
TEST(relayed_servers, batches_in_flight_are_bounded)
{
    renew_all();
    for (int i = 0; i < 10; ++i)
    {
        start(i, 5000);
        pass(25);
    }
    CHECK_EQUAL(4, sent.size());
    sent[0].done({});
    pass(25);
    CHECK_EQUAL(5, sent.size());
    CHECK_EQUAL(6, sent[4].batch.calls.size());
}

// Guards against a server that its relay cannot reach but the leader can.
TEST(relayed_servers, unreachable_server_is_called_directly)
{
    renew_all();
    renew("s1");
    pass(125);
    report(sent.back().batch.calls[0].id, order_outcome::unknown);
    CHECK_EQUAL(1, replies);
    direct.renewals.clear();
    renew("s1");
    CHECK_EQUAL(1, direct.renewals.size());
}

// Guards against reports to an earlier leadership of this VM.
TEST(relayed_servers, report_of_another_epoch_is_ignored)
{
    renew_all();
    start(0);
    pass(25);
    relay_report late{6, "vm-2", {}};
    relay_result result;
    result.id = sent[0].batch.calls[0].id;
    late.results.push_back(result);
    calls->on_report(late);
    CHECK_EQUAL(0, replies);
}
