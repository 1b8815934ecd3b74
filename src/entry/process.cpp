#include "entry/process.hpp"

#include "backend/http_backend.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "control/controller.hpp"
#include "entry/api.hpp"
#include "entry/vm_host.hpp"
#include "http/client.hpp"
#include "http/input_budget.hpp"
#include "http/server.hpp"
#include "inner/peer_client.hpp"
#include "inner/peer_server.hpp"
#include "services/http_services.hpp"

#include <boost/asio/post.hpp>

#include <memory>
#include <random>
#include <utility>

namespace poplarramp
{

namespace
{

namespace asio = boost::asio;

// One for the long poll that renews the lease, one for all other calls.
constexpr std::size_t backend_connections = 2;
constexpr std::size_t peer_connections = 4;
constexpr std::size_t platform_connections = 16;

// Memory for the whole process on which the limits of its input are based; an
// own machine has more.
constexpr int memory_mb = 512;
constexpr int descriptors = 8192;
constexpr int peer_socket_buffer_bytes = 256 * 1024;

// The configuration, and the lists of an availability zone with thousands of
// jobs, are larger than requests of callers.
constexpr std::uint64_t max_peer_body_bytes = 16777216;

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
    result.stop_timeout = values.limits.stop_timeout;
    result.max_waiting = values.limits.max_waiting;
    return result;
}

// All members except the traffic context are used on the control thread only.
class entry_vm
{
public:
    entry_vm(const settings& values, std::string file);

    bool run(failure& why);

private:
    // The hooks use `api_`, which is constructed later: they are called only by
    // `controller::tick` and by requests.
    controller_hooks make_hooks();
    bool listen(failure& why);
    http_server_settings caller_settings() const;
    http_server_settings peer_settings() const;
    void reload();
    void begin_stop();

    settings settings_;
    std::string file_;
    clock_mapping clock_ = clock_mapping::of_this_process();
    std::mt19937_64 random_{std::random_device{}()};

    vm_host host_;

    http_client platform_client_;
    http_client backend_client_;
    http_client peer_client_;
    controller controller_;
    api api_;
    const std::shared_ptr<input_budget> input_budget_;
    http_server api_server_;
    http_server peer_server_;
};

entry_vm::entry_vm(const settings& values, std::string file)
    : settings_(values), file_(std::move(file)),
      platform_client_(host_.traffic(),
                       host_.control(),
                       client_settings(platform_connections)),
      backend_client_(host_.traffic(),
                      host_.control(),
                      client_settings(backend_connections)),
      peer_client_(
          host_.traffic(), host_.control(), client_settings(peer_connections)),
      controller_(controller_settings_of(values), make_hooks()),
      api_(controller_, api_settings_of(values), clock_, monotonic_now),
      input_budget_(std::make_shared<input_budget>(
          input_limits_for(memory_mb, descriptors))),
      api_server_(host_.traffic(),
                  host_.control(),
                  caller_settings(),
                  [this](http_request request, api::responder respond)
                  { api_.handle(std::move(request), std::move(respond)); }),
      peer_server_(host_.traffic(),
                   host_.control(),
                   peer_settings(),
                   make_peer_server(controller_.handlers(), clock_))
{
}

http_server_settings entry_vm::caller_settings() const
{
    auto result = server_settings(
        settings_.listen.callers,
        static_cast<std::uint64_t>(settings_.limits.max_body_bytes));
    result.budget = input_budget_;
    result.part = input_part::callers;
    return result;
}

http_server_settings entry_vm::peer_settings() const
{
    auto result = server_settings(settings_.listen.inner, max_peer_body_bytes);
    result.budget = input_budget_;
    result.part = input_part::machines;
    result.socket_buffer_bytes = peer_socket_buffer_bytes;
    return result;
}

controller_hooks entry_vm::make_hooks()
{
    http_services_settings platform_settings;
    platform_settings.address = settings_.platform;
    const http_services_hooks platform_hooks{
        platform_client_.send_function(),
        monotonic_now,
        [this](std::function<void()> action)
        {
            asio::post(host_.control(), std::move(action));
        }};
    auto platform = make_http_services(platform_settings, platform_hooks);
    controller_hooks hooks;
    hooks.store = std::move(platform.kv_table);
    hooks.objects = std::move(platform.objects);
    hooks.members = std::move(platform.members);
    hooks.backend = make_http_backend(backend_client_.send_function(), clock_);
    hooks.peers = make_peer_client(peer_client_.send_function(), clock_);
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
    if (!peer_server_.listen(why) || !api_server_.listen(why))
    {
        return false;
    }
    log_line(log_level::info,
             "entry",
             "This VM has started.",
             {{"vm", settings_.vm},
              {"zone", settings_.zone},
              {"callers", settings_.listen.callers},
              {"inner", settings_.listen.inner}});
    return true;
}

bool entry_vm::run(failure& why)
{
    if (!listen(why))
    {
        return false;
    }
    const bool graceful = host_.run(settings_.vm,
                                    settings_.traffic_threads,
                                    {[this] { controller_.tick(); },
                                     [this] { reload(); },
                                     [this]
                                     {
                                         begin_stop();
                                     }});
    if (!graceful)
    {
        why = {result_code::vm_stopping,
               "stopped before the graceful stop was complete"};
    }
    return graceful;
}

void entry_vm::reload()
{
    failure why;
    const auto reloaded = read_settings(file_, why);
    if (!reloaded)
    {
        log_line(log_level::error,
                 "config",
                 "The new settings are invalid; keeping the current ones.",
                 {{"reason", why.reason}});
        return;
    }
    for (const auto& key : keys_needing_restart(settings_, *reloaded))
    {
        log_line(log_level::warning,
                 "config",
                 "A changed setting takes effect only after a restart.",
                 {{"key", key}});
    }
    set_log_level(reloaded->log.level);
    api_.set_operators(reloaded->operators);
    log_line(log_level::info,
             "config",
             "The settings were reloaded.",
             {{"file", file_}});
}

// The API port stays open until the controller has stopped, so that new
// requests get `vm_stopping` instead of a connection reset.
void entry_vm::begin_stop()
{
    api_.begin_stop();
    controller_.begin_stop(
        [this] {
            host_.stop_servers({&api_server_, &peer_server_});
        });
}

} // namespace

bool run_entry_vm(const settings& values, const std::string& file, failure& why)
{
    entry_vm process(values, file);
    return process.run(why);
}

} // namespace poplarramp
