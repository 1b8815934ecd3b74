#include "zone_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

TEST_GROUP(zone_takeover)
{
    zone_fixture zone;
};

// Guards against a job that is lost because its entry VM failed after it had
// accepted the job and before it enqueued it.
TEST(zone_takeover, recovers_open_job_that_was_never_enqueued)
{
    zone.submit(make_job("1", 1, true), nullptr);
    zone.run_for(35000);
    CHECK(zone.state("bead/1") == job_state::done);
}

// Guards against a recovery scan that overloads the table: at most 4 pages a
// second.
TEST(zone_takeover, scans_at_most_four_pages_a_second)
{
    for (int i = 0; i < 500; ++i)
    {
        zone.submit(make_job(std::to_string(i), 1, true), nullptr, 10);
    }
    const auto since = zone.sim.now();
    zone.fail_over();
    zone.run_for(1000);
    CHECK_EQUAL(4, zone.calls("scan", since));
    zone.run_for(40000);
    CHECK_EQUAL(500U, zone.sim.executions.size());
}

// Guards against a second run of an idempotent job while the first one still
// runs on a server that the new scheduler has not claimed yet.
TEST(zone_takeover, waits_for_all_servers_before_starting_old_jobs)
{
    const auto item = zone.submit(make_job("1", 1, true), zone.a, 60000);
    zone.run_for(500);
    const auto server_id = zone.sim.executions[0].server;
    zone.fail_over();
    zone.b->zone->enqueue(item);
    zone.fail("claim", call_fault::unreachable, 1000, server_id);
    zone.run_for(20000);
    CHECK_EQUAL(1, zone.sim.executions_of("bead/1"));
    zone.sim.fault_of = nullptr;
    zone.run_for(45000);
    CHECK_EQUAL(1, zone.sim.executions_of("bead/1"));
    CHECK(zone.state("bead/1") == job_state::done);
}

// Guards against a cancellation that is dropped when the job is found to be
// running on a server that is claimed later.
TEST(zone_takeover, stops_cancelled_job_after_adoption)
{
    const auto item = zone.submit(make_job("1", 1, true), zone.a, 60000);
    zone.run_for(500);
    zone.fail_over();
    zone.b->zone->enqueue(item);
    CHECK(!zone.b->zone->cancel("bead/1"));
    zone.run_for(6000);
    CHECK(zone.state("bead/1") == job_state::cancelled);
    CHECK(zone.sim.executions[0].end_state == task_state::stopped);
}

// Guards against "unknown" for a recorded attempt whose start call was lost,
// and against a new attempt without proof that the first one did not run: the
// claim of its server gives that proof.
TEST(zone_takeover, claim_proves_recorded_attempt_did_not_run)
{
    zone.fail("start", call_fault::request_lost, 1000);
    zone.submit(make_job("1", 1, false), zone.a);
    zone.run_for(500);
    CHECK_EQUAL(1U, zone.sim.stored_job("bead/1")->attempts.size());
    zone.fail_over();
    zone.sim.fault_of = nullptr;
    zone.run_for(8000);
    CHECK(zone.state("bead/1") == job_state::done);
    CHECK_EQUAL(2U, zone.sim.stored_job("bead/1")->attempts.size());
}

// Guards against a second run of a non-idempotent job whose server restarted
// before a failover.
TEST(zone_takeover, reports_unknown_after_server_restart)
{
    const auto item = zone.submit(make_job("1", 1, false), zone.a, 5000);
    zone.run_for(500);
    auto& server =
        zone.sim.servers[zone.sim.executions[0].server == "s0" ? 0 : 1];
    zone.sim.kill(server);
    zone.sim.restart(server);
    zone.fail_over();
    zone.b->zone->enqueue(item);
    zone.run_for(8000);
    CHECK(zone.state("bead/1") == job_state::unknown);
    CHECK_EQUAL(1, zone.sim.executions_of("bead/1"));
}

// Guards against a new attempt while the row holds one that another scheduler
// recorded.
TEST(zone_takeover, starts_nothing_beside_attempt_of_other_scheduler)
{
    zone.sim.servers[1].listed = false;
    zone.sim.publish_members();
    zone.fail("claim", call_fault::unreachable, 100000, "s1");
    zone.run_for(5000);
    auto item = make_job("1", 1, false);
    item.accepted = zone.sim.now();
    item.attempts.push_back({1, "s0", "1", 99, {}});
    zone.sim.store_job(item);
    item.attempts.clear();
    zone.a->zone->enqueue(item);
    zone.run_for(3000);
    CHECK_EQUAL(0, zone.sim.executions_of("bead/1"));
}

// Guards against the start of a job whose final row was written meanwhile, here
// because it was cancelled in the queue.
TEST(zone_takeover, rereads_row_of_queued_job_after_takeover)
{
    zone.submit(make_job("full", 16, true), zone.a, 3000);
    zone.sim.activate(*zone.b);
    zone.run_for(2000);
    const auto item = zone.submit(make_job("1", 8, true), zone.a);
    zone.b->zone->enqueue(item);
    zone.a->zone->cancel("bead/1");
    zone.run_for(200);
    CHECK(zone.state("bead/1") == job_state::cancelled);
    zone.sim.deactivate(*zone.a);
    zone.run_for(8000);
    CHECK_EQUAL(0, zone.sim.executions_of("bead/1"));
}

// Guards against "not run" being written by a scheduler that was suspended
// while another one claimed the servers and started the job.
TEST(zone_takeover, does_not_record_not_run_after_freeze)
{
    zone.submit(make_job("full", 16, true), zone.a, 2000);
    const auto item = zone.submit(make_job("1", 8, true), zone.a, 8000);
    zone.run_for(500);
    zone.sim.table_down = true;
    zone.a->zone->cancel("bead/1");
    zone.run_for(300);
    zone.a->suspended = true;
    zone.sim.table_down = false;
    zone.sim.activate(*zone.b);
    zone.b->zone->enqueue(item);
    zone.run_for(6000);
    CHECK_EQUAL(1, zone.sim.executions_of("bead/1"));
    zone.sim.resume(*zone.a);
    zone.run_for(10000);
    CHECK(zone.state("bead/1") == job_state::done);
}

// Guards against "cancelled in the queue" from a scheduler that does not hold
// the servers and cannot know whether the job runs.
TEST(zone_takeover, withholds_cancelled_while_other_scheduler_holds_servers)
{
    zone.sim.activate(*zone.b);
    zone.run_for(2000);
    const auto item = zone.submit(make_job("1", 1, true), zone.a, 3000);
    zone.b->zone->enqueue(item);
    zone.b->zone->cancel("bead/1");
    zone.run_for(6000);
    CHECK(zone.state("bead/1") == job_state::done);
}

// Guards against gang members that keep running after another one was lost.
TEST(zone_takeover, stops_gang_with_lost_member)
{
    zone_fixture three_servers(3);
    three_servers.submit(make_job("1", 16, true), three_servers.a, 30000);
    three_servers.run_for(500);
    CHECK_EQUAL(2U, three_servers.sim.executions.size());
    const auto lost_id = three_servers.sim.executions[1].server;
    auto& server =
        three_servers.sim.servers[static_cast<std::size_t>(lost_id[1] - '0')];
    three_servers.sim.kill(server);
    server.listed = false;
    three_servers.sim.publish_members();
    three_servers.fail_over();
    three_servers.run_for(5000);
    CHECK(three_servers.sim.executions[0].end_state == task_state::stopped);
    three_servers.run_for(40000);
    CHECK_EQUAL(4U, three_servers.sim.executions.size());
    CHECK(three_servers.state("bead/1") == job_state::done);
}

// Guards against two runs that both continue after two schedulers started the
// same job.
TEST(zone_takeover, stops_duplicate_run_of_job)
{
    zone.fail("renew", call_fault::request_lost, 100000, "s1");
    zone.run_for(2900);
    zone.sim.fault_of = [](const call_info& info)
    {
        const bool cut = info.process_name == "a" && info.target == "s1";
        return cut ? call_fault::unreachable : call_fault::none;
    };
    zone.sim.activate(*zone.b);
    zone.run_for(3000);
    const auto item = zone.submit(make_job("1", 1, true), zone.a, 20000);
    zone.b->zone->enqueue(item);
    zone.run_for(500);
    CHECK_EQUAL(2, zone.sim.executions_of("bead/1"));
    zone.sim.fault_of = nullptr;
    zone.sim.deactivate(*zone.a);
    zone.run_for(5000);
    CHECK_EQUAL(1,
                std::count_if(zone.sim.executions.begin(),
                              zone.sim.executions.end(),
                              [](const execution& run)
                              { return !run.end_state; }));
    zone.run_for(20000);
    CHECK(zone.state("bead/1") == job_state::done);
}
