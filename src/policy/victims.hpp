// The cheapest set of tasks to stop so that a job finds a place.
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

// A victim that was asked for a checkpoint is stopped without one after this
// time.
constexpr milliseconds reclaim_timeout{2000};

// Accelerator milliseconds that are lost when the task is stopped now: the run
// time since its start, or the time of a checkpoint if that ends in time.
std::int64_t preemption_cost(const placed_task& task, time_point now);

// Cost of stopping a task; nothing if the job may not preempt it.
using victim_cost =
    std::function<std::optional<std::int64_t>(const placed_task&)>;

// Any borrowed task that is not pinned.
victim_cost reclaim_cost(time_point now);
// Borrowed patient tasks that lose no job when they are stopped.
victim_cost urgent_cost(time_point now);

struct victim_plan
{
    std::int64_t cost = 0;
    std::vector<std::int64_t> victims;
    part_list parts;
};

// Victims for `accelerators` and one slot on a server. Exact. Tasks that are
// stopping already cost nothing.
std::optional<victim_plan> victims_on_server(const cluster& servers,
                                             int server,
                                             int accelerators,
                                             const victim_cost& cost);

// Victims for `accelerators` over several servers, with at most `limit` on each
// and one slot on each that is used. Exact if no victim has parts on two of the
// servers; otherwise a valid set without superfluous victims.
std::optional<victim_plan>
victims_on_servers(const cluster& servers,
                   std::span<const int> indexes,
                   int accelerators,
                   const std::function<int(int server)>& limit,
                   const victim_cost& cost);

} // namespace poplarramp

#endif
