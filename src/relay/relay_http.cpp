#include "relay/relay_http.hpp"

#include <string>
#include <utility>

namespace poplarramp
{

namespace
{

const std::string calls_target = "/v1/relay/calls";
const std::string report_target = "/v1/relay/report";

template <class Message>
http_request make_request(const std::string& target, const Message& message)
{
    http_request request;
    request.target = target;
    request.body = to_text(message);
    return request;
}

} // namespace

http_request make_relay_request(const relay_batch& batch)
{
    return make_request(calls_target, batch);
}

http_request make_relay_request(const relay_report& report)
{
    return make_request(report_target, report);
}

failure
handle_relay_request(const http_request& request,
                     call_relay& relay,
                     const std::shared_ptr<relayed_servers>& leader_calls)
{
    failure why;
    if (request.target == calls_target)
    {
        auto batch = parse_relay_batch(request.body, why);
        if (batch)
        {
            relay.accept(std::move(*batch), why);
        }
        return why;
    }
    if (request.target == report_target)
    {
        const auto report = parse_relay_report(request.body, why);
        if (!report)
        {
            return why;
        }
        if (!leader_calls)
        {
            return {result_code::conflict, "this VM does not lead"};
        }
        leader_calls->on_report(*report);
        return {};
    }
    return {result_code::not_found, "no such call between VMs"};
}

} // namespace poplarramp
