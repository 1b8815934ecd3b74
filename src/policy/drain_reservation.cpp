#include "policy/drain_reservation.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// A task that has run longer than expected is assumed to run for another half
// of its run time so far.
time_point estimated_end(const placed_task& task, time_point now)
{
    if (task.expected_end > now)
    {
        return task.expected_end;
    }
    return now + (now - task.started) / 2;
}

// Accelerators available to the job once all tasks of the server have ended.
int capacity_for(const server_state& server, std::int64_t job, bool pinned)
{
    const bool taken = server.draining_for != 0 && server.draining_for != job;
    if (!server.placeable() || taken)
    {
        return 0;
    }
    const int uncommitted = std::max(0, server.uncommitted().accelerators);
    return pinned ? std::min(uncommitted, server.info.accelerators)
                  : server.info.accelerators;
}

// When the server is expected to have `needed` accelerators free.
time_point
drain_time(const cluster& servers, int index, int needed, time_point now)
{
    const auto& server = servers.at(index);
    std::vector<std::pair<time_point, int>> ends;
    for (const auto* task : server.tasks)
    {
        for (const auto& share : task->parts)
        {
            if (share.server == index && share.accelerators > 0)
            {
                ends.emplace_back(estimated_end(*task, now),
                                  share.accelerators);
            }
        }
    }
    std::sort(ends.begin(), ends.end());
    int left = server.prospective().accelerators;
    auto at = now;
    for (const auto& [end, accelerators] : ends)
    {
        if (left >= needed)
        {
            break;
        }
        left += accelerators;
        at = end;
    }
    return at;
}

// Servers of the list in order of their drain time, until they can hold the
// job.
std::optional<drain_reservation>
earliest_to_drain(const cluster& servers,
                  const std::vector<int>& indexes,
                  std::int64_t job,
                  int accelerators,
                  bool pinned,
                  time_point now)
{
    std::vector<std::pair<time_point, int>> order;
    for (const int index : indexes)
    {
        const auto& server = servers.at(index);
        const int capacity = capacity_for(server, job, pinned);
        if (capacity > 0)
        {
            order.emplace_back(drain_time(servers, index, capacity, now),
                               index);
        }
    }
    std::sort(order.begin(), order.end());
    drain_reservation result{job, {}, now};
    int missing = accelerators;
    for (const auto& [at, index] : order)
    {
        if (missing <= 0)
        {
            break;
        }
        missing -= capacity_for(servers.at(index), job, pinned);
        result.servers.push_back(index);
        result.expected_drain_end = at;
    }
    if (missing > 0)
    {
        return std::nullopt;
    }
    return result;
}

void keep_earlier(std::optional<drain_reservation>& best,
                  std::optional<drain_reservation> next)
{
    if (next && (!best || next->expected_drain_end < best->expected_drain_end))
    {
        best = std::move(next);
    }
}

} // namespace

std::optional<drain_reservation>
choose_drain_reservation(const cluster& servers,
                         const locality_limits& limits,
                         std::int64_t job,
                         int accelerators,
                         bool pinned,
                         time_point now)
{
    std::optional<drain_reservation> best;
    if (accelerators <= limits.largest_server)
    {
        for (const int index : servers.accelerator_servers())
        {
            const auto& server = servers.at(index);
            if (capacity_for(server, job, pinned) >= accelerators)
            {
                keep_earlier(
                    best,
                    drain_reservation{
                        job,
                        {index},
                        drain_time(servers, index, accelerators, now)});
            }
        }
        return best;
    }
    if (accelerators <= limits.largest_rack)
    {
        for (const auto& members : servers.racks())
        {
            keep_earlier(best,
                         earliest_to_drain(
                             servers, members, job, accelerators, pinned, now));
        }
        return best;
    }
    const auto available = [&](int index)
    {
        return capacity_for(servers.at(index), job, pinned);
    };
    std::vector<int> indexes;
    for (const int rack : choose_racks(servers, accelerators, available))
    {
        const auto& members = servers.racks()[static_cast<std::size_t>(rack)];
        indexes.insert(indexes.end(), members.begin(), members.end());
    }
    return earliest_to_drain(servers, indexes, job, accelerators, pinned, now);
}

} // namespace poplarramp
