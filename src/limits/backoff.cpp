#include "limits/backoff.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

// The interval stops doubling here, far beyond every `max_delay` in use, so
// that the shift cannot overflow.
constexpr int max_doublings = 30;

} // namespace

milliseconds backoff::next(std::uint64_t random)
{
    const int doublings = std::min(failures_, max_doublings);
    const auto grown =
        settings_.initial_delay.count() * (std::int64_t{1} << doublings);
    const auto interval =
        std::max<std::int64_t>(1, std::min(grown, settings_.max_delay.count()));
    ++failures_;
    const auto half = interval / 2;
    const auto spread = static_cast<std::uint64_t>(interval - half) + 1;
    return milliseconds(half + static_cast<std::int64_t>(random % spread));
}

void backoff::reset()
{
    failures_ = 0;
}

} // namespace poplarramp
