// Connection pool of one address. Private to src/http.
#ifndef POPLARRAMP_HTTP_DESTINATION_HPP
#define POPLARRAMP_HTTP_DESTINATION_HPP

#include "http/client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace poplarramp::detail
{

// Limit of received bytes that are not parsed yet. Below 64 KiB, because
// Beast throws an exception for a field of that size.
constexpr std::size_t max_buffered_bytes = std::size_t{48} * 1024;

// Established connection, idle or used by one call.
struct pooled_connection
{
    explicit pooled_connection(boost::beast::tcp_stream connected)
        : stream(std::move(connected))
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{max_buffered_bytes};
    time_point idle_since{};
};

using pooled_connection_ptr = std::unique_ptr<pooled_connection>;

// Outcome of one attempt on one connection.
struct exchange_result
{
    http_reply reply;
    bool fully_sent = false;
    bool reply_started = false;
    bool reusable = false;
};

// Members are used on `strand` only.
class destination : public std::enable_shared_from_this<destination>
{
public:
    destination(boost::asio::io_context& traffic,
                std::string address,
                const http_client_settings& settings);

    // Runs one call. The reply is ready at the deadline at the latest.
    boost::asio::awaitable<http_reply> call(http_request request,
                                            time_point deadline);

    const boost::asio::strand<boost::asio::io_context::executor_type>&
    strand() const
    {
        return strand_;
    }

private:
    // Call that waits for a connection slot.
    struct waiter
    {
        boost::asio::steady_timer timer;
        bool granted = false;
    };

    boost::asio::awaitable<bool> acquire_slot(time_point deadline);
    void release_slot();
    boost::asio::awaitable<http_reply> call_with_slot(http_request request,
                                                      time_point deadline);
    pooled_connection_ptr take_idle();
    void add_idle(pooled_connection_ptr item);
    void close_all_idle();
    void start_idle_timer();
    void close_expired();
    boost::asio::awaitable<pooled_connection_ptr> connect(time_point deadline,
                                                          failure& why);
    boost::asio::awaitable<bool> wait_backoff(time_point deadline);
    void on_connect_failure();
    boost::asio::awaitable<exchange_result>
    exchange(pooled_connection& item,
             const http_request& request,
             time_point deadline);
    boost::asio::awaitable<void> receive(pooled_connection& item,
                                         exchange_result& result);

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    const std::string address_;
    const std::optional<boost::asio::ip::tcp::endpoint> endpoint_;
    const http_client_settings settings_;
    // Calls that have a connection slot.
    std::size_t in_use_ = 0;
    // Longest idle first. Idle connections and those in use together are at
    // most `max_connections`.
    std::deque<pooled_connection_ptr> idle_;
    std::deque<std::shared_ptr<waiter>> waiters_;
    boost::asio::steady_timer idle_timer_;
    backoff connect_backoff_;
    time_point connect_after_{};
    retry_budget retry_budget_;
    std::mt19937_64 random_;
};

// Endpoint of "ip:port" or "[ip]:port".
std::optional<boost::asio::ip::tcp::endpoint>
parse_address(const std::string& address);

} // namespace poplarramp::detail

#endif
