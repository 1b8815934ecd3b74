#include "attack_client.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

namespace poplarramp::testing
{

namespace
{

// The largest body of a legal request.
constexpr std::size_t body_bytes = 262144;

constexpr std::size_t max_reopened = 20;
constexpr std::chrono::milliseconds pause{2};
// Before a connection that was closed is opened again.
constexpr std::chrono::milliseconds reopen_pause{10};

std::string head(const std::string& method,
                 const std::string& target,
                 const std::string& key,
                 const std::string& fields)
{
    return method + " " + target + " HTTP/1.1\r\nHost: x\r\n" +
           (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") +
           fields + "\r\n";
}

std::string repeated(const std::string& text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
    {
        result += text;
    }
    return result;
}

int open_connection(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(connect(socket,
                              reinterpret_cast<const sockaddr*>(&endpoint),
                              sizeof(endpoint)));
    return socket;
}

bool is_closed(int socket)
{
    char byte = 0;
    const auto count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN &&
                          errno != EWOULDBLOCK && errno != ENOTCONN);
}

} // namespace

std::vector<attack_pattern> attack_patterns(const std::string& target,
                                            const std::string& key,
                                            std::size_t connections)
{
    const auto with = [&](const std::string& method, const std::string& fields)
    {
        return head(method, target, key, fields);
    };
    const auto length = [](std::size_t count)
    {
        return "Content-Length: " + std::to_string(count) + "\r\n";
    };
    const std::string almost(body_bytes - 1, ' ');
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    std::vector<attack_pattern> result{
        {"one byte short", with("POST", length(body_bytes)) + almost},
        {"one byte short, in pieces",
         with("POST", length(body_bytes)) + almost,
         8192},
        {"one byte short, in chunks",
         with("POST", chunked) +
             repeated("400\r\n" + repeated(" ", 1024) + "\r\n", 255)},
        {"chunks of one byte",
         with("POST", chunked) + repeated("1\r\n \r\n", 20000)},
        {"body over the limit",
         with("POST", length(body_bytes * 100)) + almost},
        {"complete body of short fields",
         with("POST", length(body_bytes)) + "{" +
             repeated("\"a\":1,", (body_bytes - 8) / 6) + "\"b\":1 }  "},
        {"complete body of nested lists",
         with("POST", length(body_bytes)) + repeated("[", body_bytes)},
        {"header of short fields", with("POST", repeated("a:\r\n", 4000))},
        {"long header that does not end",
         with("POST", "X: " + repeated("x", 12000)).substr(0, 12000)},
        {"pipelined requests", repeated(with("GET", ""), 2000)},
        {"slow header", with("POST", length(10)), 1},
        {"silent connections", ""},
        {"body of a method without one",
         with("GET", length(body_bytes)) + almost},
    };
    for (auto& pattern : result)
    {
        pattern.connections = connections;
    }
    return result;
}

attack_client::attack_client(std::uint16_t port, attack_pattern pattern)
    : port_(port), pattern_(std::move(pattern)), thread_([this] { run(); })
{
}

attack_client::~attack_client()
{
    stopped_ = true;
    thread_.join();
}

void attack_client::run()
{
    struct peer
    {
        int socket = -1;
        std::chrono::steady_clock::time_point reopen_at{};
        std::size_t sent = 0;
    };
    std::vector<peer> peers(pattern_.connections);
    std::size_t opened = 0;
    while (!stopped_)
    {
        for (auto& item : peers)
        {
            if (stopped_)
            {
                break;
            }
            if (item.socket >= 0 && is_closed(item.socket))
            {
                close(item.socket);
                item = {};
                item.reopen_at =
                    std::chrono::steady_clock::now() + reopen_pause;
            }
            if (item.socket < 0 &&
                item.reopen_at <= std::chrono::steady_clock::now() &&
                opened < max_reopened * peers.size())
            {
                item.socket = open_connection(port_);
                ++opened;
            }
            if (item.socket < 0 || item.sent == pattern_.bytes.size())
            {
                continue;
            }
            const auto count = send(
                item.socket,
                pattern_.bytes.data() + item.sent,
                std::min(pattern_.piece, pattern_.bytes.size() - item.sent),
                MSG_NOSIGNAL | MSG_DONTWAIT);
            item.sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        std::this_thread::sleep_for(pause);
    }
    for (const auto& item : peers)
    {
        if (item.socket >= 0)
        {
            close(item.socket);
        }
    }
}

} // namespace poplarramp::testing
