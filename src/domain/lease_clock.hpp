// Tracks the lease of all runs on one incarnation of a backend server, measured
// on the clock of that server.
#ifndef POPLARRAMP_DOMAIN_LEASE_CLOCK_HPP
#define POPLARRAMP_DOMAIN_LEASE_CLOCK_HPP

#include "base/time.hpp"
#include "domain/server_api.hpp"

#include <optional>

namespace poplarramp
{

// Length of the leases that a leader grants: longer than a takeover by another
// leader, which takes about 3 s, but short enough to rerun the tasks of a lost
// server in time.
constexpr milliseconds lease_duration{5500};

// How long a leader that cannot write to the store keeps extending leases.
// With the lease itself, tasks survive a store outage of about 10 s, the
// longest in the test sites. The cost: the runs of a server that is lost
// together with its leader are rerun this much later.
constexpr milliseconds max_unconfirmed_extension{5000};

// Not thread safe.
class lease_clock
{
public:
    // Records the server clock of a reply received at `received`.
    void record_clock(server_clock clock, time_point received);

    // Estimated server clock at `now`, ahead of the real one by no more than
    // the drift; nothing before the first reply.
    std::optional<server_clock> estimate(time_point now) const;

    // Records a lease in an order that was sent, even if it never arrived.
    void grant(server_clock until);

    // Records that there may be unknown leases up to this time, such as those
    // of an earlier leader.
    void assume_lease_until(time_point until);

    // Discards the time of `assume_lease_until`: no order of an earlier leader
    // can extend a lease any more.
    void clear_assumed_lease();

    // True if every lease has expired on the server, even at the maximum clock
    // drift.
    bool all_expired(time_point now) const;

    // Latest end of the leases of an earlier leader that last confirmed its
    // leadership at `confirmed`.
    static time_point predecessor_leases_end(time_point confirmed,
                                             milliseconds max_lease);

private:
    std::optional<server_clock> clock_;
    time_point received_{};
    server_clock granted_ = 0;
    time_point assumed_until_{};
};

} // namespace poplarramp

#endif
