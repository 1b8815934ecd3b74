// Synchronous HTTP calls over persistent connections.
#ifndef POPLARRAMP_MEASURE_SYNC_CALLER_HPP
#define POPLARRAMP_MEASURE_SYNC_CALLER_HPP

#include "base/time.hpp"
#include "http/message.hpp"

#include <json/value.h>

#include <memory>
#include <string>

namespace poplarramp
{

// Not thread safe; use one per thread.
class sync_caller
{
public:
    sync_caller();
    ~sync_caller();
    sync_caller(const sync_caller&) = delete;
    sync_caller& operator=(const sync_caller&) = delete;

    // Blocks until the call has ended. Returns the body of the reply as JSON,
    // or null on any error: the call failed, no reply arrived within `timeout`,
    // or the body is not JSON. The HTTP status is not checked, so an error
    // reply with a JSON body is returned as well.
    Json::Value call(const std::string& address,
                     http_request request,
                     milliseconds timeout);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace poplarramp

#endif
