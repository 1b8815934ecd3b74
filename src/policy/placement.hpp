// Best-fit placement of a number of accelerators on one server, one rack, or
// the fewest racks.
#ifndef POPLARRAMP_POLICY_PLACEMENT_HPP
#define POPLARRAMP_POLICY_PLACEMENT_HPP

#include "policy/cluster.hpp"

#include <functional>
#include <optional>
#include <span>

namespace poplarramp
{

// A shape is a number of accelerators that is a power of two: the size of a
// guaranteed block, or that of a job rounded up.
constexpr int largest_shape = 256;

// Smallest power of two that is not below `accelerators`; 0 for 0.
int shape_of(int accelerators);

// Accelerators of the largest server and rack. A job that fits in the largest
// server is not split over servers, and one that fits in the largest rack is
// not split over racks.
struct locality_limits
{
    int largest_server = 0;
    int largest_rack = 0;
};

// Accelerators that a job may use on a server; 0 if it has no free slot.
using capacity_function = std::function<int(int server)>;

// Parts for `accelerators` (at least 1), or nullopt if they do not fit. Within
// one server: the best-fitting one. Beyond that: the best-fitting rack, else
// the fewest racks; within a rack the servers with the least available come
// first, so that the others keep large shapes free.
std::optional<part_list> find_place(const cluster& servers,
                                    int accelerators,
                                    const locality_limits& limits,
                                    const capacity_function& available);

// Parts for `accelerators` on any number of the given servers, those with the
// least available first. nullopt if there are not enough.
std::optional<part_list>
fill_smallest_first(std::span<const int> servers,
                    int accelerators,
                    const capacity_function& available);

// The best-fitting rack if one has enough available, else the fewest racks.
// Empty if all racks together do not have enough.
std::vector<int> choose_racks(const cluster& servers,
                              int accelerators,
                              const capacity_function& available);

} // namespace poplarramp

#endif
