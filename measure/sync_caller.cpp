#include "sync_caller.hpp"

#include "http/client.hpp"
#include "model/codec.hpp"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace poplarramp
{

struct sync_caller::state
{
    boost::asio::io_context traffic;
    boost::asio::io_context control;
    http_client client{traffic, control};
    http_caller send = client.caller();
};

sync_caller::sync_caller() : state_(std::make_unique<state>())
{
}

sync_caller::~sync_caller() = default;

Json::Value sync_caller::call(const std::string& address,
                              http_request request,
                              milliseconds timeout)
{
    constexpr std::chrono::milliseconds poll{1};
    std::optional<http_reply> reply;
    state_->send(address,
                 std::move(request),
                 monotonic_now() + timeout,
                 [&reply](http_reply got) { reply = std::move(got); });
    while (!reply)
    {
        state_->control.restart();
        state_->control.poll();
        state_->traffic.restart();
        state_->traffic.run_one_for(poll);
    }
    failure why;
    const auto json = parse_json(reply->response.body, why);
    return json && !reply->error ? *json : Json::Value();
}

} // namespace poplarramp
