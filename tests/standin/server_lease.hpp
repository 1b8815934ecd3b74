// Server lease of one backend server: who may act on it, proved by the epoch.
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

    // Grants a new epoch, unless another owner's lease lasts (`lease_held`).
    failure
    claim(const std::string& owner, milliseconds length, time_point now);

    // Lengthens the lease from now. `stale_epoch` if the token is not current.
    failure renew(const lease_token& token, time_point now);

    // Ends the lease.
    failure release(const lease_token& token, time_point now);

    // `stale_epoch` if the token is not that of the current grant or the lease
    // has ended. To be called in the same step as the use of the server.
    failure check(const lease_token& token, time_point now) const;

    const lease_token& token() const
    {
        return token_;
    }

    time_point until() const
    {
        return until_;
    }

private:
    lease_token token_;
    milliseconds length_{0};
    time_point until_{};
};

} // namespace poplarramp::standin

#endif
