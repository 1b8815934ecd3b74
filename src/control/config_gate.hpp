// Decides before each start whether the view of the configuration is recent
// enough to start a task.
#ifndef POPLARRAMP_CONTROL_CONFIG_GATE_HPP
#define POPLARRAMP_CONTROL_CONFIG_GATE_HPP

#include "base/time.hpp"

#include <optional>

namespace poplarramp
{

constexpr milliseconds max_view_age{2000};
constexpr milliseconds max_refresh_wait{500};

// Not thread safe; used on the control thread only.
class config_gate
{
public:
    // True if the view was confirmed less than `max_view_age` ago, or if no
    // path refreshed it for `max_refresh_wait` of running time; then the
    // availability zone is isolated.
    bool passes(time_point now, time_point confirmed_at) const;

    // Call at least every 50 ms. A gap shows that the process was paused; the
    // wait for a refresh then begins again, because nothing was received
    // during the pause.
    void tick(time_point now, time_point confirmed_at);

private:
    std::optional<time_point> stale_since_;
    time_point last_tick_{};
};

} // namespace poplarramp

#endif
