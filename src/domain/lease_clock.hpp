// Lease of everything that runs on one life of a backend server, measured on
// the clock of that server.
#ifndef POPLARRAMP_DOMAIN_LEASE_CLOCK_HPP
#define POPLARRAMP_DOMAIN_LEASE_CLOCK_HPP

#include "base/time.hpp"
#include "domain/server_api.hpp"

#include <optional>

namespace poplarramp
{

// Length of the leases that a leader grants. Outlasts the takeover by another
// leader, which takes about 3 s, and ends soon enough for tasks of a lost
// server to run again in time.
constexpr milliseconds wanted_lease{5500};

// The longest time for which a leader that cannot write goes on extending
// leases. Tasks then outlast an outage of the store of about 10 s, the longest
// that the sites play; a server that leaves together with its leader is given
// up this much later.
constexpr milliseconds extend_without_store{5000};

// Not thread safe.
class lease_clock
{
public:
    // A reply that was received at `received` carried this clock.
    void observe(server_clock clock, time_point received);

    // Clock of the server at `now`, never ahead of the true one by more than
    // the drift; nothing before the first reply.
    std::optional<server_clock> estimate(time_point now) const;

    // An order that was sent, whatever became of it, carried this lease.
    void grant(server_clock until);

    // An earlier leader may have granted leases up to this time.
    void assume_until(time_point until);

    // No order of an earlier leader can extend a lease any more.
    void drop_assumption();

    // Every lease has run out on the server, however its clock drifts.
    bool certainly_over(time_point now) const;

    // When the leases of an earlier leader have run out, if that leader
    // confirmed its leadership at `confirmed` for the last time.
    static time_point earlier_over(time_point confirmed,
                                   milliseconds max_lease);

private:
    std::optional<server_clock> clock_;
    time_point received_{};
    server_clock granted_ = 0;
    time_point assumed_until_{};
};

} // namespace poplarramp

#endif
