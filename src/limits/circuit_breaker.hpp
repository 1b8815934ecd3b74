// Stops calls to a destination that keeps failing, and probes whether it has
// recovered.
#ifndef POPLARRAMP_LIMITS_CIRCUIT_BREAKER_HPP
#define POPLARRAMP_LIMITS_CIRCUIT_BREAKER_HPP

#include "base/time.hpp"

namespace poplarramp
{

struct circuit_breaker_settings
{
    // Consecutive failures that open the circuit.
    int failure_threshold = 5;
    // Time without calls before a probe.
    milliseconds open_duration{1000};
    // If a probe has no outcome after this time, another one is allowed.
    milliseconds probe_timeout{5000};
};

enum class circuit_state
{
    closed,
    open,
    // One probe decides whether the circuit closes.
    half_open,
};

// Not thread safe; the caller passes the time, which must not decrease.
class circuit_breaker
{
public:
    explicit circuit_breaker(circuit_breaker_settings settings = {})
        : settings_(settings)
    {
    }

    // True if a call may be made now; its outcome must then be reported. After
    // the open time one call with `may_probe` is allowed as a probe.
    bool allow(time_point now, bool may_probe = true);

    // Outcomes of allowed calls. While the circuit is open, outcomes of calls
    // made before it opened change nothing.
    void on_success();
    void on_failure(time_point now);

    circuit_state state(time_point now) const;

private:
    void open(time_point now);

    circuit_breaker_settings settings_;
    int failures_ = 0;
    bool closed_ = true;
    bool probing_ = false;
    // End of the open time, or of the timeout of the probe in flight.
    time_point until_{};
};

} // namespace poplarramp

#endif
