#include "http/server.hpp"

#include "base/log.hpp"
#include "http/connection.hpp"
#include "http/json_reply.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <memory>
#include <set>
#include <utility>

namespace poplarramp
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

// Delay after an accept error such as too many open files, which would
// otherwise recur immediately.
constexpr milliseconds accept_retry_delay{50};

// Connections over the limit that get an error reply at a time; further ones
// are closed without a reply.
constexpr std::size_t max_refusals = 64;

// Weak, because a connection owns the server's state through its handler.
using connection_set =
    std::set<std::weak_ptr<detail::connection>,
             std::owner_less<std::weak_ptr<detail::connection>>>;

} // namespace

// All members except the contexts, settings, handler and port are used on
// `strand` only.
struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(asio::io_context& traffic_context,
          asio::io_context& control_context,
          http_server_settings server_settings,
          http_handler server_handler)
        : traffic(traffic_context), control(control_context),
          settings(std::move(server_settings)),
          handler(std::move(server_handler)),
          strand(asio::make_strand(traffic_context)), acceptor(strand),
          retry_timer(strand)
    {
    }

    bool open(failure& why);
    asio::awaitable<void> accept_loop();
    void start(tcp::socket socket);
    void start_refusal(tcp::socket socket);
    void accept_pending();
    void begin_stop(std::function<void()> when_stopped);
    void notify_if_stopped();
    http_handler dispatch();

    asio::io_context& traffic;
    asio::io_context& control;
    const http_server_settings settings;
    const http_handler handler;
    asio::strand<asio::io_context::executor_type> strand;
    tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    std::uint16_t port = 0;
    connection_set connections;
    std::size_t refusals = 0;
    bool stopping = false;
    bool accepting = false;
    std::function<void()> stopped;
};

bool http_server::state::open(failure& why)
{
    error_code error;
    const auto ip = asio::ip::make_address(settings.ip, error);
    const tcp::endpoint endpoint(ip, settings.port);
    if (!error)
    {
        acceptor.open(endpoint.protocol(), error);
    }
    if (!error)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error)
    {
        acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error)
    {
        why = {result_code::bad_settings,
               "cannot listen on " + settings.ip + ":" +
                   std::to_string(settings.port) + ": " + error.message()};
        return false;
    }
    port = acceptor.local_endpoint(error).port();
    accepting = true;
    return true;
}

asio::awaitable<void> http_server::state::accept_loop()
{
    const auto self = shared_from_this();
    while (!stopping)
    {
        error_code error;
        auto socket = co_await acceptor.async_accept(
            asio::make_strand(traffic),
            asio::redirect_error(asio::use_awaitable, error));
        if (!error)
        {
            start(std::move(socket));
            continue;
        }
        if (stopping)
        {
            break;
        }
        log_line(log_level::warning,
                 "http",
                 "Accepting a connection failed.",
                 {{"reason", error.message()}});
        retry_timer.expires_after(accept_retry_delay);
        co_await retry_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
    }
    accept_pending();
    error_code ignored;
    acceptor.close(ignored);
    accepting = false;
    notify_if_stopped();
}

// Accepts the connections that the kernel has already established: closing the
// port would reset them and lose their requests.
void http_server::state::accept_pending()
{
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error)
    {
        tcp::socket socket(asio::make_strand(traffic));
        acceptor.accept(socket, error);
        if (!error)
        {
            start(std::move(socket));
        }
    }
}

http_handler http_server::state::dispatch()
{
    return [self = shared_from_this()](
               http_request request, std::function<void(http_response)> respond)
    {
        asio::post(self->control,
                   [self,
                    request = std::move(request),
                    respond = std::move(respond)]() mutable
                   {
                       const auto target = request.target;
                       try
                       {
                           self->handler(std::move(request), respond);
                       }
                       catch (const std::exception& error)
                       {
                           log_line(
                               log_level::error,
                               "http",
                               "A request handler threw an exception.",
                               {{"target", target}, {"reason", error.what()}});
                           respond(json_response(
                               {result_code::internal_error, error.what()}));
                       }
                   });
    };
}

void http_server::state::start(tcp::socket socket)
{
    if (connections.size() >= settings.max_connections)
    {
        start_refusal(std::move(socket));
        return;
    }
    const auto item = std::make_shared<detail::connection>(
        std::move(socket), settings, dispatch());
    connections.insert(item);
    if (stopping)
    {
        asio::post(item->executor(), [item] { item->begin_stop(); });
    }
    asio::co_spawn(item->executor(),
                   item->run(),
                   [self = shared_from_this(), item](const std::exception_ptr&)
                   {
                       asio::post(self->strand,
                                  [self, item]
                                  {
                                      self->connections.erase(item);
                                      self->notify_if_stopped();
                                  });
                   });
}

void http_server::state::start_refusal(tcp::socket socket)
{
    if (refusals >= max_refusals)
    {
        return;
    }
    ++refusals;
    const auto item = std::make_shared<detail::connection>(
        std::move(socket), settings, dispatch());
    asio::co_spawn(
        item->executor(),
        item->refuse({result_code::shed, "too many connections, not run"}),
        [self = shared_from_this(), item](const std::exception_ptr&)
        { asio::post(self->strand, [self] { --self->refusals; }); });
}

void http_server::state::begin_stop(std::function<void()> when_stopped)
{
    stopping = true;
    stopped = std::move(when_stopped);
    error_code ignored;
    acceptor.cancel(ignored);
    retry_timer.cancel();
    for (const auto& weak : connections)
    {
        if (const auto item = weak.lock())
        {
            asio::post(item->executor(), [item] { item->begin_stop(); });
        }
    }
    notify_if_stopped();
}

void http_server::state::notify_if_stopped()
{
    if (stopping && !accepting && connections.empty() && stopped)
    {
        asio::post(control, std::exchange(stopped, nullptr));
    }
}

http_server::http_server(asio::io_context& traffic,
                         asio::io_context& control,
                         http_server_settings settings,
                         http_handler handler)
    : state_(std::make_shared<state>(
          traffic, control, std::move(settings), std::move(handler)))
{
}

http_server::~http_server()
{
    asio::post(state_->strand,
               [self = state_]
               {
                   if (!self->stopping)
                   {
                       self->begin_stop(nullptr);
                   }
               });
}

bool http_server::listen(failure& why)
{
    if (!state_->open(why))
    {
        return false;
    }
    asio::co_spawn(state_->strand, state_->accept_loop(), asio::detached);
    return true;
}

std::uint16_t http_server::port() const
{
    return state_->port;
}

void http_server::stop(std::function<void()> stopped)
{
    asio::post(state_->strand,
               [self = state_, stopped = std::move(stopped)]
               { self->begin_stop(stopped); });
}

} // namespace poplarramp
