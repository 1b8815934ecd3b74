// What the present fleet can hold of a step, whatever runs on it now. Work that
// cannot run must not take capacity from other work. Stateless functions on
// plain data, and a copy of the capacity for the time of one plan.
#ifndef POPLARRAMP_POLICY_FLEET_FIT_HPP
#define POPLARRAMP_POLICY_FLEET_FIT_HPP

#include "base/time.hpp"
#include "policy/capacity_search.hpp"
#include "policy/step_placement.hpp"

#include <span>
#include <vector>

namespace poplarramp
{

// Tasks of the request that fit at once on the servers if each had this much
// room: all or none of a gang. Preconditions: `step` is set, and `room` has an
// entry for each server or is empty, which stands for empty servers. Thread
// safe.
int count_tasks_that_fit(const placement_request& request,
                         std::span<const candidate_server> servers,
                         std::span<const resources> room);

// What each server has besides the runs that are expected to end after
// `until`; empty if there are no such runs. Precondition: the indices in
// `servers` and `groups` refer to each other. Thread safe.
std::vector<resources> room_until(std::span<const candidate_server> servers,
                                  std::span<const run_group> groups,
                                  time_point until);

// Largest share of any resource of all servers that the tasks take. Thread
// safe.
double share_of_fleet(const resources& fleet, const resources& need, int tasks);

// Capacity of all servers together. Thread safe.
resources total_capacity(std::span<const candidate_server> servers);

} // namespace poplarramp

#endif
