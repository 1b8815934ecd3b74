#include "policy/urgent_headroom.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <vector>

namespace poplarramp
{

namespace
{

// Time constants of the average. It falls slowly, in a few times the run time
// of an urgent step, so that a gap between two of them does not release the
// servers. It rises fast, because a burst brings the next steps at once.
constexpr double falling_ms = 8000;
constexpr double rising_ms = 1000;

// Standard deviations above the average that are kept. Fewer lead to more stops
// of runs that have just started, more leave servers idle.
constexpr double kept_deviations = 1.5;

struct rack_use
{
    std::vector<std::size_t> servers;
    std::int64_t urgent = 0;
    std::int64_t other = 0;
};

std::map<std::string, rack_use>
use_of_racks(std::span<const candidate_server> servers,
             std::span<const run_group> groups)
{
    std::map<std::string, rack_use> racks;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        auto& rack = racks[servers[i].rack];
        rack.servers.push_back(i);
        for (const auto index : servers[i].groups)
        {
            const auto& group = groups[index];
            auto& use = group.priority == 0 ? rack.urgent : rack.other;
            use += group.need.accelerators;
        }
    }
    return racks;
}

} // namespace

void urgent_headroom::record(time_point now, std::int64_t accelerators)
{
    const auto value = static_cast<double>(accelerators);
    if (!recorded_at_)
    {
        recorded_at_ = now;
        average_ = value;
        return;
    }
    const auto elapsed = static_cast<double>((now - *recorded_at_).count());
    const double difference = value - average_;
    const double weight =
        1 - std::exp(-elapsed / (difference > 0 ? rising_ms : falling_ms));
    average_ += weight * difference;
    variance_ = (1 - weight) * (variance_ + weight * difference * difference);
    recorded_at_ = now;
}

std::int64_t urgent_headroom::target() const
{
    return std::llround(average_ + kept_deviations * std::sqrt(variance_));
}

void urgent_headroom::keep(std::span<candidate_server> servers,
                           std::span<const run_group> groups)
{
    const auto racks = use_of_racks(servers, groups);
    std::vector<std::tuple<bool, std::int64_t, std::string>> order;
    order.reserve(racks.size());
    for (const auto& [name, rack] : racks)
    {
        order.emplace_back(
            !kept_racks_.contains(name), rack.other - rack.urgent, name);
    }
    std::sort(order.begin(), order.end());
    kept_racks_.clear();
    auto missing = target();
    for (const auto& [is_new, use, name] : order)
    {
        for (const auto index : racks.at(name).servers)
        {
            if (missing <= 0)
            {
                return;
            }
            kept_racks_.insert(name);
            servers[index].reserved_for_urgent = true;
            missing -= servers[index].capacity.accelerators;
        }
    }
}

} // namespace poplarramp
