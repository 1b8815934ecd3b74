// Limits of customers: the ledger, and the planner's use of it.
#include "policy/customer_limits.hpp"
#include "policy/step_planner.hpp"

#include <deque>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

const time_point start{milliseconds(1'000'000)};
const std::int64_t unix_start = 1'000'000;
constexpr double overage = 0.1;

step_spec step_of(int tasks, std::int64_t accelerators, bool gang)
{
    step_spec step;
    step.tasks = tasks;
    step.need = {1000, 1000, accelerators};
    step.estimate = milliseconds(2000);
    step.gang = gang;
    return step;
}

customer_use customer_with(const resources& limit, const resources& held)
{
    customer_use use;
    use.limit = limit;
    use.held = held;
    return use;
}

customer_limits ledger_of(const resources& limit, const resources& held)
{
    return customer_limits(std::vector{customer_with(limit, held)}, overage);
}

} // namespace

TEST_GROUP(customer_limits){};

// Guards against counting one dimension only, and against a limit of 0 that
// stops everything.
TEST(customer_limits, smallest_room_of_all_dimensions_counts)
{
    const auto step = step_of(9, 2, false);
    CHECK_EQUAL(9, ledger_of({}, {}).tasks_allowed(0, step, 9));
    CHECK_EQUAL(4, ledger_of({0, 0, 8}, {}).tasks_allowed(0, step, 9));
    CHECK_EQUAL(3, ledger_of({3000, 0, 8}, {}).tasks_allowed(0, step, 9));
    CHECK_EQUAL(
        2, ledger_of({0, 3000, 8}, {0, 1000, 2}).tasks_allowed(0, step, 9));
    // No task starts while another dimension is above a lowered limit.
    CHECK_EQUAL(0,
                ledger_of({0, 0, 8}, {0, 0, 9})
                    .tasks_allowed(0, step_of(9, 0, false), 9));
}

// Guards against processors of best-effort steps that escape the limit: they
// reserve none on their server.
TEST(customer_limits, best_effort_processors_count)
{
    auto step = step_of(4, 0, false);
    step.best_effort = true;
    CHECK_EQUAL(2, ledger_of({2000, 0, 0}, {}).tasks_allowed(0, step, 4));
}

// Guards against a gang that is started in part, and against use of the overage
// by anything but one gang that is wider than the limit.
TEST(customer_limits, overage_is_for_one_wide_gang_alone)
{
    const resources limit{0, 0, 20};
    const auto gang = step_of(11, 2, true);
    CHECK_EQUAL(11, ledger_of(limit, {}).tasks_allowed(0, gang, 11));
    CHECK_EQUAL(0, ledger_of(limit, {1, 0, 0}).tasks_allowed(0, gang, 11));
    CHECK_EQUAL(
        0,
        ledger_of(limit, {0, 0, 20}).tasks_allowed(0, step_of(1, 1, false), 1));
    CHECK_EQUAL(
        0, ledger_of(limit, {0, 0, 2}).tasks_allowed(0, step_of(10, 2, 1), 10));
    CHECK(!can_run_under(limit, overage, step_of(12, 2, true), 12));
    CHECK(can_run_under(limit, overage, step_of(12, 2, false), 12));
}

// Guards against an order of placements and ends that takes a customer over its
// limit: every sequence of tasks, stops and ends of a small ledger.
TEST(customer_limits, no_sequence_exceeds_the_limit)
{
    const resources limit{0, 0, 4};
    constexpr int depth = 6;
    constexpr int events = 4;
    int sequences = 1;
    for (int i = 0; i < depth; ++i)
    {
        sequences *= events;
    }
    for (int code = 0; code < sequences; ++code)
    {
        // Sizes of the runs that exist; those before `stopping` are stopped.
        std::vector<std::int64_t> runs;
        std::size_t stopping = 0;
        for (int rest = code, i = 0; i < depth; ++i, rest /= events)
        {
            resources held;
            resources released;
            for (std::size_t k = 0; k < runs.size(); ++k)
            {
                held.accelerators += runs[k];
                released.accelerators += k < stopping ? runs[k] : 0;
            }
            auto ledger = ledger_of(limit, held);
            ledger.add_stopping(0, released);
            const int event = rest % events;
            const auto step = step_of(1 + event, 1 + event, event == 1);
            if (event < 2)
            {
                const int count = ledger.tasks_allowed(0, step, 1 + event);
                runs.insert(runs.end(),
                            static_cast<std::size_t>(count),
                            step.need.accelerators);
                held.accelerators += count * step.need.accelerators;
                CHECK(held.accelerators <= limit.accelerators);
            }
            else if (event == 2)
            {
                stopping = std::min(stopping + 1, runs.size());
            }
            else if (stopping > 0)
            {
                runs.erase(runs.begin());
                --stopping;
            }
        }
    }
}

TEST_GROUP(planner_limits)
{
    step_planner planner;
    planning_input input;
    std::deque<step_spec> specs;

    void setup() override
    {
        input.now = start;
        input.unix_now = unix_start;
        input.limit_overage = overage;
    }

    void add_servers(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            candidate_server server;
            server.id = "s" + std::to_string(100 + i);
            server.rack = "r";
            server.service = "svc";
            server.capacity = {64000, 262144, 8};
            server.free = server.capacity;
            input.servers.push_back(server);
        }
    }

    std::size_t add_customer(std::int64_t limit, std::int64_t guaranteed = 0)
    {
        auto& use = input.customers.emplace_back();
        use.limit.accelerators = limit;
        use.guaranteed = guaranteed;
        return input.customers.size() - 1;
    }

    // A run on each of the servers.
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
        group.lost_core_seconds = 100;
        group.expected_end = input.now + milliseconds(5000);
        for (const auto server : servers)
        {
            input.servers[server].free -= group.need;
            input.servers[server].groups.push_back(input.groups.size());
            group.accelerators += accelerators;
            group.charged += group.need;
        }
        input.customers[customer].held += group.charged;
        input.customers[customer].used +=
            priority == 0 ? group.accelerators : 0;
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
        step.deadline_unix_ms = step.accepted_unix_ms + 10000;
        step.ready_since = start;
        input.steps.push_back(step);
    }

    // Accelerators of the placements of each customer.
    std::vector<std::int64_t> placed(const plan_decisions& decisions) const
    {
        std::vector<std::int64_t> result(input.customers.size(), 0);
        for (const auto& item : decisions.placements)
        {
            const auto& step = input.steps[item.step];
            result[step.customer] +=
                item.result.tasks * step.request.step->need.accelerators;
        }
        return result;
    }
};

// Guards against several steps of one plan that each fit the limit, but not
// together; a wide step runs in waves.
TEST(planner_limits, steps_of_one_plan_add_up)
{
    add_servers(8);
    const auto limited = add_customer(10);
    const auto other = add_customer(0);
    add_step("a", 1, limited, step_of(4, 2, false));
    add_step("b", 2, limited, step_of(20, 1, false));
    add_step("c", 2, other, step_of(20, 1, false));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(10, placed(decisions)[limited]);
    CHECK_EQUAL(20, placed(decisions)[other]);
    CHECK_EQUAL(1, decisions.limited.size());
}

// Guards against servers that are held for a gang which its limit keeps from
// starting: others must get them.
TEST(planner_limits, blocked_gang_reserves_nothing)
{
    add_servers(2);
    const auto limited = add_customer(16);
    const auto other = add_customer(0);
    add_group(1, limited, 8, {0});
    add_step("a", 0, limited, step_of(2, 8, true));
    add_step("b", 2, other, step_of(8, 1, false));
    const auto decisions = planner.plan(input);
    CHECK_EQUAL(8, placed(decisions)[other]);
    CHECK(decisions.preemptions.empty());
}

// Guards against a gang that never starts, since smaller steps of its customer
// take the room under the limit again and again.
TEST(planner_limits, gang_keeps_room_from_later_steps)
{
    add_servers(4);
    const auto limited = add_customer(8);
    add_group(1, limited, 2, {0});
    add_step("a", 1, limited, step_of(4, 2, true));
    add_step("b", 2, limited, step_of(8, 1, false));
    CHECK(planner.plan(input).placements.empty());
    // A run that does not end must not hold up the customer forever.
    input.now += milliseconds(20000);
    CHECK_EQUAL(6, placed(planner.plan(input))[limited]);
}

// Guards against any plan that exceeds a limit in any dimension, over random
// steps and running groups, and against a plan that differs for customers
// without limits.
TEST(planner_limits, random_plans_respect_limits)
{
    std::mt19937_64 random(7);
    const auto pick = [&random](int limit)
    {
        return static_cast<int>(random() % static_cast<unsigned>(limit));
    };
    for (int round = 0; round < 300; ++round)
    {
        setup();
        input = {};
        setup();
        planner = {};
        add_servers(6);
        for (int i = 0; i < 3; ++i)
        {
            const auto customer = add_customer(i == 0 ? 0 : 1 + pick(30), 8);
            input.customers[customer].limit.cpu_millis =
                std::int64_t{1000} * pick(20);
        }
        for (std::size_t i = 0; i < 6; ++i)
        {
            add_group(pick(3), static_cast<std::size_t>(pick(3)), pick(8), {i});
            input.groups.back().stopping = pick(3) == 0;
        }
        for (int i = 0; i < 12; ++i)
        {
            add_step("j" + std::to_string(10 + i),
                     pick(3),
                     static_cast<std::size_t>(pick(3)),
                     step_of(1 + pick(8), pick(5), pick(2) == 0));
        }
        const auto decisions = planner.plan(input);
        auto held = input.customers;
        for (const auto& item : decisions.placements)
        {
            const auto& step = input.steps[item.step];
            auto& use = held[step.customer];
            const bool empty = use.held == resources{};
            for (int k = 0; k < item.result.tasks; ++k)
            {
                use.held += step.request.step->need;
            }
            const double most = empty ? 1 + overage : 1;
            const auto within = [most](std::int64_t value, std::int64_t limit)
            {
                return limit == 0 || static_cast<double>(value) <=
                                         most * static_cast<double>(limit);
            };
            CHECK(within(use.held.accelerators, use.limit.accelerators));
            CHECK(within(use.held.cpu_millis, use.limit.cpu_millis));
        }
    }
}

// Guards against an urgent job within its guarantee that waits for less urgent
// runs of its own customer, and against stops of more or other runs than it
// needs. The start waits until the ends are listed.
TEST(planner_limits, own_less_urgent_runs_make_room_within_guarantee)
{
    add_servers(6);
    const auto limited = add_customer(16, 8);
    const auto other = add_customer(0);
    const auto costly = add_group(1, limited, 8, {0});
    const auto cheap = add_group(2, limited, 8, {1});
    add_group(2, other, 8, {2});
    input.groups[cheap].lost_core_seconds = 1;
    add_step("a", 0, limited, step_of(1, 8, true));
    const auto decisions = planner.plan(input);
    CHECK(decisions.placements.empty());
    CHECK_EQUAL(1, decisions.preemptions.size());
    CHECK(decisions.preemptions[0].groups == std::vector{cheap});
    // The next plan stops no more, and other steps get no room meanwhile.
    input.groups[cheap].stopping = true;
    input.now += milliseconds(50);
    add_step("b", 1, limited, step_of(1, 1, false));
    const auto waiting = planner.plan(input);
    CHECK(waiting.preemptions.empty());
    CHECK(waiting.placements.empty());
    // Its end is listed.
    input.customers[limited].held -= input.groups[cheap].charged;
    input.groups[cheap].charged = {};
    CHECK_EQUAL(8, placed(planner.plan(input))[limited]);
    CHECK(!input.groups[costly].stopping);
}

// Guards against stops for a job that the limit cannot hold, or that is outside
// its guarantee.
TEST(planner_limits, no_room_is_made_in_vain)
{
    add_servers(6);
    const auto limited = add_customer(16, 32);
    add_group(1, limited, 8, {0});
    add_group(0, limited, 8, {1});
    add_step("a", 0, limited, step_of(2, 8, true));
    add_step("b", 0, limited, step_of(3, 8, true));
    CHECK(planner.plan(input).preemptions.empty());
    input.customers[limited].guaranteed = 0;
    input.steps.pop_back();
    input.steps.back().request.tasks = 1;
    CHECK(planner.plan(input).preemptions.empty());
}

// Guards against jobs beyond their customer's rate that come before others of
// their level, or stop runs outside the guarantee.
TEST(planner_limits, jobs_beyond_the_rate_come_last)
{
    add_servers(1);
    const auto fast = add_customer(0);
    const auto other = add_customer(0);
    input.customers[fast].weight = 1;
    add_step("a", 1, fast, step_of(1, 8, false));
    input.steps.back().beyond_rate = true;
    add_step("b", 1, other, step_of(1, 8, false));
    CHECK_EQUAL(8, placed(planner.plan(input))[other]);
    input.steps.clear();
    add_group(2, other, 8, {0});
    add_step("c", 0, fast, step_of(1, 8, true));
    input.steps.back().beyond_rate = true;
    CHECK(planner.plan(input).preemptions.empty());
    input.customers[fast].guaranteed = 8;
    CHECK_EQUAL(1, planner.plan(input).preemptions.size());
}
