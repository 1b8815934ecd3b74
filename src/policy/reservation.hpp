// Servers that drain for a large job that has waited long.
#ifndef POPLARRAMP_POLICY_RESERVATION_HPP
#define POPLARRAMP_POLICY_RESERVATION_HPP

#include "policy/cluster.hpp"
#include "policy/placement.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace poplarramp
{

// A job of at least two accelerators that waits longer gets a reservation;
// smaller ones fit into any gap.
constexpr milliseconds reservation_wait{60000};
constexpr int min_reserved_accelerators = 2;

// More would leave too little to work with while they drain.
constexpr std::size_t max_reservations = 4;

// How often the servers and the start are chosen again.
constexpr milliseconds reservation_check{5000};

struct reservation
{
    std::int64_t job = 0;
    std::vector<int> servers;
    // When the servers are expected to have drained.
    time_point from{};
};

// The servers that are expected to drain first: one server, or servers of one
// rack, or of the racks with the most capacity. Servers reserved for another
// job are left out. Nothing if no such set can hold the job.
std::optional<reservation> choose_reservation(const cluster& servers,
                                              const span_limits& limits,
                                              std::int64_t job,
                                              int accelerators,
                                              bool pinned,
                                              time_point now);

} // namespace poplarramp

#endif
