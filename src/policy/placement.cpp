#include "policy/placement.hpp"

#include <algorithm>
#include <bit>
#include <numeric>
#include <utility>

namespace poplarramp
{

namespace
{

std::optional<part_list> find_server(const cluster& servers,
                                     int accelerators,
                                     const capacity_function& available)
{
    int best = -1;
    int best_available = 0;
    for (const int server : servers.accelerator_servers())
    {
        const int capacity = available(server);
        if (capacity >= accelerators && (best < 0 || capacity < best_available))
        {
            best = server;
            best_available = capacity;
        }
    }
    if (best < 0)
    {
        return std::nullopt;
    }
    return part_list{{best, accelerators}};
}

// (available accelerators, rack), in decreasing order of available
// accelerators.
std::vector<std::pair<int, int>>
racks_by_available(const cluster& servers, const capacity_function& available)
{
    std::vector<std::pair<int, int>> sums;
    for (std::size_t rack = 0; rack < servers.racks().size(); ++rack)
    {
        int sum = 0;
        for (const int server : servers.racks()[rack])
        {
            sum += std::max(0, available(server));
        }
        sums.emplace_back(sum, static_cast<int>(rack));
    }
    std::sort(sums.begin(),
              sums.end(),
              [](const auto& a, const auto& b) {
                  return std::pair(-a.first, a.second) <
                         std::pair(-b.first, b.second);
              });
    return sums;
}

} // namespace

int shape_of(int accelerators)
{
    if (accelerators <= 0)
    {
        return 0;
    }
    return static_cast<int>(std::bit_ceil(static_cast<unsigned>(accelerators)));
}

std::vector<int> choose_racks(const cluster& servers,
                              int accelerators,
                              const capacity_function& available)
{
    const auto sums = racks_by_available(servers, available);
    std::vector<int> chosen;
    int missing = accelerators;
    for (std::size_t i = 0; i < sums.size() && sums[i].first > 0; ++i)
    {
        if (sums[i].first < missing)
        {
            chosen.push_back(sums[i].second);
            missing -= sums[i].first;
            continue;
        }
        std::size_t last = i;
        while (last + 1 < sums.size() && sums[last + 1].first >= missing)
        {
            ++last;
        }
        chosen.push_back(sums[last].second);
        return chosen;
    }
    return {};
}

std::optional<part_list> fill_smallest_first(std::span<const int> servers,
                                             int accelerators,
                                             const capacity_function& available)
{
    std::vector<std::pair<int, int>> by_available;
    for (const int server : servers)
    {
        const int capacity = available(server);
        if (capacity > 0)
        {
            by_available.emplace_back(capacity, server);
        }
    }
    std::sort(by_available.begin(), by_available.end());
    part_list parts;
    int missing = accelerators;
    for (const auto& [capacity, server] : by_available)
    {
        if (missing == 0)
        {
            break;
        }
        const int taken = std::min(capacity, missing);
        parts.push_back({server, taken});
        missing -= taken;
    }
    if (missing > 0)
    {
        return std::nullopt;
    }
    return parts;
}

std::optional<part_list> find_place(const cluster& servers,
                                    int accelerators,
                                    const locality_limits& limits,
                                    const capacity_function& available)
{
    if (accelerators <= limits.largest_server)
    {
        return find_server(servers, accelerators, available);
    }
    const auto racks = choose_racks(servers, accelerators, available);
    if (racks.empty())
    {
        return std::nullopt;
    }
    if (racks.size() > 1 && accelerators <= limits.largest_rack)
    {
        return std::nullopt;
    }
    part_list parts;
    int missing = accelerators;
    for (const int rack : racks)
    {
        const auto& members = servers.racks()[static_cast<std::size_t>(rack)];
        const int capacity = std::accumulate(
            members.begin(),
            members.end(),
            0,
            [&](int sum, int server) { return sum + available(server); });
        const int taken = std::min(capacity, missing);
        const auto share = fill_smallest_first(members, taken, available);
        parts.insert(parts.end(), share->begin(), share->end());
        missing -= taken;
    }
    return parts;
}

} // namespace poplarramp
