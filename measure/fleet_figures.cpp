#include "fleet_figures.hpp"

#include "fleet_replay.hpp"

#include <algorithm>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

constexpr std::uint64_t first_seed = 1;
constexpr int seed_count = 5;

time_point at_ms(int value)
{
    return time_point(milliseconds(value));
}

// Twice as many urgent jobs for 6 s on a fleet in use to nine tenths, then a
// fifth of the servers leave in two steps.
fleet_day overloaded_day(int servers)
{
    auto day = large_site_day(servers);
    for (auto& kind : day.kinds)
    {
        kind.per_second *= 1.1;
    }
    day.bursts = {{at_ms(1100), at_ms(7100), 2.1, "shape-check"}};
    day.losses = {{at_ms(9800), 0.088}, {at_ms(12500), 0.126}};
    return day;
}

// Three times the load for 4 s, with a quarter of the servers lost.
fleet_day burst_day()
{
    auto day = grown_site_day();
    day.bursts = {{at_ms(10000), at_ms(14000), 3, ""}};
    day.losses = {{at_ms(11000), 0.14}, {at_ms(15000), 0.12}};
    return day;
}

// Means over the seeds.
void print_service(std::ostream& out,
                   const std::string& name,
                   const fleet_day& day)
{
    double served = 0;
    double worst = 0;
    double early = 0;
    double lost = 0;
    for (int i = 0; i < seed_count; ++i)
    {
        const auto result =
            replay_fleet(day, first_seed + static_cast<std::uint64_t>(i));
        served += result.served / seed_count;
        worst += result.worst_windows / seed_count;
        early += static_cast<double>(result.stopped_early) / result.runs /
                 seed_count;
        lost += result.lost_core_seconds / seed_count;
    }
    print(out, {name + ".served", served, "share", 0, first_seed});
    print(out, {name + ".worst_windows", worst, "share", 0, first_seed});
    print(out, {name + ".stopped_early", early, "share", 0, first_seed});
    print(out, {name + ".lost_work", lost, "core seconds", 0, first_seed});
}

void print_speed_service(std::ostream& out,
                         const std::string& name,
                         const fleet_day& day)
{
    constexpr int speed_seeds = 10;
    double served = 0;
    double in_time = 0;
    double worst = 0;
    double learned_s = 0;
    std::vector<double> of_kind(day.kinds.size(), 0);
    for (int i = 0; i < speed_seeds; ++i)
    {
        const auto result =
            replay_fleet(day, first_seed + static_cast<std::uint64_t>(i));
        served += result.served / speed_seeds;
        in_time += result.urgent_in_time / speed_seeds;
        worst += result.worst_windows / speed_seeds;
        for (std::size_t kind = 0; kind < of_kind.size(); ++kind)
        {
            of_kind[kind] += result.served_of_kind[kind] / speed_seeds;
        }
        const auto learned =
            std::find_if(result.classified.begin(),
                         result.classified.end(),
                         [](double share) { return share >= 0.9; });
        learned_s += static_cast<double>(learned - result.classified.begin()) /
                     speed_seeds;
    }
    print(out, {name + ".served", served, "share", 0, first_seed});
    print(out, {name + ".urgent_in_time", in_time, "share", 0, first_seed});
    print(out, {name + ".worst_windows", worst, "share", 0, first_seed});
    for (std::size_t kind = 0; kind < of_kind.size(); ++kind)
    {
        print(out,
              {name + ".served_of_" + day.kinds[kind].name,
               of_kind[kind],
               "share",
               0,
               first_seed});
    }
    if (day.learn_speeds)
    {
        print(out, {name + ".learned_after", learned_s, "s", 0, first_seed});
    }
}

void overload(std::ostream& out)
{
    print_service(out, "overload.large", overloaded_day(1100));
    print_service(out, "overload.burst", burst_day());
}

// A third of the servers each takes 0.6, 1.0 and 1.6 times the usual time, or
// other factors that differ by less than the urgent jobs bear.
void uneven_servers(std::ostream& out)
{
    const std::vector<std::pair<std::string, std::vector<double>>> fleets{
        {"uneven", {0.6, 1.0, 1.6}},
        {"even", {1.0}},
        {"tolerable", {0.8, 1.0, 1.25}},
        {"slow_third", {1.0, 1.0, 1.3}}};
    auto takeover = grown_site_day();
    takeover.speeds = fleets.front().second;
    takeover.learn_speeds = true;
    takeover.takeover = at_ms(15000);
    print_speed_service(out, "speed.uneven.takeover", takeover);
    for (const auto& [name, speeds] : fleets)
    {
        for (const bool learn : {false, true})
        {
            auto day = grown_site_day();
            day.speeds = speeds;
            day.learn_speeds = learn;
            print_speed_service(
                out, "speed." + name + (learn ? ".learned" : ".ignored"), day);
        }
    }
}

void plan_durations(std::ostream& out)
{
    for (const int servers : {350, 1100, 3000, 5900})
    {
        const auto result = replay_fleet(overloaded_day(servers), first_seed);
        const auto name = "plan_" + std::to_string(servers);
        print(out,
              {name + "_p50",
               quantile(result.plan_ms, 0.5),
               "ms",
               0,
               first_seed});
        print(out,
              {name + "_p99",
               quantile(result.plan_ms, 0.99),
               "ms",
               0,
               first_seed});
    }
}

} // namespace

std::vector<measurement> fleet_measurements()
{
    return {{"overload", overload},
            {"uneven_servers", uneven_servers, true},
            {"plan_duration", plan_durations, true}};
}

} // namespace poplarramp
