// One accepted connection. Private to src/http.
#ifndef POPLARRAMP_HTTP_CONNECTION_HPP
#define POPLARRAMP_HTTP_CONNECTION_HPP

#include "http/server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace poplarramp::detail
{

// Judges a header on the control thread and calls `decide` there.
using async_judge = std::function<void(
    http_request header,
    std::function<void(std::optional<http_response>)> decide)>;

// Runs on the strand of its socket; only the functions that it passes to
// `dispatch` and `judge` may be called from other threads.
class connection : public std::enable_shared_from_this<connection>
{
public:
    // `dispatch` and `judge` are called on the strand; `judge` may be empty.
    connection(boost::asio::ip::tcp::socket socket,
               const http_server_settings& settings,
               http_handler dispatch,
               async_judge judge);

    // Before `run`; and with nullptr when it has ended, on the strand.
    void set_account(std::unique_ptr<input_account> account);

    // Serves requests until the peer closes, an error occurs or the server
    // stops.
    boost::asio::awaitable<void> run();

    // Sends an error reply without reading a request, then closes.
    boost::asio::awaitable<void> refuse(failure error);

    // Closes after the request in flight, or after the grace period if there is
    // none.
    void begin_stop();

    // Closes at once, in favour of another connection.
    void close();

    boost::asio::ip::tcp::socket::executor_type executor();

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> wait_for_request();
    boost::asio::awaitable<std::optional<http_request>> read_request();
    boost::asio::awaitable<bool> read_header(parser& input);
    boost::asio::awaitable<bool> read_body(parser& input);
    boost::asio::awaitable<bool> admit_body(parser& input);
    boost::system::error_code parse_body(parser& input);
    boost::asio::awaitable<bool> read_rest_of_body(parser& input,
                                                   time_point started);
    boost::asio::awaitable<boost::system::error_code>
    read_more(std::size_t size);
    // Charges for what is held beyond the first read buffer; waits for
    // connections that are being closed to make room. Replies and returns false
    // if there is no room.
    boost::asio::awaitable<bool> hold(std::size_t bytes);
    boost::asio::awaitable<void>
    reply_to_invalid(boost::system::error_code error);
    boost::asio::awaitable<http_response> handle(http_request request);
    boost::asio::awaitable<std::optional<http_response>>
    judge(http_request header);
    std::uint64_t open_question();
    void answer(std::uint64_t question, std::optional<http_response> response);
    boost::asio::awaitable<void> wait_for_control();
    boost::asio::awaitable<bool> write(http_response response, bool keep_alive);
    boost::asio::awaitable<bool> send(
        boost::beast::http::response<boost::beast::http::string_body>& message);
    boost::asio::awaitable<void> write_continue();
    boost::asio::awaitable<void> lingering_close();
    void release_input();
    bool set_phase(input_phase phase);

    // Cancels the socket's operations after the timeout, unless disarmed.
    void arm(milliseconds timeout);
    void arm_until(time_point deadline);
    void disarm();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timeout_timer_;
    boost::asio::steady_timer response_timer_;
    boost::beast::flat_buffer buffer_;
    // Of the server, which outlives its connections: its state is owned by
    // `dispatch_`.
    const http_server_settings& settings_;
    http_handler dispatch_;
    async_judge judge_;
    std::unique_ptr<input_account> account_;
    std::string peer_;
    std::optional<http_response> response_;
    // Number of the question to the control thread that is open, a request or
    // its header; answers to earlier ones are ignored.
    std::uint64_t question_number_ = 0;
    // Changes with each timeout, so that an earlier timer's handler that runs
    // late does nothing.
    std::uint64_t timeout_number_ = 0;
    // Charged to the account beyond the connection itself.
    std::size_t held_ = 0;
    bool keep_alive_ = false;
    bool answered_ = false;
    bool served_ = false;
    bool timed_out_ = false;
    bool idle_ = false;
    bool stopping_ = false;
    bool closed_ = false;
};

} // namespace poplarramp::detail

#endif
