#include "sync_http_client.hpp"

#include "http/client.hpp"
#include "model/codec.hpp"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace poplarramp
{

struct sync_http_client::state
{
    // `traffic` runs the connections and their timers, `control` the
    // completions of calls. Both run on the thread of the caller.
    boost::asio::io_context traffic;
    boost::asio::io_context control;
    http_client client{traffic, control};
    http_send_function send = client.send_function();
};

sync_http_client::sync_http_client() : state_(std::make_unique<state>())
{
}

sync_http_client::~sync_http_client() = default;

Json::Value sync_http_client::call(const std::string& address,
                                   http_request request,
                                   milliseconds timeout)
{
    // Longest wait for I/O before `control` is polled again.
    constexpr milliseconds poll_interval{1};
    std::optional<http_reply> reply;
    state_->send(address,
                 std::move(request),
                 monotonic_now() + timeout,
                 [&reply](http_reply received)
                 { reply = std::move(received); });
    // A context that runs out of work stops, and runs nothing until it is
    // restarted.
    while (!reply)
    {
        state_->control.restart();
        state_->control.poll();
        state_->traffic.restart();
        state_->traffic.run_one_for(poll_interval);
    }
    failure why;
    const auto json = parse_json(reply->response.body, why);
    return json && !reply->error ? *json : Json::Value();
}

} // namespace poplarramp
