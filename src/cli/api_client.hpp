// Client of the entry VMs' API for the command line.
#ifndef POPLARRAMP_CLI_API_CLIENT_HPP
#define POPLARRAMP_CLI_API_CLIENT_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "http/message.hpp"

#include <json/value.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace poplarramp
{

// Reply of an entry VM, or the error of the call. `has_reply` distinguishes the
// two: if true, `result` is the code in the reply's body.
struct api_reply
{
    bool has_reply = false;
    failure result;
    Json::Value body;
};

// Sends one request to one entry VM and waits for the reply.
using api_sender = std::function<api_reply(const std::string& server,
                                           const http_request& request,
                                           milliseconds timeout)>;

// Sends over HTTP with a new connection for each call.
api_reply send_over_http(const std::string& server,
                         const http_request& request,
                         milliseconds timeout);

// Sends requests to the first entry VM that replies. Not thread safe.
class api_client
{
public:
    // `timeout` of a call is added to the time that the call asks the entry VM
    // to wait.
    api_client(std::vector<std::string> servers,
               std::string token,
               milliseconds timeout,
               api_sender send);

    // Tries the entry VMs in turn, beginning with the one that replied last. A
    // request that may have been handled is sent again only if `idempotent`.
    api_reply call(http_request request, milliseconds wait, bool idempotent);

    // Sends a request to every entry VM. Returns the address and reply of each,
    // in the order of the constructor's list.
    std::vector<std::pair<std::string, api_reply>>
    call_each(const http_request& request);

private:
    std::vector<std::string> servers_;
    std::string token_;
    milliseconds timeout_;
    api_sender send_;
    std::size_t current_ = 0;
};

} // namespace poplarramp

#endif
