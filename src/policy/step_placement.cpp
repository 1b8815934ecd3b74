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

bool is_eligible(const placement_request& request,
                 const candidate_server& server)
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
struct placement_option
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

int tasks_that_fit(const placement_request& request,
                   const candidate_server& server,
                   std::size_t index,
                   const resources& need,
                   const resources& free)
{
    // Cheapest check first, because most servers are full.
    if (!free.covers(need) || !is_eligible(request, server))
    {
        return 0;
    }
    int max_count = request.tasks;
    const int limit = request.step->max_per_server;
    if (limit > 0)
    {
        const int existing_tasks = index < request.existing_tasks.size()
                                       ? request.existing_tasks[index]
                                       : 0;
        max_count = std::min(max_count, limit - existing_tasks);
    }
    return free.count_fitting(need, std::max(max_count, 0));
}

resources available_on(const placement_request& request,
                       const candidate_server& server)
{
    auto free = request.assume_empty ? server.capacity : server.free;
    if (request.reclaim)
    {
        free += server.reclaimable;
    }
    return free;
}

// Factor on the run time of one task on the server, without the spread of a
// gang.
double slowdown_on(const placement_request& request,
                   const candidate_server& server)
{
    const auto& rack = request.step->data_rack;
    const bool remote = !rack.empty() && server.rack != rack;
    return server.slowdown * (remote ? request.remote_slowdown : 1);
}

std::vector<placement_option>
options_on(const placement_request& request,
           std::span<const candidate_server> servers)
{
    const auto need = need_of(*request.step);
    std::vector<placement_option> options;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        const auto& server = servers[i];
        const auto available = available_on(request, server);
        const int count = tasks_that_fit(request, server, i, need, available);
        if (count <= 0)
        {
            continue;
        }
        const double slowdown = slowdown_on(request, server);
        if (slowdown > request.max_slowdown)
        {
            continue;
        }
        const bool fits_free =
            !request.reclaim ||
            tasks_that_fit(request, server, i, need, server.free) >= count;
        options.push_back({i,
                           count,
                           slowdown,
                           fits_free ? 0 : server.reclaim_cost,
                           available.accelerators - count * need.accelerators});
    }
    return options;
}

// Uses the options in their order until all tasks are placed.
placement_result fill(const std::vector<placement_option>& options, int tasks)
{
    placement_result result;
    for (const auto& item : options)
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

// Orders by reclaim cost, then by slowdown, then by the fewest accelerators
// left over, so that large shapes remain free elsewhere.
void sort_options(std::vector<placement_option>& options)
{
    std::sort(options.begin(),
              options.end(),
              [](const placement_option& a, const placement_option& b)
              {
                  return std::tuple(a.cost, a.slowdown, a.left, -a.count) <
                         std::tuple(b.cost, b.slowdown, b.left, -b.count);
              });
}

// Places the whole gang in the cheapest and then fastest rack; among equal
// racks, in the one that fits the fewest tasks.
std::optional<placement_result>
place_in_rack(const placement_request& request,
              std::span<const candidate_server> servers,
              const std::vector<placement_option>& options)
{
    std::map<std::string, std::vector<placement_option>> racks;
    for (const auto& item : options)
    {
        racks[servers[item.server].rack].push_back(item);
    }
    std::optional<placement_result> best;
    std::tuple<double, double, int> best_rank;
    for (auto& [rack, in_rack] : racks)
    {
        int total = 0;
        for (const auto& item : in_rack)
        {
            total += item.count;
        }
        if (total < request.tasks)
        {
            continue;
        }
        sort_options(in_rack);
        auto result = fill(in_rack, request.tasks);
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
           std::vector<placement_option> options)
{
    if (request.step->same_rack)
    {
        auto in_rack = place_in_rack(request, servers, options);
        if (in_rack || request.remote_slowdown > request.max_slowdown)
        {
            return in_rack;
        }
    }
    sort_options(options);
    auto result = fill(options, request.tasks);
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
    auto options = options_on(request, servers);
    if (request.step->gang)
    {
        return place_gang(request, servers, std::move(options));
    }
    sort_options(options);
    auto result = fill(options, request.tasks);
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
    empty.existing_tasks.clear();
    empty.assume_empty = true;
    return place_step(empty, servers).has_value();
}

} // namespace poplarramp
