// Decisions of the planner on small fleets: guarantees, preemption, headroom
// and reservations.
#include "policy/step_planner.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

const time_point start{milliseconds(1'000'000)};
const std::int64_t unix_start = 1'000'000;

step_spec gang_of(int tasks, std::int64_t accelerators)
{
    step_spec step;
    step.tasks = tasks;
    step.need = {1000, 1000, accelerators};
    step.estimate = milliseconds(2000);
    step.gang = true;
    return step;
}

} // namespace

TEST_GROUP(step_planner)
{
    step_planner planner;
    planning_input input;
    // Steps to which requests point.
    std::deque<step_spec> specs;

    void setup() override
    {
        input.now = start;
        input.unix_now = unix_start;
        input.utilization = 1;
    }

    void add_servers(int count, int per_rack = 2)
    {
        for (int i = 0; i < count; ++i)
        {
            candidate_server server;
            server.id = "s" + std::to_string(100 + i);
            server.rack = "r" + std::to_string(i / per_rack);
            server.service = "svc";
            server.capacity = {64000, 262144, 8};
            server.free = server.capacity;
            input.servers.push_back(server);
        }
    }

    std::size_t add_customer(std::int64_t guaranteed)
    {
        input.customers.push_back({guaranteed, 0});
        return input.customers.size() - 1;
    }

    // A group with one member on each of the servers.
    std::size_t add_group(int priority,
                          std::size_t customer,
                          std::int64_t accelerators,
                          const std::vector<std::size_t>& servers)
    {
        run_group group;
        group.priority = priority;
        group.customer = customer;
        group.need = {1000, 1000, accelerators};
        group.servers = servers;
        group.accelerators =
            accelerators * static_cast<std::int64_t>(servers.size());
        group.lost_core_seconds = 100;
        group.expected_end = input.now + milliseconds(5000);
        for (const auto server : servers)
        {
            input.servers[server].free -= group.need;
            input.servers[server].groups.push_back(input.groups.size());
        }
        if (priority == 0)
        {
            input.customers[customer].used += group.accelerators;
        }
        input.groups.push_back(group);
        return input.groups.size() - 1;
    }

    void add_step(const std::string& job,
                  int priority,
                  std::size_t customer,
                  const step_spec& spec)
    {
        specs.push_back(spec);
        waiting_step step;
        step.id = {job, 0, 0};
        step.request.step = &specs.back();
        step.request.service = "svc";
        step.request.tasks = spec.tasks;
        step.request.urgent = priority == 0;
        step.request.remote_slowdown = 3;
        step.priority = priority;
        step.customer = customer;
        step.accepted_unix_ms =
            unix_start + static_cast<std::int64_t>(input.steps.size());
        step.deadline_unix_ms = unix_start + 10000;
        step.ready_since = start;
        input.steps.push_back(step);
    }

    static std::set<std::size_t> victims_of(const plan_decisions& decisions)
    {
        std::set<std::size_t> victims;
        for (const auto& item : decisions.preemptions)
        {
            victims.insert(item.groups.begin(), item.groups.end());
        }
        return victims;
    }
};

// Guards against two waiting steps that are each within the guarantee by
// themselves, but not together: both took runs of other customers, and the
// second was itself a victim afterwards.
TEST(step_planner, claims_of_one_customer_add_up)
{
    add_servers(2);
    const auto owner = add_customer(8);
    const auto borrower = add_customer(0);
    add_group(0, borrower, 8, {0});
    add_group(0, borrower, 8, {1});
    add_step("a", 0, owner, gang_of(1, 8));
    add_step("b", 0, owner, gang_of(1, 8));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1, decisions.preemptions.size());
    CHECK_EQUAL(0, decisions.preemptions[0].step);
    CHECK_EQUAL(1, victims_of(decisions).size());
}

// Guards against taking more from a customer than it uses beyond its guarantee:
// it then took the capacity back, and so on without end.
TEST(step_planner, only_borrowed_accelerators_are_taken)
{
    add_servers(3);
    const auto first = add_customer(16);
    const auto second = add_customer(16);
    add_group(0, second, 8, {0});
    add_group(0, second, 8, {1});
    add_group(0, second, 8, {2});
    add_step("a", 0, first, gang_of(1, 8));
    add_step("b", 0, first, gang_of(1, 8));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1, victims_of(decisions).size());
}

// Guards against a plan that places a step and makes it the victim of the next
// one in the same pass.
TEST(step_planner, placed_step_is_not_a_victim)
{
    add_servers(1);
    const auto first = add_customer(0);
    const auto second = add_customer(8);
    add_step("a", 0, first, gang_of(1, 8));
    add_step("b", 0, second, gang_of(1, 8));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1, decisions.placements.size());
    CHECK_EQUAL(1, decisions.placements[0].step);
    CHECK(decisions.preemptions.empty());
}

// Guards against one urgent step that preempts again and again: while the runs
// stop, the step waits for the capacity it has been given.
TEST(step_planner, step_preempts_once)
{
    add_servers(2);
    const auto customer = add_customer(0);
    const auto victim = add_group(1, customer, 8, {0});
    add_group(1, customer, 8, {1});
    add_step("a", 0, customer, gang_of(1, 8));
    CHECK_EQUAL(1, victims_of(planner.plan(input)).size());
    input.groups[victim].stopping = true;
    input.now += milliseconds(100);
    const auto decisions = planner.plan(input);
    CHECK(decisions.preemptions.empty());
    CHECK(decisions.placements.empty());
}

// Guards against less urgent tasks that are put into the capacity that was
// freed for an urgent step.
TEST(step_planner, freed_capacity_is_kept_for_the_step)
{
    add_servers(2);
    const auto customer = add_customer(0);
    add_group(1, customer, 8, {0});
    add_group(1, customer, 8, {1});
    add_step("a", 0, customer, gang_of(2, 8));
    planner.plan(input);
    // One of the two has ended.
    input.servers[0].free = input.servers[0].capacity;
    input.servers[0].groups.clear();
    input.groups[0].servers.clear();
    input.groups[1].stopping = true;
    input.now += milliseconds(100);
    add_step("b", 1, customer, gang_of(1, 8));
    CHECK(planner.plan(input).placements.empty());
}

// Guards against stopping a long gang that has just been assembled for a small
// urgent step: little work is lost, but many places are.
TEST(step_planner, preemption_costs_no_more_than_it_gains)
{
    add_servers(16);
    const auto customer = add_customer(0);
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < 16; ++i)
    {
        all.push_back(i);
    }
    add_group(1, customer, 8, all);
    input.groups[0].lost_core_seconds = 1;
    add_step("a", 0, customer, gang_of(1, 8));
    CHECK(planner.plan(input).preemptions.empty());
}

// Guards against a guaranteed gang that waits for a rack of its own longer than
// a guarantee allows, although the servers are free.
TEST(step_planner, guaranteed_gang_leaves_its_rack_in_time)
{
    add_servers(4);
    const auto owner = add_customer(16);
    const auto other = add_customer(16);
    add_group(0, other, 8, {0});
    add_group(0, other, 8, {2});
    auto spec = gang_of(2, 8);
    spec.same_rack = true;
    add_step("a", 0, owner, spec);
    CHECK(planner.plan(input).placements.empty());
    input.now += milliseconds(1200);
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1, decisions.placements.size());
}

// Guards against a reservation on servers that have left: the step would wait
// for them until the reservation expires.
TEST(step_planner, reservation_on_lost_server_is_replaced)
{
    add_servers(3);
    const auto customer = add_customer(0);
    add_group(1, customer, 8, {0});
    add_group(1, customer, 8, {1});
    input.servers[2].free = {};
    add_step("a", 0, customer, gang_of(1, 8));
    const auto first = planner.plan(input);
    CHECK_EQUAL(1, first.preemptions.size());
    const auto lost = input.groups[first.preemptions[0].groups[0]].servers[0];
    input.servers[lost].id = "s999";
    std::swap(input.servers[lost], input.servers[2]);
    input.groups[first.preemptions[0].groups[0]].servers[0] = 2;
    input.servers[2].free = {};
    input.servers[2].groups.clear();
    input.now += milliseconds(20);
    CHECK_EQUAL(1, planner.plan(input).preemptions.size());
}

// Guards against less urgent tasks in the gaps between urgent steps.
TEST(step_planner, headroom_follows_the_urgent_load)
{
    add_servers(8, 8);
    const auto customer = add_customer(0);
    add_group(0, customer, 8, {0});
    add_group(0, customer, 8, {1});
    add_step("a", 1, customer, gang_of(7, 8));
    planner.plan(input);
    // The urgent steps end; their servers are kept for the next ones.
    input.groups.clear();
    for (auto& server : input.servers)
    {
        server.groups.clear();
        server.free = server.capacity;
    }
    input.now += milliseconds(500);
    CHECK(planner.plan(input).placements.empty());
    input.now += milliseconds(60000);
    planner.plan(input);
    input.now += milliseconds(60000);
    CHECK_EQUAL(1, planner.plan(input).placements.size());
}

// Guards against a step that needs servers without runs and gets one that is in
// use, or that shares its server with a later step of the same plan.
TEST(step_planner, isolated_step_shares_its_server_with_no_later_one)
{
    add_servers(2);
    const auto customer = add_customer(0);
    add_group(2, customer, 1, {0});
    add_step("suspect", 1, customer, gang_of(1, 1));
    input.steps.back().request.isolated = isolation::empty_servers;
    add_step("other", 1, customer, gang_of(1, 1));
    add_step("wide", 1, customer, gang_of(1, 8));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(2U, decisions.placements.size());
    for (const auto& item : decisions.placements)
    {
        const bool is_suspect = item.id.job == "suspect";
        CHECK_EQUAL(is_suspect, item.isolated);
        CHECK_EQUAL(is_suspect ? 1U : 0U, item.result.parts[0].server);
        CHECK(item.id.job != "wide");
    }
}

// Guards against a suspect that is placed beside a run that may itself be the
// next to crash the server.
TEST(step_planner, isolated_step_joins_only_proven_runs)
{
    add_servers(2);
    const auto customer = add_customer(0);
    add_group(2, customer, 1, {0});
    add_group(2, customer, 1, {1});
    input.servers[0].proven = false;
    for (const auto* job : {"suspect", "second"})
    {
        add_step(job, 1, customer, gang_of(1, 1));
        input.steps.back().request.isolated = isolation::proven_servers;
    }
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1U, decisions.placements.size());
    CHECK_EQUAL(1U, decisions.placements[0].result.parts[0].server);
}

// Guards against a step that stops runs or reserves capacity beside them when
// it needs a server without runs.
TEST(step_planner, isolated_step_preempts_nothing)
{
    add_servers(1);
    const auto owner = add_customer(8);
    add_group(2, add_customer(0), 1, {0});
    add_step("suspect", 0, owner, gang_of(1, 8));
    input.steps.back().request.isolated = isolation::empty_servers;
    const auto decisions = planner.plan(input);
    CHECK(decisions.placements.empty());
    CHECK(decisions.preemptions.empty());
}

// Guards against counting the reserved capacity of a step as free when isolated
// tasks wait under its id on another level. Seen in the soak test, seed 3493,
// as a server that was overcommitted.
TEST(step_planner, isolated_tasks_keep_reservation_of_their_step)
{
    add_servers(1);
    const auto owner = add_customer(8);
    add_group(1, add_customer(0), 8, {0});
    auto spec = gang_of(1, 8);
    spec.gang = false;
    add_step("a", 0, owner, spec);
    CHECK_EQUAL(1U, planner.plan(input).preemptions.size());
    input.groups[0].stopping = true;
    input.now += milliseconds(100);
    // Both together exceed the guarantee.
    add_step("a", 0, owner, spec);
    input.steps.back().request.isolated = isolation::proven_servers;
    CHECK(planner.plan(input).placements.empty());
}

// Guards against a leader that plans without a pause, since each plan is cut
// short by the same searches, which find nothing. Seen in the domain
// simulation, overload with seed 6, which never ended.
TEST(step_planner, searches_without_result_do_not_repeat_at_once)
{
    add_servers(16, 16);
    const auto customer = add_customer(0);
    for (std::size_t i = 0; i < 16; ++i)
    {
        add_group(1, customer, 8, {i});
        input.groups[i].lost_core_seconds = 1e6;
        input.groups[i].preemptible = i == 0;
    }
    for (int i = 0; i < 30; ++i)
    {
        auto spec = gang_of(2 + i % 2, 1 + i % 8);
        spec.need.memory_mb += i;
        add_step(
            std::string("a") += std::to_string(100 + i), 0, customer, spec);
        input.steps.back().request.regions = {std::to_string(i)};
    }
    for (int plans = 0; plans < 10; ++plans)
    {
        if (!planner.plan(input).incomplete)
        {
            return;
        }
    }
    FAIL_TEST("the planner does not come to an end");
}

// Guards against an urgent gang that the fleet cannot hold: headroom kept all
// servers for it, and no other job started any more.
TEST(step_planner, gang_wider_than_the_fleet_takes_no_headroom)
{
    add_servers(8);
    const auto customer = add_customer(0);
    for (std::size_t i = 0; i < 8; ++i)
    {
        add_group(1, customer, 5, {i});
    }
    add_step("hopeless", 0, customer, gang_of(10, 8));
    add_step("labelled", 0, customer, gang_of(4, 8));
    specs.back().label = "none-has-it";
    add_step("small", 1, customer, gang_of(1, 1));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1U, decisions.placements.size());
    CHECK_EQUAL(2U, decisions.placements[0].step);
    CHECK_EQUAL(2U, decisions.blocked.size());
    for (const auto& item : decisions.blocked)
    {
        CHECK(item.reason == block_reason::exceeds_fleet);
    }
}

// Guards against a gang that can never run and uses up the guarantee of its
// customer.
TEST(step_planner, gang_that_cannot_run_claims_no_guarantee)
{
    add_servers(2);
    const auto owner = add_customer(16);
    add_group(1, owner, 8, {0});
    add_group(1, owner, 8, {1});
    add_step("labelled", 0, owner, gang_of(2, 8));
    specs.back().label = "none-has-it";
    add_step("a", 0, owner, gang_of(2, 8));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1U, decisions.preemptions.size());
    CHECK(decisions.preemptions[0].in_guarantee);
}

// Guards against searches for steps that no server can hold: they used up those
// of the plan, so that the last step stopped no runs.
TEST(step_planner, steps_that_cannot_run_use_no_searches)
{
    add_servers(2);
    const auto customer = add_customer(0);
    add_group(1, customer, 8, {0});
    add_group(1, customer, 8, {1});
    for (int i = 0; i < 20; ++i)
    {
        add_step(std::string("a") += std::to_string(100 + i),
                 0,
                 customer,
                 gang_of(1, 8));
        specs.back().label = std::to_string(i);
    }
    add_step("b", 0, customer, gang_of(1, 8));
    CHECK_EQUAL(1U, planner.plan(input).preemptions.size());
}

// Guards against an urgent gang of all servers that waits for a long task on
// each of them: it reserved all that was free for as long as it waited.
TEST(step_planner, gang_behind_long_runs_holds_up_no_other_work)
{
    add_servers(8);
    const auto customer = add_customer(0);
    for (std::size_t i = 0; i < 8; ++i)
    {
        const auto group = add_group(1, customer, 5, {i});
        input.groups[group].preemptible = false;
        input.groups[group].expected_end =
            i < 4 ? time_point::max() : input.now + milliseconds(3'600'000);
    }
    add_step("wide", 0, customer, gang_of(8, 8));
    add_step("small", 1, customer, gang_of(8, 3));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1U, decisions.placements.size());
    CHECK_EQUAL(1U, decisions.blocked.size());
    CHECK(decisions.blocked[0].reason == block_reason::long_runs);
}

// Guards against a reservation of the whole fleet that is renewed without end,
// since the runs that it waits for do not end when they should.
TEST(step_planner, wide_reservation_is_bounded_in_time)
{
    add_servers(8);
    const auto customer = add_customer(0);
    for (std::size_t i = 0; i < 8; ++i)
    {
        const auto group = add_group(1, customer, 5, {i});
        input.groups[group].preemptible = false;
    }
    add_step("wide", 0, customer, gang_of(8, 8));
    add_step("small", 2, customer, gang_of(8, 3));
    for (const bool busy : {true, false})
    {
        input.utilization = busy ? 0.6 : 0.4;
        const auto begin = input.now;
        const auto bound = milliseconds(busy ? 12000 : 2000);
        while (planner.plan(input).placements.empty())
        {
            input.now += milliseconds(100);
            CHECK(input.now - begin <= bound);
        }
        CHECK(input.now - begin == bound);
        // The pause ends.
        input.now += milliseconds(60000);
        for (auto& group : input.groups)
        {
            group.expected_end = input.now + milliseconds(1000);
        }
    }
}

// Guards against a long-running task that is not restarted: it had a deadline,
// and came after all batch tasks once that had passed.
TEST(step_planner, restart_comes_first_within_its_priority)
{
    add_servers(1);
    const auto customer = add_customer(0);
    add_group(1, customer, 7, {0});
    auto spec = gang_of(1, 1);
    spec.gang = false;
    add_step("batch", 2, customer, spec);
    spec.long_running = true;
    add_step("lasting", 2, customer, spec);
    input.steps.back().deadline_unix_ms = unix_start - 1;
    input.steps.back().restart_since = input.now;
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1U, decisions.placements.size());
    CHECK_EQUAL(1U, decisions.placements[0].step);
}

// Guards against a long-running task that waits beside free headroom, and
// against one that takes what an urgent step waits for.
TEST(step_planner, restart_uses_the_headroom_if_no_urgent_step_waits)
{
    add_servers(2);
    const auto customer = add_customer(0);
    for (std::size_t i = 0; i < 2; ++i)
    {
        const auto group = add_group(0, customer, 7, {i});
        input.groups[group].preemptible = false;
    }
    auto spec = gang_of(1, 1);
    spec.gang = false;
    spec.long_running = true;
    add_step("lasting", 2, customer, spec);
    CHECK(planner.plan(input).placements.empty());
    input.steps.back().restart_since = input.now;
    CHECK_EQUAL(1U, planner.plan(input).placements.size());
    add_step("urgent", 0, customer, gang_of(1, 8));
    CHECK(planner.plan(input).placements.empty());
    input.now += milliseconds(3000);
    CHECK_EQUAL(1U, planner.plan(input).placements.size());
}

// Guards against a long-running task that waits for the gang before it, to
// which all that is free is reserved.
TEST(step_planner, restart_does_not_wait_for_reservations)
{
    add_servers(2);
    const auto customer = add_customer(0);
    add_group(1, customer, 5, {0});
    add_group(1, customer, 5, {1});
    add_step("gang", 1, customer, gang_of(2, 8));
    auto spec = gang_of(1, 3);
    add_step("batch", 2, customer, spec);
    CHECK(planner.plan(input).placements.empty());
    spec.long_running = true;
    add_step("lasting", 2, customer, spec);
    input.steps.back().restart_since = input.now;
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(1U, decisions.placements.size());
    CHECK_EQUAL(2U, decisions.placements[0].step);
}

// Guards against single tasks that take each place that comes free before a
// larger long-running one fits.
TEST(step_planner, restart_gets_the_next_place_on_a_full_fleet)
{
    add_servers(1);
    const auto customer = add_customer(0);
    add_group(2, customer, 4, {0});
    add_group(2, customer, 4, {0});
    auto spec = gang_of(1, 8);
    spec.gang = false;
    spec.long_running = true;
    add_step("lasting", 2, customer, spec);
    input.steps.back().restart_since = input.now;
    planner.plan(input);
    // One of the two has ended.
    input.servers[0].free.accelerators += 4;
    input.servers[0].groups.pop_back();
    input.groups[1].servers.clear();
    input.now += milliseconds(100);
    add_step("batch", 2, customer, gang_of(1, 4));
    CHECK(planner.plan(input).placements.empty());
}
