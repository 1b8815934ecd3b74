// Estimates of the speed of servers on seeded run times: a small fleet on which
// tasks of many steps run side by side, each listed about once a second.
#include "policy/server_speed.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

constexpr std::uint64_t seeds = 10;
constexpr std::size_t server_count = 48;
constexpr int tasks_per_step = 12;
constexpr int list_interval_ms = 900;
constexpr int step_ms = 100;
constexpr double tolerated = 1.5;

struct task_run
{
    std::uint64_t step = 0;
    std::uint64_t number = 0;
    double length_ms = 0;
    double done_ms = 0;
    progress_mark mark;
};

struct listed_server
{
    double factor = 1;
    double slow_phase = 1;
    speed_estimate estimate;
    std::vector<task_run> runs;
};

// Steps of 12 tasks, on servers drawn at random; a new step starts whenever
// there is room for it.
class listed_fleet
{
public:
    listed_fleet(std::uint64_t seed, const std::vector<double>& factors)
        : random_(seed), servers_(server_count)
    {
        for (std::size_t i = 0; i < server_count; ++i)
        {
            servers_[i].factor = factors[i % factors.size()];
        }
    }

    void run(std::int64_t seconds, double spread = 0.3)
    {
        const auto end = now_ms_ + 1000 * seconds;
        for (; now_ms_ < end; now_ms_ += step_ms)
        {
            while (start_step(spread))
            {
            }
            for (std::size_t i = 0; i < server_count; ++i)
            {
                advance_server(i);
            }
            if (now_ms_ % 1000 == 0)
            {
                classify();
            }
        }
    }

    void classify()
    {
        std::vector<speed_estimate*> all;
        for (auto& server : servers_)
        {
            all.push_back(&server.estimate);
        }
        speeds.classify(all, tolerated, now());
        was_in_force |= speeds.in_force();
    }

    time_point now() const
    {
        return time_point(milliseconds(now_ms_));
    }

    double slowdown(std::size_t server) const
    {
        return speeds.slowdown(servers_[server].estimate, now());
    }

    // Share of the servers in the class that their factor belongs to.
    double right_share() const
    {
        std::size_t right = 0;
        for (const auto& server : servers_)
        {
            const int level = static_cast<int>(
                std::lround(std::log(server.factor) / std::log(tolerated)));
            right += server.estimate.level == level ? 1 : 0;
        }
        return static_cast<double>(right) / server_count;
    }

    listed_server& server(std::size_t index)
    {
        return servers_[index];
    }

    server_speed speeds;
    bool was_in_force = false;

private:
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    bool start_step(double spread)
    {
        std::vector<std::size_t> places;
        for (std::size_t i = 0; i < server_count; ++i)
        {
            if (servers_[i].runs.size() < 4)
            {
                places.push_back(i);
            }
        }
        if (places.size() < tasks_per_step)
        {
            return false;
        }
        std::shuffle(places.begin(), places.end(), random_);
        const double work = uniform(2500, 9000);
        ++steps_;
        for (int i = 0; i < tasks_per_step; ++i)
        {
            task_run run;
            run.step = steps_;
            run.number = ++runs_;
            run.length_ms = work * uniform(1 - spread, 1 + spread) *
                            (uniform(0, 1) < 0.03 ? 7 : 1);
            run.done_ms = -uniform(100, 300);
            run.mark.step = steps_;
            servers_[places[static_cast<std::size_t>(i)]].runs.push_back(run);
        }
        return true;
    }

    void advance_server(std::size_t index)
    {
        auto& server = servers_[index];
        const bool is_listed =
            (now_ms_ + 37 * static_cast<std::int64_t>(index)) %
                list_interval_ms <
            step_ms;
        for (auto& run : server.runs)
        {
            run.done_ms += step_ms / (server.factor * server.slow_phase);
            const int percent = static_cast<int>(
                100 * std::max(0.0, run.done_ms) / run.length_ms);
            const auto sample =
                is_listed
                    ? sample_progress(run.mark, std::min(percent, 100), now_ms_)
                    : std::nullopt;
            if (sample)
            {
                speeds.observe(
                    server.estimate, run.mark, run.number, *sample, now());
            }
        }
        std::erase_if(server.runs,
                      [](const task_run& run)
                      { return run.done_ms >= run.length_ms; });
    }

    std::mt19937_64 random_;
    std::vector<listed_server> servers_;
    std::int64_t now_ms_ = 0;
    std::uint64_t steps_ = 0;
    std::uint64_t runs_ = 0;
};

// Smallest of the values for all seeds.
double worst_of_seeds(const std::function<double(std::uint64_t)>& value)
{
    double worst = 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        worst = std::min(worst, value(seed));
    }
    return worst;
}

} // namespace

TEST_GROUP(server_speed){};

// Guards against estimates that take longer than the load of a burst lasts.
TEST(server_speed, thirds_are_told_apart_after_a_handful_of_runs)
{
    const auto share_after = [](std::int64_t seconds)
    {
        return worst_of_seeds(
            [seconds](std::uint64_t seed)
            {
                listed_fleet fleet(seed, {0.6, 1.0, 1.6});
                fleet.run(seconds);
                return fleet.speeds.in_force() ? fleet.right_share() : 0;
            });
    };
    CHECK(share_after(6) >= 0.8);
    CHECK(share_after(20) >= 0.9);
}

// Guards against other decisions than before on fleets whose servers differ by
// less than callers bear, and against noise that is taken for a difference.
TEST(server_speed, small_differences_are_not_used)
{
    for (const auto& factors :
         {std::vector<double>{1.0}, {0.8, 1.0, 1.25}, {1.0, 1.0, 1.3}})
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            listed_fleet fleet(seed, factors);
            fleet.run(60);
            CHECK_FALSE(fleet.was_in_force);
            DOUBLES_EQUAL(1, fleet.slowdown(2), 0);
        }
    }
}

// Guards against new work on a server that is stuck for some seconds, and
// against a server that is avoided for good after that.
TEST(server_speed, slow_phases_are_followed_and_forgotten)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        listed_fleet fleet(seed, {0.6, 1.0, 1.6});
        fleet.run(15);
        fleet.server(1).slow_phase = 7;
        fleet.run(5);
        CHECK(fleet.slowdown(1) > 3);
        fleet.server(1).slow_phase = 1;
        fleet.run(5);
        CHECK(fleet.slowdown(1) < 2);
    }
}

// Guards against estimates that stay at what was learned first.
TEST(server_speed, lasting_changes_are_followed)
{
    const auto share = worst_of_seeds(
        [](std::uint64_t seed)
        {
            listed_fleet fleet(seed, {1.0});
            fleet.run(10);
            for (std::size_t i = 0; i < server_count; i += 3)
            {
                fleet.server(i).factor = 1.8;
            }
            fleet.run(25);
            return fleet.speeds.in_force() ? fleet.right_share() : 0;
        });
    CHECK(share >= 0.9);
}

// Guards against waiting for other members, start delays and coarse percentages
// that count as slowness.
TEST(server_speed, only_progress_between_two_lists_counts)
{
    progress_mark mark;
    CHECK_FALSE(sample_progress(mark, 0, 1000).has_value());
    CHECK_FALSE(sample_progress(mark, 10, 3000).has_value());
    CHECK_FALSE(sample_progress(mark, 14, 3200).has_value());
    const auto sample = sample_progress(mark, 30, 4000);
    CHECK(sample.has_value());
    DOUBLES_EQUAL(std::log(5000), sample->log_ms, 1e-6);
    CHECK_FALSE(sample_progress(mark, 100, 5000).has_value());
    CHECK_FALSE(sample_progress(mark, 100, 9000).has_value());
    CHECK_FALSE(sample_end(mark, 9000).has_value());
}
