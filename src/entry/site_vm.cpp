#include "entry/site_vm.hpp"

#include "base/log.hpp"
#include "domain/deployment_view.hpp"
#include "domain/dispatcher.hpp"
#include "domain/job_directory.hpp"
#include "domain/leadership.hpp"
#include "domain/row_watcher.hpp"
#include "entry/vm_host.hpp"
#include "http/client.hpp"
#include "http/input_budget.hpp"
#include "http/json_reply.hpp"
#include "http/server.hpp"
#include "relay/call_relay.hpp"
#include "relay/member_row.hpp"
#include "relay/relay_http.hpp"
#include "relay/relayed_servers.hpp"
#include "report/counters.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace poplarramp
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t store_connections = 8;
// At least one for each watched row prefix: operator, job and server rows.
constexpr std::size_t store_long_poll_connections = 4;
constexpr std::size_t order_connections = 4;
constexpr std::size_t server_long_poll_connections = 2;
// Batches of calls to a relay overlap, reports to the leader too.
constexpr std::size_t inner_connections = 4;

// A report is not repeated: the leader makes calls without a result itself.
constexpr milliseconds report_timeout{600};

// A body between VMs may take this much in the kernel before it is read; less
// would slow down batches of a leader far away.
constexpr int inner_socket_buffer_bytes = 64 * 1024;

// Changes of the refusals are logged at this interval.
constexpr milliseconds input_log_interval{5000};

// Job bodies have a few kilobytes; the site's configuration allows up to
// 256 KiB.
constexpr std::uint64_t max_request_body_bytes = 262144;

// A report lists the runs of up to a few hundred servers.
constexpr std::uint64_t max_inner_body_bytes = std::uint64_t{4} * 1024 * 1024;

// A follower collects row changes for this time to save calls to the store.
constexpr milliseconds watch_batch_delay{150};

// The leader polls more often, since a silent connection hides new jobs.
constexpr milliseconds leader_wait{400};

// The rows of the VMs change with restarts only.
constexpr milliseconds member_rows_wait{5000};
constexpr milliseconds member_rows_batch_delay{500};

// Subtracted from the key revocation bound, for network latency and timer
// granularity.
constexpr milliseconds key_revocation_margin{150};

// The load balancer sends new connections until two readiness probes, one a
// second, have failed.
constexpr milliseconds drain_delay{2200};

struct named_input_part
{
    input_part part;
    const char* name;
};

constexpr std::array<named_input_part, input_part_count> named_input_parts{{
    {input_part::callers, "callers"},
    {input_part::machines, "machines"},
    {input_part::probes, "probes"},
}};

std::uint64_t refusals_in(const input_usage& usage)
{
    return usage.connections_refused + usage.requests_refused +
           usage.closed_for_connections + usage.closed_for_memory;
}

http_server_settings input_settings(http_server_settings values,
                                    const std::shared_ptr<input_budget>& budget,
                                    input_part part)
{
    values.budget = budget;
    values.part = part;
    return values;
}

class site_vm
{
public:
    site_vm(const site_settings& values,
            std::string file,
            const site_adapter& adapter);

    bool run(failure& why);

private:
    adapter_context make_adapter_context();
    row_watcher_hooks make_watcher_hooks();
    row_watcher_hooks job_row_hooks();
    row_watcher_hooks operator_row_hooks();
    leadership_hooks make_leadership_hooks();
    job_api_hooks make_job_api_hooks();
    dispatcher_hooks make_dispatcher_hooks();
    void on_elected();
    void on_leadership_lost();
    void on_row(const table_row_change& change);
    void tick();
    void reload();
    void begin_stop();
    void show_customers();
    void show_metrics(const std::function<void(http_response)>& respond);
    http_server_settings caller_settings() const;
    http_server_settings probe_settings(const std::string& address) const;
    http_server_settings inner_settings() const;
    void show_input_usage();
    void log_input_refusals();

    // Calls of other VMs.
    std::shared_ptr<call_relay> make_call_relay();
    std::shared_ptr<relayed_servers> make_relayed_servers();
    void on_inner_call(const http_request& request,
                       const std::function<void(http_response)>& respond);
    void send_inner(const std::string& address,
                    http_request request,
                    time_point deadline,
                    std::function<void(const failure& error)> done);
    void on_member_rows(const std::vector<table_row>& rows);
    void on_member_row(const table_row_change& change);

    const site_settings settings_;
    const std::string file_;
    const site_adapter adapter_;
    std::mt19937_64 random_{std::random_device{}()};
    counters counters_;

    vm_host host_;
    http_client store_client_;
    http_client store_long_poll_client_;
    http_client order_client_;
    http_client server_long_poll_client_;
    http_client inner_client_;
    const adapter_context adapter_context_;
    table store_;

    deployment_view deployment_;
    job_directory jobs_;
    row_watcher operator_rows_;
    row_watcher job_rows_;
    leadership leader_;
    job_api job_api_;
    member_row member_row_;
    std::shared_ptr<call_relay> call_relay_;
    // On the leader only.
    std::shared_ptr<relayed_servers> relayed_servers_;
    std::unique_ptr<row_watcher> member_rows_;
    std::shared_ptr<dispatcher> dispatcher_;

    const std::shared_ptr<input_budget> input_budget_;
    time_point input_log_due_{};
    std::array<std::uint64_t, input_part_count> logged_refusals_{};
    http_server api_server_;
    http_server ready_server_;
    http_server metrics_server_;
    http_server inner_server_;
    bool stopping_ = false;
};

std::int64_t unix_now()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(wall).count();
}

site_vm::site_vm(const site_settings& values,
                 std::string file,
                 const site_adapter& adapter)
    : settings_(values), file_(std::move(file)), adapter_(adapter),
      store_client_(
          host_.traffic(), host_.control(), client_settings(store_connections)),
      store_long_poll_client_(host_.traffic(),
                              host_.control(),
                              client_settings(store_long_poll_connections)),
      order_client_(
          host_.traffic(), host_.control(), client_settings(order_connections)),
      server_long_poll_client_(host_.traffic(),
                               host_.control(),
                               client_settings(server_long_poll_connections)),
      inner_client_(
          host_.traffic(), host_.control(), client_settings(inner_connections)),
      adapter_context_(make_adapter_context()),
      store_(adapter_.make_store(values.store, adapter_context_)),
      deployment_(adapter_.rows), operator_rows_({adapter_.rows.operator_prefix,
                                                  row_watcher_settings{}.wait,
                                                  milliseconds(0)},
                                                 operator_row_hooks()),
      job_rows_(
          {job_rows_prefix, row_watcher_settings{}.wait, watch_batch_delay},
          job_row_hooks()),
      leader_({values.vm, random_(), values.processor_share},
              make_leadership_hooks()),
      job_api_({values.bounds.max_key_revocation_delay - key_revocation_margin,
                job_api_settings{}.max_ready_age,
                values.bounds.limit_overage},
               make_job_api_hooks(),
               deployment_,
               jobs_),
      member_row_(
          {values.vm, values.listen.inner, values.zone, values.processor_share},
          {store_, monotonic_now}),
      call_relay_(make_call_relay()),
      input_budget_(std::make_shared<input_budget>(input_limits_for(
          values.limits.memory_mb, values.limits.descriptors))),
      api_server_(host_.traffic(),
                  host_.control(),
                  caller_settings(),
                  adapter_.make_http_api(job_api_, adapter_context_),
                  adapter_.make_http_judge(job_api_, adapter_context_)),
      ready_server_(host_.traffic(),
                    host_.control(),
                    probe_settings(values.listen.ready),
                    adapter_.make_ready_probe(
                        [this] { return !stopping_ && job_api_.ready(); })),
      metrics_server_(host_.traffic(),
                      host_.control(),
                      probe_settings(values.listen.metrics),
                      [this](const http_request& /*request*/,
                             const std::function<void(http_response)>& respond)
                      { show_metrics(respond); }),
      inner_server_(host_.traffic(),
                    host_.control(),
                    inner_settings(),
                    [this](const http_request& request,
                           const std::function<void(http_response)>& respond)
                    { on_inner_call(request, respond); })
{
}

http_server_settings site_vm::caller_settings() const
{
    auto result = input_settings(
        server_settings(settings_.listen.callers, max_request_body_bytes),
        input_budget_,
        input_part::callers);
    result.max_connections_per_address =
        static_cast<std::size_t>(settings_.limits.connections_per_address);
    return result;
}

http_server_settings site_vm::probe_settings(const std::string& address) const
{
    return input_settings(
        server_settings(address, 0), input_budget_, input_part::probes);
}

http_server_settings site_vm::inner_settings() const
{
    auto result = input_settings(
        server_settings(settings_.listen.inner, max_inner_body_bytes),
        input_budget_,
        input_part::machines);
    result.socket_buffer_bytes = inner_socket_buffer_bytes;
    return result;
}

adapter_context site_vm::make_adapter_context()
{
    return {store_client_.send_function(),
            store_long_poll_client_.send_function(),
            order_client_.send_function(),
            server_long_poll_client_.send_function(),
            monotonic_now,
            [this](const std::string& counter, double amount)
            { counters_.add(counter, amount); },
            [this](const std::string& name, milliseconds time)
            {
                counters_.record(name, time);
            }};
}

row_watcher_hooks site_vm::make_watcher_hooks()
{
    row_watcher_hooks hooks;
    hooks.store = store_;
    hooks.now = monotonic_now;
    hooks.boot_now = suspend_aware_clock::now;
    hooks.random = [this]
    {
        return random_();
    };
    return hooks;
}

row_watcher_hooks site_vm::operator_row_hooks()
{
    auto hooks = make_watcher_hooks();
    hooks.on_all = [this](const std::vector<table_row>& rows)
    {
        deployment_.load(rows);
        if (dispatcher_)
        {
            dispatcher_->on_deployment_changed();
        }
    };
    hooks.on_change = [this](const table_row_change& change)
    {
        deployment_.apply(change);
        if (dispatcher_)
        {
            dispatcher_->on_deployment_changed();
        }
    };
    return hooks;
}

row_watcher_hooks site_vm::job_row_hooks()
{
    auto hooks = make_watcher_hooks();
    hooks.on_all = [this](const std::vector<table_row>& rows)
    {
        jobs_.load(rows);
        if (dispatcher_)
        {
            dispatcher_->on_jobs_loaded();
        }
    };
    hooks.on_change = [this](const table_row_change& change)
    {
        on_row(change);
    };
    return hooks;
}

void site_vm::on_row(const table_row_change& change)
{
    const auto id = jobs_.apply(change);
    if (id && dispatcher_)
    {
        dispatcher_->on_job_changed(*id);
    }
}

leadership_hooks site_vm::make_leadership_hooks()
{
    leadership_hooks hooks;
    hooks.store = store_;
    hooks.now = monotonic_now;
    hooks.boot_now = suspend_aware_clock::now;
    hooks.random = [this]
    {
        return random_();
    };
    hooks.on_elected = [this](std::uint64_t /*epoch*/)
    {
        on_elected();
    };
    hooks.on_leadership_lost = [this](const std::string& /*reason*/)
    {
        on_leadership_lost();
    };
    return hooks;
}

job_api_hooks site_vm::make_job_api_hooks()
{
    job_api_hooks hooks;
    hooks.store = store_;
    hooks.now = monotonic_now;
    hooks.boot_now = suspend_aware_clock::now;
    hooks.unix_now = unix_now;
    hooks.deployment_confirmed = [this]
    {
        return operator_rows_.confirmed_at();
    };
    hooks.jobs_confirmed = [this]
    {
        return job_rows_.confirmed_at();
    };
    hooks.on_row = [this](const table_row_change& change)
    {
        on_row(change);
    };
    return hooks;
}

dispatcher_hooks site_vm::make_dispatcher_hooks()
{
    dispatcher_hooks hooks;
    hooks.store = store_;
    hooks.servers = relayed_servers_->api();
    hooks.rows = adapter_.rows;
    hooks.now = monotonic_now;
    hooks.boot_now = suspend_aware_clock::now;
    hooks.unix_now = unix_now;
    hooks.random = [this]
    {
        return random_();
    };
    hooks.post = [this](std::function<void()> action)
    {
        asio::post(host_.control(), std::move(action));
    };
    hooks.deployment_confirmed = [this]
    {
        return operator_rows_.confirmed_at();
    };
    hooks.jobs_confirmed = [this]
    {
        return job_rows_.confirmed_at();
    };
    hooks.on_written = [this](const table_row_change& change)
    {
        on_row(change);
    };
    hooks.count = adapter_context_.count;
    hooks.record = adapter_context_.record;
    return hooks;
}

void site_vm::on_elected()
{
    dispatcher_settings settings;
    settings.regions = settings_.regions;
    settings.max_lease = settings_.bounds.max_lease;
    settings.remote_slowdown = settings_.bounds.remote_slowdown;
    settings.learn_speeds = settings_.learn_speeds;
    settings.weigh_value = settings_.weigh_value;
    settings.limit_overage = settings_.bounds.limit_overage;
    settings.memory_mb = settings_.limits.memory_mb;
    settings.retention = 2 * settings_.bounds.status_retention;
    // A long poll in flight would delay the start of the scheduler.
    job_rows_.restart();
    job_rows_.set_pace(leader_wait, milliseconds(0));
    counters_.set("leads", 1);
    relayed_servers_ = make_relayed_servers();
    auto hooks = make_watcher_hooks();
    hooks.on_all = [this](const std::vector<table_row>& rows)
    {
        on_member_rows(rows);
    };
    hooks.on_change = [this](const table_row_change& change)
    {
        on_member_row(change);
    };
    member_rows_ = std::make_unique<row_watcher>(
        row_watcher_settings{
            member_rows_prefix, member_rows_wait, member_rows_batch_delay},
        std::move(hooks));
    dispatcher_ = std::make_shared<dispatcher>(
        settings, make_dispatcher_hooks(), leader_, deployment_, jobs_);
}

void site_vm::on_leadership_lost()
{
    dispatcher_.reset();
    relayed_servers_.reset();
    member_rows_.reset();
    job_rows_.set_pace(row_watcher_settings{}.wait, watch_batch_delay);
    counters_.set("leads", 0);
}

void site_vm::tick()
{
    operator_rows_.tick();
    job_rows_.tick();
    leader_.tick();
    job_api_.tick();
    member_row_.tick();
    call_relay_->tick();
    if (monotonic_now() >= input_log_due_)
    {
        log_input_refusals();
    }
    if (member_rows_)
    {
        member_rows_->tick();
    }
    // Keeps these alive: their ticks may replace them.
    if (const auto current = relayed_servers_)
    {
        current->tick();
    }
    if (const auto current = dispatcher_)
    {
        current->tick();
    }
}

std::shared_ptr<call_relay> site_vm::make_call_relay()
{
    call_relay_hooks hooks;
    hooks.servers = adapter_.make_servers(adapter_context_);
    hooks.now = monotonic_now;
    hooks.boot_now = suspend_aware_clock::now;
    hooks.unix_now = unix_now;
    hooks.count = adapter_context_.count;
    hooks.send = [this](const std::string& address, const relay_report& report)
    {
        send_inner(address,
                   make_relay_request(report),
                   monotonic_now() + report_timeout,
                   [](const failure&) {});
    };
    return std::make_shared<call_relay>(settings_.vm, std::move(hooks));
}

std::shared_ptr<relayed_servers> site_vm::make_relayed_servers()
{
    relayed_servers_hooks hooks;
    hooks.direct = adapter_.make_servers(adapter_context_);
    hooks.now = monotonic_now;
    hooks.unix_now = unix_now;
    hooks.post = [this](std::function<void()> action)
    {
        asio::post(host_.control(), std::move(action));
    };
    hooks.count = adapter_context_.count;
    hooks.send = [this](const std::string& address,
                        const relay_batch& batch,
                        time_point deadline,
                        std::function<void(const failure&)> done)
    {
        send_inner(
            address, make_relay_request(batch), deadline, std::move(done));
    };
    return std::make_shared<relayed_servers>(
        relayed_servers_settings{
            settings_.vm,
            settings_.listen.inner,
            leader_.epoch(),
            static_cast<std::size_t>(settings_.min_servers_for_relays)},
        std::move(hooks));
}

void site_vm::send_inner(const std::string& address,
                         http_request request,
                         time_point deadline,
                         std::function<void(const failure& error)> done)
{
    inner_client_.send_function()(
        address,
        std::move(request),
        deadline,
        [done = std::move(done)](const http_reply& reply)
        {
            failure why;
            json_reply_of(reply, why);
            done(why);
        });
}

void site_vm::on_inner_call(const http_request& request,
                            const std::function<void(http_response)>& respond)
{
    // Keeps it alive: a result may end the leadership.
    const auto leader_calls = relayed_servers_;
    respond(json_response(
        handle_relay_request(request, *call_relay_, leader_calls)));
}

void site_vm::on_member_rows(const std::vector<table_row>& rows)
{
    std::vector<relay_member> members;
    for (const auto& row : rows)
    {
        failure why;
        if (auto member = parse_relay_member(row.value, why))
        {
            members.push_back(std::move(*member));
        }
    }
    relayed_servers_->set_members(members);
}

void site_vm::on_member_row(const table_row_change& change)
{
    failure why;
    if (change.removed)
    {
        relayed_servers_->remove_member(
            change.row.key.substr(member_rows_prefix.size()));
    }
    else if (const auto member = parse_relay_member(change.row.value, why))
    {
        relayed_servers_->add_member(*member);
    }
    else
    {
        log_line(log_level::warning,
                 "relay",
                 "The row of a VM cannot be decoded.",
                 {{"row", change.row.key}, {"reason", why.reason}});
    }
}

bool site_vm::run(failure& why)
{
    if (!api_server_.listen(why) || !ready_server_.listen(why) ||
        !metrics_server_.listen(why) || !inner_server_.listen(why))
    {
        return false;
    }
    log_line(log_level::info,
             "entry",
             "This VM has started.",
             {{"vm", settings_.vm},
              {"zone", settings_.zone},
              {"callers", settings_.listen.callers},
              {"store", settings_.store}});
    const bool graceful = host_.run(settings_.vm,
                                    1,
                                    {[this] { tick(); },
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

void site_vm::reload()
{
    failure why;
    const auto reloaded = read_site_settings(file_, why);
    if (!reloaded)
    {
        log_line(log_level::error,
                 "config",
                 "The new settings are invalid; keeping the current ones.",
                 {{"reason", why.reason}});
        return;
    }
    set_log_level(reloaded->log.level);
    log_line(log_level::info,
             "config",
             "The settings were reloaded; only the log level takes effect "
             "without a restart.",
             {{"file", file_}});
}

// Keeps serving requests until the load balancer sends no more; resigns
// immediately, so that another VM can take over scheduling.
void site_vm::begin_stop()
{
    stopping_ = true;
    leader_.resign();
    on_leadership_lost();
    call_relay_->stop_accepting();
    host_.run_after(std::min(drain_delay, settings_.bounds.stop_timeout / 2),
                    [this]
                    {
                        host_.stop_servers({&api_server_,
                                            &ready_server_,
                                            &metrics_server_,
                                            &inner_server_});
                    });
}

void site_vm::show_input_usage()
{
    for (const auto& part : named_input_parts)
    {
        const auto usage = input_budget_->usage(part.part);
        const auto show = [this, &part](const std::string& what, auto value)
        {
            counters_.set("input_" + what + "_" + part.name,
                          static_cast<double>(value));
        };
        show("bytes", usage.bytes);
        show("bytes_max", usage.max_bytes_seen);
        show("connections", usage.connections);
        show("connections_refused", usage.connections_refused);
        show("requests_refused", usage.requests_refused);
        show("closed_for_connections", usage.closed_for_connections);
        show("closed_for_memory", usage.closed_for_memory);
        show("closed_slow", usage.closed_slow);
    }
}

// One line for each part and interval, however many connections are refused.
void site_vm::log_input_refusals()
{
    input_log_due_ = monotonic_now() + input_log_interval;
    for (std::size_t i = 0; i < named_input_parts.size(); ++i)
    {
        const auto usage = input_budget_->usage(named_input_parts[i].part);
        const auto refused = refusals_in(usage);
        if (refused == logged_refusals_[i])
        {
            continue;
        }
        log_line(log_level::warning,
                 "http",
                 "Connections or requests were refused or closed to stay "
                 "within the limits.",
                 {{"part", named_input_parts[i].name},
                  {"new", std::to_string(refused - logged_refusals_[i])},
                  {"connections", std::to_string(usage.connections)},
                  {"bytes", std::to_string(usage.bytes)}});
        logged_refusals_[i] = refused;
    }
}

// Only the leader knows what customers hold.
void site_vm::show_customers()
{
    std::map<std::string, std::map<std::string, double>> gauges;
    if (dispatcher_)
    {
        for (const auto& [name, item] : dispatcher_->figures_by_customer())
        {
            const auto set =
                [&gauges, &customer = name](const char* gauge, double value)
            {
                gauges[std::string("customer_") + gauge][customer] = value;
            };
            const auto amount = [](std::int64_t value)
            {
                return static_cast<double>(value);
            };
            set("held_millicores", amount(item.held.cpu_millis));
            set("held_megabytes", amount(item.held.memory_mb));
            set("held_accelerators", amount(item.held.accelerators));
            set("limit_millicores", amount(item.limit.cpu_millis));
            set("limit_megabytes", amount(item.limit.memory_mb));
            set("limit_accelerators", amount(item.limit.accelerators));
            set("share_ratio", item.share);
            set("entitled_ratio", item.entitled_share);
            set("lent_ratio", std::max(0.0, item.entitled_share - item.share));
            set("waiting_tasks", amount(item.waiting_tasks));
        }
    }
    counters_.set_by_customer(std::move(gauges));
}

void site_vm::show_metrics(const std::function<void(http_response)>& respond)
{
    show_input_usage();
    counters_.set("log_lines_dropped",
                  static_cast<double>(dropped_log_lines()));
    counters_.set("config_version", static_cast<double>(deployment_.version()));
    counters_.set("relays_in_use",
                  relayed_servers_
                      ? static_cast<double>(relayed_servers_->relays_in_use())
                      : 0);
    const auto fleet =
        dispatcher_ ? dispatcher_->speeds().fleet() : fleet_speeds{};
    counters_.set("servers_of_known_speed", static_cast<double>(fleet.known));
    counters_.set("servers_slow", static_cast<double>(fleet.slow));
    counters_.set("servers_fast", static_cast<double>(fleet.fast));
    counters_.set("server_speed_spread", fleet.spread);
    counters_.set("server_speeds_in_force",
                  dispatcher_ && dispatcher_->speeds().in_force() ? 1 : 0);
    counters_.set("jobs_known", static_cast<double>(jobs_.all().size()));
    if (const auto confirmed = operator_rows_.confirmed_at())
    {
        const auto age = suspend_aware_clock::now() - *confirmed;
        counters_.set("config_age_milliseconds",
                      static_cast<double>(age.count()));
    }
    show_customers();
    http_response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = counters_.prometheus();
    respond(std::move(response));
}

} // namespace

bool run_site_vm(const site_settings& values,
                 const std::string& file,
                 const site_adapter& adapter,
                 failure& why)
{
    site_vm process(values, file, adapter);
    return process.run(why);
}

} // namespace poplarramp
