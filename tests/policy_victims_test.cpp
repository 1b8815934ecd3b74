#include "policy/victims.hpp"

#include "policy_helpers.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

namespace
{

constexpr int iterations = 3000;

// Adds three servers of 8 accelerators in one rack, with random tasks.
void add_random_tasks(cluster& servers, test_random& random, bool gangs)
{
    for (int i = 0; i < 3; ++i)
    {
        servers.add_server(make_server(i, 3, 8));
    }
    for (int number = 1; number <= 10; ++number)
    {
        placed_task task;
        task.number = number;
        task.pinned = random.chance(15);
        task.in_guarantee = random.chance(15);
        task.can_checkpoint = random.chance(30);
        task.checkpoint_time = milliseconds(random.below(3000));
        task.started = start - milliseconds(random.below(100'000));
        const int members = gangs && random.chance(30) ? 2 : 1;
        const int first = random.below(3);
        for (int m = 0; m < members; ++m)
        {
            const int server = (first + m) % 3;
            const int free = servers.at(server).free().accelerators;
            const int share = std::min(free, random.below(5));
            task.accelerators += share;
            task.parts.push_back({server, share});
        }
        const bool has_slots =
            std::all_of(task.parts.begin(),
                        task.parts.end(),
                        [&](const part& share)
                        { return servers.at(share.server).free().slots > 0; });
        if (has_slots)
        {
            servers.add_task(task);
        }
    }
}

// Accelerators that are free for a job on a server without the victims.
int available_on(const cluster& servers, int server, unsigned victims)
{
    resource_amount left{8, 8};
    for (const auto& [number, task] : servers.tasks())
    {
        for (const auto& share : task.parts)
        {
            const bool stays = (victims >> number & 1U) == 0;
            if (stays && share.server == server)
            {
                left.accelerators -= share.accelerators;
                left.slots -= 1;
            }
        }
    }
    return left.slots > 0 ? left.accelerators : 0;
}

// Lowest cost over all subsets of victims that leave `requested` accelerators
// free on the servers, by exhaustive search.
std::optional<std::int64_t> lowest_cost(const cluster& servers,
                                        const std::vector<int>& indexes,
                                        int requested,
                                        const victim_cost& cost)
{
    std::optional<std::int64_t> best;
    for (unsigned victims = 0; victims < 1U << 11U; victims += 2)
    {
        std::int64_t sum = 0;
        bool allowed = true;
        for (unsigned number = 1; number <= 10; ++number)
        {
            if ((victims >> number & 1U) == 0)
            {
                continue;
            }
            const auto* task = servers.find_task(number);
            const auto task_cost = task == nullptr ? std::nullopt : cost(*task);
            allowed = allowed && task_cost.has_value();
            sum += task_cost.value_or(0);
        }
        int available = 0;
        for (const int server : indexes)
        {
            available += available_on(servers, server, victims);
        }
        if (allowed && available >= requested && (!best || sum < *best))
        {
            best = sum;
        }
    }
    return best;
}

unsigned victim_mask(const std::vector<std::int64_t>& victims)
{
    unsigned bits = 0;
    for (const auto number : victims)
    {
        bits |= 1U << static_cast<unsigned>(number);
    }
    return bits;
}

} // namespace

TEST_GROUP(victims){};

// Guards against a reclaim that stops more work than necessary.
TEST(victims, cost_is_lowest_on_one_server)
{
    test_random random(4);
    const auto cost = reclaim_cost(start);
    for (int i = 0; i < iterations / 4; ++i)
    {
        cluster servers;
        add_random_tasks(servers, random, true);
        const int requested = 1 + random.below(8);
        const auto found = victims_on_server(servers, 0, requested, cost);
        const auto best = lowest_cost(servers, {0}, requested, cost);
        CHECK_EQUAL(best.has_value(), found.has_value());
        if (found)
        {
            CHECK(*best == found->cost);
            CHECK(available_on(servers, 0, victim_mask(found->victims)) >=
                  requested);
        }
    }
}

// Guards against victims for a gang that are not the cheapest, or do not free
// the capacity that its parts need.
TEST(victims, cost_is_lowest_over_servers)
{
    test_random random(5);
    const auto cost = reclaim_cost(start);
    const std::vector<int> indexes{0, 1, 2};
    for (int i = 0; i < iterations / 4; ++i)
    {
        cluster servers;
        const bool gangs = i % 2 == 1;
        add_random_tasks(servers, random, gangs);
        const int requested = 9 + random.below(16);
        const auto found = victims_on_servers(
            servers, indexes, requested, [](int) { return 8; }, cost);
        const auto best = lowest_cost(servers, indexes, requested, cost);
        CHECK_EQUAL(best.has_value(), found.has_value());
        if (!found)
        {
            continue;
        }
        CHECK(gangs ? *best <= found->cost : *best == found->cost);
        int sum = 0;
        for (const auto& share : found->parts)
        {
            sum += share.accelerators;
            CHECK(available_on(
                      servers, share.server, victim_mask(found->victims)) >=
                  share.accelerators);
        }
        CHECK_EQUAL(requested, sum);
    }
}

// Guards against preempting, for an urgent job, a task that cannot be repeated
// or is itself urgent, and against stopping a pinned task.
TEST(victims, urgent_jobs_preempt_only_repeatable_tasks)
{
    placed_task task;
    const auto cost = urgent_cost(start);
    CHECK(cost(task).has_value());
    task.idempotent = false;
    CHECK_FALSE(cost(task).has_value());
    CHECK(reclaim_cost(start)(task).has_value());
    task.can_checkpoint = true;
    CHECK(cost(task).has_value());
    task.urgent = true;
    CHECK_FALSE(cost(task).has_value());
    task.pinned = true;
    CHECK_FALSE(reclaim_cost(start)(task).has_value());
}
