#include "http/destination.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace poplarramp::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr int http_1_1 = 11;

// Replies with longer headers are refused. Beast throws an exception, outside
// of any coroutine, for a field of 64 KiB.
constexpr std::uint32_t max_reply_header_bytes = 32 * 1024;

http::request<http::string_body> to_message(const http_request& request,
                                            const std::string& address)
{
    http::request<http::string_body> message(
        http::string_to_verb(request.method), request.target, http_1_1);
    message.set(http::field::host,
                request.host.empty() ? address : request.host);
    for (const auto& header : request.headers)
    {
        message.set(header.name, header.value);
    }
    if (!request.authorization.empty())
    {
        message.set(http::field::authorization, request.authorization);
    }
    if (!request.body.empty())
    {
        message.set(http::field::content_type, request.content_type);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

// False if the peer has closed the connection or sent unexpected data.
bool is_usable(pooled_connection& item)
{
    auto& socket = item.stream.socket();
    error_code error;
    socket.non_blocking(true, error);
    char probe = 0;
    socket.receive(asio::buffer(&probe, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

std::optional<tcp::endpoint> parse_address(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end || port == 0)
    {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

destination::destination(asio::io_context& traffic,
                         std::string address,
                         const http_client_settings& settings)
    : strand_(asio::make_strand(traffic)), address_(std::move(address)),
      endpoint_(parse_address(address_)), settings_(settings),
      idle_timer_(strand_), connect_backoff_(settings.connect_backoff),
      retry_budget_(settings.retries), random_(std::random_device{}())
{
}

asio::awaitable<http_reply> destination::call(http_request request,
                                              time_point deadline)
{
    http_reply reply;
    if (!endpoint_)
    {
        reply.error = {result_code::unreachable,
                       "address " + address_ + " is not ip:port"};
        co_return reply;
    }
    const bool granted = co_await acquire_slot(deadline);
    if (!granted)
    {
        reply.error = {result_code::unreachable,
                       "no free connection to " + address_ +
                           " before the deadline"};
        co_return reply;
    }
    // Releases the slot even if the call ends with an exception.
    const std::shared_ptr<void> slot(nullptr,
                                     [this](void*) { release_slot(); });
    reply = co_await call_with_slot(std::move(request), deadline);
    co_return reply;
}

asio::awaitable<bool> destination::acquire_slot(time_point deadline)
{
    if (in_use_ < settings_.max_connections)
    {
        ++in_use_;
        co_return true;
    }
    const auto self = std::make_shared<waiter>(
        waiter{asio::steady_timer(strand_, deadline), false});
    waiters_.push_back(self);
    error_code ignored;
    co_await self->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    if (!self->granted)
    {
        std::erase(waiters_, self);
    }
    co_return self->granted;
}

void destination::release_slot()
{
    if (waiters_.empty())
    {
        --in_use_;
        return;
    }
    waiters_.front()->granted = true;
    waiters_.front()->timer.cancel();
    waiters_.pop_front();
}

asio::awaitable<http_reply> destination::call_with_slot(http_request request,
                                                        time_point deadline)
{
    if (monotonic_now() >= deadline)
    {
        http_reply timed_out;
        timed_out.error = {result_code::unreachable,
                           "the deadline passed before the request to " +
                               address_ + " was sent"};
        co_return timed_out;
    }
    retry_budget_.on_request();
    auto item = take_idle();
    if (item)
    {
        auto result = co_await exchange(*item, request, deadline);
        if (result.reusable)
        {
            add_idle(std::move(item));
        }
        if (!result.reply.error)
        {
            co_return std::move(result.reply);
        }
        // The cause of one failed connection probably affects the others.
        close_all_idle();
        const bool may_repeat =
            !result.reply_started && (request.idempotent || !result.fully_sent);
        if (!may_repeat || monotonic_now() >= deadline ||
            !retry_budget_.try_retry())
        {
            co_return std::move(result.reply);
        }
    }
    http_reply reply;
    item = co_await connect(deadline, reply.error);
    if (!item)
    {
        co_return reply;
    }
    auto result = co_await exchange(*item, request, deadline);
    if (result.reusable)
    {
        add_idle(std::move(item));
    }
    co_return std::move(result.reply);
}

pooled_connection_ptr destination::take_idle()
{
    while (!idle_.empty())
    {
        auto item = std::move(idle_.back());
        idle_.pop_back();
        const bool fresh =
            monotonic_now() - item->idle_since < settings_.idle_timeout;
        if (fresh && is_usable(*item))
        {
            return item;
        }
    }
    return nullptr;
}

void destination::add_idle(pooled_connection_ptr item)
{
    item->idle_since = monotonic_now();
    idle_.push_back(std::move(item));
    if (idle_.size() == 1)
    {
        start_idle_timer();
    }
}

void destination::close_all_idle()
{
    idle_.clear();
    idle_timer_.cancel();
}

void destination::start_idle_timer()
{
    idle_timer_.expires_at(idle_.front()->idle_since + settings_.idle_timeout);
    idle_timer_.async_wait(
        [weak = weak_from_this()](error_code error)
        {
            const auto self = weak.lock();
            if (self && !error)
            {
                self->close_expired();
            }
        });
}

void destination::close_expired()
{
    const auto cutoff = monotonic_now() - settings_.idle_timeout;
    while (!idle_.empty() && idle_.front()->idle_since <= cutoff)
    {
        idle_.pop_front();
    }
    if (!idle_.empty())
    {
        start_idle_timer();
    }
}

asio::awaitable<bool> destination::wait_backoff(time_point deadline)
{
    if (connect_after_ >= deadline)
    {
        co_return false;
    }
    while (monotonic_now() < connect_after_)
    {
        asio::steady_timer timer(strand_, connect_after_);
        error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return monotonic_now() < deadline;
}

void destination::on_connect_failure()
{
    const auto now = monotonic_now();
    // Concurrent connection attempts that fail count as one failure.
    if (now >= connect_after_)
    {
        connect_after_ = now + connect_backoff_.next(random_());
    }
}

asio::awaitable<pooled_connection_ptr> destination::connect(time_point deadline,
                                                            failure& why)
{
    const bool allowed = co_await wait_backoff(deadline);
    if (!allowed)
    {
        why = {result_code::unreachable,
               "connections to " + address_ + " failed; waiting to retry"};
        co_return nullptr;
    }
    boost::beast::tcp_stream stream(strand_);
    stream.expires_at(deadline);
    error_code error;
    co_await stream.async_connect(
        *endpoint_, asio::redirect_error(asio::use_awaitable, error));
    if (error)
    {
        on_connect_failure();
        why = {result_code::unreachable,
               "cannot connect to " + address_ + ": " + error.message()};
        co_return nullptr;
    }
    connect_backoff_.reset();
    connect_after_ = {};
    stream.socket().set_option(tcp::no_delay(true), error);
    co_return std::make_unique<pooled_connection>(std::move(stream));
}

asio::awaitable<exchange_result> destination::exchange(
    pooled_connection& item, const http_request& request, time_point deadline)
{
    exchange_result result;
    auto message = to_message(request, address_);
    item.stream.expires_at(deadline);
    error_code error;
    co_await http::async_write(
        item.stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error)
    {
        result.reply.error = {result_code::unreachable,
                              "request to " + address_ +
                                  " was not wholly sent: " + error.message()};
        co_return result;
    }
    result.fully_sent = true;
    co_await receive(item, result);
    item.stream.expires_never();
    co_return result;
}

asio::awaitable<void> destination::receive(pooled_connection& item,
                                           exchange_result& result)
{
    http::response_parser<http::string_body> parser;
    parser.header_limit(max_reply_header_bytes);
    parser.body_limit(settings_.max_reply_bytes);
    error_code error;
    co_await http::async_read(item.stream,
                              item.buffer,
                              parser,
                              asio::redirect_error(asio::use_awaitable, error));
    result.reply_started = parser.got_some();
    if (error)
    {
        const bool timed_out = error == boost::beast::error::timeout;
        result.reply.error = {
            timed_out ? result_code::timeout : result_code::answer_lost,
            "no whole reply from " + address_ + ": " + error.message()};
        co_return;
    }
    auto message = parser.release();
    result.reusable = message.keep_alive() && item.buffer.size() == 0;
    result.reply.response.status = static_cast<int>(message.result_int());
    result.reply.response.content_type =
        std::string(message[http::field::content_type]);
    result.reply.response.body = std::move(message.body());
}

} // namespace poplarramp::detail
