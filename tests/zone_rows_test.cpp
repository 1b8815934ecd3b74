#include "zone_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

TEST_GROUP(zone_rows)
{
    zone_fixture zone;
};

// Guards against the start of a non-idempotent job whose attempt is not stored,
// here because the table is down.
TEST(zone_rows, records_attempt_before_start)
{
    zone.sim.table_down = true;
    zone.a->zone->enqueue(
        [this]
        {
            zone.sim.table_down = false;
            return zone.submit(make_job("1", 1, false), nullptr);
        }());
    zone.sim.table_down = true;
    zone.run_for(6000);
    CHECK_EQUAL(0, zone.calls("start"));
    zone.sim.table_down = false;
    zone.run_for(8000);
    CHECK(zone.state("bead/1") == job_state::done);
}

// Guards against a second attempt when the reply to the write of the first one
// was lost.
TEST(zone_rows, reads_row_after_lost_write_reply)
{
    zone.fail("write", call_fault::reply_lost, 1);
    zone.submit(make_job("1", 1, false), zone.a);
    zone.run_for(6000);
    CHECK_EQUAL(1U, zone.sim.stored_job("bead/1")->attempts.size());
    zone.fail("write", call_fault::reply_lost, 2);
    zone.submit(make_job("2", 1, true), zone.a);
    zone.run_for(6000);
    CHECK(zone.state("bead/1") == job_state::done);
    CHECK(zone.state("bead/2") == job_state::done);
    CHECK_EQUAL(2U, zone.sim.reported_outcomes.size());
}

// Guards against a result that is withheld while the table is down, and against
// an end event that is acknowledged before its row is written: the next
// scheduler needs it after a failover.
TEST(zone_rows, reports_result_while_table_is_down)
{
    zone.submit(make_job("1", 1, true), zone.a);
    zone.run_for(500);
    zone.sim.table_down = true;
    zone.run_for(2000);
    CHECK_EQUAL(1U, zone.sim.reported_outcomes.size());
    zone.fail_over();
    zone.run_for(6000);
    zone.sim.table_down = false;
    zone.run_for(15000);
    CHECK(zone.state("bead/1") == job_state::done);
    CHECK_EQUAL(1, zone.sim.executions_of("bead/1"));
}

// Guards against a job that is reported as cancelled in the queue before its
// final row is written: the next scheduler would start it from the open row.
TEST(zone_rows, reports_cancelled_only_after_final_row)
{
    zone.submit(make_job("full", 16, true), zone.a, 20000);
    zone.submit(make_job("1", 8, true), zone.a);
    zone.run_for(500);
    zone.sim.table_down = true;
    zone.a->zone->cancel("bead/1");
    zone.run_for(3000);
    CHECK(zone.sim.reported_outcomes.empty());
    zone.sim.table_down = false;
    zone.run_for(9000);
    CHECK_EQUAL(1U, zone.sim.reported_outcomes.size());
    CHECK(zone.state("bead/1") == job_state::cancelled);
}

// Guards against "unknown" being reported before it is stored, while another
// scheduler may still record the result.
TEST(zone_rows, reports_unknown_only_after_final_row)
{
    zone.submit(make_job("1", 1, false), zone.a, 20000);
    zone.run_for(500);
    zone.sim.table_down = true;
    for (auto& server : zone.sim.servers)
    {
        zone.sim.kill(server);
        zone.sim.restart(server);
    }
    zone.run_for(6000);
    CHECK(zone.sim.reported_outcomes.empty());
    zone.sim.table_down = false;
    zone.run_for(9000);
    CHECK(zone.state("bead/1") == job_state::unknown);
    CHECK_EQUAL(1U, zone.sim.reported_outcomes.size());
}
