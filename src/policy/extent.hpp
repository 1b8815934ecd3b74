// Room on backend servers, and what a block or a task binds there.
#ifndef POPLARRAMP_POLICY_EXTENT_HPP
#define POPLARRAMP_POLICY_EXTENT_HPP

#include "policy/cluster.hpp"
#include "policy/guarantee.hpp"
#include "policy/placement.hpp"

#include <optional>
#include <span>
#include <vector>

namespace poplarramp
{

// Accelerators usable now on a placeable server; 0 if it has no free slot.
int free_room(const server_state& server);

// Accelerators of the parts on one server; 0 if there is none.
int accelerators_on(const part_list& parts, int server);

// Room for a new block on a placeable server.
int unbound_room(const server_state& server);

// Accelerators of the extent that other tasks use.
int guests_in(const cluster& servers, const part_list& extent);

// The parts, widened by `missing` accelerators of the servers given, smallest
// rooms first. `parts_are_bound`: the parts are already firm.
std::optional<part_list> widen(const cluster& servers,
                               std::span<const int> indexes,
                               const part_list& parts,
                               bool parts_are_bound,
                               int missing);

// Firm amounts that opening or entering a block binds.
std::vector<firm_change> firm_of_extent(const part_list& extent,
                                        const part_list& parts);
std::vector<firm_change> firm_of_entry(const block& target,
                                       const part_list& parts);
// Firm amounts of a pinned borrowed task.
std::vector<firm_change> firm_of_pinned(const part_list& parts);

} // namespace poplarramp

#endif
