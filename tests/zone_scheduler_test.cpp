#include "zone_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

TEST_GROUP(zone_scheduler)
{
    zone_fixture zone;
};

// Guards against an outcome that is reported but not stored, and against an
// index row that is left behind.
TEST(zone_scheduler, runs_job_and_writes_final_row)
{
    zone.submit(make_job("1", 1, true), zone.a);
    zone.run_for(3000);
    CHECK_EQUAL(1, zone.sim.executions_of("bead/1"));
    CHECK(zone.state("bead/1") == job_state::done);
    CHECK_FALSE(zone.sim.has_open_row("bead/1"));
    CHECK_EQUAL(1U, zone.sim.reported_outcomes.size());
    STRCMP_EQUAL("answer", zone.sim.reported_outcomes[0].second.answer.c_str());
}

// Guards against a scheduler that keeps server leases, or accepts jobs, after
// it was deactivated.
TEST(zone_scheduler, releases_leases_when_deactivated)
{
    bool released = false;
    zone.a->zone->deactivate([&released] { released = true; });
    zone.run_for(100);
    CHECK(released);
    CHECK(zone.sim.servers[0].lease_end <= zone.sim.now());
    CHECK(zone.a->zone->enqueue(make_job("1", 1, true)).code ==
          result_code::conflict);
}

// Guards against starts in the last 500 ms of a lease, the safety margin.
TEST(zone_scheduler, starts_nothing_in_lease_safety_margin)
{
    zone.fail("renew", call_fault::request_lost, 1000);
    for (int i = 0; i < 40; ++i)
    {
        zone.run_for(100);
        zone.submit(make_job(std::to_string(i), 0, true), zone.a, 50);
    }
    time_point last_renewed{};
    time_point last_start{};
    for (const auto& info : zone.sim.calls)
    {
        const bool renews = info.kind == "renew" || info.kind == "claim";
        // All renewals after the set-up, which ends at 12 s, are lost.
        const bool succeeded =
            renews && info.when <= time_point(milliseconds(12000));
        last_renewed = succeeded ? info.when : last_renewed;
        const bool first_lease = info.when < last_renewed + milliseconds(3000);
        last_start =
            info.kind == "start" && first_lease ? info.when : last_start;
    }
    CHECK(last_start > last_renewed);
    CHECK(last_start < last_renewed + milliseconds(2500));
}

// Guards against a second run when the first start call takes effect after its
// repeat was refused.
TEST(zone_scheduler, refused_repeat_does_not_prove_not_run)
{
    int starts = 0;
    zone.sim.fault_of = [&starts](const call_info& info)
    {
        if (info.kind != "start" || ++starts > 2)
        {
            return call_fault::none;
        }
        return starts == 1 ? call_fault::effect_after_deadline
                           : call_fault::refused;
    };
    zone.submit(make_job("1", 1, false), zone.a);
    zone.run_for(8000);
    CHECK_EQUAL(1, zone.sim.executions_of("bead/1"));
    CHECK(zone.state("bead/1") == job_state::done);
}

// Guards against a second run when a repeated start call arrives after the
// server has dropped the acknowledged task.
TEST(zone_scheduler, fences_late_repeat_of_start)
{
    zone.fail("start", call_fault::effect_after_deadline, 2);
    zone.submit(make_job("1", 1, false), zone.a, 100);
    zone.run_for(8000);
    CHECK_EQUAL(1, zone.sim.executions_of("bead/1"));
    CHECK(zone.state("bead/1") == job_state::done);
}

// Guards against a commit while one member of the gang is not prepared.
TEST(zone_scheduler, commits_only_fully_prepared_gang)
{
    zone.fail("prepare", call_fault::request_lost, 3, "s1");
    zone.submit(make_job("1", 12, false), zone.a);
    zone.run_for(2900);
    CHECK_EQUAL(0, zone.calls("commit"));
    zone.run_for(9000);
    CHECK_EQUAL(2, zone.sim.executions_of("bead/1"));
    CHECK(zone.state("bead/1") == job_state::done);
}

// Guards against new tasks on a leaving server.
TEST(zone_scheduler, places_nothing_on_leaving_server)
{
    zone.sim.servers[0].leaving = true;
    zone.run_for(1500);
    for (int i = 0; i < 8; ++i)
    {
        zone.submit(make_job(std::to_string(i), 1, true), zone.a);
    }
    zone.run_for(3000);
    CHECK_EQUAL(8U, zone.sim.executions.size());
    for (const auto& run : zone.sim.executions)
    {
        STRCMP_EQUAL("s1", run.server.c_str());
    }
}

// Guards against the commit of a gang when one of its servers starts to leave
// after the prepare.
TEST(zone_scheduler, commits_nothing_on_leaving_server)
{
    zone.fail("prepare", call_fault::reply_lost, 1, "s1");
    zone.submit(make_job("1", 12, true), zone.a);
    zone.sim.servers[0].leaving = true;
    zone.sim.publish_members();
    zone.run_for(3000);
    CHECK_EQUAL(0, zone.calls("commit"));
    zone.sim.servers[0].leaving = false;
    zone.sim.publish_members();
    zone.run_for(3000);
    CHECK(zone.state("bead/1") == job_state::done);
}

// Guards against a start in an availability zone that was taken out of service
// while the cached configuration was old, and against a start that is delayed
// without limit.
TEST(zone_scheduler, waits_for_recent_configuration_before_start)
{
    zone.sim.config_updates_withheld = true;
    zone.run_for(2100);
    zone.submit(make_job("1", 1, true), zone.a);
    zone.run_for(300);
    CHECK_EQUAL(0, zone.calls("start"));
    zone.run_for(300);
    CHECK_EQUAL(1, zone.calls("start"));
    // Time in which the process is suspended does not count as waiting.
    zone.a->suspended = true;
    zone.run_for(1000);
    zone.sim.resume(*zone.a);
    zone.submit(make_job("2", 1, true), zone.a);
    zone.run_for(300);
    CHECK_EQUAL(1, zone.calls("start"));
    zone.sim.set_zone_open(false);
    zone.run_for(2000);
    CHECK_EQUAL(1, zone.calls("start"));
}

// Guards against a cancellation that is lost because it arrives before its job,
// and against a lost stop call that is not repeated.
TEST(zone_scheduler, cancels_unknown_and_running_jobs)
{
    zone.a->zone->cancel("bead/1");
    zone.submit(make_job("1", 1, true), zone.a);
    zone.submit(make_job("2", 1, true), zone.a, 60000);
    zone.run_for(500);
    CHECK_EQUAL(0, zone.sim.executions_of("bead/1"));
    CHECK(zone.state("bead/1") == job_state::cancelled);
    zone.fail("stop", call_fault::request_lost, 2);
    CHECK(!zone.a->zone->cancel("bead/2"));
    zone.run_for(4000);
    CHECK(zone.state("bead/2") == job_state::cancelled);
    CHECK(zone.sim.executions[0].end_state == task_state::stopped);
}

// Guards against a job that uses up its retries on one failing backend server.
TEST(zone_scheduler, one_failing_server_does_not_fail_job)
{
    zone.submit(make_job("long", 1, true), zone.a, 60000);
    zone.run_for(500);
    // Best fit puts the next job on the server of the long one.
    for (auto& server : zone.sim.servers)
    {
        server.fails_tasks = server.id == zone.sim.executions.at(0).server;
    }
    zone.submit(make_job("1", 1, true), zone.a);
    zone.run_for(20000);
    CHECK(zone.state("bead/1") == job_state::done);
    CHECK_EQUAL(2, zone.sim.executions_of("bead/1"));
}

// Guards against unlimited retries of a failing job, and against a retry of a
// non-idempotent one.
TEST(zone_scheduler, runs_failing_idempotent_job_three_times)
{
    zone.sim.servers[0].fails_tasks = zone.sim.servers[1].fails_tasks = true;
    zone.submit(make_job("1", 1, true), zone.a);
    zone.submit(make_job("2", 1, false), zone.a);
    zone.run_for(20000);
    CHECK_EQUAL(3, zone.sim.executions_of("bead/1"));
    CHECK_EQUAL(1, zone.sim.executions_of("bead/2"));
    CHECK(zone.state("bead/1") == job_state::failed);
    CHECK(zone.state("bead/2") == job_state::failed);
}
