// Exponential backoff with jitter.
#ifndef POPLARRAMP_LIMITS_BACKOFF_HPP
#define POPLARRAMP_LIMITS_BACKOFF_HPP

#include "base/time.hpp"

#include <cstdint>

namespace poplarramp
{

struct backoff_settings
{
    // Upper end of the first delay; doubles with each failure up to
    // `max_delay`.
    milliseconds initial_delay{50};
    milliseconds max_delay{1000};
};

// Delays between attempts. Not thread safe; owns no clock and no random source.
class backoff
{
public:
    explicit backoff(backoff_settings settings = {}) : settings_(settings)
    {
    }

    // Counts a failure and returns the delay before the next attempt: uniformly
    // distributed over the upper half of the current interval, so that clients
    // that failed together do not retry together. `random` is 64 random bits.
    milliseconds next(std::uint64_t random);

    // Call after a success.
    void reset();

    int failures() const
    {
        return failures_;
    }

private:
    backoff_settings settings_;
    int failures_ = 0;
};

} // namespace poplarramp

#endif
