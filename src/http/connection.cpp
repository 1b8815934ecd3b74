#include "http/connection.hpp"

#include "http/json_reply.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace poplarramp::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

// The cancellation is repeated at this interval, because one that falls between
// two reads of a composed operation has no effect.
constexpr milliseconds cancel_interval{20};

// Limits in time and bytes of discarding input before a close. Closing with
// unread input resets the connection, and the peer could lose the reply.
constexpr milliseconds close_timeout{500};
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;

// Upper bounds for the header limit and for buffered input. Beast throws an
// exception, outside of any coroutine, for a field of 64 KiB. The header limit
// does not cover the trailer of a chunked body; the buffer size does.
constexpr std::uint32_t max_parser_header_bytes = 32 * 1024;
constexpr std::size_t max_buffered_bytes = std::size_t{48} * 1024;

constexpr std::size_t read_size = std::size_t{16} * 1024;
constexpr int http_1_1 = 11;

constexpr std::array<std::string_view, 4> served_methods{
    "GET", "POST", "PUT", "DELETE"};

bool is_served(std::string_view method)
{
    return std::find(served_methods.begin(), served_methods.end(), method) !=
           served_methods.end();
}

std::string peer_address(const asio::ip::tcp::socket& socket)
{
    error_code error;
    const auto peer = socket.remote_endpoint(error);
    return error
               ? ""
               : peer.address().to_string() + ":" + std::to_string(peer.port());
}

http_response error_response(int status, const failure& error)
{
    auto response = json_response(error);
    response.status = status;
    return response;
}

// Reply to input that is not a valid request; nullopt if the peer has
// disconnected.
std::optional<http_response> response_to(error_code error,
                                         const http_server_settings& settings)
{
    if (error == http::error::header_limit)
    {
        return error_response(431,
                              {result_code::bad_request, "header is too long"});
    }
    if (error == http::error::body_limit)
    {
        return error_response(413,
                              {result_code::body_too_large,
                               "body is longer than " +
                                   std::to_string(settings.max_body_bytes) +
                                   " bytes"});
    }

    if (error == http::error::end_of_stream)
    {
        return std::nullopt;
    }
    if (error.category() == make_error_code(http::error::bad_method).category())
    {
        return error_response(
            400,
            {result_code::bad_request, "not valid HTTP: " + error.message()});
    }
    return std::nullopt;
}

template <class Message>
http_request to_request(Message& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.authorization = std::string(message[http::field::authorization]);
    request.content_type = std::string(message[http::field::content_type]);
    request.host = std::string(message[http::field::host]);
    for (const auto& header : message)
    {
        if (header.name() == http::field::unknown)
        {
            request.headers.push_back({std::string(header.name_string()),
                                       std::string(header.value())});
        }
    }
    request.body = std::move(message.body());
    return request;
}

// Error reply to a well-formed request that is not served.
std::optional<http_response> refusal_of(const http_request& request)
{
    if (!is_served(request.method))
    {
        return json_response({result_code::method_not_allowed,
                              "method " + request.method + " is not served"});
    }
    if (request.target.empty() || request.target.front() != '/')
    {
        return json_response(
            {result_code::bad_request, "target does not start with /"});
    }
    return std::nullopt;
}

} // namespace

connection::connection(asio::ip::tcp::socket socket,
                       const http_server_settings& settings,
                       http_handler dispatch)
    : socket_(std::move(socket)), timeout_timer_(socket_.get_executor()),
      response_timer_(socket_.get_executor()), buffer_(max_buffered_bytes),
      settings_(settings), dispatch_(std::move(dispatch)),
      peer_(peer_address(socket_))
{
}

asio::ip::tcp::socket::executor_type connection::executor()
{
    return socket_.get_executor();
}

asio::awaitable<void> connection::run()
{
    const auto self = shared_from_this();
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    while (true)
    {
        const bool arrived = co_await wait_for_request();
        if (!arrived)
        {
            break;
        }
        parser input;
        const bool complete = co_await read_request(input);
        if (!complete)
        {
            break;
        }
        const bool keep_alive = input.get().keep_alive();
        auto request = to_request(input.get());
        request.peer = peer_;
        auto response = co_await handle(std::move(request));
        const bool reused = co_await write(std::move(response), keep_alive);
        if (!reused)
        {
            break;
        }
    }
    socket_.close(ignored);
    disarm();
}

asio::awaitable<void> connection::refuse(failure error)
{
    const auto self = shared_from_this();
    co_await write(json_response(error), false);
    error_code ignored;
    socket_.close(ignored);
}

void connection::begin_stop()
{
    stopping_ = true;
    if (idle_)
    {
        arm(settings_.stop_grace);
    }
}

asio::awaitable<bool> connection::wait_for_request()
{
    if (buffer_.size() > 0)
    {
        co_return true;
    }
    idle_ = true;
    const auto timeout = request_number_ == 0 ? settings_.header_timeout
                                              : settings_.idle_timeout;
    arm(stopping_ ? settings_.stop_grace : timeout);
    error_code error;
    const auto count = co_await socket_.async_read_some(
        buffer_.prepare(read_size),
        asio::redirect_error(asio::use_awaitable, error));
    buffer_.commit(count);
    disarm();
    idle_ = false;
    co_return !error;
}

asio::awaitable<bool> connection::read_request(parser& input)
{
    input.header_limit(
        std::min(settings_.max_header_bytes, max_parser_header_bytes));
    input.body_limit(settings_.max_body_bytes);
    const bool header = co_await read_header(input);
    if (!header)
    {
        co_return false;
    }
    const bool body = co_await read_body(input);
    co_return body;
}

asio::awaitable<bool> connection::read_header(parser& input)
{
    error_code error;
    arm(settings_.header_timeout);
    co_await http::async_read_header(
        socket_,
        buffer_,
        input,
        asio::redirect_error(asio::use_awaitable, error));
    disarm();
    if (error)
    {
        co_await reply_to_invalid(error);
    }
    co_return !error;
}

asio::awaitable<bool> connection::read_body(parser& input)
{
    if (input.is_done())
    {
        co_return true;
    }
    if (input.get()[http::field::expect] == "100-continue")
    {
        co_await write_continue();
    }
    error_code error;
    arm(settings_.body_timeout);
    co_await http::async_read(socket_,
                              buffer_,
                              input,
                              asio::redirect_error(asio::use_awaitable, error));
    disarm();
    if (error)
    {
        co_await reply_to_invalid(error);
    }
    co_return !error;
}

asio::awaitable<void> connection::reply_to_invalid(error_code error)
{
    auto response = response_to(error, settings_);
    if (timed_out_)
    {
        response =
            error_response(408,
                           {result_code::bad_request,
                            "the request did not arrive within the time limit "
                            "and was not handled"});
    }
    if (response)
    {
        co_await write(std::move(*response), false);
    }
}

asio::awaitable<http_response> connection::handle(http_request request)
{
    if (auto refusal = refusal_of(request))
    {
        co_return std::move(*refusal);
    }
    response_.reset();
    const auto number = ++request_number_;
    response_timer_.expires_at(asio::steady_timer::time_point::max());
    dispatch_(std::move(request),
              [self = shared_from_this(), number](http_response response)
              {
                  asio::post(self->executor(),
                             [self, number, reply = std::move(response)]
                             {
                                 if (number == self->request_number_)
                                 {
                                     self->response_ = reply;
                                     self->response_timer_.cancel();
                                 }
                             });
              });
    while (!response_)
    {
        error_code ignored;
        co_await response_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    ++request_number_;
    co_return std::move(*response_);
}

asio::awaitable<bool> connection::write(http_response response, bool keep_alive)
{
    constexpr int first_status = 200;
    constexpr int last_status = 599;
    if (response.status < first_status || response.status > last_status)
    {
        co_return false;
    }
    http::response<http::string_body> message;
    message.version(http_1_1);
    message.result(static_cast<unsigned>(response.status));
    message.set(http::field::content_type, response.content_type);
    if (response.retry_after.count() > 0)
    {
        message.set(http::field::retry_after,
                    std::to_string(response.retry_after.count()));
    }
    message.body() = std::move(response.body);
    const bool reuse = keep_alive && !stopping_;
    message.keep_alive(reuse);
    message.prepare_payload();
    error_code error;
    arm(settings_.write_timeout);
    co_await http::async_write(
        socket_, message, asio::redirect_error(asio::use_awaitable, error));
    disarm();
    if (error)
    {
        co_return false;
    }
    if (!reuse)
    {
        co_await lingering_close();
    }
    co_return reuse;
}

asio::awaitable<void> connection::write_continue()
{
    http::response<http::empty_body> message(http::status::continue_, http_1_1);
    error_code ignored;
    arm(settings_.write_timeout);
    co_await http::async_write(
        socket_, message, asio::redirect_error(asio::use_awaitable, ignored));
    disarm();
}

asio::awaitable<void> connection::lingering_close()
{
    error_code error;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::array<char, read_size> discarded{};
    std::size_t total = 0;
    arm(close_timeout);
    while (!error && total < max_discarded_bytes && !timed_out_)
    {
        total += co_await socket_.async_read_some(
            asio::buffer(discarded),
            asio::redirect_error(asio::use_awaitable, error));
    }
    disarm();
}

void connection::arm(milliseconds timeout)
{
    timed_out_ = false;
    const auto number = ++timeout_number_;
    timeout_timer_.expires_after(timeout);
    timeout_timer_.async_wait(
        [self = shared_from_this(), number](error_code error)
        {
            if (error || number != self->timeout_number_)
            {
                return;
            }
            error_code ignored;
            self->socket_.cancel(ignored);
            self->arm(cancel_interval);
            self->timed_out_ = true;
        });
}

void connection::disarm()
{
    ++timeout_number_;
    timeout_timer_.cancel();
}

} // namespace poplarramp::detail
