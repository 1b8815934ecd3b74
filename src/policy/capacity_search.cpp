#include "policy/capacity_search.hpp"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>

namespace poplarramp
{

namespace
{

// Groups whose end makes room for one more task on a server.
struct extension
{
    double cost = 0;
    std::vector<std::size_t> groups;
    // Accelerators left over on the server.
    std::int64_t left = 0;
};

// An entry of the queue of servers, by the cost of one more task there.
struct queued_server
{
    double cost = 0;
    std::int64_t left = 0;
    std::size_t server = 0;

    bool operator<(const queued_server& other) const
    {
        return std::tie(cost, left, server) >
               std::tie(other.cost, other.left, other.server);
    }
};

// Fills a set of servers task by task, each at the lowest additional cost.
class capacity_fill
{
public:
    capacity_fill(const placement_request& request,
                  std::span<const candidate_server> servers,
                  std::span<const run_group> groups,
                  const end_cost& cost)
        : request_(request), need_(occupied_by_task(*request.step)),
          servers_(servers), groups_(groups), cost_(cost)
    {
    }

    std::optional<capacity_claim> fill(const std::vector<std::size_t>& usable,
                                       double max_cost)
    {
        claim_ = {};
        counts_.clear();
        std::priority_queue<queued_server> queue;
        for (const auto server : usable)
        {
            push(queue, server);
        }
        int placed = 0;
        while (placed < request_.tasks && !queue.empty())
        {
            const auto next = queue.top();
            queue.pop();
            const auto room = extend(next.server);
            if (!room)
            {
                continue;
            }
            // A group that was chosen meanwhile may have changed the cost.
            if (room->cost > next.cost)
            {
                queue.push({room->cost, room->left, next.server});
                continue;
            }
            claim_.cost += room->cost;
            if (claim_.cost >= max_cost)
            {
                return std::nullopt;
            }
            claim_.groups.insert(
                claim_.groups.end(), room->groups.begin(), room->groups.end());
            ++counts_[next.server];
            ++placed;
            push(queue, next.server);
        }
        if (placed < request_.tasks)
        {
            return std::nullopt;
        }
        for (const auto& [server, count] : counts_)
        {
            claim_.parts.push_back({server, count});
        }
        return std::move(claim_);
    }

private:
    void push(std::priority_queue<queued_server>& queue, std::size_t server)
    {
        if (const auto room = extend(server))
        {
            queue.push({room->cost, room->left, server});
        }
    }

    bool is_chosen(std::size_t group) const
    {
        return std::find(claim_.groups.begin(), claim_.groups.end(), group) !=
               claim_.groups.end();
    }

    // Adds the cheapest groups until one more task fits, then removes those
    // that turned out to be needless, the most expensive first.
    std::optional<extension> extend(std::size_t index)
    {
        const auto& server = servers_[index];
        const auto found = counts_.find(index);
        const int count = found == counts_.end() ? 0 : found->second;
        if (count >= tasks_allowed_on(request_, index))
        {
            return std::nullopt;
        }
        auto available = server.free;
        for (int i = 0; i < count; ++i)
        {
            available -= need_;
        }
        auto& options = options_;
        options.clear();
        for (const auto group : server.groups)
        {
            if (groups_[group].stopping || is_chosen(group))
            {
                available += groups_[group].need;
            }
            else if (const auto cost = cost_(group, claim_.groups))
            {
                options.emplace_back(*cost, group);
            }
        }
        std::sort(options.begin(), options.end());
        std::size_t used = 0;
        while (used < options.size() && !available.covers(need_))
        {
            available += groups_[options[used].second].need;
            ++used;
        }
        if (!available.covers(need_))
        {
            return std::nullopt;
        }
        extension result;
        for (std::size_t i = used; i-- > 0;)
        {
            const auto [cost, group] = options[i];
            auto without = available;
            without -= groups_[group].need;
            if (without.covers(need_))
            {
                available = without;
                continue;
            }
            const bool repeated =
                std::find(result.groups.begin(), result.groups.end(), group) !=
                result.groups.end();
            if (!repeated)
            {
                result.cost += cost;
                result.groups.push_back(group);
            }
        }
        result.left = available.accelerators - need_.accelerators;
        return result;
    }

    const placement_request& request_;
    const resources need_;
    const std::span<const candidate_server> servers_;
    const std::span<const run_group> groups_;
    const end_cost& cost_;
    capacity_claim claim_;
    // Tasks on each server.
    std::map<std::size_t, int> counts_;
    // Groups that could end on a server; kept to reuse its memory.
    std::vector<std::pair<double, std::size_t>> options_;
};

// Indices of the servers that could take a task if all their runs ended.
std::vector<std::size_t>
usable_servers(const placement_request& request,
               std::span<const candidate_server> servers)
{
    const auto need = occupied_by_task(*request.step);
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        if (servers[i].capacity.covers(need) &&
            is_eligible(request, servers[i]) &&
            remote_slowdown_on(request, servers[i]) <= request.max_slowdown)
        {
            usable.push_back(i);
        }
    }
    return usable;
}

// True if the servers could take all tasks if they were empty.
bool could_hold_all(const placement_request& request,
                    std::span<const candidate_server> servers,
                    const std::vector<std::size_t>& usable)
{
    const auto need = occupied_by_task(*request.step);
    int total = 0;
    for (const auto server : usable)
    {
        total += servers[server].capacity.count_fitting(
            need, tasks_allowed_on(request, server));
    }
    return total >= request.tasks;
}

} // namespace

std::optional<capacity_claim>
find_capacity(const placement_request& request,
              std::span<const candidate_server> servers,
              std::span<const run_group> groups,
              const end_cost& cost,
              double max_cost)
{
    const auto usable = usable_servers(request, servers);
    if (!could_hold_all(request, servers, usable))
    {
        return std::nullopt;
    }
    capacity_fill filler(request, servers, groups, cost);
    if (request.step->gang && request.step->same_rack)
    {
        std::optional<capacity_claim> best;
        for (const auto& in_rack : by_rack(servers, usable))
        {
            if (!could_hold_all(request, servers, in_rack))
            {
                continue;
            }
            auto claim = filler.fill(in_rack, best ? best->cost : max_cost);
            if (claim)
            {
                best = std::move(claim);
            }
        }
        if (best || request.remote_slowdown > request.max_slowdown)
        {
            return best;
        }
    }
    return filler.fill(usable, max_cost);
}

} // namespace poplarramp
