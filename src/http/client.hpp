// HTTP client with persistent connections and a deadline for every call.
#ifndef POPLARRAMP_HTTP_CLIENT_HPP
#define POPLARRAMP_HTTP_CLIENT_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "limits/backoff.hpp"
#include "limits/retry_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace poplarramp
{

struct http_client_settings
{
    // Per address; calls beyond it wait for a connection until their deadline.
    std::size_t max_connections = 4;
    // Must be shorter than the server's idle timeout, else a request may be
    // sent on a connection that the server is closing.
    milliseconds idle_timeout{20000};
    std::uint64_t max_reply_bytes = std::uint64_t{16} * 1024 * 1024;
    // After a failure to connect, calls to the address wait this long, or fail
    // at once if their deadline is earlier.
    backoff_settings connect_backoff;
    retry_budget_settings retries;
};

// Calls run on the traffic context; completions are posted to the control
// context. A call fails with
// - `unreachable` if the request was not completely sent, so the server cannot
//   have handled it;
// - `timeout` if no complete reply arrived by the deadline;
// - `answer_lost` if the connection ended, or the reply was not valid HTTP or
//   too large, after the request was sent.
//
// A request is sent a second time only if a reused connection failed before the
// first byte of the reply, and the request is idempotent or was not completely
// sent.
//
// The traffic context must be destroyed after the control context, whose
// pending functions own connections. Both must be stopped, or outlive the
// client.
class http_client
{
public:
    http_client(boost::asio::io_context& traffic,
                boost::asio::io_context& control,
                http_client_settings settings = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Function that sends requests; it stays valid after the client is
    // destroyed. Call it on the control thread only.
    http_send_function send_function() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
