// Synchronous HTTP calls of the command line.
#include "cli/api_client.hpp"
#include "http/client.hpp"
#include "model/codec.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace poplarramp
{

namespace
{

namespace asio = boost::asio;

http_reply exchange(const std::string& server,
                    const http_request& request,
                    milliseconds timeout)
{
    asio::io_context traffic;
    asio::io_context control;
    auto traffic_guard = asio::make_work_guard(traffic);
    auto control_guard = asio::make_work_guard(control);
    const http_client client(traffic, control);
    http_reply result;
    client.send_function()(server,
                           request,
                           monotonic_now() + timeout,
                           [&](http_reply reply)
                           {
                               result = std::move(reply);
                               control_guard.reset();
                           });
    std::thread thread([&traffic] { traffic.run(); });
    control.run();
    traffic.stop();
    thread.join();
    return result;
}

} // namespace

api_reply send_over_http(const std::string& server,
                         const http_request& request,
                         milliseconds timeout)
{
    const auto reply = exchange(server, request, timeout);
    if (reply.error)
    {
        return {false, reply.error, {}};
    }
    failure why;
    auto body = parse_json(reply.response.body, why);
    if (!body || !body->isObject() || !(*body)["result"].isString())
    {
        return {false,
                {result_code::answer_lost,
                 "HTTP status " + std::to_string(reply.response.status) +
                     " without a result from " + server},
                {}};
    }
    const failure result{code_of((*body)["result"].asString()),
                         body->get("reason", "").asString()};
    return {true, result, std::move(*body)};
}

} // namespace poplarramp
