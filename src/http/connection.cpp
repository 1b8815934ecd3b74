#include "http/connection.hpp"

#include "http/json_reply.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
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

// Covers a header and a body of the usual size; charged with the connection.
constexpr std::size_t first_read_bytes = std::size_t{4} * 1024;
constexpr std::size_t body_read_bytes = std::size_t{16} * 1024;

// Bodies up to this size are part of what every connection is charged for.
constexpr std::size_t small_body_bytes = first_read_bytes;

// A header takes its bytes in the buffer, in the parser and in the request.
constexpr std::size_t header_copies = 3;

// Fields of a header; each takes about 100 bytes however short it is.
constexpr std::size_t max_header_fields = 100;

// Chunks may be as small as one byte, which takes six bytes on the wire.
constexpr std::uint64_t max_wire_bytes_per_byte = 8;

// How long a request waits for connections to be closed, and how often it looks
// whether they are.
constexpr milliseconds room_timeout{300};
constexpr milliseconds room_interval{20};

constexpr std::chrono::seconds retry_after_overload{1};

// Charged for the status line and the fields of a reply.
constexpr std::size_t reply_header_bytes = 512;

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
        return error_response(
            413,
            {result_code::body_too_large,
             settings.max_body_bytes == 0
                 ? "no body is accepted here"
                 : "body is longer than " +
                       std::to_string(settings.max_body_bytes) +
                       " bytes, or than " + std::to_string(small_body_bytes) +
                       " for a method without a body"});
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

bool takes_body(std::string_view method)
{
    return method == "POST" || method == "PUT";
}

http_response overload_response(const std::string& reason)
{
    auto response = json_response({result_code::overloaded, reason});
    response.retry_after = retry_after_overload;
    return response;
}

// Counts the lines of a header while it arrives.
class header_scan
{
public:
    std::size_t count_fields(const boost::beast::flat_buffer& buffer)
    {
        const auto bytes = buffer.data();
        const std::string_view text(static_cast<const char*>(bytes.data()),
                                    bytes.size());
        const auto end = text.find("\r\n\r\n", scanned_ < 3 ? 0 : scanned_ - 3);
        const auto header = text.substr(0, end);
        if (header.size() > scanned_)
        {
            lines_ += static_cast<std::size_t>(std::count(
                header.begin() + static_cast<std::ptrdiff_t>(scanned_),
                header.end(),
                '\n'));
            scanned_ = header.size();
        }
        return lines_;
    }

private:
    std::size_t scanned_ = 0;
    std::size_t lines_ = 0;
};

// When `bytes` must have been transferred.
time_point rate_deadline(time_point started,
                         std::uint64_t bytes,
                         milliseconds timeout,
                         const http_server_settings& settings)
{
    constexpr std::uint64_t ms_per_s = 1000;
    const auto due = milliseconds(static_cast<std::int64_t>(
        bytes * ms_per_s / settings.min_bytes_per_second));
    return started + std::min(timeout, settings.rate_grace + due);
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
                       http_handler dispatch,
                       async_judge judge)
    : socket_(std::move(socket)), timeout_timer_(socket_.get_executor()),
      response_timer_(socket_.get_executor()), buffer_(max_buffered_bytes),
      settings_(settings), dispatch_(std::move(dispatch)),
      judge_(std::move(judge)), peer_(peer_address(socket_))
{
}

asio::ip::tcp::socket::executor_type connection::executor()
{
    return socket_.get_executor();
}

void connection::set_account(std::unique_ptr<input_account> account)
{
    account_ = std::move(account);
}

bool connection::set_phase(input_phase phase)
{
    return !account_ || account_->set_phase(phase);
}

asio::awaitable<void> connection::run()
{
    const auto self = shared_from_this();
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    while (!closed_)
    {
        const bool arrived = co_await wait_for_request();
        if (!arrived)
        {
            break;
        }
        auto request = co_await read_request();
        // Once it is passed on, the connection is not closed for others.
        if (!request || !set_phase(input_phase::handling))
        {
            break;
        }
        auto response = co_await handle(std::move(*request));
        request.reset();
        const bool reused = co_await write(std::move(response), keep_alive_);
        release_input();
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
    auto response = json_response(error);
    response.retry_after = retry_after_overload;
    co_await write(std::move(response), false);
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

void connection::close()
{
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    response_timer_.cancel();
}

// Frees what the last request needed, so that an idle connection has no buffer.
void connection::release_input()
{
    served_ = true;
    buffer_.shrink_to_fit();
    const auto held = buffer_.capacity() > first_read_bytes
                          ? header_copies * buffer_.capacity()
                          : 0;
    if (account_ && held != held_)
    {
        account_->hold_anyway(held);
    }
    held_ = held;
}

asio::awaitable<bool> connection::wait_for_request()
{
    if (buffer_.size() > 0)
    {
        co_return set_phase(input_phase::receiving);
    }
    idle_ = true;
    if (!set_phase(served_ ? input_phase::idle : input_phase::receiving))
    {
        co_return false;
    }
    const auto timeout =
        served_ ? settings_.idle_timeout : settings_.header_timeout;
    arm(stopping_ ? settings_.stop_grace : timeout);
    error_code error;
    co_await socket_.async_wait(
        asio::socket_base::wait_read,
        asio::redirect_error(asio::use_awaitable, error));
    disarm();
    idle_ = false;
    co_return !error && !closed_ &&
        (!served_ || set_phase(input_phase::receiving));
}

asio::awaitable<std::optional<http_request>> connection::read_request()
{
    parser input;
    input.header_limit(
        std::min(settings_.max_header_bytes, max_parser_header_bytes));
    input.body_limit(settings_.max_body_bytes);
    const bool header = co_await read_header(input);
    if (!header)
    {
        co_return std::nullopt;
    }
    keep_alive_ = input.get().keep_alive();
    const bool body = co_await read_body(input);
    if (!body)
    {
        co_return std::nullopt;
    }
    auto request = to_request(input.get());
    request.body = std::move(input.get().body());
    request.peer = peer_;
    co_return request;
}

asio::awaitable<error_code> connection::read_more(std::size_t size)
{
    error_code error;
    if (buffer_.size() + size > buffer_.max_size())
    {
        error = http::error::buffer_overflow;
        co_return error;
    }
    const auto count = co_await socket_.async_read_some(
        buffer_.prepare(size),
        asio::redirect_error(asio::use_awaitable, error));
    buffer_.commit(count);
    co_return error;
}

asio::awaitable<bool> connection::read_header(parser& input)
{
    error_code error;
    header_scan scan;
    arm(settings_.header_timeout);
    while (!error)
    {
        if (scan.count_fields(buffer_) > max_header_fields)
        {
            error = http::error::header_limit;
            break;
        }
        if (buffer_.size() > 0)
        {
            const auto used = input.put(buffer_.data(), error);
            buffer_.consume(used);
        }
        if (input.is_header_done() ||
            (error && error != http::error::need_more))
        {
            break;
        }
        const auto needed = buffer_.size() + first_read_bytes;
        if (needed > first_read_bytes + first_read_bytes / 2)
        {
            const bool granted = co_await hold(header_copies * needed);
            if (!granted)
            {
                disarm();
                co_return false;
            }
        }
        error = co_await read_more(first_read_bytes);
        if (error == asio::error::eof)
        {
            error = input.got_some() ? http::error::partial_message
                                     : http::error::end_of_stream;
        }
    }
    disarm();
    if (error)
    {
        co_await reply_to_invalid(error);
    }
    co_return !error;
}

asio::awaitable<bool> connection::read_body(parser& input)
{
    input.eager(true);
    if (input.is_done())
    {
        co_return true;
    }
    const auto started = monotonic_now();
    const auto length = input.content_length();
    error_code error;
    if (!takes_body(std::string_view(input.get().method_string())))
    {
        input.body_limit(small_body_bytes);
        if (length && *length > small_body_bytes)
        {
            error = http::error::body_limit;
        }
    }
    if (!error && (!length || *length <= buffer_.size()))
    {
        error = parse_body(input);
    }
    if (error)
    {
        co_await reply_to_invalid(error);
        co_return false;
    }
    if (input.is_done())
    {
        co_return true;
    }
    const bool small = length && *length <= small_body_bytes;
    if (!small)
    {
        const bool admitted = co_await admit_body(input);
        if (!admitted)
        {
            co_return false;
        }
    }
    if (input.get()[http::field::expect] == "100-continue")
    {
        co_await write_continue();
    }
    const bool complete = co_await read_rest_of_body(input, started);
    co_return complete;
}

// Parses what is in the buffer.
error_code connection::parse_body(parser& input)
{
    error_code error;
    while (!error && buffer_.size() > 0 && !input.is_done())
    {
        const auto used = input.put(buffer_.data(), error);
        buffer_.consume(used);
        if (used == 0)
        {
            break;
        }
    }
    return error == http::error::need_more ? error_code() : error;
}

// Judges a request whose body has not arrived, and reserves the memory for a
// body of declared length.
asio::awaitable<bool> connection::admit_body(parser& input)
{
    auto header = to_request(input.get());
    auto refusal = refusal_of(header);
    if (!refusal && judge_)
    {
        refusal = co_await judge(std::move(header));
    }
    if (closed_)
    {
        co_return false;
    }
    if (refusal)
    {
        co_await write(std::move(*refusal), false);
        co_return false;
    }
    const auto length = input.content_length().value_or(0);
    const bool granted = co_await hold(held_ + body_read_bytes +
                                       static_cast<std::size_t>(length));
    co_return granted;
}

asio::awaitable<bool> connection::read_rest_of_body(parser& input,
                                                    time_point started)
{
    error_code error;
    const auto held = held_;
    const auto max_received =
        settings_.max_body_bytes * max_wire_bytes_per_byte;
    std::uint64_t received = 0;
    while (!input.is_done() && !error)
    {
        arm_until(rate_deadline(
            started, received, settings_.body_timeout, settings_));
        const auto before = buffer_.size();
        error = co_await read_more(body_read_bytes);
        disarm();
        received += buffer_.size() - before;
        if (error == asio::error::eof)
        {
            error = http::error::partial_message;
        }
        else if (received > max_received + max_buffered_bytes)
        {
            error = http::error::body_limit;
        }
        if (error)
        {
            break;
        }
        auto& body = input.get().body();
        const auto needed = body.size() + buffer_.size();
        if (input.chunked() && needed > body.capacity())
        {
            // Both the old and the new copy are held while it grows.
            const auto size = std::max(needed, 2 * body.capacity());
            const bool granted = co_await hold(held + body.capacity() + size);
            if (!granted)
            {
                co_return false;
            }
            body.reserve(size);
        }
        error = parse_body(input);
    }
    if (error)
    {
        co_await reply_to_invalid(error);
    }
    co_return !error;
}

asio::awaitable<bool> connection::hold(std::size_t bytes)
{
    if (!account_ || bytes <= held_)
    {
        co_return true;
    }
    const auto deadline = monotonic_now() + room_timeout;
    auto result = account_->hold(bytes);
    while (result == charge_result::later && monotonic_now() < deadline &&
           !closed_)
    {
        response_timer_.expires_after(room_interval);
        error_code ignored;
        co_await response_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        result = account_->hold(bytes);
    }
    if (closed_)
    {
        co_return false;
    }
    if (result == charge_result::granted)
    {
        held_ = bytes;
        co_return true;
    }
    account_->count_refused_request();
    co_await write(
        overload_response("this VM has no memory for the request, not run"),
        false);
    co_return false;
}

asio::awaitable<void> connection::reply_to_invalid(error_code error)
{
    auto response = response_to(error, settings_);
    if (timed_out_)
    {
        if (account_)
        {
            account_->count_slow();
        }
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

asio::awaitable<void> connection::wait_for_control()
{
    while (!answered_ && !closed_)
    {
        error_code ignored;
        co_await response_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    ++question_number_;
}

// Number of a new question to the control thread.
std::uint64_t connection::open_question()
{
    answered_ = false;
    response_.reset();
    response_timer_.expires_at(asio::steady_timer::time_point::max());
    return ++question_number_;
}

void connection::answer(std::uint64_t question,
                        std::optional<http_response> response)
{
    if (question == question_number_)
    {
        response_ = std::move(response);
        answered_ = true;
        response_timer_.cancel();
    }
}

asio::awaitable<http_response> connection::handle(http_request request)
{
    if (auto refusal = refusal_of(request))
    {
        co_return std::move(*refusal);
    }
    dispatch_(std::move(request),
              [self = shared_from_this(),
               question = open_question()](http_response response)
              {
                  asio::post(self->executor(),
                             [self, question, reply = std::move(response)]
                             { self->answer(question, reply); });
              });
    co_await wait_for_control();
    if (!response_)
    {
        // Without a status, `write` closes the connection.
        http_response none;
        none.status = 0;
        co_return none;
    }
    co_return std::move(*response_);
}

asio::awaitable<std::optional<http_response>>
connection::judge(http_request header)
{
    judge_(std::move(header),
           [self = shared_from_this(),
            question = open_question()](std::optional<http_response> refusal)
           {
               asio::post(self->executor(),
                          [self, question, reply = std::move(refusal)]
                          { self->answer(question, reply); });
           });
    co_await wait_for_control();
    co_return std::move(response_);
}

asio::awaitable<bool> connection::write(http_response response, bool keep_alive)
{
    constexpr int first_status = 200;
    constexpr int last_status = 599;
    if (response.status < first_status || response.status > last_status)
    {
        co_return false;
    }
    set_phase(input_phase::replying);
    if (account_ && response.body.size() > small_body_bytes)
    {
        held_ += response.body.size() + reply_header_bytes;
        account_->hold_anyway(held_);
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
    // A client that sends many requests without reading the replies would be
    // busy all the time and never be displaced.
    const bool displaced =
        buffer_.size() > 0 && account_ && account_->crowded();
    const bool reuse = keep_alive && !stopping_ && !displaced;
    message.keep_alive(reuse);
    message.prepare_payload();
    const bool sent = co_await send(message);
    if (sent && !reuse)
    {
        co_await lingering_close();
    }
    co_return sent&& reuse;
}

asio::awaitable<bool>
connection::send(http::response<http::string_body>& message)
{
    http::response_serializer<http::string_body> serializer(message);
    const auto started = monotonic_now();
    std::uint64_t sent = 0;
    error_code error;
    while (!error && !serializer.is_done())
    {
        arm_until(
            rate_deadline(started, sent, settings_.write_timeout, settings_));
        sent += co_await http::async_write_some(
            socket_,
            serializer,
            asio::redirect_error(asio::use_awaitable, error));
    }
    disarm();
    if (error && timed_out_ && account_)
    {
        account_->count_slow();
    }
    co_return !error;
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
    set_phase(input_phase::receiving);
    buffer_.clear();
    buffer_.shrink_to_fit();
    std::size_t total = 0;
    arm(close_timeout);
    while (!error && total < max_discarded_bytes && !timed_out_)
    {
        total += co_await socket_.async_read_some(
            buffer_.prepare(first_read_bytes),
            asio::redirect_error(asio::use_awaitable, error));
    }
    disarm();
}

void connection::arm_until(time_point deadline)
{
    arm(std::max(milliseconds(1), deadline - monotonic_now()));
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
