// Synchronous HTTP calls over persistent connections.
#ifndef POPLARRAMP_MEASURE_SYNC_HTTP_CLIENT_HPP
#define POPLARRAMP_MEASURE_SYNC_HTTP_CLIENT_HPP

#include "base/time.hpp"
#include "http/message.hpp"

#include <json/value.h>

#include <memory>
#include <string>

namespace poplarramp
{

// Not thread safe; use one per thread.
class sync_http_client
{
public:
    sync_http_client();
    ~sync_http_client();
    sync_http_client(const sync_http_client&) = delete;
    sync_http_client& operator=(const sync_http_client&) = delete;

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
