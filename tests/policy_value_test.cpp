// Decisions of the planner by what callers lose, under a load of two and three
// times the capacity.
#include "policy/step_planner.hpp"

#include <deque>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

constexpr std::int64_t unix_start = 1'000'000;
constexpr std::int64_t objective_ms = 5000;

step_spec single_server_task(milliseconds estimate)
{
    step_spec step;
    step.need = {1000, 1000, 8};
    step.estimate = estimate;
    step.gang = true;
    return step;
}

} // namespace

TEST_GROUP(job_value)
{
    step_planner planner;
    planning_input input;
    // Steps to which requests point.
    std::deque<step_spec> specs;

    void setup() override
    {
        input.now = time_point(milliseconds(1'000'000));
        input.unix_now = unix_start;
        input.utilization = 1;
        input.weigh_value = true;
        input.customers.push_back({});
    }

    void add_server()
    {
        candidate_server server;
        server.id = "s" + std::to_string(100 + input.servers.size());
        server.rack = "r";
        server.service = "svc";
        server.capacity = {64000, 262144, 8};
        server.free = server.capacity;
        input.servers.push_back(server);
    }

    // A step of one server that was accepted `age` ago.
    void add_step(const std::string& job, int priority, milliseconds age)
    {
        specs.push_back(single_server_task(milliseconds(2000)));
        waiting_step step;
        step.id = {job, 0, 0};
        step.request.step = &specs.back();
        step.request.service = "svc";
        step.request.urgent = priority == 0;
        step.request.remote_slowdown = 3;
        step.priority = priority;
        step.accepted_unix_ms = unix_start - age.count();
        step.deadline_unix_ms = step.accepted_unix_ms + objective_ms;
        step.ready_since = input.now;
        input.steps.push_back(step);
    }

    // A run that takes all of a server and ends in 4 s.
    run_group& add_group(std::size_t server, int priority, milliseconds age)
    {
        run_group group;
        group.priority = priority;
        group.need = {1000, 1000, 8};
        group.servers = {server};
        group.accelerators = 8;
        group.estimate = milliseconds(5000);
        group.left_after_stop = group.estimate;
        group.lost_core_seconds = 65;
        group.expected_end = input.now + milliseconds(4000);
        group.job.accepted = unix_start - age.count();
        group.job.deadline = group.job.accepted + objective_ms;
        input.servers[server].free -= group.need;
        input.servers[server].groups.push_back(input.groups.size());
        input.groups.push_back(group);
        return input.groups.back();
    }

    std::string first_placed()
    {
        const auto decisions = planner.plan(input);
        return decisions.placements.empty() ? ""
                                            : decisions.placements[0].id.job;
    }
};

// Guards against a value that does not fall with the delay.
TEST(job_value, value_falls_after_deadline_and_late_limit)
{
    const job_times job{1000, 3000};
    CHECK_EQUAL(7000, late_limit(job));
    CHECK(prospect_at(job, 3000) == job_prospect::in_time);
    CHECK(prospect_at(job, 3001) == job_prospect::late);
    CHECK(prospect_at(job, 7001) == job_prospect::lost);
    CHECK(value_at(job, 3000) > value_at(job, 7000));
    CHECK(value_at(job, 7000) > value_at(job, 7001));
}

// Pattern: after a burst, jobs that are past use wait beside new ones. Guards
// against serving the oldest first, so that all become useless in turn.
TEST(job_value, lost_steps_wait_for_all_others)
{
    add_server();
    add_step("lost", 0, milliseconds(20000));
    add_step("late", 0, milliseconds(9000));
    add_step("new", 1, milliseconds(0));
    STRCMP_EQUAL("late", first_placed().c_str());
    input.steps.erase(input.steps.begin() + 1);
    STRCMP_EQUAL("new", first_placed().c_str());
    input.steps.pop_back();
    STRCMP_EQUAL("lost", first_placed().c_str());
}

// Guards against other decisions where value is not weighed.
TEST(job_value, order_is_by_deadline_without_the_setting)
{
    input.weigh_value = false;
    add_server();
    add_step("lost", 0, milliseconds(20000));
    add_step("late", 0, milliseconds(9000));
    add_step("new", 1, milliseconds(0));
    STRCMP_EQUAL("lost", first_placed().c_str());
}

// Pattern: urgent jobs that are past use compete with running work. Guards
// against throwing work away for a result that nobody waits for.
TEST(job_value, lost_urgent_step_stops_no_run)
{
    add_server();
    add_group(0, 1, milliseconds(20000)).lost_core_seconds = 10;
    add_step("urgent", 0, milliseconds(0));
    CHECK_EQUAL(1U, planner.plan(input).preemptions.size());
    planner = {};
    input.steps.clear();
    add_step("urgent", 0, milliseconds(20000));
    CHECK(planner.plan(input).preemptions.empty());
}

// Pattern: several runs could make room for an urgent step. Guards against
// stopping the one that would still be in time.
TEST(job_value, run_that_would_be_late_is_spared)
{
    add_server();
    add_server();
    add_group(0, 1, milliseconds(1000)).lost_core_seconds = 1;
    add_group(1, 1, milliseconds(9000)).lost_core_seconds = 10;
    add_step("urgent", 0, milliseconds(0));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1U, decisions.preemptions.size());
    CHECK_EQUAL(1U, decisions.preemptions[0].groups[0]);
}

// Guards against a run that is stopped for one urgent job after the other and
// never ends.
TEST(job_value, run_is_not_stopped_twice)
{
    add_server();
    add_group(0, 1, milliseconds(20000)).stopped_before = true;
    add_step("urgent", 0, milliseconds(0));
    CHECK(planner.plan(input).preemptions.empty());
    planner = {};
    input.customers[0].guaranteed = 8;
    CHECK_EQUAL(1U, planner.plan(input).preemptions.size());
}
