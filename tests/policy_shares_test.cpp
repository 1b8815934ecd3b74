// Weighted shares of customers on a full fleet, and their rates.
#include "policy/customer_rates.hpp"
#include "policy/step_planner.hpp"

#include <array>
#include <list>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

constexpr std::size_t customer_count = 3;
constexpr int server_count = 16;
constexpr std::int64_t accelerators_per_server = 8;
constexpr std::int64_t fleet = server_count * accelerators_per_server;
constexpr milliseconds plan_interval{100};
constexpr milliseconds warm_up{20000};
constexpr milliseconds measured{80000};

using amounts = std::array<double, customer_count>;

// Customers submit gangs, batches and long tasks that are not urgent to a fleet
// that the planner fills.
class shared_fleet
{
public:
    explicit shared_fleet(const amounts& weights) : weights_(weights)
    {
    }

    // Share of the accelerator time that each customer gets, if each submits
    // the given multiple of what the fleet can carry.
    amounts run(const amounts& loads)
    {
        amounts used{};
        double total = 0;
        for (milliseconds time{0}; time < warm_up + measured;
             time += plan_interval)
        {
            now_ = time_point(milliseconds(1'000'000) + time);
            for (std::size_t i = 0; i < customer_count; ++i)
            {
                submit(i, loads[i]);
            }
            runs_.remove_if([this](const active_run& item)
                            { return item.ends <= now_; });
            plan();
            for (const auto& item : runs_)
            {
                if (time >= warm_up)
                {
                    used[item.customer] +=
                        static_cast<double>(item.step->need.accelerators);
                }
            }
            total += time >= warm_up ? static_cast<double>(fleet) : 0;
        }
        for (auto& item : used)
        {
            item /= total;
        }
        return used;
    }

private:
    struct active_run
    {
        std::size_t customer = 0;
        const step_spec* step = nullptr;
        std::size_t server = 0;
        time_point ends{};
    };

    struct job
    {
        std::size_t customer = 0;
        step_spec step;
        int waiting = 0;
        time_point arrived{};
    };

    // Adds the work of one interval.
    void submit(std::size_t customer, double load)
    {
        due_[customer] += load * static_cast<double>(fleet) *
                          static_cast<double>(plan_interval.count());
        while (due_[customer] > 0)
        {
            step_spec step;
            const auto kind = random_() % 3;
            step.gang = kind == 0;
            step.tasks = kind == 0 ? 4 : 1 + static_cast<int>(random_() % 12);
            step.need = {1000, 1000, kind == 0 ? 2 : 1};
            step.estimate = milliseconds(kind == 2 ? 11000 : 3000);
            due_[customer] -= static_cast<double>(
                step.tasks * step.need.accelerators * step.estimate.count());
            jobs_.push_back({customer, step, step.tasks, now_});
        }
    }

    void plan()
    {
        planning_input input;
        input.now = now_;
        input.unix_now = now_.time_since_epoch().count();
        input.utilization = 1;
        input.customers.resize(customer_count);
        for (std::size_t i = 0; i < customer_count; ++i)
        {
            input.customers[i].weight = weights_[i];
        }
        for (int i = 0; i < server_count; ++i)
        {
            candidate_server server;
            server.id = "s" + std::to_string(100 + i);
            server.rack = "r" + std::to_string(i / 4);
            server.service = "svc";
            server.capacity = {64000, 262144, accelerators_per_server};
            server.free = server.capacity;
            input.servers.push_back(server);
        }
        for (const auto& item : runs_)
        {
            run_group group;
            group.priority = 1;
            group.customer = item.customer;
            group.need = item.step->need;
            group.servers = {item.server};
            group.accelerators = item.step->need.accelerators;
            group.expected_end = item.ends;
            input.servers[item.server].free -= group.need;
            input.servers[item.server].groups.push_back(input.groups.size());
            input.customers[item.customer].held += group.need;
            input.groups.push_back(group);
        }
        std::vector<job*> waiting;
        int number = 0;
        for (auto& item : jobs_)
        {
            if (item.waiting == 0)
            {
                continue;
            }
            waiting_step step;
            step.id = {"j", number++, 0};
            step.request.step = &item.step;
            step.request.service = "svc";
            step.request.tasks = item.waiting;
            step.priority = 1;
            step.customer = item.customer;
            step.deadline_unix_ms = item.arrived.time_since_epoch().count();
            step.ready_since = item.arrived;
            input.steps.push_back(step);
            waiting.push_back(&item);
        }
        for (const auto& item : planner_.plan(input).placements)
        {
            auto& started = *waiting[item.step];
            started.waiting -= item.result.tasks;
            for (const auto& part : item.result.parts)
            {
                runs_.insert(runs_.end(),
                             static_cast<std::size_t>(part.count),
                             active_run{started.customer,
                                        &started.step,
                                        part.server,
                                        now_ + started.step.estimate});
            }
        }
    }

    amounts weights_;
    amounts due_{};
    std::mt19937_64 random_{5};
    time_point now_{};
    std::list<job> jobs_;
    std::list<active_run> runs_;
    step_planner planner_;
};

void check_shares(const amounts& expected,
                  const amounts& weights,
                  const amounts& loads)
{
    constexpr double tolerance = 0.03;
    const auto shares = shared_fleet(weights).run(loads);
    for (std::size_t i = 0; i < customer_count; ++i)
    {
        DOUBLES_EQUAL(expected[i], shares[i], tolerance);
    }
}

} // namespace

TEST_GROUP(policy_shares){};

// Guards against a customer that gets more than its share by submitting more:
// at two and five times the load, each gets its weight's share of the fleet.
TEST(policy_shares, weights_decide_on_a_full_fleet)
{
    check_shares({0.125, 0.25, 0.625}, {1, 2, 5}, {0.67, 0.67, 0.67});
    check_shares({0.125, 0.25, 0.625}, {1, 2, 5}, {3, 1.2, 0.8});
    check_shares({1.0 / 3, 1.0 / 3, 1.0 / 3}, {1, 1, 1}, {0.5, 0.5, 4});
}

// Guards against idle shares that nobody may use: what one customer leaves is
// divided among the others by their weights.
TEST(policy_shares, idle_shares_are_lent)
{
    check_shares({0.3, 0.6, 0.1}, {1, 2, 5}, {1, 1, 0.1});
    check_shares({1, 0, 0}, {1, 2, 5}, {2, 0, 0});
}

// Guards against a bucket that lets a burst through for longer than a second,
// or that a repeated takeover of earlier jobs does not fill.
TEST(policy_shares, jobs_beyond_the_rate_are_told)
{
    customer_rates rates;
    int beyond = 0;
    for (int i = 0; i < 80; ++i)
    {
        const auto id = std::to_string(i);
        rates.add(id, "a", 4, 1000 + i * 100);
        beyond += rates.beyond(id) ? 1 : 0;
        rates.add("b" + id, "b", 0, 1000);
        CHECK(!rates.beyond("b" + id));
    }
    // 4 at first and 4 in each of 7.9 seconds.
    CHECK_EQUAL(80 - 4 - 31, beyond);
    rates.add("slow-1", "c", 0.5, 1000);
    rates.add("slow-2", "c", 0.5, 2900);
    rates.add("slow-3", "c", 0.5, 3100);
    CHECK(!rates.beyond("slow-1"));
    CHECK(rates.beyond("slow-2"));
    CHECK(!rates.beyond("slow-3"));
}
