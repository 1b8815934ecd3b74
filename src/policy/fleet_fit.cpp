#include "policy/fleet_fit.hpp"

#include <algorithm>

namespace poplarramp
{

int count_tasks_that_fit(const placement_request& request,
                         std::span<const candidate_server> servers,
                         std::span<const resources> room)
{
    const auto need = occupied_by_task(*request.step);
    const int limit = request.step->max_per_server;
    int total = 0;
    for (std::size_t i = 0; i < servers.size() && total < request.tasks; ++i)
    {
        const auto& available = room.empty() ? servers[i].capacity : room[i];
        if (available.covers(need) && may_ever_run_on(request, servers[i]))
        {
            const int missing = request.tasks - total;
            total += available.count_fitting(
                need, limit > 0 ? std::min(limit, missing) : missing);
        }
    }
    return request.step->gang && total < request.tasks ? 0 : total;
}

std::vector<resources> room_until(std::span<const candidate_server> servers,
                                  std::span<const run_group> groups,
                                  time_point until)
{
    std::vector<resources> room;
    for (const auto& group : groups)
    {
        if (group.stopping || group.expected_end <= until)
        {
            continue;
        }
        if (room.empty())
        {
            room.reserve(servers.size());
            for (const auto& server : servers)
            {
                room.push_back(server.capacity);
            }
        }
        for (const auto server : group.servers)
        {
            room[server] -= group.need;
        }
    }
    return room;
}

double share_of_fleet(const resources& fleet, const resources& need, int tasks)
{
    const auto share = [tasks](std::int64_t wanted, std::int64_t all)
    {
        return all > 0 ? static_cast<double>(wanted) * tasks /
                             static_cast<double>(all)
                       : 0;
    };
    return std::max({share(need.cpu_millis, fleet.cpu_millis),
                     share(need.memory_mb, fleet.memory_mb),
                     share(need.accelerators, fleet.accelerators)});
}

resources total_capacity(std::span<const candidate_server> servers)
{
    resources total;
    for (const auto& server : servers)
    {
        total += server.capacity;
    }
    return total;
}

} // namespace poplarramp
