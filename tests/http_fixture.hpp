// Loopback traffic for tests: contexts with their threads, a raw client and a
// scripted server.
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

// Far beyond what any step takes; only a test that fails waits so long.
constexpr milliseconds patience{5000};

// Traffic on two threads; the thread of the test is the control thread.
class loopback
{
public:
    loopback();
    ~loopback();
    loopback(const loopback&) = delete;
    loopback& operator=(const loopback&) = delete;

    boost::asio::io_context& traffic();
    boost::asio::io_context& control();

    // Runs control functions until the condition holds; false after `patience`.
    bool run_until(const std::function<bool()>& condition);

    // Runs control functions for a time.
    void run_for(milliseconds time);

    void post(std::function<void()> action);

    // One call, to its end. `calls_of_done` of a second completion fails the
    // test in the destructor of `loopback`.
    http_reply call(const http_caller& caller,
                    const std::string& address,
                    http_request request,
                    milliseconds timeout);

private:
    struct state;
    std::unique_ptr<state> state_;
};

std::string address_of(std::uint16_t port);

// Blocking TCP connection. A read that gets nothing for `patience` ends as if
// the peer had closed.
class raw_connection
{
public:
    // Takes a connected socket.
    explicit raw_connection(int socket) : socket_(socket)
    {
    }
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    ~raw_connection();

    static raw_connection to(std::uint16_t port);

    void send(const std::string& bytes) const;
    // Ends the sending direction.
    void end_sending() const;
    // Next bytes; empty when the peer has closed.
    std::string receive() const;
    // All bytes until the peer closes; "[reset]" at the end if it did so
    // without reading all that was sent.
    std::string receive_all() const;
    // Bytes of one request: header, and body by its Content-Length; empty when
    // the peer has closed.
    std::string receive_request() const;

private:
    int socket_;
};

// Server whose every connection is handled by a function on its own thread; the
// function gets the number of the connection, from 0. The destructor waits for
// the functions to return.
class scripted_server
{
public:
    using script = std::function<void(int number, raw_connection& peer)>;

    explicit scripted_server(script handle);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::string address() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

// Valid reply with a JSON body.
std::string raw_reply(const std::string& body);

} // namespace poplarramp::testing

#endif
