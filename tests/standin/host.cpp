#include "standin/host.hpp"

#include "http/server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <thread>
#include <utility>
#include <vector>

namespace poplarramp::standin
{

namespace asio = boost::asio;

namespace
{

constexpr int traffic_thread_count = 2;

// Objects in the object store and task lists are larger than requests of
// customers.
constexpr std::uint64_t max_body_bytes = std::uint64_t{16} * 1024 * 1024;

// Bounds a planned stop: requests withheld by a fault never complete.
constexpr milliseconds stop_timeout{3000};

} // namespace

struct host::state
{
    state() : signals(control, SIGTERM, SIGINT), clock(control)
    {
    }

    void stop()
    {
        clock.after(stop_timeout, [this] { control.stop(); });
        pending_stops = servers.size();
        for (const auto& server : servers)
        {
            server->stop(
                [this]
                {
                    if (--pending_stops == 0)
                    {
                        control.stop();
                    }
                });
        }
    }

    // Destroyed last: functions pending on the control context own
    // connections.
    asio::io_context traffic;
    asio::io_context control;
    asio::signal_set signals;
    timers clock;
    std::vector<std::unique_ptr<http_server>> servers;
    std::size_t pending_stops = 0;
};

host::host() : state_(std::make_unique<state>())
{
}

host::~host() = default;

timers& host::clock()
{
    return state_->clock;
}

bool host::serve(std::uint16_t port, http_handler handler, failure& why)
{
    http_server_settings settings;
    settings.port = port;
    settings.max_body_bytes = max_body_bytes;
    auto server = std::make_unique<http_server>(
        state_->traffic, state_->control, settings, std::move(handler));
    if (!server->listen(why))
    {
        return false;
    }
    std::cout << "listening 127.0.0.1:" << server->port() << std::endl;
    state_->servers.push_back(std::move(server));
    return true;
}

void host::run()
{
    const auto guard = asio::make_work_guard(state_->traffic);
    std::vector<std::thread> threads;
    threads.reserve(traffic_thread_count);
    for (int i = 0; i < traffic_thread_count; ++i)
    {
        threads.emplace_back([this] { state_->traffic.run(); });
    }
    state_->signals.async_wait(
        [this](boost::system::error_code error, int)
        {
            if (!error)
            {
                state_->stop();
            }
        });
    state_->control.run();
    state_->traffic.stop();
    for (auto& thread : threads)
    {
        thread.join();
    }
}

} // namespace poplarramp::standin
