#include "policy/victims.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr std::int64_t infeasible_cost =
    std::numeric_limits<std::int64_t>::max() / 4;

// Higher than the cost of any run time, so that these tasks are preempted last:
// a job that cannot run again would be lost, and a person waits for an urgent
// one.
constexpr std::int64_t lost_job_cost = std::int64_t{1} << 50;
constexpr std::int64_t urgent_task_cost = std::int64_t{1} << 44;

// Cheapest set of victims for a number of accelerators on a server.
struct victim_set
{
    std::int64_t cost = infeasible_cost;
    // Bit mask over the list of candidates.
    std::uint64_t victims = 0;
};

// Bits of a victim mask.
constexpr std::size_t max_candidates = 64;

struct candidate
{
    const placed_task* task = nullptr;
    int accelerators = 0;
    std::int64_t cost = 0;
};

// Cheapest victim sets for 0..n accelerators and one slot on a server.
struct server_options
{
    std::vector<candidate> candidates;
    std::vector<victim_set> cheapest;
};

std::vector<candidate>
candidates_on(const cluster& servers, int server, const victim_cost& cost)
{
    std::vector<candidate> found;
    for (const auto* task : servers.at(server).tasks)
    {
        const auto task_cost = task->stopping ? std::nullopt : cost(*task);
        if (!task_cost || found.size() == max_candidates)
        {
            continue;
        }
        const auto share = std::find_if(task->parts.begin(),
                                        task->parts.end(),
                                        [server](const part& p)
                                        { return p.server == server; });
        found.push_back({task, share->accelerators, *task_cost});
    }
    return found;
}

void improve(victim_set& target, std::int64_t cost, std::uint64_t victims)
{
    if (cost < target.cost)
    {
        target.cost = cost;
        target.victims = victims;
    }
}

// Cheapest sets that free at least 0..n accelerators: [0] without a victim, [1]
// with at least one, which also frees a slot.
using freed_sets = std::array<std::vector<victim_set>, 2>;

freed_sets cheapest_to_free(const std::vector<candidate>& candidates,
                            int max_accelerators)
{
    const auto size = static_cast<std::size_t>(max_accelerators) + 1;
    freed_sets best{std::vector<victim_set>(size),
                    std::vector<victim_set>(size)};
    best[0][0].cost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& item = candidates[i];
        const auto previous = best;
        for (std::size_t freed = 0; freed < size; ++freed)
        {
            const auto target = std::min(
                size - 1, freed + static_cast<std::size_t>(item.accelerators));
            for (const auto& before : previous)
            {
                const auto& from = before[freed];
                if (from.cost < infeasible_cost)
                {
                    improve(best[1][target],
                            from.cost + item.cost,
                            from.victims | (std::uint64_t{1} << i));
                }
            }
        }
    }
    return best;
}

server_options options_on_server(const cluster& servers,
                                 int server,
                                 int max_accelerators,
                                 const victim_cost& cost)
{
    server_options result;
    const auto base = servers.at(server).prospective();
    result.cheapest.resize(static_cast<std::size_t>(max_accelerators) + 1);
    if (!servers.at(server).placeable())
    {
        return result;
    }
    result.candidates = candidates_on(servers, server, cost);
    const auto freed = cheapest_to_free(result.candidates, max_accelerators);
    // Adopted tasks may use more slots than the server has. A set of victims is
    // counted as freeing a single slot.
    const bool without_victim = base.slots >= 1;
    const bool with_victim = base.slots >= 0;
    for (int needed = 0; needed <= max_accelerators; ++needed)
    {
        auto& target = result.cheapest[static_cast<std::size_t>(needed)];
        const int missing = std::max(0, needed - base.accelerators);
        for (int f = missing; f <= max_accelerators; ++f)
        {
            const auto index = static_cast<std::size_t>(f);
            if (without_victim)
            {
                improve(target, freed[0][index].cost, freed[0][index].victims);
            }
            if (with_victim)
            {
                improve(target, freed[1][index].cost, freed[1][index].victims);
            }
        }
    }
    return result;
}

void add_victims(const server_options& source,
                 std::uint64_t bits,
                 std::set<std::int64_t>& victims)
{
    for (std::size_t i = 0; i < source.candidates.size(); ++i)
    {
        if ((bits >> i & 1) != 0)
        {
            victims.insert(source.candidates[i].task->number);
        }
    }
}

// True if the parts fit once the victims have stopped.
bool fits_without(const cluster& servers,
                  const part_list& parts,
                  const std::set<std::int64_t>& victims)
{
    for (const auto& share : parts)
    {
        auto left = servers.at(share.server).prospective();
        for (const auto* task : servers.at(share.server).tasks)
        {
            if (victims.count(task->number) == 0)
            {
                continue;
            }
            for (const auto& freed : task->parts)
            {
                const bool same_server = freed.server == share.server;
                left.accelerators += same_server ? freed.accelerators : 0;
                left.slots += same_server ? 1 : 0;
            }
        }
        if (left.accelerators < share.accelerators || left.slots < 1)
        {
            return false;
        }
    }
    return true;
}

// Drops victims that are not needed, the most expensive first: a gang that was
// selected on one server also frees capacity on others.
void drop_superfluous(const cluster& servers,
                      const part_list& parts,
                      const victim_cost& cost,
                      std::set<std::int64_t>& victims)
{
    std::vector<std::pair<std::int64_t, std::int64_t>> by_cost;
    by_cost.reserve(victims.size());
    for (const auto number : victims)
    {
        by_cost.emplace_back(-*cost(*servers.find_task(number)), number);
    }
    std::sort(by_cost.begin(), by_cost.end());
    for (const auto& [negative, number] : by_cost)
    {
        victims.erase(number);
        if (!fits_without(servers, parts, victims))
        {
            victims.insert(number);
        }
    }
}

// Number of accelerators to take on each server at the lowest total cost, by
// dynamic programming. Empty if there are not enough.
std::vector<int>
shares_at_lowest_cost(const std::vector<server_options>& tables,
                      int accelerators)
{
    const auto size = static_cast<std::size_t>(accelerators) + 1;
    std::vector<std::int64_t> best(size, infeasible_cost);
    best[0] = 0;
    std::vector<std::vector<int>> taken(tables.size(),
                                        std::vector<int>(size, 0));
    for (std::size_t i = 0; i < tables.size(); ++i)
    {
        auto next = best;
        for (std::size_t share = 1; share < tables[i].cheapest.size(); ++share)
        {
            const auto cost = tables[i].cheapest[share].cost;
            for (std::size_t sum = share; cost < infeasible_cost && sum < size;
                 ++sum)
            {
                const auto total = best[sum - share] + cost;
                if (total < next[sum])
                {
                    next[sum] = total;
                    taken[i][sum] = static_cast<int>(share);
                }
            }
        }
        best = std::move(next);
    }
    if (best.back() >= infeasible_cost)
    {
        return {};
    }
    std::vector<int> shares(tables.size(), 0);
    auto left = size - 1;
    for (std::size_t i = tables.size(); i-- > 0;)
    {
        shares[i] = taken[i][left];
        left -= static_cast<std::size_t>(shares[i]);
    }
    return shares;
}

std::int64_t total_cost(const cluster& servers,
                        const std::set<std::int64_t>& victims,
                        const victim_cost& cost)
{
    std::int64_t sum = 0;
    for (const auto number : victims)
    {
        sum += *cost(*servers.find_task(number));
    }
    return sum;
}

} // namespace

std::int64_t preemption_cost(const placed_task& task, time_point now)
{
    const bool saved =
        task.can_checkpoint && task.checkpoint_time <= reclaim_timeout;
    const auto run = std::max(milliseconds{0}, now - task.started);
    const auto lost = saved ? task.checkpoint_time : run;
    return lost.count() * std::max(1, task.accelerators);
}

victim_cost reclaim_cost(time_point now)
{
    return [now](const placed_task& task) -> std::optional<std::int64_t>
    {
        if (task.pinned || task.in_guarantee)
        {
            return std::nullopt;
        }
        auto cost = preemption_cost(task, now);
        cost += task.urgent ? urgent_task_cost : 0;
        return cost + (loses_job(task) ? lost_job_cost : 0);
    };
}

victim_cost urgent_cost(time_point now)
{
    return [now](const placed_task& task) -> std::optional<std::int64_t>
    {
        if (!preemptible_by_urgent(task))
        {
            return std::nullopt;
        }
        return preemption_cost(task, now);
    };
}

std::optional<victim_plan> victims_on_server(const cluster& servers,
                                             int server,
                                             int accelerators,
                                             const victim_cost& cost)
{
    const auto table = options_on_server(servers, server, accelerators, cost);
    const auto& chosen = table.cheapest.back();
    if (chosen.cost >= infeasible_cost)
    {
        return std::nullopt;
    }
    std::set<std::int64_t> victims;
    add_victims(table, chosen.victims, victims);
    victim_plan plan;
    plan.cost = chosen.cost;
    plan.victims.assign(victims.begin(), victims.end());
    plan.parts = {{server, accelerators}};
    return plan;
}

std::optional<victim_plan>
victims_on_servers(const cluster& servers,
                   std::span<const int> indexes,
                   int accelerators,
                   const std::function<int(int server)>& limit,
                   const victim_cost& cost)
{
    std::vector<server_options> tables;
    for (const int server : indexes)
    {
        const int max_accelerators = std::clamp(limit(server), 0, accelerators);
        tables.push_back(
            options_on_server(servers, server, max_accelerators, cost));
    }
    const auto shares = shares_at_lowest_cost(tables, accelerators);
    if (shares.empty())
    {
        return std::nullopt;
    }
    victim_plan plan;
    std::set<std::int64_t> victims;
    for (std::size_t i = 0; i < tables.size(); ++i)
    {
        if (shares[i] > 0)
        {
            const auto& chosen =
                tables[i].cheapest[static_cast<std::size_t>(shares[i])];
            add_victims(tables[i], chosen.victims, victims);
            plan.parts.push_back({indexes[i], shares[i]});
        }
    }
    drop_superfluous(servers, plan.parts, cost, victims);
    plan.cost = total_cost(servers, victims, cost);
    plan.victims.assign(victims.begin(), victims.end());
    return plan;
}

} // namespace poplarramp
