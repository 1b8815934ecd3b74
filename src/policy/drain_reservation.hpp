// Drain reservations: servers that drain for a large job that has waited long.
#ifndef POPLARRAMP_POLICY_DRAIN_RESERVATION_HPP
#define POPLARRAMP_POLICY_DRAIN_RESERVATION_HPP

#include "policy/cluster.hpp"
#include "policy/placement.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace poplarramp
{

// A job of at least two accelerators that waits longer than this gets a drain
// reservation; smaller jobs fit into any gap.
constexpr milliseconds drain_reservation_delay{60000};
constexpr int min_drain_accelerators = 2;

// More reservations would leave too little capacity while the servers drain.
constexpr std::size_t max_drain_reservations = 4;

// Interval at which the servers of the reservations are chosen again.
constexpr milliseconds drain_check_interval{5000};

struct drain_reservation
{
    std::int64_t job = 0;
    std::vector<int> servers;
    // When the servers are expected to have drained.
    time_point expected_drain_end{};
};

// The servers that are expected to drain first: one server, servers of one
// rack, or, for a job larger than any rack, of the fewest racks. Servers
// reserved for another job are left out. nullopt if no such set can hold the
// job.
std::optional<drain_reservation>
choose_drain_reservation(const cluster& servers,
                         const locality_limits& limits,
                         std::int64_t job,
                         int accelerators,
                         bool pinned,
                         time_point now);

} // namespace poplarramp

#endif
