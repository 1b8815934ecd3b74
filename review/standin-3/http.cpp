#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace review
{

namespace
{

constexpr int poll_ms = 50;
constexpr std::size_t read_bytes = 16384;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int open_listener(std::uint16_t& port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = loopback(port);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    constexpr int backlog = 128;
    if (bind(fd, generic, size) != 0 || listen(fd, backlog) != 0 ||
        getsockname(fd, generic, &size) != 0)
    {
        ::close(fd);
        throw std::runtime_error("cannot listen on the loopback interface");
    }
    port = ntohs(address.sin_port);
    return fd;
}

bool wait_readable(int fd, int timeout_ms)
{
    pollfd item{fd, POLLIN, 0};
    return poll(&item, 1, timeout_ms) > 0;
}

bool is_closed(int fd)
{
    pollfd item{fd, POLLRDHUP, 0};
    return poll(&item, 1, 0) > 0 &&
           (item.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool send_all(int fd, std::string_view text)
{
    while (!text.empty())
    {
        const auto sent = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(),
                   result.end(),
                   result.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return result;
}

// A message split into its first line, its fields and its body.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

std::size_t body_length(const message& item)
{
    const auto found = item.headers.find("content-length");
    std::size_t length = 0;
    if (found != item.headers.end())
    {
        const auto& text = found->second;
        std::from_chars(text.data(), text.data() + text.size(), length);
    }
    return length;
}

message parse_header(std::string_view text)
{
    message result;
    bool first = true;
    while (!text.empty())
    {
        const auto end = std::min(text.find("\r\n"), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 2, text.size()));
        const auto colon = line.find(':');
        if (first)
        {
            result.first_line = line;
            first = false;
        }
        else if (colon != std::string_view::npos)
        {
            auto value = line.substr(colon + 1);
            value.remove_prefix(
                std::min(value.find_first_not_of(' '), value.size()));
            result.headers[lower(line.substr(0, colon))] = value;
        }
    }
    return result;
}

// Reads one message; `more` reads further bytes and returns false at the end.
std::optional<message> read_message(std::string& buffer,
                                    const std::function<bool()>& more)
{
    auto end = buffer.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!more())
        {
            return std::nullopt;
        }
        end = buffer.find("\r\n\r\n");
    }
    auto result = parse_header(std::string_view(buffer).substr(0, end));
    const auto length = body_length(result);
    const auto begin = end + 4;
    while (buffer.size() < begin + length)
    {
        if (!more())
        {
            return std::nullopt;
        }
    }
    result.body = buffer.substr(begin, length);
    buffer.erase(0, begin + length);
    return result;
}

bool read_some(int fd, std::string& buffer)
{
    std::array<char, read_bytes> part{};
    const auto count = recv(fd, part.data(), part.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    buffer.append(part.data(), static_cast<std::size_t>(count));
    return true;
}

std::string to_text(const http_response& response)
{
    return "HTTP/1.1 " + std::to_string(response.status) +
           " .\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

std::string to_text(const http_request& request)
{
    auto text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(request.body.size()) +
            "\r\nConnection: close\r\n\r\n";
    return text + request.body;
}

} // namespace

http_listener::http_listener(http_handler handler)
    : http_listener(std::move(handler), 0)
{
}

http_listener::http_listener(http_handler handler, std::uint16_t port)
    : handler_(std::move(handler)), port_(port), listener_(open_listener(port_))
{
    acceptor_ = std::thread([this] { accept_connections(); });
}

http_listener::~http_listener()
{
    close();
}

void http_listener::close()
{
    if (closing_.exchange(true))
    {
        return;
    }
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const int fd : connections_)
        {
            shutdown(fd, SHUT_RDWR);
        }
    }
    while (threads_ > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void http_listener::accept_connections()
{
    while (!closing_)
    {
        if (!wait_readable(listener_, poll_ms))
        {
            continue;
        }
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
        {
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
            const std::lock_guard lock(mutex_);
            connections_.insert(fd);
        }
        ++threads_;
        std::thread(
            [this, fd]
            {
                serve(fd);
                {
                    const std::lock_guard lock(mutex_);
                    connections_.erase(fd);
                }
                ::close(fd);
                --threads_;
            })
            .detach();
    }
}

void http_listener::serve(int fd)
{
    std::string buffer;
    const auto more = [this, fd, &buffer]
    {
        while (!closing_ && !wait_readable(fd, poll_ms))
        {
        }
        return !closing_ && read_some(fd, buffer);
    };
    while (!closing_)
    {
        auto input = read_message(buffer, more);
        if (!input)
        {
            return;
        }
        http_request request;
        const auto& line = input->first_line;
        const auto space = std::min(line.find(' '), line.size());
        request.method = line.substr(0, space);
        request.target = line.substr(std::min(space + 1, line.size()));
        request.target.resize(
            std::min(request.target.find(' '), request.target.size()));
        request.headers = std::move(input->headers);
        request.body = std::move(input->body);
        request.is_open = [this, fd]
        {
            return !closing_ && !is_closed(fd);
        };
        const auto response = handler_(request);
        if (!response)
        {
            while (more())
            {
            }
            return;
        }
        if (closing_ || !send_all(fd, to_text(*response)))
        {
            return;
        }
    }
}

std::uint16_t free_port()
{
    // Below the ports that the kernel gives to clients. Scripts that run side
    // by side begin at different ports.
    constexpr int first = 12000;
    constexpr int count = 18000;
    constexpr int spread = 97;
    static int next = getpid() * spread % count;
    for (int tries = 0; tries < count; ++tries)
    {
        auto port = static_cast<std::uint16_t>(first + next);
        next = (next + 1) % count;
        try
        {
            ::close(open_listener(port));
            return port;
        }
        catch (const std::runtime_error&)
        {
            // In use.
            continue;
        }
    }
    throw std::runtime_error("no free port on the loopback interface");
}

std::optional<http_response>
call(std::uint16_t port, const http_request& request, int timeout_ms)
{
    using clock = std::chrono::steady_clock;
    const auto deadline = clock::now() + std::chrono::milliseconds(timeout_ms);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    std::optional<http_response> result;
    std::string buffer;
    const auto more = [fd, deadline, &buffer]
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - clock::now());
        return left.count() > 0 &&
               wait_readable(fd, static_cast<int>(left.count())) &&
               read_some(fd, buffer);
    };
    if (connect(fd,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 &&
        send_all(fd, to_text(request)))
    {
        if (auto reply = read_message(buffer, more))
        {
            const auto& line = reply->first_line;
            const auto space = std::min(line.find(' '), line.size());
            http_response response;
            std::from_chars(line.data() + std::min(space + 1, line.size()),
                            line.data() + line.size(),
                            response.status);
            response.body = std::move(reply->body);
            result = std::move(response);
        }
    }
    ::close(fd);
    return result;
}

} // namespace review
