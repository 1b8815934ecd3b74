#include "policy/scheduler.hpp"

#include "policy_helpers.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

TEST_GROUP(scheduler){};

// Guards against a gang that is placed in part.
TEST(scheduler, places_whole_gang_or_nothing)
{
    scheduler zone("z");
    add_servers(zone, 1, 2, 8);
    CHECK(!zone.submit(make_job("a", "1", 16), start));
    CHECK(!zone.submit(make_job("a", "2", 9), start));
    const auto decisions = zone.decide(start);
    CHECK_EQUAL(1U, decisions.size());
    CHECK_EQUAL(2U, decisions[0].parts.size());
    CHECK_EQUAL(1, zone.queued());
    zone.on_ended("a/1", true, start);
    CHECK_EQUAL(1U, zone.decide(start).size());
}

// Guards against a patient job that is placed before an urgent one.
TEST(scheduler, urgent_goes_first)
{
    scheduler zone("z");
    add_servers(zone, 1, 1, 1);
    zone.submit(make_job("a", "1", 1), start);
    auto urgent = make_job("b", "1", 1);
    urgent.urgency_class = urgency::urgent;
    zone.submit(urgent, start);
    const auto decisions = zone.decide(start);
    CHECK_EQUAL(1U, decisions.size());
    CHECK(decisions[0].job_id == "b/1");
}

// Guards against more tasks on a server than its 8 slots.
TEST(scheduler, respects_slots)
{
    scheduler zone("z");
    add_servers(zone, 1, 1, 0);
    for (int i = 0; i < 9; ++i)
    {
        zone.submit(make_job("a", std::to_string(i), 0), start);
    }
    CHECK_EQUAL(8U, zone.decide(start).size());
    CHECK(zone.cancel("a/8"));
    CHECK_FALSE(zone.cancel("a/0"));
    zone.requeue("a/0", "", start);
    CHECK_EQUAL(1, zone.queued());
}

// Guards against placing another task on the capacity of an adopted one.
TEST(scheduler, adopted_task_keeps_its_capacity)
{
    scheduler zone("z");
    add_servers(zone, 1, 1, 8);
    const placement_part place{"s0", 5};
    zone.adopt(make_job("a", "1", 5), {&place, 1}, start);
    CHECK_EQUAL(3, zone.free_accelerators());
    zone.submit(make_job("a", "2", 4), start);
    CHECK(zone.decide(start).empty());
}
