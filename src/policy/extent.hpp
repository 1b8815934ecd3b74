// Usable capacity of backend servers, and the capacity that a block or a task
// commits there. The extent of a block is the list of parts that it covers.
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
int free_capacity(const server_state& server);

// Accelerators of the part on one server; 0 if there is none.
int accelerators_on(const part_list& parts, int server);

// Accelerators available to a new block on a placeable server.
int uncommitted_capacity(const server_state& server);

// Accelerators of the extent that other tasks use.
int used_by_others(const cluster& servers, const part_list& extent);

// The parts, extended by `missing` accelerators on the given servers, those
// with the least available first. nullopt if there are not enough.
// `parts_are_committed`: the capacity of the parts is already committed.
std::optional<part_list> widen(const cluster& servers,
                               std::span<const int> indexes,
                               const part_list& parts,
                               bool parts_are_committed,
                               int missing);

// Capacity that opening a block, or adding a task to one, commits.
std::vector<commitment> extent_commitments(const part_list& extent,
                                           const part_list& parts);
std::vector<commitment> entry_commitments(const block& target,
                                          const part_list& parts);
// Capacity that a pinned borrowed task commits.
std::vector<commitment> pinned_commitments(const part_list& parts);

} // namespace poplarramp

#endif
