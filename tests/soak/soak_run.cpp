#include "soak/soak_run.hpp"

#include "model/codec.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <thread>
#include <utility>

namespace poplarramp::soak
{

namespace
{

namespace asio = boost::asio;

constexpr milliseconds tick_interval{5};

// Milliseconds of real time.
constexpr std::int64_t startup_ms = 2500;
constexpr std::int64_t fault_window_ms = 22000;
constexpr std::int64_t max_fault_ms = 5000;
constexpr std::int64_t retry_interval_ms = 400;
constexpr std::int64_t poll_interval_ms = 150;
constexpr std::int64_t restart_delay_ms = 300;
constexpr std::int64_t task_duration_ms = 1500;

// Service must recover within recovery_s (12 s) once the machines are up again;
// jobs then need time for their run and for a retry.
constexpr std::int64_t recovery_ms = 12000 + 8 * task_duration_ms;

// Time that a VM needs to reconnect after a fault.
constexpr std::int64_t reconnect_ms = 4000;

// A planned stop takes at most grace_s and one second.
constexpr std::int64_t planned_stop_ms = 7000;

// A run must stop within cancel_ms and stop_timeout_ms after its job has ended.
constexpr std::int64_t job_stop_ms = 3200;

constexpr milliseconds call_timeout{3000};

// Returns an unused port below the ephemeral range: a VM that restarts must
// find its port free.
std::uint16_t free_port()
{
    constexpr int first_port = 12000;
    constexpr int last_port = 30000;
    std::random_device random;
    std::uniform_int_distribution<int> any(first_port, last_port);
    asio::io_context context;
    for (;;)
    {
        const auto port = static_cast<std::uint16_t>(any(random));
        asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
        boost::system::error_code taken;
        acceptor.bind({asio::ip::address_v4::loopback(), port}, taken);
        if (!taken)
        {
            return port;
        }
    }
}

http_client_settings client_settings()
{
    http_client_settings settings;
    settings.max_connections = 16;
    return settings;
}

} // namespace

soak_run::soak_run(const soak_run_settings& settings)
    : settings_(settings), random_(settings.seed),
      site_(traffic_, control_, settings.seed, settings.servers),
      client_(traffic_, control_, client_settings()), timer_(control_)
{
    for (auto& [id, server] : site_.sim().servers)
    {
        server.task_time = milliseconds(task_duration_ms);
    }
    for (int i = 0; i < settings_.vms; ++i)
    {
        vm_state vm;
        vm.process = std::make_unique<vm_process>(
            settings_.program,
            "vm-" + std::to_string(i),
            settings_.folder,
            vm_ports{free_port(), free_port(), free_port(), free_port()},
            std::make_unique<proxy>(control_, site_.store_port()));
        vms_.push_back(std::move(vm));
    }
    for (int i = 0; i < settings_.jobs; ++i)
    {
        caller_job job;
        std::array<char, 17> id{};
        std::snprintf(id.data(),
                      id.size(),
                      "%08x%08x",
                      static_cast<unsigned>(settings_.seed),
                      static_cast<unsigned>(i));
        job.id = id.data();
        job.number = i;
        job.abandons_on_refusal = i % 4 == 3;
        job.cancels = i % 5 == 4;
        jobs_.push_back(job);
    }
}

soak_run::~soak_run() = default;

std::int64_t soak_run::pick(std::int64_t limit)
{
    return static_cast<std::int64_t>(random_() %
                                     static_cast<std::uint64_t>(limit));
}

void soak_run::at(std::int64_t delay_ms, std::function<void()> action)
{
    site_.sim().at(site_.sim().now + delay_ms, std::move(action));
}

void soak_run::report_violation(const std::string& text)
{
    violations_.push_back(text);
}

void soak_run::tick()
{
    site_.tick();
    for (auto& vm : vms_)
    {
        const bool was_running = vm.process->running();
        vm.process->reap();
        if (was_running && !vm.process->running() && restarts_enabled_ &&
            vm.may_restart)
        {
            at(restart_delay_ms,
               [this, &vm]
               {
                   if (!vm.process->running() && restarts_enabled_)
                   {
                       vm.process->start();
                   }
               });
        }
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](boost::system::error_code) { tick(); });
}

std::vector<std::string> soak_run::run()
{
    const auto guard = asio::make_work_guard(traffic_);
    std::thread traffic([this] { traffic_.run(); });
    for (auto& vm : vms_)
    {
        vm.process->start();
    }
    for (auto& job : jobs_)
    {
        at(startup_ms + pick(fault_window_ms), [this, &job] { submit(job); });
    }
    for (auto faults = 5 + pick(7); faults > 0; --faults)
    {
        at(startup_ms + pick(fault_window_ms), [this] { inject_fault(); });
    }
    at(startup_ms + fault_window_ms + max_fault_ms, [this] { end_faults(); });
    tick();
    control_.run();
    traffic_.stop();
    traffic.join();
    for (const auto& text : site_.sim().violations)
    {
        report_violation(text);
    }
    return violations_;
}

// Callers.

http_request soak_run::request_for(const caller_job& job,
                                   const std::string& method)
{
    http_request request;
    request.method = method;
    request.host = "host";
    request.authorization = "Bearer bead-key";
    request.target = "/q" + std::to_string(job.number % 3) + "/" + job.id;
    request.idempotent = method != "POST";
    if (method == "POST")
    {
        Json::Value step;
        step["task_count"] = 1 + job.number % 5;
        step["cpu"] = 1000;
        step["mem_mb"] = 1000;
        step["gpus"] = 1 << (job.number % 4);
        step["estimate_ms"] = static_cast<Json::Int64>(task_duration_ms);
        step["gang"] = job.number % 2 == 0;
        Json::Value body;
        body["task_spec"] = "text";
        body["phases"].append(step);
        request.body = json_text(body);
    }
    return request;
}

void soak_run::submit(caller_job& job)
{
    auto& vm = vms_[static_cast<std::size_t>(pick(settings_.vms))];
    client_.send_function()(vm.process->address(),
                            request_for(job, "POST"),
                            monotonic_now() + call_timeout,
                            [this, &job, &vm](const http_reply& reply)
                            { on_submit_reply(job, vm, reply); });
}

void soak_run::on_submit_reply(caller_job& job,
                               vm_state& vm,
                               const http_reply& reply)
{
    const auto status = reply.response.status;
    if (!reply.error && status == 200)
    {
        job.accepted = true;
        if (job.cancels)
        {
            at(pick(2000), [this, &job] { cancel(job); });
        }
        at(poll_interval_ms, [this, &job] { poll_state(job); });
        return;
    }
    check_planned_stop(vm, reply);
    const bool refused = !reply.error && (status == 503 || status == 429);
    const bool not_sent = reply.error.code == result_code::unreachable;
    if (!refused && !not_sent && !reply.error && status != 504)
    {
        report_violation("submit of " + job.id + " got HTTP status " +
                         std::to_string(status));
        return;
    }
    job.maybe_accepted = job.maybe_accepted || !(refused || not_sent);
    if (refused && job.abandons_on_refusal && !job.maybe_accepted)
    {
        job.abandoned = true;
        return;
    }
    at(retry_interval_ms, [this, &job] { submit(job); });
}

// Checks that a planned stop lets requests in flight complete. Callers keep
// using open connections until the process has exited.
void soak_run::check_planned_stop(const vm_state& vm, const http_reply& reply)
{
    const auto now = site_.sim().now;
    const bool lost = reply.error.code == result_code::answer_lost ||
                      reply.error.code == result_code::timeout;
    if (lost && now < vm.planned_stop_until && now >= vm.affected_until &&
        now >= store_affected_until_)
    {
        report_violation("a planned stop of " + vm.process->name() +
                         " broke a request: " + reply.error.reason);
    }
}

void soak_run::cancel(caller_job& job)
{
    auto& vm = pick_vm();
    client_.send_function()(
        vm.process->address(),
        request_for(job, "DELETE"),
        monotonic_now() + call_timeout,
        [this, &job](const http_reply& reply)
        {
            if (!reply.error && reply.response.status == 200)
            {
                job.cancelled = true;
                return;
            }
            at(retry_interval_ms, [this, &job] { cancel(job); });
        });
}

// Polls the state of an accepted job until it has ended.
void soak_run::poll_state(caller_job& job)
{
    auto& vm = pick_vm();
    client_.send_function()(
        vm.process->address(),
        request_for(job, "GET"),
        monotonic_now() + call_timeout,
        [this, &job](const http_reply& reply)
        {
            const auto status = reply.response.status;
            if (!reply.error && (status == 410 || status == 404))
            {
                report_violation("status call of accepted job " + job.id +
                                 " got HTTP status " + std::to_string(status));
            }
            failure why;
            const auto json = reply.error || status != 200
                                  ? std::nullopt
                                  : parse_json(reply.response.body, why);
            const auto state = json ? (*json)["state"].asString() : "";
            const bool expected =
                state != "failed" && (state != "cancelled" || job.cancels);
            if (!expected)
            {
                report_violation(job.id + " is reported as " + state);
            }
            if (state != "completed" && state != "cancelled")
            {
                at(poll_interval_ms, [this, &job] { poll_state(job); });
            }
        });
}

// Faults.

soak_run::vm_state& soak_run::pick_vm()
{
    const auto leader = site_.leader();
    for (auto& vm : vms_)
    {
        if (vm.process->name() == leader && pick(2) == 0)
        {
            return vm;
        }
    }
    return vms_[static_cast<std::size_t>(pick(settings_.vms))];
}

void soak_run::mark_affected(vm_state& vm, std::int64_t time_ms)
{
    vm.affected_until =
        std::max(vm.affected_until, site_.sim().now + time_ms + reconnect_ms);
}

void soak_run::inject_fault()
{
    constexpr std::array<void (soak_run::*)(), 13> kinds{
        &soak_run::kill_vm,
        &soak_run::stop_vm,
        &soak_run::pause_vm,
        &soak_run::reload_vm,
        &soak_run::disrupt_store_link,
        &soak_run::disrupt_server_link,
        &soak_run::restart_server,
        &soak_run::drain_and_restart_server,
        &soak_run::store_down,
        &soak_run::change_config,
        &soak_run::compact_history,
        &soak_run::kill_all_vms,
        &soak_run::kill_leaders,
    };
    (this->*kinds[static_cast<std::size_t>(pick(kinds.size()))])();
}

void soak_run::kill_vm()
{
    auto& vm = pick_vm();
    mark_affected(vm, max_fault_ms);
    vm.may_restart = false;
    vm.process->signal(SIGKILL);
    at(200 + pick(max_fault_ms),
       [&vm]
       {
           vm.may_restart = true;
           vm.process->reap();
           if (!vm.process->running())
           {
               vm.process->start();
           }
       });
}

void soak_run::stop_vm()
{
    auto& vm = pick_vm();
    vm.planned_stop_until = site_.sim().now + planned_stop_ms;
    vm.process->signal(SIGTERM);
}

void soak_run::pause_vm()
{
    auto& vm = pick_vm();
    const auto time = 200 + pick(max_fault_ms);
    mark_affected(vm, time);
    vm.process->signal(SIGSTOP);
    at(time, [&vm] { vm.process->signal(SIGCONT); });
}

void soak_run::reload_vm()
{
    pick_vm().process->signal(SIGHUP);
}

void soak_run::disrupt_store_link()
{
    auto& vm = pick_vm();
    auto& link = vm.process->store_link();
    const auto time = 200 + pick(max_fault_ms);
    mark_affected(vm, time);
    switch (pick(5))
    {
    case 0:
        link.set(link_state::blocked);
        break;
    case 1:
        link.set(link_state::replies_blocked);
        break;
    case 2:
        link.set(link_state::reset);
        break;
    case 3:
        link.delay(milliseconds(50 + pick(300)));
        break;
    default:
        link.block_connections();
        break;
    }
    at(time,
       [&link]
       {
           link.set(link_state::open);
           link.delay(milliseconds(0));
       });
}

void soak_run::disrupt_server_link()
{
    auto& links = site_.links();
    auto found = links.begin();
    std::advance(found, pick(static_cast<std::int64_t>(links.size())));
    auto& link = *found->second;
    constexpr std::array<link_state, 3> states{
        link_state::blocked, link_state::replies_blocked, link_state::reset};
    link.set(states[static_cast<std::size_t>(pick(states.size()))]);
    at(500 + pick(3 * max_fault_ms), [&link] { link.set(link_state::open); });
}

void soak_run::restart_server()
{
    const auto id = "s" + std::to_string(pick(settings_.servers));
    auto& server = site_.sim().servers.at(id);
    server.up = false;
    at(200 + pick(max_fault_ms), [this, id] { site_.restart_server(id); });
}

// Drains the server, removes it with its entry, and starts a new incarnation.
void soak_run::drain_and_restart_server()
{
    const auto id = "s" + std::to_string(pick(settings_.servers));
    auto& server = site_.sim().servers.at(id);
    server.entry.draining = true;
    site_.put_server(id);
    at(3000,
       [this, id]
       {
           auto& drained = site_.sim().servers.at(id);
           drained.up = false;
           drained.entry.draining = false;
           site_.sim().remove("servers/" + id);
       });
    at(3000 + pick(max_fault_ms), [this, id] { site_.restart_server(id); });
}

void soak_run::store_down()
{
    const auto time = 200 + pick(max_fault_ms);
    store_affected_until_ =
        std::max(store_affected_until_, site_.sim().now + time + reconnect_ms);
    site_.sim().store_down = true;
    at(time, [this] { site_.sim().store_down = false; });
}

void soak_run::change_config()
{
    site_.put_config();
}

void soak_run::compact_history()
{
    site_.sim().compacted_version = site_.sim().version;
}

void soak_run::kill_all_vms()
{
    for (auto& vm : vms_)
    {
        mark_affected(vm, restart_delay_ms);
        vm.process->signal(SIGKILL);
    }
}

// Kills the leading process several times, soon after each takeover.
void soak_run::kill_leaders()
{
    constexpr int kills = 5;
    std::int64_t delay = 0;
    for (int i = 0; i < kills; ++i)
    {
        at(delay,
           [this]
           {
               for (auto& vm : vms_)
               {
                   if (!faults_ended_ && vm.process->name() == site_.leader())
                   {
                       mark_affected(vm, restart_delay_ms);
                       vm.process->signal(SIGKILL);
                   }
               }
           });
        delay += 1500 + pick(1500);
    }
}

// Ends all faults, then waits until the accepted jobs have ended.
void soak_run::end_faults()
{
    faults_ended_ = true;
    site_.sim().store_down = false;
    for (auto& [id, link] : site_.links())
    {
        link->set(link_state::open);
        if (!site_.sim().servers.at(id).up)
        {
            site_.restart_server(id);
        }
    }
    for (auto& vm : vms_)
    {
        vm.process->store_link().set(link_state::open);
        vm.process->store_link().delay(milliseconds(0));
        vm.process->signal(SIGCONT);
        vm.may_restart = true;
        vm.process->reap();
        if (!vm.process->running())
        {
            vm.process->start();
        }
    }
    const auto until = site_.sim().now + recovery_ms;
    auto poll_end = std::make_shared<std::function<void()>>();
    *poll_end = [this, until, poll_end]
    {
        if (all_ended() || site_.sim().now >= until)
        {
            at(job_stop_ms,
               [this]
               {
                   check_end();
                   stop_all();
               });
            return;
        }
        at(100, [poll_end] { (*poll_end)(); });
    };
    at(100, [poll_end] { (*poll_end)(); });
}

bool soak_run::all_ended() const
{
    return std::all_of(
        jobs_.begin(),
        jobs_.end(),
        [this](const caller_job& job)
        {
            const bool submitted = job.accepted || job.maybe_accepted;
            return job.abandoned ||
                   (submitted && is_final(site_.sim().state(job.id)));
        });
}

void soak_run::check_end()
{
    auto& sim = site_.sim();
    for (const auto& job : jobs_)
    {
        const auto state = sim.state(job.id);
        if (job.abandoned && sim.started_jobs.contains(job.id))
        {
            report_violation(job.id +
                             " was refused as not run, but was started");
        }
        if (!job.abandoned && !is_final(state))
        {
            report_violation(job.id +
                             " has not ended: " + std::string(name_of(state)) +
                             (job.accepted ? ", accepted" : ", not accepted"));
        }
        if (is_final(state) && state != step_job_state::completed &&
            !(job.cancels && state == step_job_state::cancelled))
        {
            report_violation(job.id + " has ended as " +
                             std::string(name_of(state)));
        }
        for (const auto& [id, server] : sim.servers)
        {
            for (const auto& [run, item] : server.active)
            {
                if (run.task.job == job.id && is_final(state))
                {
                    report_violation(text_of(run.task) +
                                     " still runs after its job has ended");
                }
            }
        }
    }
}

void soak_run::stop_all()
{
    restarts_enabled_ = false;
    for (auto& vm : vms_)
    {
        vm.process->signal(SIGTERM);
    }
    at(planned_stop_ms,
       [this]
       {
           for (auto& vm : vms_)
           {
               vm.process->reap();
               if (vm.process->running())
               {
                   report_violation(vm.process->name() +
                                    " did not stop within " +
                                    std::to_string(planned_stop_ms) + " ms");
               }
               else if (vm.process->last_status() != 0)
               {
                   report_violation(vm.process->name() + " ended with status " +
                                    std::to_string(vm.process->last_status()));
               }
           }
           control_.stop();
       });
}

} // namespace poplarramp::soak
