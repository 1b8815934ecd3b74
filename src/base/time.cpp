#include "base/time.hpp"

#include <ctime>

namespace poplarramp
{

time_point monotonic_now()
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::steady_clock::now());
}

suspend_aware_clock::time_point suspend_aware_clock::now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    const auto since_boot = std::chrono::seconds(value.tv_sec) +
                            std::chrono::nanoseconds(value.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

clock_mapping clock_mapping::of_this_process()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {monotonic_now(),
            std::chrono::duration_cast<milliseconds>(wall).count()};
}

time_point clock_mapping::from_unix(std::int64_t unix_ms) const
{
    if (unix_ms == 0)
    {
        return no_deadline;
    }
    return monotonic_ + milliseconds(unix_ms - unix_ms_);
}

std::int64_t clock_mapping::to_unix(time_point time) const
{
    if (time == no_deadline)
    {
        return 0;
    }
    return unix_ms_ + (time - monotonic_).count();
}

} // namespace poplarramp
