// HTTP over the loopback interface for tests: execution contexts and their
// threads, a raw TCP client and a scripted server.
#ifndef POPLARRAMP_TESTS_HTTP_FIXTURE_HPP
#define POPLARRAMP_TESTS_HTTP_FIXTURE_HPP

#include "base/time.hpp"
#include "http/client.hpp"
#include "http/message.hpp"
#include "http/server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarramp::testing
{

// Far above the duration of any step, so that only a failing test waits this
// long.
constexpr milliseconds test_timeout{5000};

// Runs the traffic context on two threads and the control context on the
// thread of the test.
class loopback_network
{
public:
    loopback_network();
    ~loopback_network();
    loopback_network(const loopback_network&) = delete;
    loopback_network& operator=(const loopback_network&) = delete;

    boost::asio::io_context& traffic();
    boost::asio::io_context& control();

    // Runs control functions until the condition holds; false after
    // `test_timeout`.
    bool run_until(const std::function<bool()>& condition);

    // Runs control functions for the given duration.
    void run_for(milliseconds duration);

    void post(std::function<void()> action);

    // Makes one call and waits for its reply. A second completion of the call
    // fails the test in the destructor of this class.
    http_reply call(const http_send_function& send,
                    const std::string& address,
                    http_request request,
                    milliseconds timeout);

private:
    struct state;
    std::unique_ptr<state> state_;
};

std::string address_of(std::uint16_t port);

// Blocking TCP connection. A read that receives nothing within `test_timeout`
// returns as if the peer had closed the connection.
class raw_connection
{
public:
    // Takes ownership of a connected socket.
    explicit raw_connection(int socket) : socket_(socket)
    {
    }
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    ~raw_connection();

    static raw_connection connect_to(std::uint16_t port);

    void send(const std::string& bytes) const;
    // Shuts down the sending direction.
    void shutdown_send() const;
    // Next bytes received; empty if the peer has closed the connection.
    std::string receive() const;
    // All bytes until the peer closes, followed by "[reset]" if it closed with
    // unread data, which resets the connection.
    std::string receive_all() const;
    // Bytes of one request: the header, and the body according to its
    // Content-Length; empty if the peer has closed the connection.
    std::string receive_request() const;

private:
    int socket_;
};

// Server that runs a function for each connection, on a thread of its own, with
// the number of the connection, from 0. The destructor waits for these
// functions to return.
class scripted_server
{
public:
    using connection_handler =
        std::function<void(int number, raw_connection& peer)>;

    explicit scripted_server(connection_handler handle);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::string address() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

// Valid HTTP reply with the given body.
std::string raw_reply(const std::string& body);

} // namespace poplarramp::testing

#endif
