#include "policy/step_placement.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace poplarramp
{

namespace
{

bool contains(const std::vector<std::string>& list, const std::string& item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

// Tasks of the step that a server can take.
struct placement_option
{
    std::size_t server = 0;
    int count = 0;
    double remote_slowdown = 1;
    double server_slowdown = 1;
    // Of the server by its speed, the lowest first.
    double rank = 0;
    std::int64_t left = 0;
};

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
    return free.count_fitting(need, tasks_allowed_on(request, index));
}

bool is_isolated_enough(const placement_request& request,
                        const candidate_server& server)
{
    switch (request.assume_empty ? isolation::none : request.isolated)
    {
    case isolation::none:
        return true;
    case isolation::proven_servers:
        return server.proven;
    case isolation::empty_servers:
        return server.free == server.capacity;
    }
    return false;
}

// Rank of a server with this factor for single tasks of the step: urgent steps
// take the fastest, others the slowest that they tolerate.
double rank_of(const placement_request& request, double slowdown)
{
    const bool slowest_first =
        !request.urgent && slowdown <= request.tolerated_slowdown;
    return slowest_first ? -slowdown : slowdown;
}

std::vector<placement_option>
options_on(const placement_request& request,
           std::span<const candidate_server> servers)
{
    const auto need = occupied_by_task(*request.step);
    std::vector<placement_option> options;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        const auto& server = servers[i];
        const auto& available =
            request.assume_empty ? server.capacity : server.free;
        if (!is_isolated_enough(request, server))
        {
            continue;
        }
        const int count = tasks_that_fit(request, server, i, need, available);
        if (count <= 0)
        {
            continue;
        }
        const double remote_slowdown = remote_slowdown_on(request, server);
        if (remote_slowdown > request.max_slowdown)
        {
            continue;
        }
        options.push_back({i,
                           count,
                           remote_slowdown,
                           server.slowdown,
                           rank_of(request, server.slowdown),
                           available.accelerators - count * need.accelerators});
    }
    return options;
}

// Uses the options in order of distance and rank, then of the fewest
// accelerators left over, so that large shapes remain free elsewhere, until all
// tasks are placed.
placement_result fill(std::span<placement_option> options, int tasks)
{
    const auto needed =
        std::min(options.size(), static_cast<std::size_t>(std::max(tasks, 0)));
    std::partial_sort(
        options.begin(),
        options.begin() + static_cast<std::ptrdiff_t>(needed),
        options.end(),
        [](const placement_option& a, const placement_option& b)
        {
            return std::tuple(
                       a.remote_slowdown, a.rank, a.left, -a.count, a.server) <
                   std::tuple(
                       b.remote_slowdown, b.rank, b.left, -b.count, b.server);
        });
    placement_result result;
    for (const auto& item : options.first(needed))
    {
        if (result.tasks == tasks)
        {
            break;
        }
        const int count = std::min(item.count, tasks - result.tasks);
        result.parts.push_back({item.server, count});
        result.tasks += count;
        result.remote_slowdown =
            std::max(result.remote_slowdown, item.remote_slowdown);
        result.server_slowdown =
            result.parts.size() == 1
                ? item.server_slowdown
                : std::max(result.server_slowdown, item.server_slowdown);
    }
    return result;
}

// A gang runs at the pace of its slowest member. An urgent gang takes as few
// fast servers as its best pace allows. Another gang uses servers of one speed
// if that is possible without fast servers, since faster ones would wait for
// the others.
void rank_for_gang(const placement_request& request,
                   std::span<placement_option> options)
{
    const bool are_equal = std::all_of(
        options.begin(),
        options.end(),
        [&options](const placement_option& item)
        { return item.server_slowdown == options.front().server_slowdown; });
    if (are_equal)
    {
        return;
    }
    // Tasks that fit on the servers of each factor.
    std::map<double, int> fitting;
    for (const auto& item : options)
    {
        fitting[item.server_slowdown] += item.count;
    }
    double pace = fitting.rbegin()->first;
    bool is_alone = false;
    int total = 0;
    for (const auto& [slowdown, count] : fitting)
    {
        total += count;
        if (request.urgent && total >= request.tasks)
        {
            pace = slowdown;
            break;
        }
        if (!request.urgent && count >= request.tasks && slowdown >= 1 &&
            slowdown <= request.tolerated_slowdown)
        {
            pace = slowdown;
            is_alone = true;
        }
    }
    for (auto& item : options)
    {
        const double slowdown = item.server_slowdown;
        if (request.urgent)
        {
            item.rank = slowdown <= pace ? -slowdown : slowdown;
        }
        else if (is_alone && slowdown == pace)
        {
            item.rank = -std::numeric_limits<double>::infinity();
        }
    }
}

placement_result fill_gang(const placement_request& request,
                           std::span<placement_option> options)
{
    rank_for_gang(request, options);
    return fill(options, request.tasks);
}

// Places the whole gang in the nearest rack with the preferred speed. Among
// equal racks, an urgent gang prefers those kept for urgent steps, then the one
// that fits the fewest tasks.
std::optional<placement_result>
place_in_rack(const placement_request& request,
              std::span<const candidate_server> servers,
              const std::vector<placement_option>& options)
{
    std::vector<std::size_t> usable;
    usable.reserve(options.size());
    std::vector<const placement_option*> option_of(servers.size(), nullptr);
    for (const auto& item : options)
    {
        usable.push_back(item.server);
        option_of[item.server] = &item;
    }
    std::optional<placement_result> best;
    std::tuple<double, double, bool, int> best_rank;
    std::vector<placement_option> in_rack;
    for (const auto& rack : by_rack(servers, usable))
    {
        in_rack.clear();
        int total = 0;
        for (const auto server : rack)
        {
            in_rack.push_back(*option_of[server]);
            total += in_rack.back().count;
        }
        if (total < request.tasks)
        {
            continue;
        }
        auto result = fill_gang(request, in_rack);
        const bool kept = servers[rack.front()].reserved_for_urgent;
        const std::tuple rank{result.remote_slowdown,
                              rank_of(request, result.server_slowdown),
                              !kept,
                              total};
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
    auto result = fill_gang(request, options);
    if (result.tasks < request.tasks)
    {
        return std::nullopt;
    }
    if (request.step->same_rack)
    {
        result.remote_slowdown *= request.remote_slowdown;
    }
    return result;
}

} // namespace

resources occupied_by_task(const step_spec& step)
{
    auto need = step.need;
    if (step.best_effort)
    {
        need.cpu_millis = 0;
    }
    return need;
}

bool may_ever_run_on(const placement_request& request,
                     const candidate_server& server)
{
    return server.service == request.service &&
           (request.regions.empty() ||
            contains(request.regions, server.region)) &&
           (request.step->label.empty() ||
            contains(server.labels, request.step->label));
}

bool is_eligible(const placement_request& request,
                 const candidate_server& server)
{
    return (request.urgent || !server.reserved_for_urgent ||
            request.step->data_rack == server.rack) &&
           server.failures <= request.max_failures &&
           may_ever_run_on(request, server);
}

double remote_slowdown_on(const placement_request& request,
                          const candidate_server& server)
{
    const auto& rack = request.step->data_rack;
    const bool remote = !rack.empty() && server.rack != rack;
    return remote ? request.remote_slowdown : 1;
}

std::vector<std::vector<std::size_t>>
by_rack(std::span<const candidate_server> servers,
        std::span<const std::size_t> indices)
{
    std::unordered_map<std::string_view, std::size_t> numbers;
    std::vector<std::vector<std::size_t>> racks;
    for (const auto index : indices)
    {
        const auto [item, added] =
            numbers.emplace(servers[index].rack, racks.size());
        if (added)
        {
            racks.emplace_back();
        }
        racks[item->second].push_back(index);
    }
    return racks;
}

int tasks_allowed_on(const placement_request& request, std::size_t server)
{
    const int limit = request.step->max_per_server;
    if (limit <= 0)
    {
        return request.tasks;
    }
    const int existing_tasks = server < request.existing_tasks.size()
                                   ? request.existing_tasks[server]
                                   : 0;
    return std::clamp(limit - existing_tasks, 0, request.tasks);
}

std::optional<placement_result>
place_step(const placement_request& request,
           std::span<const candidate_server> servers)
{
    auto options = options_on(request, servers);
    if (request.step->gang)
    {
        return place_gang(request, servers, std::move(options));
    }
    auto result = fill(options, request.tasks);
    return result.tasks > 0 ? std::optional(std::move(result)) : std::nullopt;
}

bool can_ever_fit(const placement_request& request,
                  std::span<const candidate_server> servers)
{
    auto empty = request;
    empty.urgent = true;
    empty.max_slowdown = std::numeric_limits<double>::max();
    empty.max_failures = std::numeric_limits<int>::max();
    empty.existing_tasks.clear();
    empty.assume_empty = true;
    return place_step(empty, servers).has_value();
}

} // namespace poplarramp
