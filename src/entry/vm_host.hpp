// Event loops, threads, signals and the periodic tick of a server process.
#ifndef POPLARRAMP_ENTRY_VM_HOST_HPP
#define POPLARRAMP_ENTRY_VM_HOST_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace poplarramp
{

// Called on the control thread.
struct vm_host_hooks
{
    // Called every `tick_interval`.
    std::function<void()> tick;
    // Called on SIGHUP.
    std::function<void()> reload;
    // Called on the first SIGTERM or SIGINT; a second one ends the process
    // immediately.
    std::function<void()> begin_stop;
};

constexpr milliseconds tick_interval{25};

// Used on the control thread only. The traffic context is destroyed after the
// control context, because pending control handlers own connections.
class vm_host
{
public:
    boost::asio::io_context& traffic()
    {
        return traffic_;
    }
    boost::asio::io_context& control()
    {
        return control_;
    }

    // Runs until the process has stopped; returns true if the stop was
    // graceful. `name` is the VM name for the log.
    bool run(const std::string& name, int traffic_threads, vm_host_hooks hooks);

    // Calls `action` after `delay`; a later call replaces the pending one.
    void run_after(milliseconds delay, std::function<void()> action);

    // Waits for the requests in flight on all servers, within a timeout, then
    // ends `run`.
    void stop_servers(const std::vector<http_server*>& servers);

private:
    void start_tick();
    void wait_for_signal();
    void on_signal(int signal);

    boost::asio::io_context traffic_;
    boost::asio::io_context control_;
    boost::asio::signal_set signals_{control_};
    boost::asio::steady_timer tick_timer_{control_};
    boost::asio::steady_timer delay_timer_{control_};
    vm_host_hooks hooks_;
    bool stopping_ = false;
    bool graceful_ = false;
    std::size_t running_servers_ = 0;
};

// Client settings with at most `connections` connections per address.
http_client_settings client_settings(std::size_t connections);

// Precondition: `address` is a valid "ip:port".
http_server_settings server_settings(const std::string& address,
                                     std::uint64_t max_body_bytes);

} // namespace poplarramp

#endif
