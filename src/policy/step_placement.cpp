#include "policy/step_placement.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace poplarramp
{

namespace
{

bool contains(const std::vector<std::string>& list, const std::string& item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

bool may_run(const placement_request& request, const candidate_server& server)
{
    return server.service == request.service &&
           (request.urgent || !server.reserved_for_urgent) &&
           (request.regions.empty() ||
            contains(request.regions, server.region)) &&
           (request.step->label.empty() ||
            contains(server.labels, request.step->label)) &&
           server.failures <= request.max_failures;
}

// Tasks of the step that a server can take.
struct room
{
    std::size_t server = 0;
    int count = 0;
    double slowdown = 1;
    double cost = 0;
    std::int64_t left = 0;
};

resources need_of(const step_spec& step)
{
    auto need = step.need;
    if (step.best_effort)
    {
        need.cpu_millis = 0;
    }
    return need;
}

int room_on(const placement_request& request,
            const candidate_server& server,
            std::size_t index,
            const resources& need,
            const resources& free)
{
    // The cheapest check first: most servers are full.
    if (!free.covers(need) || !may_run(request, server))
    {
        return 0;
    }
    int most = request.tasks;
    const int limit = request.step->max_per_server;
    if (limit > 0)
    {
        const int present =
            index < request.present.size() ? request.present[index] : 0;
        most = std::min(most, limit - present);
    }
    return free.count_fitting(need, std::max(most, 0));
}

resources available_on(const placement_request& request,
                       const candidate_server& server)
{
    auto free = request.on_empty ? server.capacity : server.free;
    if (request.reclaim)
    {
        free += server.reclaimable;
    }
    return free;
}

// Factor on the run time of one task on the server, gang spread aside.
double slowdown_on(const placement_request& request,
                   const candidate_server& server)
{
    const auto& rack = request.step->data_rack;
    const bool far = !rack.empty() && server.rack != rack;
    return server.slowdown * (far ? request.remote_slowdown : 1);
}

std::vector<room> rooms_on(const placement_request& request,
                           std::span<const candidate_server> servers)
{
    const auto need = need_of(*request.step);
    std::vector<room> rooms;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        const auto& server = servers[i];
        const auto available = available_on(request, server);
        const int count = room_on(request, server, i, need, available);
        if (count <= 0)
        {
            continue;
        }
        const double slowdown = slowdown_on(request, server);
        if (slowdown > request.max_slowdown)
        {
            continue;
        }
        const bool at_once =
            !request.reclaim ||
            room_on(request, server, i, need, server.free) >= count;
        rooms.push_back({i,
                         count,
                         slowdown,
                         at_once ? 0 : server.reclaim_cost,
                         available.accelerators - count * need.accelerators});
    }
    return rooms;
}

// Takes rooms in their order until all tasks are placed.
placement_result fill(const std::vector<room>& rooms, int tasks)
{
    placement_result result;
    for (const auto& item : rooms)
    {
        if (result.tasks == tasks)
        {
            break;
        }
        const int count = std::min(item.count, tasks - result.tasks);
        result.parts.push_back({item.server, count});
        result.tasks += count;
        result.slowdown = std::max(result.slowdown, item.slowdown);
        result.reclaim_cost += item.cost * count;
    }
    return result;
}

// Free room first, then fast servers, then those that are left with the least
// free accelerators, so that large shapes stay open elsewhere.
void sort_rooms(std::vector<room>& rooms)
{
    std::sort(rooms.begin(),
              rooms.end(),
              [](const room& a, const room& b)
              {
                  return std::tuple(a.cost, a.slowdown, a.left, -a.count) <
                         std::tuple(b.cost, b.slowdown, b.left, -b.count);
              });
}

// Best rack that takes the whole gang; the one that is left with the least room
// if several are equally fast and cheap.
std::optional<placement_result>
place_in_rack(const placement_request& request,
              std::span<const candidate_server> servers,
              const std::vector<room>& rooms)
{
    std::map<std::string, std::vector<room>> racks;
    for (const auto& item : rooms)
    {
        racks[servers[item.server].rack].push_back(item);
    }
    std::optional<placement_result> best;
    std::tuple<double, double, int> best_rank;
    for (auto& [rack, inside] : racks)
    {
        int total = 0;
        for (const auto& item : inside)
        {
            total += item.count;
        }
        if (total < request.tasks)
        {
            continue;
        }
        sort_rooms(inside);
        auto result = fill(inside, request.tasks);
        const std::tuple rank{result.reclaim_cost, result.slowdown, total};
        if (!best || rank < best_rank)
        {
            best = std::move(result);
            best_rank = rank;
        }
    }
    return best;
}

std::optional<placement_result>
place_gang(const placement_request& request,
           std::span<const candidate_server> servers,
           std::vector<room> rooms)
{
    if (request.step->same_rack)
    {
        auto inside = place_in_rack(request, servers, rooms);
        if (inside || request.remote_slowdown > request.max_slowdown)
        {
            return inside;
        }
    }
    sort_rooms(rooms);
    auto result = fill(rooms, request.tasks);
    if (result.tasks < request.tasks)
    {
        return std::nullopt;
    }
    if (request.step->same_rack)
    {
        result.slowdown *= request.remote_slowdown;
    }
    return result;
}

} // namespace

std::optional<placement_result>
place_step(const placement_request& request,
           std::span<const candidate_server> servers)
{
    auto rooms = rooms_on(request, servers);
    if (request.step->gang)
    {
        return place_gang(request, servers, std::move(rooms));
    }
    sort_rooms(rooms);
    auto result = fill(rooms, request.tasks);
    return result.tasks > 0 ? std::optional(std::move(result)) : std::nullopt;
}

bool can_ever_fit(const placement_request& request,
                  std::span<const candidate_server> servers)
{
    auto empty = request;
    empty.reclaim = false;
    empty.urgent = true;
    empty.max_slowdown = std::numeric_limits<double>::max();
    empty.max_failures = std::numeric_limits<int>::max();
    empty.present.clear();
    empty.on_empty = true;
    return place_step(empty, servers).has_value();
}

} // namespace poplarramp
