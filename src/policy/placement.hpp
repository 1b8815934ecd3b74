// Where a number of accelerators goes: one server, one rack, or the fewest
// racks.
#ifndef POPLARRAMP_POLICY_PLACEMENT_HPP
#define POPLARRAMP_POLICY_PLACEMENT_HPP

#include "policy/cluster.hpp"

#include <functional>
#include <optional>
#include <span>

namespace poplarramp
{

constexpr int largest_shape = 256;

// Smallest power of two that is not below `accelerators`; 0 for 0.
int shape_of(int accelerators);

// Sizes that decide how far apart the parts of a job may be.
struct span_limits
{
    int largest_server = 0;
    int largest_rack = 0;
};

// Accelerators that a job may use on a server; 0 if none or no slot is left.
using room_function = std::function<int(int server)>;

// Parts for `accelerators` (at least 1), or nothing if no place exists. In one
// server: the one with the least room that fits. In racks: the rack with the
// least room that fits, else the fewest racks; within a rack the smallest rooms
// first, so that the servers left keep the largest shapes.
std::optional<part_list> find_place(const cluster& servers,
                                    int accelerators,
                                    const span_limits& limits,
                                    const room_function& room);

// The same, limited to the servers given; the count may use several of them.
std::optional<part_list> fill_smallest_first(std::span<const int> servers,
                                             int accelerators,
                                             const room_function& room);

// Racks for `accelerators`: one if one has enough room, else the fewest.
// Empty if all together have not enough.
std::vector<int> choose_racks(const cluster& servers,
                              int accelerators,
                              const room_function& room);

} // namespace poplarramp

#endif
