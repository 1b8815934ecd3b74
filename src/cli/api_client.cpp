#include "cli/api_client.hpp"

#include <utility>

namespace poplarramp
{

namespace
{

// True if the entry VM did not handle the request, so that it can be sent to
// another one.
bool was_not_handled(const api_reply& reply)
{
    return reply.result.code == result_code::unreachable ||
           reply.result.code == result_code::vm_stopping;
}

} // namespace

api_client::api_client(std::vector<std::string> servers,
                       std::string token,
                       milliseconds timeout,
                       api_sender send)
    : servers_(std::move(servers)), token_(std::move(token)), timeout_(timeout),
      send_(std::move(send))
{
}

api_reply
api_client::call(http_request request, milliseconds wait, bool idempotent)
{
    if (!token_.empty())
    {
        request.authorization = "Bearer " + token_;
    }
    api_reply reply;
    for (std::size_t tries = 0; tries < servers_.size(); ++tries)
    {
        reply = send_(servers_[current_], request, wait + timeout_);
        const bool again =
            was_not_handled(reply) || (idempotent && !reply.has_reply);
        if (!again)
        {
            return reply;
        }
        current_ = (current_ + 1) % servers_.size();
    }
    return reply;
}

std::vector<std::pair<std::string, api_reply>>
api_client::call_each(const http_request& request)
{
    std::vector<std::pair<std::string, api_reply>> replies;
    replies.reserve(servers_.size());
    for (const auto& server : servers_)
    {
        replies.emplace_back(server, send_(server, request, timeout_));
    }
    return replies;
}

} // namespace poplarramp
