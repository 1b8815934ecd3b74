// Server lease of one backend server. The epoch fences calls of earlier
// holders.
#ifndef POPLARRAMP_STANDIN_SERVER_LEASE_HPP
#define POPLARRAMP_STANDIN_SERVER_LEASE_HPP

#include "backend/backend_api.hpp"

#include <string>

namespace poplarramp::standin
{

// Not thread safe; the caller passes the time.
class server_lease
{
public:
    explicit server_lease(std::string incarnation);

    // Grants a new epoch; `lease_held` while another owner's lease is valid.
    failure
    claim(const std::string& owner, milliseconds duration, time_point now);

    // Extends the lease from `now`. `stale_epoch` if the token is not
    // current.
    failure renew(const lease_token& token, time_point now);

    // Ends the lease.
    failure release(const lease_token& token, time_point now);

    // `stale_epoch` if the token is not that of the current grant or the lease
    // has expired. Call it in the same control function as the action that it
    // authorizes.
    failure check(const lease_token& token, time_point now) const;

    const lease_token& token() const
    {
        return token_;
    }

    time_point expiry() const
    {
        return expiry_;
    }

private:
    lease_token token_;
    milliseconds duration_{0};
    time_point expiry_{};
};

} // namespace poplarramp::standin

#endif
