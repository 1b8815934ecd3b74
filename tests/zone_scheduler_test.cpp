#include "zone_fakes.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using fakes::call_fault;
using fakes::call_info;
using fakes::make_job;

namespace
{

struct zone_fixture
{
    explicit zone_fixture(int servers = 2) : all(servers)
    {
        a = &all.add_process("a");
        all.activate(*a);
        all.run(milliseconds(2000));
    }

    job accept(job item)
    {
        item.accepted = all.now();
        all.accept(item);
        a->zone->enqueue(item);
        return item;
    }

    fakes::world all;
    fakes::process* a = nullptr;
};

} // namespace

TEST_GROUP(zone_scheduler){};

// Guards against an outcome that is told before it is durable, and against an
// index row that stays.
TEST(zone_scheduler, runs_job_and_writes_final_row)
{
    zone_fixture zone;
    zone.accept(make_job("1", 1, true));
    zone.all.run(milliseconds(3000));
    CHECK_EQUAL(1, zone.all.executions_of("bead/1"));
    CHECK(zone.all.row("bead/1")->outcome.state == job_state::done);
    CHECK_FALSE(zone.all.has_open_row("bead/1"));
    CHECK_EQUAL(1U, zone.all.told.size());
    STRCMP_EQUAL("answer", zone.all.told[0].second.answer.c_str());
}

// Guards against leases that outlive the scheduler's rule.
TEST(zone_scheduler, releases_every_lease)
{
    zone_fixture zone;
    bool released = false;
    zone.a->zone->deactivate([&released] { released = true; });
    zone.all.run(milliseconds(100));
    CHECK(released);
    CHECK(zone.all.servers[0].lease_end <= zone.all.now());
    CHECK(zone.a->zone->enqueue(make_job("1", 1, true)).code ==
          result_code::conflict);
}
