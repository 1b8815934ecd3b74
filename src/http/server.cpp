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
#include <map>
#include <memory>
#include <set>
#include <string>
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

// Connections that the kernel has established and the server has not accepted.
// What their peers send is held in memory too.
constexpr int max_unaccepted = 512;

// Memory of a listener without a budget of its process.
constexpr std::size_t default_budget_bytes = std::size_t{256} * 1024 * 1024;

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
          http_handler server_handler,
          http_judge server_judge)
        : traffic(traffic_context), control(control_context),
          settings(std::move(server_settings)),
          handler(std::move(server_handler)), judge(std::move(server_judge)),
          strand(asio::make_strand(traffic_context)), acceptor(strand),
          retry_timer(strand), budget(settings.budget)
    {
        if (!budget)
        {
            const input_limits own{default_budget_bytes,
                                   settings.max_connections};
            budget = std::make_shared<input_budget>(
                input_part_limits{own, own, own});
        }
    }

    bool open(failure& why);
    asio::awaitable<void> accept_loop();
    void start(tcp::socket socket);
    void start_refusal(const std::shared_ptr<detail::connection>& item);
    void accept_pending();
    void begin_stop(std::function<void()> when_stopped);
    void notify_if_stopped();
    bool count_address(const std::string& address);
    void forget_address(const std::string& address);
    http_handler dispatch();
    detail::async_judge dispatch_judge();

    asio::io_context& traffic;
    asio::io_context& control;
    const http_server_settings settings;
    const http_handler handler;
    const http_judge judge;
    asio::strand<asio::io_context::executor_type> strand;
    tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    std::shared_ptr<input_budget> budget;
    std::uint16_t port = 0;
    connection_set connections;
    std::map<std::string, std::size_t> connections_by_address;
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
    if (!error && settings.socket_buffer_bytes > 0)
    {
        // Accepted sockets inherit the sizes; set later, they would not limit
        // what the kernel has already offered to the peer.
        acceptor.set_option(asio::socket_base::receive_buffer_size(
                                settings.socket_buffer_bytes),
                            error);
        if (!error)
        {
            acceptor.set_option(asio::socket_base::send_buffer_size(
                                    settings.socket_buffer_bytes),
                                error);
        }
    }
    if (!error)
    {
        acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        acceptor.listen(max_unaccepted, error);
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

detail::async_judge http_server::state::dispatch_judge()
{
    if (!judge)
    {
        return nullptr;
    }
    return [self = shared_from_this()](
               http_request header,
               std::function<void(std::optional<http_response>)> decide)
    {
        asio::post(
            self->control,
            [self, header = std::move(header), decide = std::move(decide)]
            {
                try
                {
                    decide(self->judge(header));
                }
                catch (const std::exception& error)
                {
                    decide(json_response(
                        {result_code::internal_error, error.what()}));
                }
            });
    };
}

// Returns false if the address has as many connections as it may have.
bool http_server::state::count_address(const std::string& address)
{
    if (settings.max_connections_per_address == 0)
    {
        return true;
    }
    auto& count = connections_by_address[address];
    if (count >= settings.max_connections_per_address)
    {
        return false;
    }
    ++count;
    return true;
}

void http_server::state::forget_address(const std::string& address)
{
    const auto found = connections_by_address.find(address);
    if (found != connections_by_address.end() && --found->second == 0)
    {
        connections_by_address.erase(found);
    }
}

void http_server::state::start(tcp::socket socket)
{
    error_code error;
    const auto peer = socket.remote_endpoint(error);
    const auto address = error ? "" : peer.address().to_string();
    const auto item = std::make_shared<detail::connection>(
        std::move(socket), settings, dispatch(), dispatch_judge());
    if (!count_address(address))
    {
        start_refusal(item);
        return;
    }
    auto account = budget->open(
        settings.part,
        [weak = std::weak_ptr(item)]
        {
            if (const auto closed = weak.lock())
            {
                asio::post(closed->executor(), [closed] { closed->close(); });
            }
        });
    if (!account)
    {
        forget_address(address);
        start_refusal(item);
        return;
    }
    item->set_account(std::move(account));
    connections.insert(item);
    if (stopping)
    {
        asio::post(item->executor(), [item] { item->begin_stop(); });
    }
    asio::co_spawn(
        item->executor(),
        item->run(),
        [self = shared_from_this(), item, address](const std::exception_ptr&)
        {
            item->set_account(nullptr);
            asio::post(self->strand,
                       [self, item, address]
                       {
                           self->connections.erase(item);
                           self->forget_address(address);
                           self->notify_if_stopped();
                       });
        });
}

void http_server::state::start_refusal(
    const std::shared_ptr<detail::connection>& item)
{
    if (refusals >= max_refusals)
    {
        return;
    }
    ++refusals;
    asio::co_spawn(item->executor(),
                   item->refuse({result_code::overloaded,
                                 "too many connections, not run"}),
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
                         http_handler handler,
                         http_judge judge)
    : state_(std::make_shared<state>(traffic,
                                     control,
                                     std::move(settings),
                                     std::move(handler),
                                     std::move(judge)))
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
