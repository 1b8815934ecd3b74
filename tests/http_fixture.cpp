#include "http_fixture.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cerrno>
#include <cstdlib>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace poplarramp::testing
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t receive_size = 65536;
constexpr milliseconds poll_interval{5};

sockaddr_in loopback_endpoint(std::uint16_t port)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return endpoint;
}

void set_read_timeout(int socket)
{
    timeval timeout{};
    timeout.tv_sec = test_timeout.count() / 1000;
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

} // namespace

struct loopback_network::state
{
    // Destroyed last: functions pending on the control context own
    // connections.
    asio::io_context traffic;
    asio::io_context control;
    asio::executor_work_guard<asio::io_context::executor_type> guard =
        asio::make_work_guard(traffic);
    std::vector<std::thread> threads;
    bool completed_twice = false;

    // Runs one control function, if one becomes ready within `duration`.
    void run_one(milliseconds duration)
    {
        control.restart();
        if (control.run_one_for(duration) == 0)
        {
            // run_one_for returns at once if no work is pending.
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
};

loopback_network::loopback_network() : state_(std::make_unique<state>())
{
    for (int i = 0; i < 2; ++i)
    {
        state_->threads.emplace_back([this] { state_->traffic.run(); });
    }
}

loopback_network::~loopback_network()
{
    state_->traffic.stop();
    for (auto& thread : state_->threads)
    {
        thread.join();
    }
    CHECK_FALSE(state_->completed_twice);
}

asio::io_context& loopback_network::traffic()
{
    return state_->traffic;
}

asio::io_context& loopback_network::control()
{
    return state_->control;
}

bool loopback_network::run_until(const std::function<bool()>& condition)
{
    const auto deadline = monotonic_now() + test_timeout;
    while (!condition())
    {
        if (monotonic_now() >= deadline)
        {
            return false;
        }
        state_->run_one(poll_interval);
    }
    return true;
}

void loopback_network::run_for(milliseconds duration)
{
    const auto end = monotonic_now() + duration;
    while (monotonic_now() < end)
    {
        state_->run_one(poll_interval);
    }
}

void loopback_network::post(std::function<void()> action)
{
    asio::post(state_->control, std::move(action));
}

http_reply loopback_network::call(const http_send_function& send,
                                  const std::string& address,
                                  http_request request,
                                  milliseconds timeout)
{
    const auto reply = std::make_shared<std::optional<http_reply>>();
    send(address,
         std::move(request),
         monotonic_now() + timeout,
         [this, reply](http_reply got)
         {
             state_->completed_twice |= reply->has_value();
             *reply = std::move(got);
         });
    CHECK_FALSE(reply->has_value());
    CHECK(run_until([&] { return reply->has_value(); }));
    return **reply;
}

std::string address_of(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1))
{
}

raw_connection::~raw_connection()
{
    if (socket_ >= 0)
    {
        close(socket_);
    }
}

raw_connection raw_connection::connect_to(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto endpoint = loopback_endpoint(port);
    set_read_timeout(socket);
    CHECK(connect(socket,
                  reinterpret_cast<const sockaddr*>(&endpoint),
                  sizeof(endpoint)) == 0);
    return raw_connection(socket);
}

void raw_connection::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = ::send(
            socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

void raw_connection::shutdown_send() const
{
    shutdown(socket_, SHUT_WR);
}

std::string raw_connection::receive() const
{
    std::string bytes(receive_size, '\0');
    const auto count = recv(socket_, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
}

std::string raw_connection::receive_all() const
{
    std::string all;
    while (true)
    {
        errno = 0;
        const auto bytes = receive();
        if (bytes.empty())
        {
            return errno == ECONNRESET ? all + "[reset]" : all;
        }
        all += bytes;
    }
}

std::string raw_connection::receive_request() const
{
    constexpr std::string_view length_field = "Content-Length: ";
    std::string all;
    while (true)
    {
        const auto end = all.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            const auto field = all.find(length_field);
            const std::size_t length =
                field > end
                    ? 0
                    : std::strtoul(all.c_str() + field + length_field.size(),
                                   nullptr,
                                   10);
            if (all.size() >= end + 4 + length)
            {
                return all;
            }
        }
        const auto bytes = receive();
        if (bytes.empty())
        {
            return {};
        }
        all += bytes;
    }
}

struct scripted_server::state
{
    int listener = -1;
    std::uint16_t port = 0;
    connection_handler handle;
    std::thread acceptor;
    std::vector<std::thread> peers;

    void accept_all()
    {
        for (int number = 0;; ++number)
        {
            const int socket = accept(listener, nullptr, nullptr);
            if (socket < 0)
            {
                return;
            }
            set_read_timeout(socket);
            peers.emplace_back(
                [this, number, socket]
                {
                    raw_connection peer(socket);
                    handle(number, peer);
                });
        }
    }
};

scripted_server::scripted_server(connection_handler handle)
    : state_(std::make_unique<state>())
{
    state_->handle = std::move(handle);
    state_->listener = socket(AF_INET, SOCK_STREAM, 0);
    auto endpoint = loopback_endpoint(0);
    auto* generic = reinterpret_cast<sockaddr*>(&endpoint);
    socklen_t size = sizeof(endpoint);
    CHECK(bind(state_->listener, generic, size) == 0);
    CHECK(listen(state_->listener, 16) == 0);
    CHECK(getsockname(state_->listener, generic, &size) == 0);
    state_->port = ntohs(endpoint.sin_port);
    state_->acceptor = std::thread([this] { state_->accept_all(); });
}

scripted_server::~scripted_server()
{
    shutdown(state_->listener, SHUT_RDWR);
    state_->acceptor.join();
    close(state_->listener);
    for (auto& peer : state_->peers)
    {
        peer.join();
    }
}

std::string scripted_server::address() const
{
    return address_of(state_->port);
}

std::string raw_reply(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace poplarramp::testing
