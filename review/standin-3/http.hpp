// Blocking HTTP/1.1 over loopback: a listener with a thread for each
// connection, and a client.
#ifndef POPLARRAMP_REVIEW_3_HTTP_HPP
#define POPLARRAMP_REVIEW_3_HTTP_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review
{

struct http_request
{
    std::string method;
    std::string target;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // Of a request that has arrived: false once its sender has closed the
    // connection.
    std::function<bool()> is_open;
};

struct http_response
{
    int status = 0;
    std::string body;
};

// No response: the request is swallowed, and its connection stays silent until
// the peer closes it.
using http_handler =
    std::function<std::optional<http_response>(const http_request&)>;

// Public functions are thread safe. The handler is called on the threads of the
// connections.
class http_listener
{
public:
    explicit http_listener(http_handler handler);
    // Listens on a given port, such as that of an earlier listener.
    http_listener(http_handler handler, std::uint16_t port);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    // Closes the port and resets all connections. The process at the other end
    // sees a server that has died.
    void close();

private:
    void accept_connections();
    void serve(int fd);

    const http_handler handler_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::mutex mutex_;
    std::set<int> connections_;
    std::atomic<bool> closing_{false};
    std::atomic<int> threads_{0};
    std::thread acceptor_;
};

// A port on the loopback interface that is free now.
std::uint16_t free_port();

// Nothing if no complete reply arrives within the time.
std::optional<http_response>
call(std::uint16_t port, const http_request& request, int timeout_ms);

} // namespace review

#endif
