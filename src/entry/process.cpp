#include "entry/process.hpp"

#include "backend/http_backend.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "control/controller.hpp"
#include "entry/api.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "inner/peer_client.hpp"
#include "inner/peer_server.hpp"
#include "platform/http_platform.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

namespace asio = boost::asio;

constexpr milliseconds tick_interval{25};

// After the controller has stopped, replies that are being written may take
// this long.
constexpr milliseconds reply_limit{2000};

// The long poll that renews the lease and one for all other calls.
constexpr std::size_t backend_connections = 2;
constexpr std::size_t peer_connections = 4;
constexpr std::size_t platform_connections = 16;

// A configuration, or the lists of an availability zone with thousands of
// jobs, is larger than a caller's request.
constexpr std::uint64_t most_inner_body_bytes = 16777216;

http_client_settings client_settings(std::size_t connections)
{
    http_client_settings values;
    values.max_connections = connections;
    return values;
}

// `address` was checked with the settings.
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

api_settings api_settings_of(const settings& values)
{
    return {values.vm, values.zone, values.operators};
}

controller_settings controller_settings_of(const settings& values)
{
    controller_settings result;
    result.vm = values.vm;
    result.zone = values.zone;
    result.address = values.listen.inner;
    result.seeds = values.seeds;
    result.stop_limit = values.limits.stop_limit;
    result.max_waiting = values.limits.max_waiting;
    return result;
}

// All members are used on the control thread but the traffic context.
class entry_vm
{
public:
    entry_vm(const settings& values, std::string file);

    bool run(failure& why);

private:
    // The hooks are called by `controller::tick` and requests, never before the
    // API is made.
    controller_hooks make_hooks();
    bool listen(failure& why);
    void start_tick();
    void wait_for_signal();
    void on_signal(int signal);
    void reload();
    void begin_stop();
    void stop_servers();
    void on_server_stopped();

    settings values_;
    std::string file_;
    clock_mapping clock_ = clock_mapping::of_this_process();
    std::mt19937_64 random_{std::random_device{}()};

    // The traffic context is destroyed after the control context, whose
    // pending functions own connections.
    asio::io_context traffic_;
    asio::io_context control_;
    asio::signal_set signals_{control_, SIGTERM, SIGINT, SIGHUP};
    asio::steady_timer tick_timer_{control_};
    asio::steady_timer reply_timer_{control_};

    http_client platform_client_;
    http_client backend_client_;
    http_client peer_client_;
    controller controller_;
    api api_;
    http_server callers_;
    http_server peers_;

    bool stopping_ = false;
    bool graceful_ = false;
    int open_servers_ = 0;
};

entry_vm::entry_vm(const settings& values, std::string file)
    : values_(values), file_(std::move(file)),
      platform_client_(
          traffic_, control_, client_settings(platform_connections)),
      backend_client_(traffic_, control_, client_settings(backend_connections)),
      peer_client_(traffic_, control_, client_settings(peer_connections)),
      controller_(controller_settings_of(values), make_hooks()),
      api_(controller_, api_settings_of(values), clock_, monotonic_now),
      callers_(traffic_,
               control_,
               server_settings(
                   values.listen.callers,
                   static_cast<std::uint64_t>(values.limits.max_body_bytes)),
               [this](http_request request, api::responder respond)
               { api_.handle(std::move(request), std::move(respond)); }),
      peers_(traffic_,
             control_,
             server_settings(values.listen.inner, most_inner_body_bytes),
             make_peer_server(controller_.handlers(), clock_))
{
}

controller_hooks entry_vm::make_hooks()
{
    http_platform_settings platform_settings;
    platform_settings.address = values_.platform;
    const http_platform_hooks platform_hooks{
        platform_client_.caller(),
        monotonic_now,
        [this](std::function<void()> action)
        {
            asio::post(control_, std::move(action));
        }};
    auto platform = make_http_platform(platform_settings, platform_hooks);
    controller_hooks hooks;
    hooks.store = std::move(platform.store);
    hooks.objects = std::move(platform.objects);
    hooks.members = std::move(platform.members);
    hooks.backend = make_http_backend(backend_client_.caller(), clock_);
    hooks.peers = make_peer_client(peer_client_.caller(), clock_);
    hooks.now = monotonic_now;
    hooks.random = [this]
    {
        return random_();
    };
    hooks.clock = clock_;
    hooks.on_job_ended = [this](const job& item)
    {
        api_.on_job_ended(item);
    };
    return hooks;
}

bool entry_vm::listen(failure& why)
{
    if (!peers_.listen(why) || !callers_.listen(why))
    {
        return false;
    }
    open_servers_ = 2;
    log_line(log_level::info,
             "entry",
             "This VM has started.",
             {{"vm", values_.vm},
              {"zone", values_.zone},
              {"callers", values_.listen.callers},
              {"inner", values_.listen.inner}});
    return true;
}

bool entry_vm::run(failure& why)
{
    if (!listen(why))
    {
        return false;
    }
    const auto guard = asio::make_work_guard(traffic_);
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(values_.traffic_threads));
    for (int i = 0; i < values_.traffic_threads; ++i)
    {
        threads.emplace_back([this] { traffic_.run(); });
    }
    wait_for_signal();
    start_tick();
    control_.run();
    traffic_.stop();
    for (auto& thread : threads)
    {
        thread.join();
    }
    if (!graceful_)
    {
        why = {result_code::vm_stopping, "ended before the planned stop was"};
    }
    log_line(graceful_ ? log_level::info : log_level::warning,
             "entry",
             graceful_ ? "This VM has stopped."
                       : "A second signal ends this VM at once.",
             {{"vm", values_.vm}});
    return graceful_;
}

void entry_vm::start_tick()
{
    controller_.tick();
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

void entry_vm::wait_for_signal()
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

void entry_vm::on_signal(int signal)
{
    if (signal == SIGHUP)
    {
        reload();
        return;
    }
    if (stopping_)
    {
        control_.stop();
        return;
    }
    begin_stop();
}

void entry_vm::reload()
{
    failure why;
    const auto wanted = read_settings(file_, why);
    if (!wanted)
    {
        log_line(log_level::error,
                 "config",
                 "The new settings have an error; the old ones stay in force.",
                 {{"reason", why.reason}});
        return;
    }
    for (const auto& key : restart_keys(values_, *wanted))
    {
        log_line(log_level::warning,
                 "config",
                 "A setting changes only after a restart.",
                 {{"key", key}});
    }
    set_log_level(wanted->log.level);
    api_.set_operators(wanted->operators);
    log_line(log_level::info,
             "config",
             "The settings were reloaded.",
             {{"file", file_}});
}

void entry_vm::begin_stop()
{
    stopping_ = true;
    log_line(log_level::info, "entry", "A planned stop begins.");
    api_.begin_stop();
    controller_.begin_stop([this] { stop_servers(); });
}

// The callers' port stays open until here, so that new requests get
// `vm_stopping` instead of a reset connection.
void entry_vm::stop_servers()
{
    reply_timer_.expires_after(reply_limit);
    reply_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                control_.stop();
            }
        });
    callers_.stop([this] { on_server_stopped(); });
    peers_.stop([this] { on_server_stopped(); });
}

void entry_vm::on_server_stopped()
{
    --open_servers_;
    if (open_servers_ == 0)
    {
        graceful_ = true;
        control_.stop();
    }
}

} // namespace

bool run_entry_vm(const settings& values, const std::string& file, failure& why)
{
    entry_vm process(values, file);
    return process.run(why);
}

} // namespace poplarramp
