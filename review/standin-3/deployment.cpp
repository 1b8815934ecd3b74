#include "deployment.hpp"

#include "text.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <iomanip>
#include <sstream>

namespace review
{

namespace
{

constexpr std::array<int, 3> max_attempts{4, 4, 3};
constexpr int config_version = 7;
constexpr std::int64_t start_timeout_ms = 15000;
const std::string api_key = "d4a3hwrr6x73d3zji9n7";
const std::string host_name = "nony24.example";
const std::array<std::string, 3> prefixes{
    "/pufi791/", "/lohu930/", "/pule252/"};
const std::array<std::string, 3> zones{"nabeul-a", "sfax-a", "kairouan-a"};

} // namespace

deployment::deployment(const deployment_paths& paths)
    : paths_(paths), record_(paths.record), began_ms_(steady_ms()),
      workers_(platform_, [this](const std::string& text) { record(text); })
{
}

deployment::~deployment()
{
    for (auto& item : vms_)
    {
        end(item, SIGKILL);
    }
}

void deployment::record(const std::string& text)
{
    const std::lock_guard lock(record_mutex_);
    std::ostringstream time;
    constexpr double ms_per_s = 1000;
    time << std::fixed << std::setprecision(3)
         << static_cast<double>(steady_ms() - began_ms_) / ms_per_s;
    record_ << time.str() << " " << text << std::endl;
}

void deployment::configure()
{
    Json::Value config;
    config["config_version"] = config_version;
    for (std::size_t priority = 0; priority < prefixes.size(); ++priority)
    {
        Json::Value route;
        route["name"] = "r-" + std::to_string(priority);
        route["hostname"] = host_name;
        route["prefix"] = prefixes[priority];
        route["route_type"] = "unsafe";
        route["timeout_ms"] = 3000;
        route["goal_ms"] = 1500;
        route["priority"] = static_cast<int>(priority);
        route["backend"] = "carve-svc";
        route["max_attempts"] = max_attempts[priority];
        route["stretch"] = 3.0;
        config["routes"].append(route);
    }
    Json::Value service;
    service["name"] = "carve-svc";
    service["health_path"] = "/health";
    service["max_conns"] = 64;
    service["protocol"] = "h1";
    config["services"].append(service);
    Json::Value tenant;
    tenant["name"] = "kaje80";
    tenant["api_keys"].append(api_key);
    tenant["guaranteed"]["gpus"] = 8;
    config["tenants"].append(tenant);
    platform_.put("op", "config", config);
}

void deployment::write_settings(const vm& item,
                                std::uint16_t metrics,
                                std::uint16_t inner) const
{
    const auto address = [](std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    };
    Json::Value json;
    json["vm"] = item.name;
    json["zone"] = item.zone;
    json["listen"]["callers"] = address(item.callers);
    json["listen"]["ready"] = address(item.ready);
    json["listen"]["metrics"] = address(metrics);
    json["listen"]["inner"] = address(inner);
    json["store"] = address(platform_.port());
    for (const auto& zone : zones)
    {
        json["regions"][zone] = zone.substr(0, zone.find('-'));
    }
    json["processor_share"] = 0.25;
    json["scheduling"]["learn_speeds"] = true;
    json["scheduling"]["weigh_value"] = true;
    json["limits"]["memory_mb"] = 260;
    json["limits"]["descriptors"] = 4100;
    json["bounds"]["longest_lease_ms"] = 10000;
    json["bounds"]["key_revocation_ms"] = 5000;
    json["bounds"]["stop_limit_s"] = 6;
    json["bounds"]["status_time_s"] = 120;
    json["bounds"]["far_factor"] = 3;
    std::ofstream(paths_.folder + "/" + item.name + ".json")
        << to_json_text(json);
}

void deployment::spawn(vm& item) const
{
    const auto settings = paths_.folder + "/" + item.name + ".json";
    const auto log = paths_.folder + "/" + item.name + ".log";
    item.pid = fork();
    if (item.pid != 0)
    {
        return;
    }
    // It does not outlive this process, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execl(paths_.program.c_str(),
          paths_.program.c_str(),
          "serve-site",
          "--settings",
          settings.c_str(),
          nullptr);
    _exit(127);
}

bool deployment::start()
{
    for (const auto& zone : zones)
    {
        vm item;
        item.name = "edge-" + zone + "-1";
        item.zone = zone;
        item.callers = free_port();
        item.ready = free_port();
        write_settings(item, free_port(), free_port());
        spawn(item);
        vms_.push_back(item);
    }
    http_request probe;
    probe.method = "GET";
    probe.target = "/v1/ready";
    const auto all_ready = [this, &probe]
    {
        for (const auto& item : vms_)
        {
            const auto reply = call(item.ready, probe, 500);
            if (!reply || reply->status != 200)
            {
                return false;
            }
        }
        return !leader().empty();
    };
    const bool started = wait_until(all_ready, start_timeout_ms);
    record(started ? "all processes are ready; " + leader() + " leads"
                   : "the processes have not started");
    return started;
}

void deployment::end(vm& item, int signal)
{
    if (item.pid <= 0)
    {
        return;
    }
    kill(item.pid, signal);
    int status = 0;
    waitpid(item.pid, &status, 0);
    item.pid = -1;
    record(item.name + " has ended on signal " + std::to_string(signal));
}

bool deployment::has_ended(vm& item)
{
    int status = 0;
    if (item.pid <= 0 || waitpid(item.pid, &status, WNOHANG) != item.pid)
    {
        return false;
    }
    item.pid = -1;
    record(item.name + " has ended by itself, " +
           (WIFSIGNALED(status)
                ? "by signal " + std::to_string(WTERMSIG(status))
                : "with code " + std::to_string(WEXITSTATUS(status))));
    return true;
}

void deployment::restart(vm& item)
{
    spawn(item);
    record(item.name + " has been started again");
}

Json::Value deployment::leader_row()
{
    return parse_json_text(platform_.get("leader", "scheduler").value_or(""));
}

std::string deployment::leader()
{
    return leader_row()["vm"].asString();
}

std::uint64_t deployment::epoch()
{
    return leader_row()["epoch"].asUInt64();
}

http_response deployment::consume(const vm& at,
                                  const std::string& method,
                                  int priority,
                                  const std::string& job,
                                  const Json::Value& body,
                                  int timeout_ms)
{
    http_request request;
    request.method = method;
    request.target = prefixes.at(static_cast<std::size_t>(priority)) + job;
    request.headers["Host"] = host_name;
    request.headers["Authorization"] = "Bearer " + api_key;
    request.headers["X-Deadline-Ms"] = std::to_string(timeout_ms);
    if (!body.isNull())
    {
        request.headers["Content-Type"] = "application/json";
        request.body = to_json_text(body);
    }
    auto reply =
        call(at.callers, request, timeout_ms).value_or(http_response{});
    record(method + " " + job + " at " + at.name + ": " +
           (reply.status == 0 ? "no answer" : std::to_string(reply.status)) +
           " " + reply.body);
    return reply;
}

int deployment::submit(int priority,
                       const std::string& job,
                       const Json::Value& body)
{
    int status = 0;
    for (std::size_t i = 0; i < 2 * vms_.size(); ++i)
    {
        const auto& at = vms_[i % vms_.size()];
        if (at.pid <= 0)
        {
            continue;
        }
        status = consume(at, "POST", priority, job, body).status;
        if (status == 200)
        {
            break;
        }
        constexpr std::int64_t pause_ms = 500;
        sleep_ms(pause_ms);
    }
    return status;
}

std::string deployment::state_of(int priority, const std::string& job)
{
    for (const auto& at : vms_)
    {
        const auto reply =
            at.pid > 0 ? consume(at, "GET", priority, job) : http_response{};
        if (reply.status != 0)
        {
            return parse_json_text(reply.body)["state"].asString();
        }
    }
    return "";
}

bool deployment::wait_until(const std::function<bool()>& condition,
                            std::int64_t timeout_ms)
{
    const auto deadline = steady_ms() + timeout_ms;
    constexpr std::int64_t interval_ms = 20;
    while (steady_ms() < deadline)
    {
        if (condition())
        {
            return true;
        }
        sleep_ms(interval_ms);
    }
    return condition();
}

Json::Value one_step_job(int tasks, int cpu, int gpus, int estimate_ms)
{
    constexpr int mem_mb = 4096;
    Json::Value step;
    step["task_count"] = tasks;
    step["cpu"] = cpu;
    step["mem_mb"] = mem_mb;
    if (gpus > 0)
    {
        step["gpus"] = gpus;
    }
    step["estimate_ms"] = estimate_ms;
    Json::Value body;
    body["task_spec"] = "engrave";
    body["phases"].append(step);
    return body;
}

} // namespace review
