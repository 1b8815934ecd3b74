// HTTP requests and replies as plain data, independent of Beast.
#ifndef POPLARRAMP_HTTP_MESSAGE_HPP
#define POPLARRAMP_HTTP_MESSAGE_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarramp
{

struct http_header
{
    std::string name;
    std::string value;
};

struct http_request
{
    std::string method = "POST";
    // Path and query, for example "/v1/jobs?wait_until=0".
    std::string target;
    std::string body;
    // Value of the Authorization header; empty: none.
    std::string authorization;
    std::string content_type = "application/json";
    // Value of the Host header; empty: the client sends the address it calls.
    std::string host;
    // Additional headers. The client sends them; the server fills in those that
    // HTTP does not define.
    std::vector<http_header> headers;
    // Handling the request twice has the same effect as handling it once, so
    // the client may send it again. Not sent on the wire.
    bool idempotent = false;
    // "ip:port" of the peer, set by the server. Not sent on the wire.
    std::string peer;
};

struct http_response
{
    // From 200 to 599. With any other status the server closes the connection
    // without a reply.
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    // Value of the Retry-After header; zero: none.
    std::chrono::seconds retry_after{0};
};

struct http_reply
{
    // `unreachable`: the request was not completely sent. `timeout` or
    // `answer_lost`: it may have been handled.
    failure error;
    http_response response;
};

// Sends a request to "ip:port". `done` is called exactly once, on the control
// thread, after this function has returned and no later than the deadline.
using http_send_function =
    std::function<void(std::string address,
                       http_request request,
                       time_point deadline,
                       std::function<void(http_reply)> done)>;

// Handles a request on the control thread. `respond` must be called once on the
// control thread, immediately or later.
using http_handler = std::function<void(
    http_request request, std::function<void(http_response)> respond)>;

// Judges a request by its header, before a body that has not yet arrived is
// read. Called on the control thread with an empty body; returns the reply with
// which the request is refused, or nullopt. Requests that have arrived as a
// whole go to the handler without it.
using http_judge =
    std::function<std::optional<http_response>(const http_request& header)>;

} // namespace poplarramp

#endif
