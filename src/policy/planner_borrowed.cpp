// Searches places outside the guarantee of the customer, and for probe tasks.
#include "policy/planner.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace poplarramp
{

std::optional<job_plan> planner::probe(const job_need& need)
{
    registry_.discard_packing();
    if (!need.idempotent || need.pinned ||
        need.accelerators > limits_.largest_server)
    {
        return std::nullopt;
    }
    for (const int index : servers_.probing_servers())
    {
        const auto& server = servers_.at(index);
        const auto left = server.free();
        if (server.present && server.schedulable && left.slots > 0 &&
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

// A draining server takes only the holder of the reservation, jobs that are
// expected to end before it has drained (backfill), and urgent jobs that fit
// nowhere else.
bool planner::may_use_server(const job_need& need,
                             int server,
                             bool ignore_drain_reservations) const
{
    if (need.avoided.contains(server))
    {
        return false;
    }
    const auto& item = servers_.at(server);
    return item.draining_for == 0 || item.draining_for == need.number ||
           need.expected_end <= item.expected_drain_end ||
           ignore_drain_reservations;
}

std::optional<part_list>
planner::free_place(const job_need& need, bool ignore_drain_reservations) const
{
    if (need.accelerators == 0)
    {
        const int server = servers_.find_slot_server(
            [&need](int index) { return !need.avoided.contains(index); });
        return server < 0 ? std::nullopt
                          : std::optional<part_list>(part_list{{server, 0}});
    }
    // A job that cannot checkpoint uses capacity lent by occupied blocks only
    // as a second choice, because the owner may reclaim it at any time. Other
    // jobs take the tightest place, so that large shapes remain free.
    for (const bool lent : {false, true})
    {
        if (!lent && need.can_checkpoint)
        {
            continue;
        }
        const auto available = [&](int server)
        {
            if (!may_use_server(need, server, ignore_drain_reservations))
            {
                return 0;
            }
            const auto& item = servers_.at(server);
            const int free = free_capacity(item);
            return lent ? free : std::min(free, item.free_outside_blocks());
        };
        if (auto parts =
                find_place(servers_, need.accelerators, limits_, available))
        {
            return parts;
        }
    }
    return std::nullopt;
}

bool planner::feasible_with_pinned(const part_list& parts)
{
    return feasible_ && registry_.remains_feasible(
                            servers_, limits_, pinned_commitments(parts), 0);
}

std::optional<part_list> planner::pinned_slot(const job_need& need)
{
    const auto accepts = [this, &need](int server)
    {
        if (need.avoided.contains(server))
        {
            return false;
        }
        const bool has_no_accelerators =
            servers_.at(server).info.accelerators == 0;
        return has_no_accelerators || feasible_with_pinned({{server, 0}});
    };
    const int server = servers_.find_slot_server(accepts);
    if (server < 0)
    {
        return std::nullopt;
    }
    return part_list{{server, 0}};
}

std::optional<part_list> planner::pinned_server(const job_need& need,
                                                bool ignore_drain_reservations)
{
    std::vector<std::pair<int, int>> by_available;
    for (const int server : servers_.accelerator_servers())
    {
        const auto& item = servers_.at(server);
        const int available =
            std::min(free_capacity(item), uncommitted_capacity(item));
        if (available >= need.accelerators &&
            may_use_server(need, server, ignore_drain_reservations))
        {
            by_available.emplace_back(available, server);
        }
    }
    std::sort(by_available.begin(), by_available.end());
    std::set<std::tuple<int, int, int>> refused;
    for (const auto& [available, server] : by_available)
    {
        const auto& item = servers_.at(server);
        const auto left = item.uncommitted();
        const auto key = std::tuple(item.rack, left.accelerators, left.slots);
        if (refused.count(key) > 0)
        {
            continue;
        }
        part_list parts{{server, need.accelerators}};
        if (feasible_with_pinned(parts))
        {
            return parts;
        }
        refused.insert(key);
    }
    return std::nullopt;
}

// A job over several servers is first searched beside the current packing,
// where it is always feasible.
std::optional<part_list> planner::pinned_place(const job_need& need,
                                               bool ignore_drain_reservations)
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
        return pinned_server(need, ignore_drain_reservations);
    }
    for (const bool beside_packing : {true, false})
    {
        const auto available = [&](int server)
        {
            const auto& item = servers_.at(server);
            const auto packed = registry_.packed(server);
            const int needed_by_packing =
                beside_packing ? packed.accelerators : 0;
            const bool slot =
                !beside_packing || item.uncommitted().slots > packed.slots;
            return slot && may_use_server(
                               need, server, ignore_drain_reservations)
                       ? std::min(free_capacity(item),
                                  std::max(0,
                                           uncommitted_capacity(item) -
                                               needed_by_packing))
                       : 0;
        };
        auto parts =
            find_place(servers_, need.accelerators, limits_, available);
        if (parts && feasible_with_pinned(*parts))
        {
            return parts;
        }
    }
    return std::nullopt;
}

// Upper bound of the accelerators that an urgent job can get on a server with
// victims; -1 if it cannot get a slot either. A pinned job stays beside the
// current packing, because it cannot be preempted when a guarantee is
// reclaimed.
int planner::capacity_with_victims(const job_need& need, int server) const
{
    const auto& item = servers_.at(server);
    const auto later = item.prospective();
    if (!item.placeable() || later.slots + item.preemptible.slots <= 0)
    {
        return -1;
    }
    const int available = later.accelerators + item.preemptible.accelerators;
    if (!need.pinned || item.info.accelerators == 0)
    {
        return available;
    }
    const auto left = item.uncommitted();
    const auto packed = registry_.packed(server);
    if (!feasible_ || left.slots <= packed.slots)
    {
        return -1;
    }
    return std::min(available, left.accelerators - packed.accelerators);
}

std::optional<victim_plan>
planner::victims_on_any_server(const job_need& need, const finder& find) const
{
    std::optional<victim_plan> best;
    const auto consider = [&](int server)
    {
        if (capacity_with_victims(need, server) < need.accelerators)
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
    const auto available = [&](int server)
    {
        return std::max(0, capacity_with_victims(need, server));
    };
    if (need.accelerators > limits_.largest_rack)
    {
        std::vector<int> indexes;
        for (const int rack :
             choose_racks(servers_, need.accelerators, available))
        {
            const auto& members =
                servers_.racks()[static_cast<std::size_t>(rack)];
            indexes.insert(indexes.end(), members.begin(), members.end());
        }
        return find.on_servers(indexes, need.accelerators, available);
    }
    std::optional<victim_plan> best;
    for (const auto& members : servers_.racks())
    {
        int sum = 0;
        for (const int server : members)
        {
            sum += available(server);
        }
        if (sum < need.accelerators)
        {
            continue;
        }
        auto next = find.on_servers(members, need.accelerators, available);
        if (next && (!best || next->cost < best->cost))
        {
            best = std::move(next);
        }
    }
    return best;
}

std::optional<job_plan> planner::preempted(const job_need& need)
{
    registry_.discard_packing();
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
    registry_.discard_packing();
    for (const bool ignore_drain_reservations : {false, true})
    {
        if (ignore_drain_reservations && !need.urgent)
        {
            break;
        }
        auto parts = need.pinned ? pinned_place(need, ignore_drain_reservations)
                                 : free_place(need, ignore_drain_reservations);
        if (parts)
        {
            job_plan plan;
            plan.parts = std::move(*parts);
            return plan;
        }
    }
    return std::nullopt;
}

int planner::capacity_left(const job_plan& plan) const
{
    int left = 0;
    for (const auto& share : plan.parts)
    {
        left += free_capacity(servers_.at(share.server)) - share.accelerators;
    }
    return left;
}

} // namespace poplarramp
