#include "control/config_freshness_check.hpp"

namespace poplarramp
{

namespace
{

constexpr milliseconds max_tick_gap{250};

bool is_recent(time_point now, time_point confirmed_at)
{
    return now - confirmed_at < max_config_age;
}

} // namespace

bool config_freshness_check::allows_start(time_point now,
                                          time_point confirmed_at) const
{
    if (is_recent(now, confirmed_at))
    {
        return true;
    }
    return stale_since_ && now - last_tick_ <= max_tick_gap &&
           now - *stale_since_ >= max_refresh_wait;
}

void config_freshness_check::tick(time_point now, time_point confirmed_at)
{
    const bool paused = now - last_tick_ > max_tick_gap;
    last_tick_ = now;
    if (is_recent(now, confirmed_at))
    {
        stale_since_.reset();
    }
    else if (!stale_since_ || paused)
    {
        stale_since_ = now;
    }
}

} // namespace poplarramp
