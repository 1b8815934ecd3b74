// The planner under more load than the fleet can carry, replayed in simulated
// time. The bounds are those of the overload goals in docs/design.md.
#include "fleet_replay.hpp"

#include <algorithm>
#include <cstdint>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

constexpr std::uint64_t seeds = 10;

// Of all runs, that may be stopped before a tenth of their run time.
constexpr double max_stopped_early = 0.02;

// Of all runs, that may be stopped for more urgent ones at twice the load.
constexpr double max_preempted = 0.1;

// Of the worth of all jobs, at twice the load.
constexpr double min_served = 0.6;

// Objective of the longest job, with one failed attempt.
constexpr milliseconds longest_job{33000};

// Runs that end must use at least this share of the servers while jobs wait.
constexpr double min_useful_share = 0.5;

// Acknowledged urgent jobs within the guarantee must start within 2.7 s at the
// strictest site.
constexpr double max_guaranteed_start_ms = 2700;

time_point second(int number)
{
    return time_point(milliseconds(1000 * number));
}

// Three times the load for 4 s, with a quarter of the servers lost in and
// after it.
fleet_day burst_day()
{
    auto day = grown_site_day();
    day.bursts = {{second(10), second(14), 3, ""}};
    day.losses = {{second(11), 0.14}, {second(15), 0.12}};
    day.end = second(150);
    return day;
}

// Twice as much as the fleet can carry, all the time.
fleet_day double_load_day()
{
    auto day = large_site_day(120);
    for (auto& kind : day.kinds)
    {
        kind.per_second *= 2;
    }
    return day;
}

// Twice as many urgent jobs for 6 s on a full fleet, then a fifth of the
// servers leave in two steps.
fleet_day loss_day()
{
    auto day = large_site_day(350);
    day.bursts = {{second(1), second(7), 2.1, "shape-check"}};
    day.losses = {{second(10), 0.088}, {second(13), 0.126}};
    return day;
}

// Sums over the seeds, since a single wide gang is a few percent of the runs.
struct stop_counts
{
    int runs = 0;
    int preempted = 0;
    int early = 0;

    void add(const fleet_result& result)
    {
        runs += result.runs;
        preempted += result.preempted;
        early += result.stopped_early;
    }
};

// Least share of the servers that did useful work, over 4 s, between the
// seconds.
double least_useful_share(const fleet_result& result,
                          std::size_t first,
                          std::size_t last)
{
    constexpr std::size_t window = 4;
    double least = 1;
    for (auto i = first; i + window <= last; ++i)
    {
        double sum = 0;
        for (std::size_t k = i; k < i + window; ++k)
        {
            sum += result.useful_share[k];
        }
        least = std::min(least, sum / window);
    }
    return least;
}

} // namespace

TEST_GROUP(policy_overload){};

// Guards against an overload that does not end: urgent steps of several
// customers, each within its guarantee by itself, stopped each other's runs
// long after the burst.
TEST(policy_overload, burst_with_lost_servers_is_worked_off)
{
    const auto day = burst_day();
    stop_counts counts;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const auto result = replay_fleet(day, seed);
        counts.add(result);
        CHECK(least_useful_share(result, 12, 34) >= min_useful_share);
        // At half of the speed of the servers that are left, and the longest
        // job last.
        const double left = day.servers * 8 * 0.86 * 0.88;
        const auto allowed = milliseconds(static_cast<std::int64_t>(
            1000 * result.backlog_work / (min_useful_share * left)));
        CHECK_EQUAL(0, result.open_jobs.back());
        CHECK(result.last_end <= day.end_of_arrivals + allowed + longest_job);
    }
    CHECK(counts.early <= max_stopped_early * counts.runs);
}

// Guards against starts that live for a moment: less urgent tasks were put into
// the gaps between urgent steps and stopped for the next one.
TEST(policy_overload, double_load_levels_off)
{
    stop_counts counts;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const auto result = replay_fleet(double_load_day(), seed);
        counts.add(result);
        CHECK(result.served >= min_served);
    }
    CHECK(counts.early <= max_stopped_early * counts.runs);
    CHECK(counts.preempted <= max_preempted * counts.runs);
}

// Guards against work that tramples itself after a loss of servers, and
// against guarantees that are not met then.
TEST(policy_overload, loss_of_servers_keeps_guarantees)
{
    stop_counts counts;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const auto result = replay_fleet(loss_day(), seed);
        counts.add(result);
        CHECK(!result.guaranteed_start_ms.empty());
        for (const auto wait : result.guaranteed_start_ms)
        {
            CHECK(wait <= max_guaranteed_start_ms);
        }
    }
    CHECK(counts.early <= max_stopped_early * counts.runs);
}

// Guards against a guaranteed gang that waits for a whole rack after servers
// were lost, although others are free.
TEST(policy_overload, guarantee_does_not_wait_for_a_rack)
{
    constexpr std::uint64_t seed_that_failed = 9;
    const auto result = replay_fleet(burst_day(), seed_that_failed);
    for (const auto wait : result.guaranteed_start_ms)
    {
        CHECK(wait <= max_guaranteed_start_ms);
    }
}
