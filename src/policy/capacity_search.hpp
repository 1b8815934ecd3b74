// Finds the cheapest capacity for a step that does not fit into the free
// resources, counting on the end of runs. Stateless functions on plain data.
#ifndef POPLARRAMP_POLICY_CAPACITY_SEARCH_HPP
#define POPLARRAMP_POLICY_CAPACITY_SEARCH_HPP

#include "base/time.hpp"
#include "policy/job_value.hpp"
#include "policy/step_placement.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace poplarramp
{

// Runs that end together: the members of one attempt of a gang, or one run.
struct run_group
{
    int priority = 0;
    // Index of the customer of the job.
    std::size_t customer = 0;
    // Resources that each member uses.
    resources need;
    // Index of the server of each member; members on servers that cannot be
    // used are left out.
    std::vector<std::size_t> servers;
    // Accelerators of all members together.
    std::int64_t accelerators = 0;
    // What all members together count with under their customer's limit.
    resources charged;
    // Work that is lost if the group is stopped now, in core seconds.
    double lost_core_seconds = 0;
    // When the group is expected to end by itself.
    time_point expected_end{};
    job_times job;
    // Estimated run time of a member from the start, and what a new start would
    // have left of it now.
    milliseconds estimate{0};
    milliseconds left_after_stop{0};
    // A task of it was stopped for another step before.
    bool stopped_before = false;
    // It is being stopped, so that its resources become free soon.
    bool stopping = false;
    // May be stopped for another step.
    bool preemptible = true;
};

// Capacity for all tasks of a request.
struct capacity_claim
{
    std::vector<placed_tasks> parts;
    // Indices of the groups that must end first, without those that are being
    // stopped.
    std::vector<std::size_t> groups;
    double cost = 0;
};

// Cost of the end of a group, given the groups that were chosen before; nullopt
// if the claim must not count on it, and 0 if it ends anyway.
using end_cost = std::function<std::optional<double>(
    std::size_t group, std::span<const std::size_t> chosen)>;

// Finds capacity for all tasks of the request, at a low total cost: for gangs
// that must share a rack in one rack. nullopt if there is none, or none cheaper
// than `max_cost`. Precondition: `request.step` is set, and the indices in
// `servers` and `groups` refer to each other. Thread safe.
std::optional<capacity_claim>
find_capacity(const placement_request& request,
              std::span<const candidate_server> servers,
              std::span<const run_group> groups,
              const end_cost& cost,
              double max_cost);

} // namespace poplarramp

#endif
