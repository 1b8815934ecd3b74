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

// Runs on the strand of its socket; only the `respond` functions that it passes
// to `dispatch` may be called from other threads.
class connection : public std::enable_shared_from_this<connection>
{
public:
    // `dispatch` is called on the strand.
    connection(boost::asio::ip::tcp::socket socket,
               const http_server_settings& settings,
               http_handler dispatch);

    // Serves requests until the peer closes, an error occurs or the server
    // stops.
    boost::asio::awaitable<void> run();

    // Sends an error reply without reading a request, then closes.
    boost::asio::awaitable<void> refuse(failure error);

    // Closes after the request in flight, or after the grace period if there is
    // none.
    void begin_stop();

    boost::asio::ip::tcp::socket::executor_type executor();

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> wait_for_request();
    boost::asio::awaitable<bool> read_request(parser& input);
    boost::asio::awaitable<bool> read_header(parser& input);
    boost::asio::awaitable<bool> read_body(parser& input);
    boost::asio::awaitable<void>
    reply_to_invalid(boost::system::error_code error);
    boost::asio::awaitable<http_response> handle(http_request request);
    boost::asio::awaitable<bool> write(http_response response, bool keep_alive);
    boost::asio::awaitable<void> write_continue();
    boost::asio::awaitable<void> lingering_close();

    // Cancels the socket's operations after the timeout, unless disarmed.
    void arm(milliseconds timeout);
    void disarm();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timeout_timer_;
    boost::asio::steady_timer response_timer_;
    boost::beast::flat_buffer buffer_;
    http_server_settings settings_;
    http_handler dispatch_;
    std::string peer_;
    std::optional<http_response> response_;
    // Number of the request in flight; responses to earlier ones are ignored.
    std::uint64_t request_number_ = 0;
    // Changes with each timeout, so that an earlier timer's handler that runs
    // late does nothing.
    std::uint64_t timeout_number_ = 0;
    bool timed_out_ = false;
    bool idle_ = false;
    bool stopping_ = false;
};

} // namespace poplarramp::detail

#endif
