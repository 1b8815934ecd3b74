#include "domain/lease_clock.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

// The clock of a server may be 2% slow; one more for that of this machine.
constexpr std::int64_t drift_percent = 3;
constexpr std::int64_t whole_percent = 100;

// The server may end its runs a moment after their lease.
constexpr std::int64_t lapse_margin_ms = 250;

// Between the proof of a leadership and the last extension that rests on it
// arrives at the server.
constexpr milliseconds order_margin{800};

} // namespace

void lease_clock::observe(server_clock clock, time_point received)
{
    // Replies may overtake each other; the highest clock is the newest.
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

void lease_clock::assume_until(time_point until)
{
    assumed_until_ = std::max(assumed_until_, until);
}

void lease_clock::drop_assumption()
{
    assumed_until_ = {};
}

bool lease_clock::certainly_over(time_point now) const
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
    const auto least =
        elapsed * (whole_percent - drift_percent) / whole_percent;
    return *clock_ + least >= granted_ + lapse_margin_ms;
}

time_point lease_clock::earlier_over(time_point confirmed,
                                     milliseconds max_lease)
{
    const auto lease = std::min(wanted_lease, max_lease);
    const auto longest =
        lease.count() * whole_percent / (whole_percent - drift_percent);
    return confirmed + extend_without_store + milliseconds(longest) +
           milliseconds(lapse_margin_ms) + order_margin;
}

} // namespace poplarramp
