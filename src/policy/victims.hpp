// Selection of preemption victims: the cheapest tasks to stop so that a job
// fits.
#ifndef POPLARRAMP_POLICY_VICTIMS_HPP
#define POPLARRAMP_POLICY_VICTIMS_HPP

#include "base/time.hpp"
#include "policy/cluster.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace poplarramp
{

// Time that a victim has for its checkpoint before it is stopped without one.
constexpr milliseconds reclaim_timeout{2000};

// Accelerator milliseconds that are lost if the task is stopped now: its run
// time so far, or the checkpoint time if the checkpoint completes within
// `reclaim_timeout`.
std::int64_t preemption_cost(const placed_task& task, time_point now);

// Cost of stopping a task; nullopt if the task may not be preempted.
using victim_cost =
    std::function<std::optional<std::int64_t>(const placed_task&)>;

// Cost for reclaiming a guarantee: any borrowed task that is not pinned.
victim_cost reclaim_cost(time_point now);
// Cost for an urgent job: the tasks of `preemptible_by_urgent`.
victim_cost urgent_cost(time_point now);

struct victim_plan
{
    std::int64_t cost = 0;
    std::vector<std::int64_t> victims;
    part_list parts;
};

// Cheapest victims for `accelerators` and one slot on a server. Exact for up to
// 64 candidates. Tasks that are already stopping cost nothing.
std::optional<victim_plan> victims_on_server(const cluster& servers,
                                             int server,
                                             int accelerators,
                                             const victim_cost& cost);

// Cheapest victims for `accelerators` over several servers, with at most
// `limit` accelerators on each and one slot on each server used. Exact if no
// victim has parts on two of the servers; otherwise a valid set without
// superfluous victims.
std::optional<victim_plan>
victims_on_servers(const cluster& servers,
                   std::span<const int> indexes,
                   int accelerators,
                   const std::function<int(int server)>& limit,
                   const victim_cost& cost);

} // namespace poplarramp

#endif
