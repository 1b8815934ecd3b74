#include "policy/planner.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace poplarramp
{

namespace
{

// Room for a new block on a placeable server.
int unbound_room(const server_state& server)
{
    const auto left = server.unbound();
    const bool usable = server.placeable() && left.slots > 0;
    return usable ? std::max(0, left.accelerators) : 0;
}

// Accelerators of the extent that others use.
int guests_in(const cluster& servers, const part_list& extent)
{
    int sum = 0;
    for (const auto& share : extent)
    {
        const int free = servers.at(share.server).free_outside_blocks();
        sum += std::max(0, share.accelerators - free);
    }
    return sum;
}

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

} // namespace

int free_room(const server_state& server)
{
    const auto left = server.free();
    return server.placeable() && left.slots > 0 ? left.accelerators : 0;
}

std::optional<part_list> widen(const cluster& servers,
                               std::span<const int> indexes,
                               const part_list& parts,
                               bool parts_are_bound,
                               int missing)
{
    const auto room = [&](int server)
    {
        return unbound_room(servers.at(server)) -
               (parts_are_bound ? 0 : accelerators_on(parts, server));
    };
    const auto rest = fill_smallest_first(indexes, missing, room);
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

// How a place is sought: only in what is free, or with victims.
struct planner::finder
{
    std::function<std::optional<victim_plan>(int server, int accelerators)>
        on_server;
    std::function<std::optional<victim_plan>(
        const std::vector<int>& servers,
        int accelerators,
        const std::function<int(int)>& limit)>
        on_servers;
};

// Ordered by cost, then by the smallest block, then by the fewest guests in it,
// who would be preempted later, then by the least room left.
struct planner::candidate
{
    std::int64_t cost = 0;
    int shape = 0;
    int guests = 0;
    int spare = 0;
    int server = 0;
    int block = 0;
    guarantee_key owner;
    part_list extent;
    victim_plan found;

    auto order() const
    {
        return std::tie(cost, shape, guests, spare, server, block);
    }
};

std::vector<firm_change> firm_of_extent(const part_list& extent,
                                        const part_list& parts)
{
    std::vector<firm_change> changes;
    for (const auto& share : extent)
    {
        block_share bound{share.server, share.accelerators, 0, 0};
        for (const auto& taken : parts)
        {
            const bool here = taken.server == share.server;
            bound.used += here ? taken.accelerators : 0;
            bound.tasks += here ? 1 : 0;
        }
        changes.push_back({share.server, {bound.size, bound.slots()}});
    }
    return changes;
}

std::vector<firm_change> firm_of_entry(const block& target,
                                       const part_list& parts)
{
    std::vector<firm_change> changes;
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

std::vector<firm_change> firm_of_pinned(const part_list& parts)
{
    std::vector<firm_change> changes;
    for (const auto& share : parts)
    {
        changes.push_back({share.server, {share.accelerators, 1}});
    }
    return changes;
}

planner::planner(const cluster& servers,
                 guarantee_book& book,
                 const span_limits& limits,
                 time_point now)
    : servers_(servers), book_(book), limits_(limits), now_(now),
      feasible_(book.refresh(servers, limits))
{
}

planner::finder planner::free_finder(const job_need& need) const
{
    finder result;
    result.on_server = [this,
                        &need](int server,
                               int accelerators) -> std::optional<victim_plan>
    {
        if (need.avoided.contains(server) ||
            free_room(servers_.at(server)) < accelerators)
        {
            return std::nullopt;
        }
        return victim_plan{0, {}, {{server, accelerators}}};
    };
    result.on_servers = [this, &need](const std::vector<int>& indexes,
                                      int accelerators,
                                      const std::function<int(int)>& limit)
        -> std::optional<victim_plan>
    {
        const auto room = [&](int server)
        {
            return need.avoided.contains(server)
                       ? 0
                       : std::min(limit(server),
                                  free_room(servers_.at(server)));
        };
        auto parts = fill_smallest_first(indexes, accelerators, room);
        if (!parts)
        {
            return std::nullopt;
        }
        return victim_plan{0, {}, std::move(*parts)};
    };
    return result;
}

planner::finder planner::victim_finder(const victim_cost& cost) const
{
    finder result;
    result.on_server = [this, cost](int server, int accelerators)
    {
        return victims_on_server(servers_, server, accelerators, cost);
    };
    result.on_servers = [this, cost](const std::vector<int>& indexes,
                                     int accelerators,
                                     const std::function<int(int)>& limit)
    {
        return victims_on_servers(servers_, indexes, accelerators, limit, cost);
    };
    return result;
}

// A block over several racks may hold a job that must stay in one of them.
std::vector<std::vector<int>>
planner::spans_for(const job_need& need, const std::vector<int>& indexes) const
{
    if (need.accelerators > limits_.largest_rack)
    {
        return {indexes};
    }
    std::map<int, std::vector<int>> by_rack;
    for (const int server : indexes)
    {
        by_rack[servers_.at(server).rack].push_back(server);
    }
    std::vector<std::vector<int>> spans;
    spans.reserve(by_rack.size());
    for (auto& entry : by_rack)
    {
        spans.push_back(std::move(entry.second));
    }
    return spans;
}

void planner::in_own_blocks(const job_need& need,
                            const finder& find,
                            std::vector<candidate>& found) const
{
    for (const int number : book_.blocks_of(need.customer))
    {
        if (book_.blocks().at(number).unused >= need.accelerators)
        {
            in_own_block(need, number, find, found);
        }
    }
}

void planner::in_own_block(const job_need& need,
                           int number,
                           const finder& find,
                           std::vector<candidate>& found) const
{
    const auto& item = book_.blocks().at(number);
    std::vector<int> indexes;
    std::map<int, int> left;
    for (const auto& share : item.shares)
    {
        left[share.server] = share.size - share.used;
        indexes.push_back(share.server);
    }
    const auto add = [&](std::optional<victim_plan> place)
    {
        if (place)
        {
            candidate next;
            next.cost = place->cost;
            next.spare = item.unused - need.accelerators;
            next.server = place->parts.front().server;
            next.block = number;
            next.owner = item.owner;
            next.found = std::move(*place);
            found.push_back(std::move(next));
        }
    };
    if (need.accelerators > limits_.largest_server)
    {
        const auto limit = [&](int server)
        {
            return left[server];
        };
        for (const auto& span : spans_for(need, indexes))
        {
            add(find.on_servers(span, need.accelerators, limit));
        }
        return;
    }
    for (const int server : indexes)
    {
        if (left[server] >= need.accelerators)
        {
            add(find.on_server(server, need.accelerators));
        }
    }
}

void planner::in_new_blocks(const job_need& need,
                            const finder& find,
                            std::vector<candidate>& found) const
{
    const guarantee_key first(need.customer, need.accelerators);
    for (auto entry = book_.counts().lower_bound(first);
         entry != book_.counts().end() && entry->first.first == need.customer;
         ++entry)
    {
        const int shape = entry->first.second;
        if (book_.floating(entry->first) <= 0)
        {
            continue;
        }
        if (shape <= limits_.largest_server)
        {
            in_new_small_block(need, shape, find, found);
        }
        else
        {
            in_new_large_block(need, shape, find, found);
        }
    }
}

void planner::in_new_small_block(const job_need& need,
                                 int shape,
                                 const finder& find,
                                 std::vector<candidate>& found) const
{
    for (const int server : servers_.accelerator_servers())
    {
        const int room = unbound_room(servers_.at(server));
        if (room < shape)
        {
            continue;
        }
        auto place = find.on_server(server, need.accelerators);
        if (!place)
        {
            continue;
        }
        found.push_back(opening(
            need, shape, {{server, shape}}, room - shape, std::move(*place)));
    }
}

void planner::in_new_large_block(const job_need& need,
                                 int shape,
                                 const finder& find,
                                 std::vector<candidate>& found) const
{
    const auto room = [this](int server)
    {
        return unbound_room(servers_.at(server));
    };
    if (shape <= limits_.largest_rack)
    {
        for (const auto& members : servers_.racks())
        {
            in_racks(need, shape, members, find, found);
        }
        in_planned_places(need, shape, find, found);
        return;
    }
    std::vector<int> indexes;
    for (const int rack : choose_racks(servers_, shape, room))
    {
        const auto& members = servers_.racks()[static_cast<std::size_t>(rack)];
        indexes.insert(indexes.end(), members.begin(), members.end());
    }
    in_racks(need, shape, indexes, find, found);
    in_planned_places(need, shape, find, found);
}

// The places of the packing held are always accepted, which the others are not
// when the greedy packing misses one for the remaining blocks.
void planner::in_planned_places(const job_need& need,
                                int shape,
                                const finder& find,
                                std::vector<candidate>& found) const
{
    for (const auto& place : book_.places())
    {
        if (place.shape != shape)
        {
            continue;
        }
        std::vector<int> indexes;
        for (const auto& share : place.parts)
        {
            indexes.push_back(share.server);
        }
        const auto limit = [&](int server)
        {
            return accelerators_on(place.parts, server);
        };
        const auto add = [&](std::optional<victim_plan> next)
        {
            if (next)
            {
                found.push_back(
                    opening(need, shape, place.parts, 0, std::move(*next)));
            }
        };
        if (need.accelerators > limits_.largest_server)
        {
            for (const auto& span : spans_for(need, indexes))
            {
                add(find.on_servers(span, need.accelerators, limit));
            }
            continue;
        }
        for (const int server : indexes)
        {
            if (limit(server) >= need.accelerators)
            {
                add(find.on_server(server, need.accelerators));
            }
        }
    }
}

// A block of the shape at `extent`, with the job at the place found in it.
planner::candidate planner::opening(const job_need& need,
                                    int shape,
                                    part_list extent,
                                    int spare,
                                    victim_plan place) const
{
    candidate next;
    next.cost = place.cost;
    next.shape = shape;
    next.guests = guests_in(servers_, extent);
    next.spare = spare;
    next.server = place.parts.front().server;
    next.owner = {need.customer, shape};
    next.extent = std::move(extent);
    next.found = std::move(place);
    return next;
}

void planner::in_racks(const job_need& need,
                       int shape,
                       const std::vector<int>& indexes,
                       const finder& find,
                       std::vector<candidate>& found) const
{
    const auto room = [this](int server)
    {
        return unbound_room(servers_.at(server));
    };
    int sum = 0;
    for (const int server : indexes)
    {
        sum += room(server);
    }
    if (sum < shape)
    {
        return;
    }
    const auto add = [&](std::optional<victim_plan> place)
    {
        if (!place)
        {
            return;
        }
        auto extent = widen(
            servers_, indexes, place->parts, false, shape - need.accelerators);
        if (!extent)
        {
            return;
        }
        found.push_back(opening(
            need, shape, std::move(*extent), sum - shape, std::move(*place)));
    };
    if (need.accelerators > limits_.largest_server)
    {
        for (const auto& span : spans_for(need, indexes))
        {
            add(find.on_servers(span, need.accelerators, room));
        }
        return;
    }
    for (const int server : indexes)
    {
        if (room(server) >= need.accelerators)
        {
            add(find.on_server(server, need.accelerators));
        }
    }
}

// The first candidate that leaves a place for every floating block. Where they
// do not fit anyway (servers lost), jobs in guarantee go on being placed.
std::optional<job_plan> planner::first_kept(std::vector<candidate> found)
{
    std::sort(found.begin(),
              found.end(),
              [](const candidate& a, const candidate& b)
              { return a.order() < b.order(); });
    // Servers of one rack with equal room give equal answers.
    std::set<std::tuple<int, int, int, int>> refused;
    for (auto& next : found)
    {
        const bool opens = next.block == 0;
        const auto changes = opens
                                 ? firm_of_extent(next.extent, next.found.parts)
                                 : firm_of_entry(book_.blocks().at(next.block),
                                                 next.found.parts);
        const auto& server = servers_.at(next.server);
        const auto left = server.unbound();
        const auto key =
            std::tuple(next.shape, server.rack, left.accelerators, left.slots);
        const bool single = opens && next.extent.size() == 1;
        if (single && refused.count(key) > 0)
        {
            continue;
        }
        const int opened = opens ? next.shape : 0;
        if (feasible_ && !book_.keeps(servers_, limits_, changes, opened))
        {
            refused.insert(key);
            continue;
        }
        job_plan plan;
        plan.parts = std::move(next.found.parts);
        plan.victims = std::move(next.found.victims);
        plan.cost = next.cost;
        plan.in_guarantee = true;
        plan.block = next.block;
        plan.owner = std::move(next.owner);
        plan.extent = std::move(next.extent);
        return plan;
    }
    return std::nullopt;
}

std::optional<job_plan> planner::in_own_guarantee(const job_need& need,
                                                  const finder& find)
{
    book_.discard();
    if (need.accelerators == 0 || !book_.has_blocks(need.customer))
    {
        return std::nullopt;
    }
    std::vector<candidate> found;
    in_own_blocks(need, find, found);
    in_new_blocks(need, find, found);
    return first_kept(std::move(found));
}

std::optional<job_plan> planner::in_guarantee(const job_need& need)
{
    return in_own_guarantee(need, free_finder(need));
}

std::optional<job_plan> planner::reclaimed(const job_need& need)
{
    return in_own_guarantee(need, victim_finder(reclaim_cost(now_)));
}

std::optional<job_plan> planner::probe(const job_need& need)
{
    book_.discard();
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
           book_.keeps(servers_, limits_, firm_of_pinned(parts), 0);
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
            const auto planned = book_.planned(server);
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
    const auto planned = book_.planned(server);
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
    book_.discard();
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
    book_.discard();
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
