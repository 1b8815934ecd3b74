// Configuration changes by operators, with a fault at every step.
#include "control/config_row.hpp"
#include "control/membership.hpp"
#include "control/zone_choice.hpp"
#include "control_fakes.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::tests;

namespace
{

constexpr auto ok = result_code::ok;
constexpr auto pending = result_code::pending;
constexpr auto conflict = result_code::conflict;
constexpr auto unavailable = result_code::store_unavailable;
constexpr auto lost = result_code::answer_lost;

struct operator_call
{
    std::vector<change_reply> replies;
    // Configuration version of every VM at the time of the last reply.
    std::map<std::string, std::uint64_t> versions;

    result_code code() const
    {
        return replies.size() == 1 ? replies[0].error.code
                                   : result_code::internal_error;
    }
};

std::function<void(change_reply)> record_reply(controller_simulation& sim,
                                               operator_call& op_call)
{
    return [&sim, &op_call](change_reply reply)
    {
        op_call.replies.push_back(std::move(reply));
        for (const auto& vm : sim.vms)
        {
            if (vm->control)
            {
                op_call.versions[vm->id] = vm->control->config().version;
            }
        }
    };
}

void start_change(controller_simulation& sim,
                  const std::string& vm,
                  const std::string& operation,
                  const std::string& who,
                  operator_call& op_call)
{
    auto& control = *sim.vm(vm).control;
    if (operation == "sheet")
    {
        auto sheet = test_sheet();
        sheet.customers.push_back({"of " + who, 0, 10});
        control.apply_sheet(sheet, 0, who, record_reply(sim, op_call));
        return;
    }
    if (operation == "out b")
    {
        control.set_zone("b", zone_state::out, who, record_reply(sim, op_call));
        return;
    }
    control.set_zone("a",
                     operation == "out" ? zone_state::out : zone_state::open,
                     who,
                     record_reply(sim, op_call));
}

// Checks every 10 ms that no VM goes back to an older version or has one that
// is not durable, and that no scheduler of "a" is open while its VM's
// configuration has "a" out of service.
class monitor
{
public:
    explicit monitor(controller_simulation& sim) : sim_(sim)
    {
        sim.monitor = [this]
        {
            check();
        };
    }

    std::string violation_text;

private:
    void check()
    {
        for (const auto& vm : sim_.vms)
        {
            if (!vm->control)
            {
                continue;
            }
            const auto& config = vm->control->config();
            auto& highest = highest_[vm->id];
            if (config.version < highest)
            {
                violation_text = vm->id + " went back to an older version";
            }
            highest = config.version;
            const bool out = config.zones.contains("a") &&
                             config.zones.at("a") == zone_state::out;
            if (vm->zone == "a" && vm->scheduler.open && out)
            {
                violation_text = vm->id + " is open although out of service";
            }
            if (config.version > sim_.config_in_row().version)
            {
                violation_text = vm->id + " has a version that is not durable";
            }
        }
    }

    controller_simulation& sim_;
    std::map<std::string, std::uint64_t> highest_;
};

bool all_closed(const controller_simulation& sim)
{
    return std::none_of(sim.vms.begin(),
                        sim.vms.end(),
                        [](const auto& vm)
                        {
                            return vm->zone == "a" && !vm->killed &&
                                   !vm->isolated && vm->scheduler.open;
                        });
}

bool is_out(const configuration& config)
{
    return config.zones.at("a") == zone_state::out;
}

// Which calls for the configuration row fail, how and for how long, and the
// expected code of each operation.
struct change_case
{
    const char* calls;
    call_fault fault;
    milliseconds duration;
    result_code out;
    result_code back;
    result_code sheet;
};

constexpr milliseconds brief{700};
constexpr milliseconds outage{12000};

const std::vector<change_case> change_cases{
    {"none", call_fault::none, outage, ok, ok, ok},
    {"first write",
     call_fault::unreachable,
     outage,
     pending,
     unavailable,
     unavailable},
    {"first write", call_fault::request_lost, outage, ok, ok, ok},
    {"first write", call_fault::reply_lost, outage, ok, ok, ok},
    {"first write", call_fault::slow, outage, ok, ok, ok},
    {"first write", call_fault::conflict, outage, conflict, conflict, conflict},
    {"writes",
     call_fault::unreachable,
     outage,
     pending,
     unavailable,
     unavailable},
    {"writes", call_fault::request_lost, outage, pending, lost, lost},
    {"writes", call_fault::reply_lost, outage, ok, ok, ok},
    {"reads",
     call_fault::unreachable,
     brief,
     pending,
     unavailable,
     unavailable},
    {"reads", call_fault::request_lost, brief, ok, ok, ok},
    {"reads",
     call_fault::request_lost,
     outage,
     pending,
     unavailable,
     unavailable},
    {"all", call_fault::unreachable, outage, pending, unavailable, unavailable},
    {"all",
     call_fault::request_lost,
     outage,
     pending,
     unavailable,
     unavailable},
    {"all", call_fault::reply_lost, brief, ok, ok, ok},
    {"all", call_fault::slow, outage, ok, ok, ok},
};

bool is_hit(const change_case& each, const table_call& call, int writes)
{
    const std::string calls = each.calls;
    return calls == "all" || (calls == "writes" && call.is_write) ||
           (calls == "reads" && !call.is_write) ||
           (calls == "first write" && call.is_write && writes == 1);
}

void write_as_other(controller_simulation& sim)
{
    auto config = sim.config_in_row();
    ++config.version;
    config.changed_by = "winner";
    auto& row = sim.rows["config"];
    row.value = encode_config_row(config, {}, "token of the winner");
    ++row.version;
}

std::string violation(controller_simulation& sim,
                      const std::string& operation,
                      const operator_call& op_call)
{
    const auto& reply = op_call.replies[0];
    const auto row = sim.config_in_row();
    for (const auto& [vm, version] : op_call.versions)
    {
        if (!reply.error && version < reply.version)
        {
            return "ok before " + vm + " has the version";
        }
    }
    if (reply.error.code == conflict &&
        reply.error.reason !=
            "changed by winner to version " + std::to_string(reply.version))
    {
        return "conflict names the wrong change: " + reply.error.reason;
    }
    const bool done = !reply.error || reply.error.code == pending;
    if (operation == "out" && done && (!is_out(row) || !all_closed(sim)))
    {
        return "zone is not out of service at the end";
    }
    if (operation == "back" && done && is_out(row))
    {
        return "zone is not in service at the end";
    }
    if (is_not_run(reply.error.code) && row.changed_by == "operator")
    {
        return "refused change was written";
    }
    for (const auto& vm : sim.vms)
    {
        if (vm->control->config().version != row.version)
        {
            return vm->id + " has another version at the end";
        }
    }
    return {};
}

void run_change_case(const change_case& each, const std::string& operation)
{
    controller_simulation sim;
    sim.start(2);
    if (operation == "back")
    {
        operator_call before;
        start_change(sim, "a1", "out", "before", before);
        sim.run_for(milliseconds(3000));
        CHECK(before.code() == ok);
    }
    monitor checks(sim);
    int writes = 0;
    const auto end = sim.now + each.duration;
    sim.other_writer = [&]
    {
        write_as_other(sim);
    };
    sim.table_fault = [&](const table_call& call)
    {
        if (call.key != "config" || sim.now >= end)
        {
            return call_fault::none;
        }
        writes += call.is_write ? 1 : 0;
        return is_hit(each, call, writes) ? each.fault : call_fault::none;
    };
    sim.before_write = [&](const std::string&)
    {
        if (operation == "out" && !all_closed(sim))
        {
            checks.violation_text = "row written before the zone was closed";
        }
    };
    operator_call op_call;
    start_change(sim, "b1", operation, "operator", op_call);
    sim.run_for(milliseconds(9000));
    const auto code = op_call.code();
    sim.run_for(milliseconds(25000));
    const auto at = operation + ", " + each.calls + " " + name_of(each.fault) +
                    ": " + std::string(name_of(code));
    const auto expected = operation == "out"    ? each.out
                          : operation == "back" ? each.back
                                                : each.sheet;
    CHECK_TEXT(code == expected, at.c_str());
    const auto found = checks.violation_text.empty()
                           ? violation(sim, operation, op_call)
                           : checks.violation_text;
    CHECK_TEXT(found.empty(), (found + " at " + at).c_str());
}

// Two operators change the configuration, the second one `delay` later. Returns
// the number of changes that were refused.
int run_race(const std::string& first,
             const std::string& second,
             milliseconds delay)
{
    controller_simulation sim;
    sim.start(1);
    monitor checks(sim);
    operator_call one;
    operator_call two;
    start_change(sim, "a1", first, "one", one);
    sim.at(delay, [&] { start_change(sim, "b1", second, "two", two); });
    sim.run_for(milliseconds(4000));
    auto at = first + " and " + second;
    at += " after " + std::to_string(delay.count());
    CHECK_TEXT(checks.violation_text.empty(), at.c_str());
    const auto& row = sim.config_in_row();
    if (one.code() == ok && two.code() == ok)
    {
        // The changes did not overlap: each made a new version.
        CHECK_TEXT(row.version == 7, at.c_str());
        return 0;
    }
    const bool one_won = one.code() == ok;
    const auto& winner = one_won ? one : two;
    const auto& loser = one_won ? two : one;
    CHECK_TEXT(winner.code() == ok && loser.code() == conflict, at.c_str());
    CHECK_TEXT(row.version == 6, at.c_str());
    CHECK(loser.replies[0].error.reason == std::string("changed by ") +
                                               (one_won ? "one" : "two") +
                                               " to version 6");
    const auto& losing_change = one_won ? second : first;
    const auto& winning_change = one_won ? first : second;
    const bool a_out = is_out(row);
    const bool b_out = row.zones.at("b") == zone_state::out;
    at += ": " + losing_change + " was refused but took effect";
    CHECK_TEXT(a_out == (winning_change == "out") &&
                   b_out == (winning_change == "out b"),
               at.c_str());
    CHECK_TEXT(sim.vm("a1").scheduler.open == !a_out, at.c_str());
    CHECK_TEXT(sim.vm("b1").scheduler.open == !b_out, at.c_str());
    return 1;
}

} // namespace

TEST_GROUP(control_config)
{
    controller_simulation sim;
};

// Guards against a change that is reported with the wrong result, is written
// before the availability zone is closed, opens it before it is durable, or is
// reverted, when calls to the table fail.
TEST(control_config, change_result_is_correct_under_table_faults)
{
    for (const auto& each : change_cases)
    {
        for (const std::string operation : {"out", "back", "sheet"})
        {
            run_change_case(each, operation);
        }
    }
}

// Guards against two concurrent changes that are both reported as successful, a
// conflict that does not name the other operator, and a refused change that
// takes effect.
TEST(control_config, one_of_two_concurrent_changes_wins)
{
    const std::vector<std::string> operations{"out", "back", "sheet", "out b"};
    int races = 0;
    for (const auto& first : operations)
    {
        for (const auto& second : operations)
        {
            // A change takes up to 12 ms: the second one starts at each step of
            // the first.
            for (int delay = 0; delay < 14; ++delay)
            {
                races += run_race(first, second, milliseconds(delay));
            }
        }
    }
    // The test is only meaningful if enough changes overlap.
    CHECK(races > 30);
}

// Guards against a sheet that overwrites a newer version than the one it is
// based on.
TEST(control_config, sheet_based_on_old_version_is_refused)
{
    sim.start(1);
    operator_call op_call;
    sim.vm("a1").control->apply_sheet(
        test_sheet(), 4, "late planner", record_reply(sim, op_call));
    sim.run_for(milliseconds(1000));
    CHECK(op_call.code() == conflict);
    CHECK(op_call.replies[0].error.reason == "changed by planner to version 5");
    CHECK(sim.config_in_row().version == 5);
}

// Guards against `ok` while an entry VM has not confirmed the change, and
// against a pending change that does not name that VM.
TEST(control_config, pending_change_names_unconfirmed_vms)
{
    for (const bool killed : {false, true})
    {
        controller_simulation fresh;
        fresh.start(2);
        auto& missing_vm = fresh.vm("a2");
        killed ? fresh.kill(missing_vm)
               : static_cast<void>(missing_vm.isolated = true);
        operator_call op_call;
        start_change(fresh, "b1", "out", "operator", op_call);
        fresh.run_for(milliseconds(6000));
        CHECK(op_call.code() == pending);
        CHECK(op_call.replies[0].unconfirmed == std::vector<std::string>{"a2"});
        CHECK(op_call.replies[0].confirmed.size() == 3);
    }
}

// Guards against an availability zone that stays open because either messages
// between availability zones are lost or the zone cannot reach the table.
TEST(control_config, zone_closes_over_links_or_table)
{
    for (const bool cut_links : {false, true})
    {
        controller_simulation fresh;
        fresh.start(2);
        (cut_links ? fresh.zones_partitioned : fresh.table_unreachable_from_a) =
            true;
        operator_call op_call;
        start_change(fresh, "b1", "out", "operator", op_call);
        fresh.run_for(milliseconds(3000));
        CHECK(all_closed(fresh));
    }
}

// Guards against a zone that was isolated on both paths and does not close when
// messages reach it again.
TEST(control_config, isolated_zone_closes_after_reconnect)
{
    sim.start(2);
    sim.zones_partitioned = true;
    sim.table_unreachable_from_a = true;
    operator_call op_call;
    start_change(sim, "b1", "out", "operator", op_call);
    sim.run_for(milliseconds(20000));
    CHECK(op_call.code() == pending);
    CHECK(op_call.replies[0].unconfirmed ==
          (std::vector<std::string>{"a1", "a2"}));
    CHECK(!all_closed(sim));
    sim.zones_partitioned = false;
    sim.run_for(milliseconds(2000));
    CHECK(all_closed(sim));
}

// Guards against a provisional closing that is lost when the VM that received
// it is killed while the table is down.
TEST(control_config, closing_survives_loss_of_receiving_vm)
{
    sim.start(2);
    sim.table_fault = [](const table_call&)
    {
        return call_fault::unreachable;
    };
    operator_call op_call;
    start_change(sim, "b1", "out", "operator", op_call);
    sim.run_for(milliseconds(1000));
    CHECK(op_call.code() == pending);
    CHECK(op_call.replies[0].unconfirmed.empty());
    sim.kill(sim.vm("b1"));
    // A VM that starts during the outage receives the closing with heartbeats.
    sim.add_vm("a3", "a");
    sim.run_for(milliseconds(10000));
    CHECK(!sim.vm("a3").scheduler.open);
    sim.table_fault = nullptr;
    sim.run_for(milliseconds(12000));
    CHECK(is_out(sim.config_in_row()));
    CHECK(sim.config_in_row().version == 6);
    CHECK(sim.config_in_row().changed_by == "operator");
}

// Guards against a zone that reopens between the provisional closing and the
// write, because the closing was based on a version that had just been
// replaced.
TEST(control_config, closing_holds_after_concurrent_change)
{
    sim.start(2);
    sim.run_for(milliseconds(40));
    write_as_other(sim);
    int writes = 0;
    sim.table_fault = [&](const table_call& call)
    {
        return call.key == "config" && call.is_write && ++writes == 1
                   ? call_fault::request_lost
                   : call_fault::none;
    };
    operator_call op_call;
    start_change(sim, "b1", "out", "operator", op_call);
    sim.run_for(milliseconds(100));
    int open = 0;
    sim.monitor = [&]
    {
        open += all_closed(sim) ? 0 : 1;
    };
    sim.run_for(milliseconds(5000));
    CHECK(op_call.code() == ok);
    CHECK(open == 0);
}

// Guards against "not changed" being reported while a write is still in flight
// at the deadline of the change.
TEST(control_config, write_in_flight_at_deadline_reads_as_lost_reply)
{
    sim.start(1);
    const auto start = sim.now;
    sim.table_fault = [&](const table_call& call)
    {
        if (call.is_write)
        {
            return call_fault::slow;
        }
        return sim.now < start + milliseconds(4300) ? call_fault::request_lost
                                                    : call_fault::none;
    };
    operator_call op_call;
    start_change(sim, "a1", "sheet", "operator", op_call);
    sim.run_for(milliseconds(8000));
    CHECK(op_call.code() == lost);
    CHECK(sim.config_in_row().changed_by == "operator");
}

// Guards against an availability zone that stays closed after it was brought
// back, because a provisional closing that was never durable is kept.
TEST(control_config, reopening_ends_provisional_closing)
{
    sim.start(2);
    sim.table_fault = [](const table_call&)
    {
        return call_fault::unreachable;
    };
    operator_call out;
    start_change(sim, "b1", "out", "operator", out);
    sim.run_for(milliseconds(1000));
    CHECK(all_closed(sim));
    sim.table_fault = nullptr;
    operator_call back;
    start_change(sim, "a1", "back", "operator", back);
    sim.run_for(milliseconds(15000));
    CHECK(back.code() == ok);
    CHECK(!is_out(sim.config_in_row()));
    CHECK(sim.vm("a1").scheduler.open && sim.vm("a2").scheduler.open);
}

// Guards against a first sheet that cannot be written because the configuration
// row does not exist.
TEST(control_config, first_sheet_creates_row)
{
    sim.add_vm("a1", "a");
    sim.run_for(milliseconds(2000));
    operator_call op_call;
    start_change(sim, "a1", "sheet", "planner", op_call);
    sim.run_for(milliseconds(1000));
    CHECK(op_call.code() == ok);
    CHECK(sim.config_in_row().version == 1);
    CHECK(sim.vm("a1").scheduler.open);
}

// Guards against a job that is refused although another availability zone is in
// service, and against one that starts in a zone that is out of service.
TEST(control_config, job_goes_to_zone_in_service)
{
    sim.start(2);
    operator_call op_call;
    start_change(sim, "a1", "out", "operator", op_call);
    sim.run_for(milliseconds(3000));
    job_reply got;
    sim.vm("a1").control->submit(request_of("check", "k"),
                                 sim.now + milliseconds(5000),
                                 [&](const job_reply& reply) { got = reply; });
    sim.run_for(milliseconds(2000));
    CHECK(got.item.zone == "b");
    CHECK(got.item.outcome.state == job_state::done);
    CHECK(sim.scheduler_of("b").scheduler.runs.size() == 1);
}

// Guards against a new sheet that drops a provisional closing before it is
// durable.
TEST(control_config, sheet_keeps_provisional_closings)
{
    sim.start(2);
    sim.table_fault = [](const table_call&)
    {
        return call_fault::unreachable;
    };
    operator_call out;
    start_change(sim, "b1", "out", "operator", out);
    sim.run_for(milliseconds(1000));
    sim.table_fault = nullptr;
    operator_call op_call;
    start_change(sim, "a1", "sheet", "planner", op_call);
    sim.run_for(milliseconds(3000));
    CHECK(op_call.code() == ok);
    CHECK(is_out(sim.config_in_row()));
    CHECK(all_closed(sim));
}

// Guards against a configuration that counts as confirmed without contact to
// the table or to another availability zone: tasks could then start after a
// closing.
TEST(control_config, confirmation_age_grows_in_isolation)
{
    sim.start(2);
    const auto age = [this]
    {
        const auto& hooks = sim.vm("a1").scheduler.hooks;
        return sim.now - hooks.config_confirmed_at();
    };
    CHECK(age() < milliseconds(1200));
    sim.table_unreachable_from_a = true;
    sim.run_for(milliseconds(5000));
    CHECK(age() < milliseconds(1500));
    sim.zones_partitioned = true;
    sim.run_for(milliseconds(5000));
    CHECK(age() > milliseconds(4000));
    sim.table_unreachable_from_a = false;
    sim.run_for(milliseconds(3000));
    CHECK(age() < milliseconds(1200));
}

// Guards against a configuration that is replaced by an older one that arrives
// late from a peer or from the table.
TEST(control_config, older_configuration_is_ignored)
{
    sim.start(1);
    const auto old_row = sim.rows["config"];
    const auto old_config = sim.vm("a1").control->config();
    operator_call op_call;
    start_change(sim, "b1", "out", "operator", op_call);
    sim.run_for(milliseconds(3000));
    CHECK(!sim.vm("a1").handlers.on_put_config(old_config));
    sim.rows["config"] = old_row;
    sim.run_for(milliseconds(3000));
    CHECK(sim.vm("a1").control->config().version == 6);
    CHECK(all_closed(sim));
}

TEST_GROUP(control_membership)
{
    static heartbeat make_heartbeat(const std::string& vm,
                                    const std::string& incarnation,
                                    std::uint64_t sequence)
    {
        heartbeat message;
        message.vm = vm;
        message.incarnation = incarnation;
        message.zone = "a";
        message.address = vm + ":1";
        message.sequence = sequence;
        return message;
    }

    time_point now{milliseconds(10000)};
    membership view{"a1", "a", "a1:1", time_point(milliseconds(0))};
};

// Guards against a late heartbeat that overwrites the state from a newer one,
// within one incarnation and after a restart.
TEST(control_membership, ignores_heartbeats_out_of_order)
{
    auto leaving = make_heartbeat("a2", "2", 7);
    leaving.leaving = true;
    CHECK(view.on_heartbeat(leaving, now));
    CHECK(!view.on_heartbeat(make_heartbeat("a2", "2", 6), now));
    CHECK(!view.on_heartbeat(make_heartbeat("a2", "2", 7), now));
    CHECK(!view.on_heartbeat(make_heartbeat("a2", "1", 90), now));
    CHECK(view.peers()[0].leaving);
    CHECK(view.on_heartbeat(make_heartbeat("a2", "3", 1), now));
    CHECK(!view.peers()[0].leaving);
    // After a restart the incarnation may be lower if the clock was reset.
    CHECK(view.on_heartbeat(make_heartbeat("a2", "0", 1),
                            now + milliseconds(2000)));
}

// Guards against choosing a scheduler that is leaving, sends no heartbeats or
// is only in the member list, and against VMs that choose different schedulers.
TEST(control_membership, chooses_live_scheduler_that_is_not_leaving)
{
    const std::vector<vm_member> list{
        {"a2", vm_role::entry, "a", "", "a2:1", false},
        {"a3", vm_role::entry, "a", "", "a3:1", false},
        {"a4", vm_role::entry, "a", "", "a4:1", true}};
    view.set_members(list);
    CHECK(view.scheduler_of("a", now)->vm == "a1");
    view.set_leaving();
    CHECK(!view.scheduler_of("a", now));
    view.on_heartbeat(make_heartbeat("a4", "1", 1), now);
    CHECK(!view.scheduler_of("a", now));
    view.on_heartbeat(make_heartbeat("a3", "1", 1), now);
    CHECK(view.scheduler_of("a", now)->vm == "a3");
    CHECK(!view.scheduler_of("a", now + milliseconds(1500)));
    const std::vector<std::string_view> ids{"x", "y", "z"};
    const std::vector<std::string_view> reversed{"z", "y", "x"};
    for (const auto* zone : {"a", "b", "c", "d"})
    {
        CHECK(select_by_rendezvous_hash(zone, ids) ==
              select_by_rendezvous_hash(zone, reversed));
    }
}

// Guards against choosing the scheduler of another availability zone from the
// few VMs of it that sent heartbeats, instead of taking the one they report.
TEST(control_membership, uses_scheduler_reported_by_other_zone)
{
    auto message = make_heartbeat("b1", "1", 1);
    message.zone = "b";
    CHECK(view.on_heartbeat(message, now));
    CHECK(view.scheduler_of("b", now)->vm == "b1");
    message.sequence = 2;
    message.scheduler = "b7";
    message.scheduler_address = "b7:1";
    CHECK(view.on_heartbeat(message, now));
    CHECK(view.scheduler_of("b", now)->address == "b7:1");
    auto leaving = make_heartbeat("b7", "1", 1);
    leaving.zone = "b";
    leaving.leaving = true;
    CHECK(view.on_heartbeat(leaving, now));
    CHECK(view.scheduler_of("b", now)->vm == "b1");
    CHECK(!view.scheduler_of("b", now + milliseconds(6000)));
}

// Guards against a scheduler that claims backend servers of another
// availability zone.
TEST(control_membership, lists_only_backend_servers_of_own_zone)
{
    const std::vector<vm_member> list{
        {"s1", vm_role::backend_server, "a", "r1", "s1:1", false},
        {"s2", vm_role::backend_server, "b", "r1", "s2:1", false}};
    view.set_members(list);
    CHECK(view.backend_servers().size() == 1);
    CHECK(view.backend_servers()[0].id == "s1");
}

// Guards against a change that waits for VMs that have left, or that ignores
// one that is in the member list but sends no heartbeats.
TEST(control_membership, lists_vms_that_must_confirm)
{
    const std::vector<vm_member> list{
        {"a2", vm_role::entry, "a", "", "a2:1", false},
        {"a4", vm_role::entry, "a", "", "a4:1", true}};
    view.set_members(list);
    CHECK(view.confirming_peers(now).size() == 1);
    view.on_heartbeat(make_heartbeat("a4", "1", 1), now);
    view.on_heartbeat(make_heartbeat("a5", "1", 1), now);
    CHECK(view.confirming_peers(now).size() == 3);
    CHECK(view.confirming_peers(now + milliseconds(2000)).size() == 1);
}

TEST_GROUP(control_zone_choice)
{
    configuration config;
    job_request request = request_of("glaze", "k");
    std::string closed;

    zone_choice_input make_input()
    {
        config.version = 1;
        config.sheet = test_sheet();
        config.sheet.zones.push_back({"c", "south", {{"r1", 1, 8}}});
        zone_choice_input result;
        result.config = &config;
        result.request = &request;
        result.own_zone = "a";
        result.now = time_point(milliseconds(0));
        result.is_open = [this](std::string_view zone)
        {
            return zone != closed;
        };
        result.is_reachable = [](std::string_view)
        {
            return true;
        };
        return result;
    }
    static std::string choice(const zone_choice_input& input)
    {
        failure why;
        const auto allowed = allowed_zones(input, why);
        return allowed.empty() ? std::string(name_of(why.code))
                               : choose_zone(input, allowed);
    }
};

// Guards against a job that is sent to another availability zone without need,
// which costs transfer fees, and against one that stays in a zone that is
// closed, too small or too slow.
TEST(control_zone_choice, prefers_own_zone_if_suitable)
{
    CHECK(choice(make_input()) == "a");
    closed = "a";
    CHECK(choice(make_input()) == "c");
    request.accelerators = 16;
    CHECK(choice(make_input()) == "b");
    request.accelerators = 64;
    CHECK(choice(make_input()) == "never_fits");
    closed = "";
    request.accelerators = 8;
    request.deadline = time_point(milliseconds(100000));
    auto full = make_input();
    full.loads["a"] = {0, 32, 64};
    full.loads["b"] = {8, 32, 0};
    full.loads["c"] = {0, 8, 0};
    CHECK(choice(full) == "b");
    // Sending a large payload to another region costs more than a short wait.
    request.deadline = time_point(milliseconds(900000));
    full.loads["a"] = {0, 1, 64};
    request.payload.assign(std::size_t(64) << 20U, 'x');
    CHECK(choice(full) == "c");
    request.deadline = time_point(milliseconds(1000));
    CHECK(choice(full) == "a");
}
