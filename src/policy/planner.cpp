#include "policy/planner.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace poplarramp
{

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

planner::planner(const cluster& servers,
                 guarantee_registry& registry,
                 const span_limits& limits,
                 time_point now)
    : servers_(servers), registry_(registry), limits_(limits), now_(now),
      feasible_(registry.refresh(servers, limits))
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
    for (const int number : registry_.blocks_of(need.customer))
    {
        if (registry_.blocks().at(number).unused >= need.accelerators)
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
    const auto& item = registry_.blocks().at(number);
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
    for (auto entry = registry_.counts().lower_bound(first);
         entry != registry_.counts().end() &&
         entry->first.first == need.customer;
         ++entry)
    {
        const int shape = entry->first.second;
        if (registry_.floating(entry->first) <= 0)
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
    for (const auto& place : registry_.places())
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
        const auto changes =
            opens ? firm_of_extent(next.extent, next.found.parts)
                  : firm_of_entry(registry_.blocks().at(next.block),
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
        if (feasible_ && !registry_.keeps(servers_, limits_, changes, opened))
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
    registry_.discard();
    if (need.accelerators == 0 || !registry_.has_blocks(need.customer))
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

} // namespace poplarramp
