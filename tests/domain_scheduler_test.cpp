// Domain scheduler with a simulated store, servers and other VMs, under faults.
#include "domain_simulation.hpp"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

namespace
{

std::string job_id(int number)
{
    return "job-" + std::to_string(number);
}

} // namespace

TEST_GROUP(domain_scheduler)
{
    domain_simulation sim;

    void add_servers(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            sim.add_server("s" + std::to_string(i));
        }
    }

    void wait_for_leader()
    {
        CHECK(sim.run_until(milliseconds(5000),
                            [this]
                            {
                                return sim.leader() != nullptr &&
                                       sim.vms[0]->api->ready() &&
                                       sim.vms[1]->api->ready();
                            }));
        sim.run(milliseconds(500));
    }

    void set_task_time(milliseconds time)
    {
        for (auto& [id, server] : sim.servers)
        {
            server.task_time = time;
        }
    }

    bool wait_for_starts(int count, milliseconds time = milliseconds(3000))
    {
        return sim.run_until(time,
                             [this, count] { return sim.starts == count; });
    }

    bool wait_for_completion(const std::string& id, milliseconds time)
    {
        return sim.run_until(
            time,
            [this, &id] { return sim.state(id) == step_job_state::completed; });
    }

    void check_no_violations()
    {
        for (const auto& text : sim.violations)
        {
            FAIL_TEST(text.c_str());
        }
    }
};

// Guards against losing an accepted job, or breaking the order of its steps,
// when there are no faults.
TEST(domain_scheduler, runs_steps_in_order)
{
    add_servers(2);
    wait_for_leader();
    auto spec = one_step(3, 1);
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    bool accepted = false;
    sim.submit(1,
               job_id(1),
               "q1",
               spec,
               [&accepted](const job_api_reply& reply)
               { accepted = !reply.error; });
    CHECK(wait_for_completion(job_id(1), milliseconds(8000)));
    CHECK(accepted);
    CHECK_EQUAL(6, sim.starts);
    check_no_violations();
}

// Guards against running a job twice when the caller repeats the submit call
// at another VM.
TEST(domain_scheduler, repeated_submit_creates_one_job)
{
    add_servers(2);
    wait_for_leader();
    sim.vms[0]->store_link.reply_loss_rate = 0.35;
    sim.submit(0, job_id(1), "q1", one_step(2, 1));
    sim.submit(1, job_id(1), "q1", one_step(2, 1));
    CHECK(wait_for_completion(job_id(1), milliseconds(20000)));
    CHECK_EQUAL(2, sim.starts);
    check_no_violations();
}

// Guards against a new leader that ignores the leases of its predecessor when a
// server is first registered: it would restart the runs of that server at once.
TEST(domain_scheduler, new_leader_waits_for_leases_of_unreachable_servers)
{
    add_servers(2);
    wait_for_leader();
    set_task_time(milliseconds(60000));
    sim.submit(0, job_id(1), "q1", one_step(2, 8));
    CHECK(wait_for_starts(2));
    auto* old = sim.leader();
    auto* next = sim.vms[old == sim.vms[0].get() ? 1 : 0].get();
    next->server_link.partitioned = true;
    old->store_link.partitioned = true;
    sim.run(milliseconds(12000));
    CHECK(next->leads());
    next->server_link.partitioned = false;
    sim.run(milliseconds(12000));
    check_no_violations();
}

// Guards against a new leader that lists the runs of servers before it has
// loaded the jobs: ends were dropped and finished tasks started again.
TEST(domain_scheduler, new_leader_keeps_ended_runs)
{
    add_servers(2);
    wait_for_leader();
    sim.submit(0, job_id(1), "q1", one_step(4, 4));
    CHECK(wait_for_starts(4));
    // The tasks end while the leader cannot write.
    sim.leader()->store_link.partitioned = true;
    CHECK(wait_for_completion(job_id(1), milliseconds(20000)));
    CHECK_EQUAL(4, sim.starts);
    check_no_violations();
}

// Guards against starting part of a gang when a member can no longer start
// once the placement is stored: here its server begins to drain meanwhile.
TEST(domain_scheduler, gang_is_not_started_if_a_member_cannot_start)
{
    add_servers(3);
    wait_for_leader();
    sim.leader()->store_link.write_delay = milliseconds(300);
    sim.submit(0, job_id(1), "q1", one_step(3, 8, true));
    // A server begins to drain while the placement is being written.
    CHECK(sim.run_until(
        milliseconds(5000),
        [this]
        {
            const auto& registry = sim.leader()->scheduler->servers().all();
            return std::all_of(registry.begin(),
                               registry.end(),
                               [](const auto& item)
                               { return !item.second.runs.empty(); });
        }));
    sim.servers.at("s1").entry.draining = true;
    sim.put_server(sim.servers.at("s1"));
    // The write of the placement may wait for a renewal of the leader.
    sim.run(milliseconds(200));
    sim.leader()->store_link.write_delay = milliseconds(0);
    sim.run(milliseconds(3000));
    CHECK_EQUAL(0, sim.starts);
    check_no_violations();
}

// Guards against a delayed start order that is executed alongside a newer run
// of the same task.
TEST(domain_scheduler, late_start_order_does_not_run_task_twice)
{
    add_servers(3);
    wait_for_leader();
    sim.leader()->server_link.execution_delay = milliseconds(4000);
    sim.submit(0, job_id(1), "q1", one_step(2, 8));
    sim.run(milliseconds(1500));
    sim.leader()->server_link.execution_delay = milliseconds(0);
    CHECK(wait_for_completion(job_id(1), milliseconds(30000)));
    check_no_violations();
}

// Guards against leases that expire because the store is down for some seconds.
TEST(domain_scheduler, leases_outlast_store_outage)
{
    add_servers(2);
    wait_for_leader();
    set_task_time(milliseconds(9000));
    sim.submit(0, job_id(1), "q1", one_step(2, 8));
    CHECK(wait_for_starts(2));
    sim.store_down = true;
    sim.run(milliseconds(8500));
    sim.store_down = false;
    CHECK(wait_for_completion(job_id(1), milliseconds(10000)));
    CHECK_EQUAL(2, sim.starts);
    check_no_violations();
}

// Guards against a run that is left over when an older run of its task turns
// out to have succeeded. An urgent job that needed its capacity then crashed
// the process.
TEST(domain_scheduler, success_of_older_run_stops_newer_run)
{
    add_servers(2);
    wait_for_leader();
    sim.submit(0, job_id(1), "q2", one_step(2, 8));
    CHECK(wait_for_starts(2));
    sim.servers.at("s0").partitioned = true;
    sim.servers.at("s1").task_time = milliseconds(60000);
    // The task on s0 finishes unnoticed and is started again on s1.
    CHECK(wait_for_starts(3, milliseconds(15000)));
    sim.servers.at("s0").partitioned = false;
    sim.run(milliseconds(100));
    sim.submit(0, job_id(2), "q0", one_step(2, 8, true));
    CHECK(wait_for_completion(job_id(1), milliseconds(3000)));
    CHECK(wait_for_starts(5, milliseconds(5000)));
}

// Guards against a gang member that is left in a commit, when an older attempt
// of the gang turns out to have succeeded and the newer run of the member that
// lists this is gone: its start order ended the leader.
TEST(domain_scheduler, success_of_older_gang_drops_all_newer_members)
{
    add_servers(4);
    wait_for_leader();
    sim.submit(0, job_id(1), "q2", one_step(2, 8, true));
    CHECK(wait_for_starts(2));
    std::set<std::string> first;
    for (auto& [id, server] : sim.servers)
    {
        if (!server.active.empty())
        {
            first.insert(id);
            server.partitioned = true;
        }
    }
    // The next attempt is placed when the leases have run out. Its commit takes
    // longer than what follows.
    sim.run(milliseconds(3000));
    auto* leader = sim.leader();
    leader->store_link.write_delay = milliseconds(900);
    const auto& registry = leader->scheduler->servers();
    std::vector<run_id> second;
    CHECK(sim.run_until(milliseconds(10000),
                        [&]
                        {
                            for (const auto& [id, server] : registry.all())
                            {
                                for (const auto& [run, item] : server.runs)
                                {
                                    if (run.attempt == 2)
                                    {
                                        second.push_back(run);
                                    }
                                }
                            }
                            return !second.empty();
                        }));
    // The members were placed in the order of the servers.
    for (auto& [id, server] : sim.servers)
    {
        if (!first.contains(id))
        {
            server.restart(sim.now);
            sim.put_server(server);
            break;
        }
    }
    sim.run(milliseconds(50));
    sim.servers.at(*first.begin()).partitioned = false;
    CHECK(wait_for_completion(job_id(1), milliseconds(5000)));
    sim.run(milliseconds(3000));
    CHECK(sim.leader() == leader);
    for (const auto& [id, server] : registry.all())
    {
        CHECK(first.contains(id) || server.runs.empty());
    }
    CHECK_EQUAL(2, sim.starts);
    check_no_violations();
}

// Guards against waiting for the previous leader's leases on a server that was
// removed while no VM ran: the wait of 21 s made the job miss its bound,
// recovery_s. Seen on test site ongtm-sched, day scale-2, as LOST.
TEST(domain_scheduler, server_removed_while_no_vm_ran_is_lost)
{
    add_servers(2);
    wait_for_leader();
    sim.servers.at("s0").task_time = milliseconds(60000);
    sim.submit(0, job_id(1), "q1", one_step(2, 8));
    CHECK(wait_for_starts(2));
    for (auto& vm : sim.vms)
    {
        vm->kill();
    }
    sim.servers.at("s0").up = false;
    sim.remove("servers/s0");
    sim.run(milliseconds(800));
    for (auto& vm : sim.vms)
    {
        vm->start();
    }
    CHECK(wait_for_starts(3, milliseconds(12000)));
    check_no_violations();
}

// Guards against a new leader that declares a server lost because its entry
// has expired, while the previous leader, on the same side of a partition,
// still extends its leases. Seen on test site ongtm-sched, zones.toml, seed
// 675715972676, as TWICE.
TEST(domain_scheduler, tasks_behind_partition_are_not_restarted)
{
    add_servers(3);
    wait_for_leader();
    set_task_time(milliseconds(9800));
    sim.submit(0, job_id(1), "q1", one_step(3, 8));
    CHECK(wait_for_starts(3));
    auto& old = *sim.leader();
    auto& server = sim.servers.at("s0");
    server.only_reachable_from = &old;
    old.store_link.partitioned = true;
    sim.add_server("s3");
    sim.run(milliseconds(4500));
    sim.remove("servers/s0");
    sim.run(milliseconds(4700));
    server.only_reachable_from = nullptr;
    old.store_link.partitioned = false;
    sim.put_server(server);
    CHECK(wait_for_completion(job_id(1), milliseconds(20000)));
    CHECK_EQUAL(3, sim.starts);
    check_no_violations();
}

// Guards against running a task twice when the entry of a live server expires
// in a store outage and is back 2 s later.
TEST(domain_scheduler, entry_expired_in_store_outage_does_not_restart_task)
{
    add_servers(2);
    wait_for_leader();
    set_task_time(milliseconds(9000));
    sim.submit(0, job_id(1), "q1", one_step(2, 8));
    CHECK(wait_for_starts(2));
    sim.store_down = true;
    sim.vms[0]->server_link.partitioned = true;
    sim.vms[1]->server_link.partitioned = true;
    sim.remove("servers/s0");
    sim.leader()->kill();
    sim.run(milliseconds(3000));
    sim.store_down = false;
    sim.at(sim.now + 2000, [this] { sim.put_server(sim.servers.at("s0")); });
    sim.run(milliseconds(2500));
    sim.vms[0]->server_link.partitioned = false;
    sim.vms[1]->server_link.partitioned = false;
    CHECK(wait_for_completion(job_id(1), milliseconds(25000)));
    check_no_violations();
}

// Guards against a VM with a small share of a core that stays the leader while
// larger VMs are up: it cannot keep up with hundreds of servers. Seen on test
// site ongtm-sched-grown, day trouble-2.
TEST(domain_scheduler, larger_vm_replaces_small_leader)
{
    add_servers(2);
    for (auto& vm : sim.vms)
    {
        vm->kill();
    }
    sim.vms[0]->processor_share = 0.12;
    sim.vms[1]->processor_share = 0.5;
    sim.vms[0]->start();
    CHECK(sim.run_until(milliseconds(5000),
                        [this] { return sim.vms[0]->leads(); }));
    sim.vms[1]->start();
    sim.run(milliseconds(1000));
    CHECK(sim.vms[0]->leads());
    sim.submit(0, job_id(1), "q1", one_step(4, 4));
    CHECK(sim.run_until(milliseconds(5000),
                        [this] { return sim.vms[1]->leads(); }));
    CHECK(wait_for_completion(job_id(1), milliseconds(8000)));
    CHECK_EQUAL(4, sim.starts);
    check_no_violations();
}

// Guards against tasks that continue after their job is cancelled.
TEST(domain_scheduler, cancel_stops_all_tasks)
{
    add_servers(2);
    wait_for_leader();
    set_task_time(milliseconds(60000));
    sim.submit(0, job_id(1), "q1", one_step(4, 4));
    CHECK(wait_for_starts(4));
    sim.cancel(1, job_id(1), "q1");
    sim.run(milliseconds(3000));
    for (const auto& [id, server] : sim.servers)
    {
        CHECK(server.active.empty());
    }
    CHECK(sim.state(job_id(1)) == step_job_state::cancelled);
}

// Guards against a new leader that does not count the capacity of a run whose
// job has ended: a server was overcommitted while that run was being stopped.
// Seen in the soak test, seed 6409.
TEST(domain_scheduler, run_of_ended_job_uses_capacity_until_stopped)
{
    add_servers(1);
    wait_for_leader();
    sim.servers.at("s0").task_time = milliseconds(60000);
    sim.submit(0, job_id(1), "q1", one_step(2, 4));
    CHECK(wait_for_starts(2));
    // The leader is killed before its stop orders arrive.
    sim.leader()->server_link.partitioned = true;
    sim.cancel(0, job_id(1), "q1");
    sim.run(milliseconds(500));
    CHECK(sim.state(job_id(1)) == step_job_state::cancelled);
    const int other = sim.leader() == sim.vms[0].get() ? 1 : 0;
    sim.leader()->kill();
    sim.submit(other, job_id(2), "q1", one_step(1, 8));
    CHECK(wait_for_starts(3, milliseconds(10000)));
    check_no_violations();
}

// Guards against an urgent job within its customer's guarantee that waits for
// tasks of lower priority instead of preempting them.
TEST(domain_scheduler, urgent_job_preempts_within_guarantee)
{
    add_servers(2);
    wait_for_leader();
    set_task_time(milliseconds(60000));
    sim.submit(0, job_id(1), "q2", one_step(16, 1));
    CHECK(wait_for_starts(16));
    sim.submit(0, job_id(2), "q0", one_step(2, 8, true));
    CHECK(wait_for_starts(18, milliseconds(2500)));
    check_no_violations();
}

// Guards against a new leader that assumes that adopted runs have just started:
// it preempts them for an urgent job that is worth far less than the lost work.
// Seen in inc-b868.
TEST(domain_scheduler, new_leader_knows_progress_of_adopted_runs)
{
    add_servers(3);
    wait_for_leader();
    set_task_time(milliseconds(60000));
    auto spec = one_step(3, 8);
    spec.steps[0].estimate = milliseconds(60000);
    sim.submit(0, job_id(1), "q2", spec);
    CHECK(wait_for_starts(3));
    sim.run(milliseconds(20000));
    const int other = sim.leader() == sim.vms[0].get() ? 1 : 0;
    sim.leader()->kill();
    sim.run(milliseconds(2500));
    // Beyond the guarantee, and a tenth of the work it would preempt.
    sim.submit(other, job_id(2), "q0", one_step(3, 8, true));
    sim.run(milliseconds(2000));
    CHECK_EQUAL(3, sim.starts);
}

// Guards against a VM that reports no pending jobs because it has just started
// or has lost the store. Seen on grown/umkhonto-ramp, hunt-f82c-7.
TEST(domain_scheduler, pending_count_needs_recent_rows)
{
    wait_for_leader();
    sim.submit(0, job_id(1), "q1", one_step(1, 1));
    sim.run(milliseconds(500));
    failure why;
    auto& vm = *sim.vms[1];
    const auto call = vm.api->admit("host", "/q1/", "bead-key", why);
    CHECK_EQUAL(1U, *vm.api->pending(*call, why));
    vm.store_link.partitioned = true;
    sim.run(milliseconds(3000));
    CHECK(!vm.api->pending(*call, why));
    CHECK(why.code == result_code::store_unavailable);
    vm.store_link.partitioned = false;
    vm.kill();
    vm.start();
    why = {};
    CHECK(!vm.api->pending(*call, why));
}

// Guards against a VM that accepts a key that may have been revoked: without
// the store it cannot know. The bound is revoke_ms, 5 s; the VM serves calls
// until shortly before.
TEST(domain_scheduler, vm_without_store_refuses_keys_in_time)
{
    wait_for_leader();
    auto& vm = *sim.vms[1];
    vm.store_link.partitioned = true;
    sim.run(milliseconds(4000));
    failure why;
    CHECK(vm.api->admit("host", "/q1/", "bead-key", why).has_value());
    sim.run(milliseconds(1000));
    CHECK(!vm.api->admit("host", "/q1/", "bead-key", why));
    CHECK(why.code == result_code::store_unavailable);
    vm.store_link.partitioned = false;
    sim.run(milliseconds(1500));
    CHECK(vm.api->admit("host", "/q1/", "bead-key", why).has_value());
}

// Guards against callers that time out at a VM that gets no reply from the
// store, while other VMs could accept their job.
TEST(domain_scheduler, vm_without_store_replies_refuses_submit_at_once)
{
    wait_for_leader();
    auto& vm = *sim.vms[1];
    vm.store_link.partitioned = true;
    sim.submit(1, job_id(1), "q1", one_step(1, 1));
    sim.run(milliseconds(1200));
    std::optional<result_code> reply_code;
    const auto record_code = [&reply_code](const job_api_reply& reply)
    {
        reply_code = reply.error.code;
    };
    sim.submit(1, job_id(2), "q1", one_step(1, 1), record_code);
    CHECK(reply_code == result_code::store_unavailable);
    vm.store_link.partitioned = false;
    sim.run(milliseconds(2500));
    reply_code.reset();
    sim.submit(1, job_id(2), "q1", one_step(1, 1), record_code);
    sim.run(milliseconds(100));
    CHECK(reply_code == result_code::ok);
}

// Guards against a key or a queue that stays valid on some VM after the
// operator has removed it. The bound is config_apply_ms, 3 s.
TEST(domain_scheduler, new_configuration_is_applied_on_every_vm)
{
    wait_for_leader();
    ++sim.config.version;
    sim.config.customers[0].keys = {"new-key"};
    sim.config.queues.erase(sim.config.queues.begin());
    sim.put_config();
    sim.run(milliseconds(3000));
    for (const auto& vm : sim.vms)
    {
        failure why;
        CHECK(!vm->api->admit("host", "/q1/", "bead-key", why));
        CHECK(why.code == result_code::unauthorized);
        CHECK(vm->api->admit("host", "/q1/", "new-key", why).has_value());
        CHECK(!vm->api->admit("host", "/q0/", "new-key", why));
        CHECK(why.code == result_code::unknown_kind);
    }
}

// Guards against a VM that reverts to an older configuration: a late change or
// a repeated scan of the rows may contain one.
TEST(domain_scheduler, older_configuration_is_ignored)
{
    sim.config.version = 7;
    sim.put_config();
    wait_for_leader();
    const auto keys = sim.config.customers[0].keys;
    sim.config.version = 5;
    sim.config.customers[0].keys = {"old-key"};
    sim.put_config();
    sim.run(milliseconds(1000));
    sim.compacted_version = sim.version;
    sim.run(milliseconds(2000));
    for (const auto& vm : sim.vms)
    {
        failure why;
        CHECK_EQUAL(7U, vm->deployment->version());
        CHECK(vm->api->admit("host", "/q1/", keys[0], why).has_value());
        CHECK(!vm->api->admit("host", "/q1/", "old-key", why));
    }
}

// Guards against starting tasks in a zone that operators have evacuated.
TEST(domain_scheduler, evacuated_zone_gets_no_starts)
{
    add_servers(1);
    sim.add_server("far", "r2", "zone-b");
    wait_for_leader();
    sim.write("op/evacuate/zone-a", "zone-a");
    sim.run(milliseconds(500));
    sim.submit(0, job_id(1), "q1", one_step(8, 1));
    CHECK(wait_for_completion(job_id(1), milliseconds(6000)));
    CHECK_EQUAL(0U, sim.servers.at("s0").last_end_number);
    sim.remove("op/evacuate/zone-a");
    sim.run(milliseconds(500));
    sim.submit(0, job_id(2), "q1", one_step(16, 1));
    CHECK(wait_for_completion(job_id(2), milliseconds(4000)));
}

// Guards against a former leader that repeats its stop orders to servers that
// have seen the next leader, several times a second.
TEST(domain_scheduler, former_leader_does_not_repeat_fenced_stops)
{
    add_servers(1);
    wait_for_leader();
    set_task_time(milliseconds(60000));
    sim.submit(0, job_id(1), "q1", one_step(1, 8));
    CHECK(wait_for_starts(1));
    auto* old = sim.leader();
    auto* next = sim.vms[old == sim.vms[0].get() ? 1 : 0].get();
    sim.servers.at("s0").partitioned = true;
    sim.cancel(0, job_id(1), "q1");
    sim.run(milliseconds(500));
    old->store_link.partitioned = true;
    CHECK(sim.run_until(milliseconds(4000), [next] { return next->leads(); }));
    sim.servers.at("s0").partitioned = false;
    sim.run(milliseconds(5000));
    CHECK(sim.fenced_stops <= 2);
    check_no_violations();
}

// Guards against a job whose row cannot be decoded, and whose running tasks are
// then started anew: what is known of its placements is incomplete.
TEST(domain_scheduler, job_with_damaged_row_is_not_started_again)
{
    add_servers(2);
    wait_for_leader();
    set_task_time(milliseconds(60000));
    sim.submit(0, job_id(1), "q1", one_step(4, 4));
    CHECK(wait_for_starts(4));
    sim.leader()->kill();
    sim.write("runs/" + job_id(1), "{\"open\":{\"0\":[1]},\"opened\":1}");
    sim.run(milliseconds(15000));
    CHECK(sim.leader() != nullptr);
    CHECK_EQUAL(4, sim.starts);
    // The runs go on.
    CHECK_EQUAL(0, sim.stopped_runs);
    check_no_violations();
}

// Guards against a placed run that is never started: a time limit passed while
// the starts of its commit were sent, and nothing handled the runs that were
// left.
TEST(domain_scheduler, starts_that_are_not_sent_return_to_the_queue)
{
    add_servers(8);
    wait_for_leader();
    // 60 starts take longer than the rows of the store count as recent.
    auto& leader = *sim.leader();
    leader.time_per_start = milliseconds(100);
    sim.submit(0, job_id(1), "q1", one_step(60, 1));
    sim.submit(0, job_id(2), "q1", one_step(60, 1, true));
    sim.submit(1, job_id(3), "q1", one_step(60, 1));
    sim.run(milliseconds(5000));
    leader.time_per_start = milliseconds(0);
    for (int i = 1; i <= 3; ++i)
    {
        CHECK(wait_for_completion(job_id(i), milliseconds(15000)));
    }
    check_no_violations();
}
