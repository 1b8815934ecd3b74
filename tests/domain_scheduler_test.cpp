// Domain scheduler with a simulated store, servers and other VMs, under faults.
#include "domain_world.hpp"

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
    domain_world world;

    void servers(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            world.add_server("s" + std::to_string(i));
        }
    }

    void elect()
    {
        CHECK(world.run_until(milliseconds(5000),
                              [this]
                              {
                                  return world.leader() != nullptr &&
                                         world.vms[0]->calls->ready() &&
                                         world.vms[1]->calls->ready();
                              }));
        world.run(milliseconds(500));
    }

    void set_task_time(milliseconds time)
    {
        for (auto& [id, server] : world.servers)
        {
            server.task_time = time;
        }
    }

    bool starts(int count, milliseconds time = milliseconds(3000))
    {
        return world.run_until(time,
                               [this, count] { return world.starts == count; });
    }

    bool completes(const std::string& id, milliseconds time)
    {
        return world.run_until(
            time,
            [this, &id]
            { return world.state(id) == step_job_state::completed; });
    }

    void check_no_violation()
    {
        for (const auto& text : world.wrong)
        {
            FAIL_TEST(text.c_str());
        }
    }
};

// Guards against losing an accepted job, or breaking the order of its steps,
// when there are no faults.
TEST(domain_scheduler, runs_steps_in_order)
{
    servers(2);
    elect();
    auto spec = one_step(3, 1);
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    bool accepted = false;
    world.submit(1,
                 job_id(1),
                 "q1",
                 spec,
                 [&accepted](const job_api_reply& answer)
                 { accepted = !answer.error; });
    CHECK(completes(job_id(1), milliseconds(8000)));
    CHECK(accepted);
    CHECK_EQUAL(6, world.starts);
    check_no_violation();
}

// Guards against running a job twice when the caller repeats the submit call
// at another VM.
TEST(domain_scheduler, a_repeated_call_is_one_job)
{
    servers(2);
    elect();
    world.vms[0]->store_link.lose_share = 0.35;
    world.submit(0, job_id(1), "q1", one_step(2, 1));
    world.submit(1, job_id(1), "q1", one_step(2, 1));
    CHECK(completes(job_id(1), milliseconds(20000)));
    CHECK_EQUAL(2, world.starts);
    check_no_violation();
}

// Guards against a new leader that forgets the leases of its predecessor when
// it first sees a server: it would restart the runs of that server at once.
TEST(domain_scheduler, a_new_leader_waits_for_servers_that_it_cannot_reach)
{
    servers(2);
    elect();
    set_task_time(milliseconds(60000));
    world.submit(0, job_id(1), "q1", one_step(2, 8));
    CHECK(starts(2));
    auto* old = world.leader();
    auto* next = world.vms[old == world.vms[0].get() ? 1 : 0].get();
    next->server_link.cut = true;
    old->store_link.cut = true;
    world.run(milliseconds(12000));
    CHECK(next->leads());
    next->server_link.cut = false;
    world.run(milliseconds(12000));
    check_no_violation();
}

// Guards against a new leader that lists the runs of servers before it has
// loaded the jobs: ends were dropped and finished tasks started again.
TEST(domain_scheduler, a_new_leader_takes_ends_over)
{
    servers(2);
    elect();
    world.submit(0, job_id(1), "q1", one_step(4, 4));
    CHECK(starts(4));
    // The tasks end while the leader cannot write.
    world.leader()->store_link.cut = true;
    CHECK(completes(job_id(1), milliseconds(20000)));
    CHECK_EQUAL(4, world.starts);
    check_no_violation();
}

// Guards against starting part of a gang when a member can no longer start
// once the placement is stored: here its server begins to drain meanwhile.
TEST(domain_scheduler, a_gang_starts_as_a_whole)
{
    servers(3);
    elect();
    world.leader()->store_link.write_delay = milliseconds(300);
    world.submit(0, job_id(1), "q1", one_step(3, 8, true));
    // A server begins to drain while the placement is being written.
    CHECK(world.run_until(
        milliseconds(5000),
        [this]
        {
            const auto& registry = world.leader()->schedule->servers().all();
            return std::all_of(registry.begin(),
                               registry.end(),
                               [](const auto& item)
                               { return !item.second.runs.empty(); });
        }));
    world.leader()->store_link.write_delay = milliseconds(0);
    world.servers.at("s1").entry.draining = true;
    world.put_server(world.servers.at("s1"));
    world.run(milliseconds(3000));
    CHECK_EQUAL(0, world.starts);
    check_no_violation();
}

// Guards against a delayed start order that is executed alongside a newer run
// of the same task.
TEST(domain_scheduler, a_late_start_does_not_run_twice)
{
    servers(3);
    elect();
    world.leader()->server_link.carried_out_late = milliseconds(4000);
    world.submit(0, job_id(1), "q1", one_step(2, 8));
    world.run(milliseconds(1500));
    world.leader()->server_link.carried_out_late = milliseconds(0);
    CHECK(completes(job_id(1), milliseconds(30000)));
    check_no_violation();
}

// Guards against leases that expire because the store is down for some seconds.
TEST(domain_scheduler, leases_outlast_an_outage_of_the_store)
{
    servers(2);
    elect();
    set_task_time(milliseconds(9000));
    world.submit(0, job_id(1), "q1", one_step(2, 8));
    CHECK(starts(2));
    world.store_down = true;
    world.run(milliseconds(8500));
    world.store_down = false;
    CHECK(completes(job_id(1), milliseconds(10000)));
    CHECK_EQUAL(2, world.starts);
    check_no_violation();
}

// Guards against a run that is left over when an older run of its task turns
// out to have succeeded. An urgent job that needed its capacity then crashed
// the process.
TEST(domain_scheduler, an_old_end_stops_the_newer_run)
{
    servers(2);
    elect();
    world.submit(0, job_id(1), "q2", one_step(2, 8));
    CHECK(starts(2));
    world.servers.at("s0").cut = true;
    world.servers.at("s1").task_time = milliseconds(60000);
    // The task on s0 finishes unnoticed and is started again on s1.
    CHECK(starts(3, milliseconds(15000)));
    world.servers.at("s0").cut = false;
    world.run(milliseconds(100));
    world.submit(0, job_id(2), "q0", one_step(2, 8, true));
    CHECK(completes(job_id(1), milliseconds(3000)));
    CHECK(starts(5, milliseconds(5000)));
}

// Guards against waiting for the previous leader's leases on a server that was
// removed while no VM ran: the wait of 21 s made the job miss its bound,
// recovery_s. Seen on test site ongtm-sched, day scale-2, as LOST.
TEST(domain_scheduler, a_server_that_left_with_all_vms_is_given_up)
{
    servers(2);
    elect();
    world.servers.at("s0").task_time = milliseconds(60000);
    world.submit(0, job_id(1), "q1", one_step(2, 8));
    CHECK(starts(2));
    for (auto& vm : world.vms)
    {
        vm->kill();
    }
    world.servers.at("s0").up = false;
    world.remove("servers/s0");
    world.run(milliseconds(800));
    for (auto& vm : world.vms)
    {
        vm->start();
    }
    CHECK(starts(3, milliseconds(12000)));
    check_no_violation();
}

// Guards against a new leader that declares a server lost because its entry
// has expired, while the previous leader, on the same side of a partition,
// still extends its leases. Seen on test site ongtm-sched, zones.toml, seed
// 675715972676, as TWICE.
TEST(domain_scheduler, a_zone_that_is_cut_off_runs_on_alone)
{
    servers(3);
    elect();
    set_task_time(milliseconds(9800));
    world.submit(0, job_id(1), "q1", one_step(3, 8));
    CHECK(starts(3));
    auto& old = *world.leader();
    auto& server = world.servers.at("s0");
    server.only_vm = &old;
    old.store_link.cut = true;
    world.add_server("s3");
    world.run(milliseconds(4500));
    world.remove("servers/s0");
    world.run(milliseconds(4700));
    server.only_vm = nullptr;
    old.store_link.cut = false;
    world.put_server(server);
    CHECK(completes(job_id(1), milliseconds(20000)));
    CHECK_EQUAL(3, world.starts);
    check_no_violation();
}

// Guards against running a task twice when the entry of a live server expires
// in a store outage and is back 2 s later.
TEST(domain_scheduler, an_entry_that_lapsed_in_an_outage_is_waited_for)
{
    servers(2);
    elect();
    set_task_time(milliseconds(9000));
    world.submit(0, job_id(1), "q1", one_step(2, 8));
    CHECK(starts(2));
    world.store_down = true;
    world.vms[0]->server_link.cut = true;
    world.vms[1]->server_link.cut = true;
    world.remove("servers/s0");
    world.leader()->kill();
    world.run(milliseconds(3000));
    world.store_down = false;
    world.at(world.now + 2000,
             [this] { world.put_server(world.servers.at("s0")); });
    world.run(milliseconds(2500));
    world.vms[0]->server_link.cut = false;
    world.vms[1]->server_link.cut = false;
    CHECK(completes(job_id(1), milliseconds(25000)));
    check_no_violation();
}

// Guards against a VM with a small share of a core that stays the leader while
// larger VMs are up: it cannot keep up with hundreds of servers. Seen on test
// site ongtm-sched-grown, day trouble-2.
TEST(domain_scheduler, a_larger_vm_takes_over_from_a_small_leader)
{
    servers(2);
    for (auto& vm : world.vms)
    {
        vm->kill();
    }
    world.vms[0]->processor_share = 0.12;
    world.vms[1]->processor_share = 0.5;
    world.vms[0]->start();
    CHECK(world.run_until(milliseconds(5000),
                          [this] { return world.vms[0]->leads(); }));
    world.vms[1]->start();
    world.run(milliseconds(1000));
    CHECK(world.vms[0]->leads());
    world.submit(0, job_id(1), "q1", one_step(4, 4));
    CHECK(world.run_until(milliseconds(5000),
                          [this] { return world.vms[1]->leads(); }));
    CHECK(completes(job_id(1), milliseconds(8000)));
    CHECK_EQUAL(4, world.starts);
    check_no_violation();
}

// Guards against tasks that continue after their job is cancelled.
TEST(domain_scheduler, a_cancelled_job_stops)
{
    servers(2);
    elect();
    set_task_time(milliseconds(60000));
    world.submit(0, job_id(1), "q1", one_step(4, 4));
    CHECK(starts(4));
    world.cancel(1, job_id(1), "q1");
    world.run(milliseconds(3000));
    for (const auto& [id, server] : world.servers)
    {
        CHECK(server.active.empty());
    }
    CHECK(world.state(job_id(1)) == step_job_state::cancelled);
}

// Guards against a new leader that does not count the capacity of a run whose
// job has ended: a server was overcommitted while that run was being stopped.
// Seen in the soak test, seed 6409.
TEST(domain_scheduler, a_run_of_an_ended_job_takes_room_until_it_is_gone)
{
    servers(1);
    elect();
    world.servers.at("s0").task_time = milliseconds(60000);
    world.submit(0, job_id(1), "q1", one_step(2, 4));
    CHECK(starts(2));
    // The leader is killed before its stop orders arrive.
    world.leader()->server_link.cut = true;
    world.cancel(0, job_id(1), "q1");
    world.run(milliseconds(500));
    CHECK(world.state(job_id(1)) == step_job_state::cancelled);
    const int other = world.leader() == world.vms[0].get() ? 1 : 0;
    world.leader()->kill();
    world.submit(other, job_id(2), "q1", one_step(1, 8));
    CHECK(starts(3, milliseconds(10000)));
    check_no_violation();
}

// Guards against an urgent job within its customer's guarantee that waits for
// tasks of lower priority instead of preempting them.
TEST(domain_scheduler, an_urgent_job_gets_its_guarantee)
{
    servers(2);
    elect();
    set_task_time(milliseconds(60000));
    world.submit(0, job_id(1), "q2", one_step(16, 1));
    CHECK(starts(16));
    world.submit(0, job_id(2), "q0", one_step(2, 8, true));
    CHECK(starts(18, milliseconds(2500)));
    check_no_violation();
}

// Guards against a new leader that assumes that adopted runs have just started:
// it preempts them for an urgent job that is worth far less than the lost work.
// Seen in inc-b868.
TEST(domain_scheduler, a_new_leader_knows_how_much_work_a_stop_loses)
{
    servers(3);
    elect();
    set_task_time(milliseconds(60000));
    auto spec = one_step(3, 8);
    spec.steps[0].estimate = milliseconds(60000);
    world.submit(0, job_id(1), "q2", spec);
    CHECK(starts(3));
    world.run(milliseconds(20000));
    const int other = world.leader() == world.vms[0].get() ? 1 : 0;
    world.leader()->kill();
    world.run(milliseconds(2500));
    // Beyond the guarantee, and a tenth of the work it would preempt.
    world.submit(other, job_id(2), "q0", one_step(3, 8, true));
    world.run(milliseconds(2000));
    CHECK_EQUAL(3, world.starts);
}

// Guards against a VM that reports no pending jobs because it has just started
// or has lost the store. Seen on grown/umkhonto-ramp, hunt-f82c-7.
TEST(domain_scheduler, a_count_of_waiting_jobs_is_recent)
{
    elect();
    world.submit(0, job_id(1), "q1", one_step(1, 1));
    world.run(milliseconds(500));
    failure why;
    auto& vm = *world.vms[1];
    const auto call = vm.calls->admit("host", "/q1/", "bead-key", why);
    CHECK_EQUAL(1U, *vm.calls->pending(*call, why));
    vm.store_link.cut = true;
    world.run(milliseconds(3000));
    CHECK(!vm.calls->pending(*call, why));
    CHECK(why.code == result_code::store_unavailable);
    vm.store_link.cut = false;
    vm.kill();
    vm.start();
    why = {};
    CHECK(!vm.calls->pending(*call, why));
}

// Guards against a VM that accepts a key that may have been revoked: without
// the store it cannot know. The bound is revoke_ms, 5 s; the VM serves calls
// until shortly before.
TEST(domain_scheduler, a_vm_without_the_store_refuses_keys_in_time)
{
    elect();
    auto& vm = *world.vms[1];
    vm.store_link.cut = true;
    world.run(milliseconds(4000));
    failure why;
    CHECK(vm.calls->admit("host", "/q1/", "bead-key", why).has_value());
    world.run(milliseconds(1000));
    CHECK(!vm.calls->admit("host", "/q1/", "bead-key", why));
    CHECK(why.code == result_code::store_unavailable);
    vm.store_link.cut = false;
    world.run(milliseconds(1500));
    CHECK(vm.calls->admit("host", "/q1/", "bead-key", why).has_value());
}

// Guards against callers that time out at a VM that gets no reply from the
// store, while other VMs could accept their job.
TEST(domain_scheduler, a_vm_that_the_store_does_not_answer_refuses_at_once)
{
    elect();
    auto& vm = *world.vms[1];
    vm.store_link.cut = true;
    world.submit(1, job_id(1), "q1", one_step(1, 1));
    world.run(milliseconds(1200));
    std::optional<result_code> answered;
    const auto note = [&answered](const job_api_reply& answer)
    {
        answered = answer.error.code;
    };
    world.submit(1, job_id(2), "q1", one_step(1, 1), note);
    CHECK(answered == result_code::store_unavailable);
    vm.store_link.cut = false;
    world.run(milliseconds(2500));
    answered.reset();
    world.submit(1, job_id(2), "q1", one_step(1, 1), note);
    world.run(milliseconds(100));
    CHECK(answered == result_code::ok);
}

// Guards against a key or a queue that stays valid on some VM after the
// operator has removed it. The bound is config_apply_ms, 3 s.
TEST(domain_scheduler, a_new_configuration_is_in_force_on_every_vm)
{
    elect();
    ++world.config.version;
    world.config.customers[0].keys = {"new-key"};
    world.config.queues.erase(world.config.queues.begin());
    world.put_config();
    world.run(milliseconds(3000));
    for (const auto& vm : world.vms)
    {
        failure why;
        CHECK(!vm->calls->admit("host", "/q1/", "bead-key", why));
        CHECK(why.code == result_code::unauthorized);
        CHECK(vm->calls->admit("host", "/q1/", "new-key", why).has_value());
        CHECK(!vm->calls->admit("host", "/q0/", "new-key", why));
        CHECK(why.code == result_code::unknown_kind);
    }
}

// Guards against a VM that reverts to an older configuration: a late change or
// a repeated scan of the rows may contain one.
TEST(domain_scheduler, an_older_configuration_changes_nothing)
{
    world.config.version = 7;
    world.put_config();
    elect();
    const auto keys = world.config.customers[0].keys;
    world.config.version = 5;
    world.config.customers[0].keys = {"old-key"};
    world.put_config();
    world.run(milliseconds(1000));
    world.oldest_history = world.version;
    world.run(milliseconds(2000));
    for (const auto& vm : world.vms)
    {
        failure why;
        CHECK_EQUAL(7U, vm->deployment->version());
        CHECK(vm->calls->admit("host", "/q1/", keys[0], why).has_value());
        CHECK(!vm->calls->admit("host", "/q1/", "old-key", why));
    }
}

// Guards against starting tasks in a zone that operators have evacuated.
TEST(domain_scheduler, an_evacuated_zone_gets_no_start)
{
    servers(1);
    world.add_server("far", "r2", "zone-b");
    elect();
    world.write("op/evacuate/zone-a", "zone-a");
    world.run(milliseconds(500));
    world.submit(0, job_id(1), "q1", one_step(8, 1));
    CHECK(completes(job_id(1), milliseconds(6000)));
    CHECK_EQUAL(0U, world.servers.at("s0").last_number);
    world.remove("op/evacuate/zone-a");
    world.run(milliseconds(500));
    world.submit(0, job_id(2), "q1", one_step(16, 1));
    CHECK(completes(job_id(2), milliseconds(4000)));
}
