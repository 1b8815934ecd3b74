#include "domain/lease_clock.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

// The clock of a server may be 2% slow; 1% more covers the local clock.
constexpr std::int64_t max_drift_percent = 3;
constexpr std::int64_t hundred_percent = 100;

// The server may end its runs this long after the end of their lease.
constexpr std::int64_t expiry_margin_ms = 250;

// Time until the last lease extension that relies on a confirmed leadership
// arrives at the server.
constexpr milliseconds order_delivery_margin{800};

} // namespace

void lease_clock::record_clock(server_clock clock, time_point received)
{
    // Replies may arrive out of order; the highest clock is the newest.
    if (!clock_ || clock > *clock_)
    {
        clock_ = clock;
        received_ = received;
    }
}

std::optional<server_clock> lease_clock::estimate(time_point now) const
{
    return clock_ ? std::optional(*clock_ + (now - received_).count())
                  : std::nullopt;
}

void lease_clock::grant(server_clock until)
{
    granted_ = std::max(granted_, until);
}

void lease_clock::assume_lease_until(time_point until)
{
    assumed_until_ = std::max(assumed_until_, until);
}

void lease_clock::clear_assumed_lease()
{
    assumed_until_ = {};
}

bool lease_clock::all_expired(time_point now) const
{
    if (now < assumed_until_)
    {
        return false;
    }
    if (granted_ == 0)
    {
        return true;
    }
    if (!clock_)
    {
        return false;
    }
    const auto elapsed = (now - received_).count();
    const auto min_elapsed =
        elapsed * (hundred_percent - max_drift_percent) / hundred_percent;
    return *clock_ + min_elapsed >= granted_ + expiry_margin_ms;
}

time_point lease_clock::predecessor_leases_end(time_point confirmed,
                                               milliseconds max_lease)
{
    const auto lease = std::min(lease_duration, max_lease);
    const auto longest =
        lease.count() * hundred_percent / (hundred_percent - max_drift_percent);
    return confirmed + max_unconfirmed_extension + milliseconds(longest) +
           milliseconds(expiry_margin_ms) + order_delivery_margin;
}

} // namespace poplarramp
