#include "policy/extent.hpp"

#include <algorithm>

namespace poplarramp
{

int accelerators_on(const part_list& parts, int server)
{
    for (const auto& share : parts)
    {
        if (share.server == server)
        {
            return share.accelerators;
        }
    }
    return 0;
}

int uncommitted_capacity(const server_state& server)
{
    const auto left = server.uncommitted();
    const bool usable = server.placeable() && left.slots > 0;
    return usable ? std::max(0, left.accelerators) : 0;
}

int used_by_others(const cluster& servers, const part_list& extent)
{
    int sum = 0;
    for (const auto& share : extent)
    {
        const int free = servers.at(share.server).free_outside_blocks();
        sum += std::max(0, share.accelerators - free);
    }
    return sum;
}

int free_capacity(const server_state& server)
{
    const auto left = server.free();
    return server.placeable() && left.slots > 0 ? left.accelerators : 0;
}

std::optional<part_list> widen(const cluster& servers,
                               std::span<const int> indexes,
                               const part_list& parts,
                               bool parts_are_committed,
                               int missing)
{
    const auto available = [&](int server)
    {
        return uncommitted_capacity(servers.at(server)) -
               (parts_are_committed ? 0 : accelerators_on(parts, server));
    };
    const auto rest = fill_smallest_first(indexes, missing, available);
    if (!rest)
    {
        return std::nullopt;
    }
    auto extent = parts;
    for (const auto& share : *rest)
    {
        const auto same = std::find_if(
            extent.begin(),
            extent.end(),
            [&](const part& known) { return known.server == share.server; });
        if (same == extent.end())
        {
            extent.push_back(share);
        }
        else
        {
            same->accelerators += share.accelerators;
        }
    }
    return extent;
}

std::vector<commitment> extent_commitments(const part_list& extent,
                                           const part_list& parts)
{
    std::vector<commitment> changes;
    for (const auto& share : extent)
    {
        block_share committed{share.server, share.accelerators, 0, 0};
        for (const auto& taken : parts)
        {
            const bool same_server = taken.server == share.server;
            committed.used += same_server ? taken.accelerators : 0;
            committed.tasks += same_server ? 1 : 0;
        }
        changes.push_back({share.server, {committed.size, committed.slots()}});
    }
    return changes;
}

std::vector<commitment> entry_commitments(const block& target,
                                          const part_list& parts)
{
    std::vector<commitment> changes;
    for (const auto& taken : parts)
    {
        for (auto share : target.shares)
        {
            if (share.server != taken.server)
            {
                continue;
            }
            const int before = share.slots();
            share.used += taken.accelerators;
            share.tasks += 1;
            if (share.slots() != before)
            {
                changes.push_back({share.server, {0, share.slots() - before}});
            }
        }
    }
    return changes;
}

std::vector<commitment> pinned_commitments(const part_list& parts)
{
    std::vector<commitment> changes;
    for (const auto& share : parts)
    {
        changes.push_back({share.server, {share.accelerators, 1}});
    }
    return changes;
}

} // namespace poplarramp
