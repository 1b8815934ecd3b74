#include "standin/server_lease.hpp"

#include <utility>

namespace poplarramp::standin
{

server_lease::server_lease(std::string incarnation)
{
    token_.incarnation = std::move(incarnation);
}

failure server_lease::claim(const std::string& owner,
                            milliseconds duration,
                            time_point now)
{
    if (now < expiry_ && owner != token_.owner)
    {
        return {result_code::lease_held, "held by " + token_.owner};
    }
    token_.owner = owner;
    ++token_.epoch;
    duration_ = duration;
    expiry_ = now + duration;
    return {};
}

failure server_lease::renew(const lease_token& token, time_point now)
{
    if (auto error = check(token, now))
    {
        return error;
    }
    expiry_ = now + duration_;
    return {};
}

failure server_lease::release(const lease_token& token, time_point now)
{
    if (auto error = check(token, now))
    {
        return error;
    }
    expiry_ = now;
    return {};
}

failure server_lease::check(const lease_token& token, time_point now) const
{
    if (token.incarnation != token_.incarnation)
    {
        return {result_code::stale_epoch,
                "the incarnation is " + token_.incarnation};
    }
    if (token.epoch != token_.epoch || token.owner != token_.owner)
    {
        return {result_code::stale_epoch,
                "the epoch is " + std::to_string(token_.epoch)};
    }
    if (now >= expiry_)
    {
        return {result_code::stale_epoch, "the server lease has ended"};
    }
    return {};
}

} // namespace poplarramp::standin
