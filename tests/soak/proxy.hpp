// TCP proxy on loopback that harms the connections through it.
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
    // Bytes wait in both directions; connections stay open.
    silent,
    // Bytes to the server pass, bytes from it wait.
    one_way,
    // Each connection is reset.
    reset,
};

// Used on the thread of its context only.
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

    // Bytes that wait are delivered once the link is open again.
    void set(link_state state);

    // Each piece of data takes this much longer.
    void delay(milliseconds time);

    // Connections of now stay silent for good; new ones work.
    void forget_connections();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp::soak

#endif
