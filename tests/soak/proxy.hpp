// TCP proxy on loopback that injects faults into its connections.
#ifndef POPLARRAMP_SOAK_PROXY_HPP
#define POPLARRAMP_SOAK_PROXY_HPP

#include "base/time.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace poplarramp::soak
{

enum class link_state
{
    open,
    // Data is held back in both directions; connections stay open.
    blocked,
    // Data to the server passes, data from it is held back.
    replies_blocked,
    // Each connection is reset.
    reset,
};

// Not thread safe: to be used on the thread of its context only.
class proxy
{
public:
    // Listens on a free port and connects to `target_port`.
    // Throws boost::system::system_error if no port can be opened.
    proxy(boost::asio::io_context& context, std::uint16_t target_port);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    std::uint16_t port() const;

    // Data that was held back is delivered once the link is open again.
    void set(link_state state);

    // Delays each chunk of data by `time`.
    void delay(milliseconds time);

    // Blocks the open connections permanently; new ones work.
    void block_connections();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp::soak

#endif
