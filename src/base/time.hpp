// Monotonic time within a process and its conversion to Unix time on the wire.
#ifndef POPLARRAMP_BASE_TIME_HPP
#define POPLARRAMP_BASE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace poplarramp
{

using milliseconds = std::chrono::milliseconds;

// Monotonic time of this process. Deadlines are stored as time points.
using time_point =
    std::chrono::time_point<std::chrono::steady_clock, milliseconds>;

// Later than every deadline.
constexpr time_point no_deadline = time_point::max();

// Reads the monotonic clock. Thread safe.
time_point monotonic_now();

// Clock that also counts the time during which the machine was suspended.
struct suspend_aware_clock
{
    using duration = milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<suspend_aware_clock, duration>;
    static constexpr bool is_steady = true;

    // Thread safe.
    static time_point now();
};

// For the age of cached state and for leases that others may take over: a
// deadline that passes while the machine is suspended counts as passed when it
// resumes.
using boot_time = suspend_aware_clock::time_point;

// Converts between the monotonic clock of this process and Unix milliseconds.
// The offset is fixed at construction, so that a step of the wall clock does
// not move deadlines that are already in memory. Immutable and thread safe.
class clock_mapping
{
public:
    clock_mapping(time_point monotonic, std::int64_t unix_ms)
        : monotonic_(monotonic), unix_ms_(unix_ms)
    {
    }

    // Takes the offset between the two clocks as it is now.
    static clock_mapping of_this_process();

    // `no_deadline` is 0 on the wire, in both directions.
    time_point from_unix(std::int64_t unix_ms) const;
    std::int64_t to_unix(time_point time) const;

private:
    time_point monotonic_;
    std::int64_t unix_ms_;
};

} // namespace poplarramp

#endif
