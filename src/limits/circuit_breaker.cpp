#include "limits/circuit_breaker.hpp"

namespace poplarramp
{

bool circuit_breaker::allow(time_point now, bool may_probe)
{
    if (closed_)
    {
        return true;
    }
    if (now < until_ || !may_probe)
    {
        return false;
    }
    probing_ = true;
    until_ = now + settings_.probe_timeout;
    return true;
}

void circuit_breaker::on_success()
{
    if (!closed_ && !probing_)
    {
        return;
    }
    closed_ = true;
    probing_ = false;
    failures_ = 0;
}

void circuit_breaker::on_failure(time_point now)
{
    if (!closed_)
    {
        if (probing_)
        {
            open(now);
        }
        return;
    }
    ++failures_;
    if (failures_ >= settings_.failure_threshold)
    {
        open(now);
    }
}

circuit_state circuit_breaker::state(time_point now) const
{
    if (closed_)
    {
        return circuit_state::closed;
    }
    return probing_ || now >= until_ ? circuit_state::half_open
                                     : circuit_state::open;
}

void circuit_breaker::open(time_point now)
{
    closed_ = false;
    probing_ = false;
    failures_ = 0;
    until_ = now + settings_.open_duration;
}

} // namespace poplarramp
