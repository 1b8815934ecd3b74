#include "policy/urgent_headroom.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
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

// Accelerators that are used by other than urgent groups, less those used by
// urgent ones.
std::int64_t excess_use(std::span<const candidate_server> servers,
                        std::span<const run_group> groups,
                        const std::vector<std::size_t>& rack)
{
    std::int64_t excess = 0;
    for (const auto server : rack)
    {
        for (const auto index : servers[server].groups)
        {
            const auto used = groups[index].need.accelerators;
            excess += groups[index].priority == 0 ? -used : used;
        }
    }
    return excess;
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
    std::vector<std::size_t> all(servers.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    const auto racks = by_rack(servers, all);
    std::vector<std::tuple<bool, std::int64_t, std::size_t>> order;
    order.reserve(racks.size());
    for (std::size_t i = 0; i < racks.size(); ++i)
    {
        order.emplace_back(!kept_racks_.contains(servers[racks[i][0]].rack),
                           excess_use(servers, groups, racks[i]),
                           i);
    }
    std::sort(order.begin(), order.end());
    kept_racks_.clear();
    auto missing = target();
    // Servers that are slower than the usual ones only if the others are not
    // sufficient.
    for (const bool slow : {false, true})
    {
        for (const auto& [is_new, excess, rack] : order)
        {
            for (const auto index : racks[rack])
            {
                if (missing <= 0)
                {
                    return;
                }
                auto& server = servers[index];
                if ((server.slowdown > 1) != slow)
                {
                    continue;
                }
                kept_racks_.insert(server.rack);
                server.reserved_for_urgent = true;
                missing -= server.capacity.accelerators;
            }
        }
    }
}

} // namespace poplarramp
