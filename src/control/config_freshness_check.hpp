// Checks before each task start whether the view of the configuration is recent
// enough.
#ifndef POPLARRAMP_CONTROL_CONFIG_FRESHNESS_CHECK_HPP
#define POPLARRAMP_CONTROL_CONFIG_FRESHNESS_CHECK_HPP

#include "base/time.hpp"

#include <optional>

namespace poplarramp
{

constexpr milliseconds max_config_age{2000};
constexpr milliseconds max_refresh_wait{500};

// Not thread safe; used on the control thread only.
class config_freshness_check
{
public:
    // True if the view was confirmed less than `max_config_age` ago. Also true
    // if it has been older for `max_refresh_wait` of running time: the
    // availability zone is then isolated and keeps working with its last view.
    bool allows_start(time_point now, time_point confirmed_at) const;

    // Must be called at least every 50 ms. A longer gap means that the process
    // was paused; the wait for a refresh then starts again, because no message
    // was processed during the pause.
    void tick(time_point now, time_point confirmed_at);

private:
    std::optional<time_point> stale_since_;
    time_point last_tick_{};
};

} // namespace poplarramp

#endif
