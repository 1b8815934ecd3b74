// Places outside the guarantee of the customer, and room for probe tasks.
#include "policy/planner.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace poplarramp
{

std::optional<job_plan> planner::probe(const job_need& need)
{
    registry_.discard();
    if (!need.idempotent || need.pinned ||
        need.accelerators > limits_.largest_server)
    {
        return std::nullopt;
    }
    for (const int index : servers_.probing_servers())
    {
        const auto& server = servers_.at(index);
        const auto left = server.free();
        if (server.known && server.allowed && left.slots > 0 &&
            left.accelerators >= need.accelerators)
        {
            job_plan plan;
            plan.parts = {{index, need.accelerators}};
            plan.probe = true;
            return plan;
        }
    }
    return std::nullopt;
}

// A reserved server takes only its holder, work that ends in time, and urgent
// jobs that find no other place.
bool planner::open_to(const job_need& need, int server, bool urgent_first) const
{
    if (need.avoided.contains(server))
    {
        return false;
    }
    const auto& item = servers_.at(server);
    return item.reserved_for == 0 || item.reserved_for == need.number ||
           need.expected_end <= item.reserved_from || urgent_first;
}

std::optional<part_list> planner::free_place(const job_need& need,
                                             bool urgent_first) const
{
    if (need.accelerators == 0)
    {
        const int server = servers_.slot_server(
            [&need](int index) { return !need.avoided.contains(index); });
        return server < 0 ? std::nullopt
                          : std::optional<part_list>(part_list{{server, 0}});
    }
    // Capacity that occupied blocks lend is the second choice of a job that
    // cannot checkpoint: their owner may take it back at any time. Others take
    // the tightest place, so that large shapes stay open.
    for (const bool lent : {false, true})
    {
        if (!lent && need.can_checkpoint)
        {
            continue;
        }
        const auto room = [&](int server)
        {
            if (!open_to(need, server, urgent_first))
            {
                return 0;
            }
            const auto& item = servers_.at(server);
            const int free = free_room(item);
            return lent ? free : std::min(free, item.free_outside_blocks());
        };
        if (auto parts = find_place(servers_, need.accelerators, limits_, room))
        {
            return parts;
        }
    }
    return std::nullopt;
}

bool planner::keeps_pinned(const part_list& parts)
{
    return feasible_ &&
           registry_.keeps(servers_, limits_, firm_of_pinned(parts), 0);
}

std::optional<part_list> planner::pinned_slot(const job_need& need)
{
    const auto accepts = [this, &need](int server)
    {
        if (need.avoided.contains(server))
        {
            return false;
        }
        const bool harmless = servers_.at(server).info.accelerators == 0;
        return harmless || keeps_pinned({{server, 0}});
    };
    const int server = servers_.slot_server(accepts);
    if (server < 0)
    {
        return std::nullopt;
    }
    return part_list{{server, 0}};
}

std::optional<part_list> planner::pinned_server(const job_need& need,
                                                bool urgent_first)
{
    std::vector<std::pair<int, int>> rooms;
    for (const int server : servers_.accelerator_servers())
    {
        const auto& item = servers_.at(server);
        const int room = std::min(free_room(item), unbound_room(item));
        if (room >= need.accelerators && open_to(need, server, urgent_first))
        {
            rooms.emplace_back(room, server);
        }
    }
    std::sort(rooms.begin(), rooms.end());
    std::set<std::tuple<int, int, int>> refused;
    for (const auto& [room, server] : rooms)
    {
        const auto& item = servers_.at(server);
        const auto left = item.unbound();
        const auto key = std::tuple(item.rack, left.accelerators, left.slots);
        if (refused.count(key) > 0)
        {
            continue;
        }
        part_list parts{{server, need.accelerators}};
        if (keeps_pinned(parts))
        {
            return parts;
        }
        refused.insert(key);
    }
    return std::nullopt;
}

// A gang is first sought beside the packing held, where it is always accepted.
std::optional<part_list> planner::pinned_place(const job_need& need,
                                               bool urgent_first)
{
    if (need.accelerators == 0)
    {
        return pinned_slot(need);
    }
    if (!feasible_)
    {
        return std::nullopt;
    }
    if (need.accelerators <= limits_.largest_server)
    {
        return pinned_server(need, urgent_first);
    }
    for (const bool beside : {true, false})
    {
        const auto room = [&](int server)
        {
            const auto& item = servers_.at(server);
            const auto planned = registry_.planned(server);
            const int kept = beside ? planned.accelerators : 0;
            const bool slot = !beside || item.unbound().slots > planned.slots;
            return slot && open_to(need, server, urgent_first)
                       ? std::min(free_room(item),
                                  std::max(0, unbound_room(item) - kept))
                       : 0;
        };
        auto parts = find_place(servers_, need.accelerators, limits_, room);
        if (parts && keeps_pinned(*parts))
        {
            return parts;
        }
    }
    return std::nullopt;
}

// Most that an urgent job may take on a server with victims; -1: nothing, not
// even a slot. A pinned job stays beside the packing held, because it cannot
// be moved away when a guarantee is reclaimed.
int planner::room_with_victims(const job_need& need, int server) const
{
    const auto& item = servers_.at(server);
    const auto later = item.prospective();
    if (!item.placeable() || later.slots + item.preemptible.slots <= 0)
    {
        return -1;
    }
    const int room = later.accelerators + item.preemptible.accelerators;
    if (!need.pinned || item.info.accelerators == 0)
    {
        return room;
    }
    const auto left = item.unbound();
    const auto planned = registry_.planned(server);
    if (!feasible_ || left.slots <= planned.slots)
    {
        return -1;
    }
    return std::min(room, left.accelerators - planned.accelerators);
}

std::optional<victim_plan>
planner::victims_on_any_server(const job_need& need, const finder& find) const
{
    std::optional<victim_plan> best;
    const auto consider = [&](int server)
    {
        if (room_with_victims(need, server) < need.accelerators)
        {
            return;
        }
        auto next = find.on_server(server, need.accelerators);
        if (next && (!best || next->cost < best->cost))
        {
            best = std::move(next);
        }
    };
    if (need.accelerators > 0)
    {
        for (const int server : servers_.accelerator_servers())
        {
            consider(server);
        }
        return best;
    }
    for (std::size_t i = 0; i < servers_.servers().size(); ++i)
    {
        consider(static_cast<int>(i));
    }
    return best;
}

std::optional<victim_plan>
planner::victims_on_any_rack(const job_need& need, const finder& find) const
{
    const auto room = [&](int server)
    {
        return std::max(0, room_with_victims(need, server));
    };
    if (need.accelerators > limits_.largest_rack)
    {
        std::vector<int> indexes;
        for (const int rack : choose_racks(servers_, need.accelerators, room))
        {
            const auto& members =
                servers_.racks()[static_cast<std::size_t>(rack)];
            indexes.insert(indexes.end(), members.begin(), members.end());
        }
        return find.on_servers(indexes, need.accelerators, room);
    }
    std::optional<victim_plan> best;
    for (const auto& members : servers_.racks())
    {
        int sum = 0;
        for (const int server : members)
        {
            sum += room(server);
        }
        if (sum < need.accelerators)
        {
            continue;
        }
        auto next = find.on_servers(members, need.accelerators, room);
        if (next && (!best || next->cost < best->cost))
        {
            best = std::move(next);
        }
    }
    return best;
}

std::optional<job_plan> planner::preempted(const job_need& need)
{
    registry_.discard();
    if (!need.urgent)
    {
        return std::nullopt;
    }
    const auto find = victim_finder(urgent_cost(now_));
    auto best = need.accelerators <= limits_.largest_server
                    ? victims_on_any_server(need, find)
                    : victims_on_any_rack(need, find);
    if (!best)
    {
        return std::nullopt;
    }
    job_plan plan;
    plan.parts = std::move(best->parts);
    plan.victims = std::move(best->victims);
    plan.cost = best->cost;
    return plan;
}

std::optional<job_plan> planner::borrowed(const job_need& need)
{
    registry_.discard();
    for (const bool urgent_first : {false, true})
    {
        if (urgent_first && !need.urgent)
        {
            break;
        }
        auto parts = need.pinned ? pinned_place(need, urgent_first)
                                 : free_place(need, urgent_first);
        if (parts)
        {
            job_plan plan;
            plan.parts = std::move(*parts);
            return plan;
        }
    }
    return std::nullopt;
}

int planner::room_left(const job_plan& plan) const
{
    int left = 0;
    for (const auto& share : plan.parts)
    {
        left += free_room(servers_.at(share.server)) - share.accelerators;
    }
    return left;
}

} // namespace poplarramp
