// HTTP server for API clients, operators and other entry VMs.
#ifndef POPLARRAMP_HTTP_SERVER_HPP
#define POPLARRAMP_HTTP_SERVER_HPP

#include "base/result.hpp"
#include "base/time.hpp"
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
    std::size_t max_connections = 1024;
    // At most 32 KiB takes effect.
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = std::uint64_t{1024} * 1024;
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
                http_handler handler);
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
