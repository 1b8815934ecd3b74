// HTTP server for API clients, operators and other entry VMs.
#ifndef POPLARRAMP_HTTP_SERVER_HPP
#define POPLARRAMP_HTTP_SERVER_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "http/input_budget.hpp"
#include "http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace poplarramp
{

struct http_server_settings
{
    std::string ip = "127.0.0.1";
    // 0: a free port, see `http_server::port`.
    std::uint16_t port = 0;
    // Memory and connections of the listener; nullptr: a budget of its own with
    // `max_connections`.
    std::shared_ptr<input_budget> budget;
    input_part part = input_part::callers;
    std::size_t max_connections = 1024;
    // Connections from one address; 0: no limit.
    std::size_t max_connections_per_address = 0;
    // Largest receive and send buffer of a connection in the kernel, in bytes;
    // 0: the kernel decides.
    int socket_buffer_bytes = 16 * 1024;
    // At most 32 KiB takes effect.
    std::uint32_t max_header_bytes = 16 * 1024;
    // 0: requests have no body. GET and DELETE never have more than 4 KiB.
    std::uint64_t max_body_bytes = std::uint64_t{1024} * 1024;
    // A body, and the reading of a reply, must progress at this rate on average
    // after `rate_grace`. Slower links are not expected between VMs and the
    // balancer; a lost packet costs up to a second.
    std::size_t min_bytes_per_second = std::size_t{8} * 1024;
    milliseconds rate_grace{2000};
    // The first byte of a new connection and the header of each request must
    // arrive within `header_timeout`, the body within `body_timeout`, so that a
    // slow client cannot occupy a connection.
    milliseconds header_timeout{5000};
    milliseconds body_timeout{10000};
    milliseconds write_timeout{10000};
    milliseconds idle_timeout{60000};
    // A graceful stop leaves idle connections open this long, so that a request
    // already in transit is served.
    milliseconds stop_grace{300};
};

// Parses requests on the traffic context and calls the handler on the control
// context. Requests of one connection are handled one at a time, in order.
// Input that is not a valid request gets the reply {code, result, reason}, and
// only its own connection is closed.
//
// The traffic context must be destroyed after the control context, whose
// pending functions own connections. Both must be stopped, or outlive the
// server and its handler. Public functions are called on the control thread.
class http_server
{
public:
    http_server(boost::asio::io_context& traffic,
                boost::asio::io_context& control,
                http_server_settings settings,
                http_handler handler,
                http_judge judge = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Opens the port and starts to accept. On failure returns false and fills
    // `why` with `bad_settings`.
    bool listen(failure& why);

    // Port in use after `listen`.
    std::uint16_t port() const;

    // Graceful stop: accepts no more connections, waits for requests in flight,
    // then calls `stopped` on the control thread. Call at most once.
    void stop(std::function<void()> stopped);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
