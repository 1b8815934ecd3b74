#include "entry/vm_host.hpp"

#include "base/log.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <csignal>
#include <thread>
#include <utility>

namespace poplarramp
{

namespace
{

// Once the servers stop, replies in flight must be written within this time.
constexpr milliseconds stop_reply_timeout{2000};

} // namespace

http_client_settings client_settings(std::size_t connections)
{
    http_client_settings values;
    values.max_connections = connections;
    return values;
}

http_server_settings server_settings(const std::string& address,
                                     std::uint64_t max_body_bytes)
{
    const auto colon = address.rfind(':');
    http_server_settings values;
    values.ip = address.substr(0, colon);
    values.port =
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    values.max_body_bytes = max_body_bytes;
    return values;
}

bool vm_host::run(const std::string& name,
                  int traffic_threads,
                  vm_host_hooks hooks)
{
    hooks_ = std::move(hooks);
    const auto guard = boost::asio::make_work_guard(traffic_);
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(traffic_threads));
    for (int i = 0; i < traffic_threads; ++i)
    {
        threads.emplace_back([this] { traffic_.run(); });
    }
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
    {
        signals_.add(signal);
    }
    wait_for_signal();
    start_tick();
    control_.run();
    traffic_.stop();
    for (auto& thread : threads)
    {
        thread.join();
    }
    log_line(graceful_ ? log_level::info : log_level::warning,
             "entry",
             graceful_
                 ? "This VM has stopped."
                 : "A second signal ended this VM before its graceful stop.",
             {{"vm", name}});
    return graceful_;
}

void vm_host::start_tick()
{
    hooks_.tick();
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                start_tick();
            }
        });
}

void vm_host::wait_for_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code error, int signal)
        {
            if (error)
            {
                return;
            }
            on_signal(signal);
            wait_for_signal();
        });
}

void vm_host::on_signal(int signal)
{
    if (signal == SIGHUP)
    {
        hooks_.reload();
        return;
    }
    if (std::exchange(stopping_, true))
    {
        control_.stop();
        return;
    }
    log_line(log_level::info, "entry", "Graceful stop begins.");
    hooks_.begin_stop();
}

void vm_host::run_after(milliseconds delay, std::function<void()> action)
{
    delay_timer_.expires_after(delay);
    delay_timer_.async_wait(
        [action = std::move(action)](boost::system::error_code error)
        {
            if (!error)
            {
                action();
            }
        });
}

void vm_host::stop_servers(const std::vector<http_server*>& servers)
{
    run_after(stop_reply_timeout, [this] { control_.stop(); });
    running_servers_ = servers.size();
    for (auto* server : servers)
    {
        server->stop(
            [this]
            {
                if (--running_servers_ == 0)
                {
                    graceful_ = true;
                    control_.stop();
                }
            });
    }
}

} // namespace poplarramp
