#include "process_figures.hpp"

#include "model/codec.hpp"
#include "model/json_reader.hpp"
#include "sync_http_client.hpp"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <map>
#include <ostream>
#include <sstream>
#include <thread>

namespace poplarramp
{

namespace
{

constexpr milliseconds call_timeout{10'000};
constexpr milliseconds short_timeout{1'000};
constexpr int path_call_count = 1000;
constexpr int config_change_count = 20;

using steady_clock = std::chrono::steady_clock;

double ms_since(steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(steady_clock::now() -
                                                     start)
        .count();
}

http_request get(const std::string& target)
{
    http_request request;
    request.method = "GET";
    request.target = target;
    request.idempotent = true;
    return request;
}

// Submission of an urgent shape check that waits for the result.
http_request submit(const std::string& key, int run_ms)
{
    Json::Value body;
    body["customer"] = "beadline";
    body["key"] = key;
    body["kind"] = "shape-check";
    body["accelerators"] = 1;
    body["payload"] = "{\"run_ms\": " + std::to_string(run_ms) + "}";
    const auto wall = clock_mapping::of_this_process();
    const auto until = wall.to_unix(monotonic_now() + call_timeout);
    http_request request;
    request.target = "/v1/jobs?wait_until=" + std::to_string(until);
    request.body = json_text(body);
    return request;
}

bool succeeded(const Json::Value& reply)
{
    return reply.isObject() && reply["result"].asString() == "ok";
}

// Runs tasks on a backend server directly, without poplarramp.
class direct_path
{
public:
    direct_path(sync_http_client& client, const std::string& address)
        : client_(client), address_(address)
    {
        Json::Value body;
        body["owner"] = "measure";
        body["lease_ms"] = 600'000;
        token_ = post("/v1/claim", body);
        token_["owner"] = "measure";
    }

    double run(int number)
    {
        job parent_job;
        parent_job.request.customer = "beadline";
        parent_job.request.key = "direct" + std::to_string(number);
        parent_job.request.payload = "{\"run_ms\": 0}";
        task item;
        item.id = task_id(job_id(parent_job.request), 1, 0);
        item.accelerators = 1;
        item.parent_job = parent_job;
        const auto begin = steady_clock::now();
        Json::Value body = token();
        body["task"] = to_json(item, clock_mapping::of_this_process());
        post("/v1/start", body);
        Json::Value poll = token();
        poll["acknowledged"] = static_cast<Json::UInt64>(acknowledged_);
        poll["wait_ms"] = 1000;
        const Json::Value reply = post("/v1/renew", poll);
        const double spent = ms_since(begin);
        for (const auto& event : reply["events"])
        {
            acknowledged_ = std::max<std::uint64_t>(
                acknowledged_, event["sequence"].asUInt64());
        }
        return spent;
    }

private:
    Json::Value token() const
    {
        Json::Value body;
        for (const char* name : {"owner", "incarnation", "epoch"})
        {
            body[name] = token_[name];
        }
        return body;
    }

    Json::Value post(const std::string& target, const Json::Value& body)
    {
        http_request request;
        request.target = target;
        request.body = json_text(body);
        return client_.call(address_, request, call_timeout);
    }

    sync_http_client& client_;
    std::string address_;
    Json::Value token_;
    std::uint64_t acknowledged_ = 0;
};

// Latency of a job through an entry VM compared with the same task run directly
// on a backend server.
void path_latency(std::ostream& out, const process_set& processes)
{
    sync_http_client client;
    direct_path direct(client, processes.spare_backend);
    std::vector<double> direct_ms;
    std::vector<double> path_ms;
    direct_ms.reserve(path_call_count);
    path_ms.reserve(path_call_count);
    int failed = 0;
    for (int i = 0; i < path_call_count; ++i)
    {
        direct_ms.push_back(direct.run(i));
        const auto begin = steady_clock::now();
        const auto& entry = processes.entries[i % 2];
        const auto reply = client.call(
            entry.address, submit("path" + std::to_string(i), 0), call_timeout);
        path_ms.push_back(ms_since(begin));
        failed += succeeded(reply) ? 0 : 1;
    }
    for (const auto& [name, share] :
         {std::pair("path.added_latency_p50", 0.5),
          std::pair("path.added_latency_p99", 0.99)})
    {
        const double base = quantile(direct_ms, share);
        print(out, {name, quantile(path_ms, share) - base, "ms", base, 0});
    }
    print(out, {"path.failed", static_cast<double>(failed), "jobs", 0, 0});
}

Json::Value change_zone(sync_http_client& client,
                        const process_set& processes,
                        const std::string& zone,
                        const char* change)
{
    http_request request;
    request.target = "/v1/zones/" + zone + "/" + change;
    request.authorization = "Bearer " + processes.token;
    return client.call(
        processes.entries.front().address, request, call_timeout);
}

// Waits up to 60 s until every entry VM has applied the version. Returns the
// time since `begin` in ms.
double wait_for_version(sync_http_client& client,
                        const process_set& processes,
                        std::uint64_t version,
                        steady_clock::time_point begin)
{
    for (const auto& entry : processes.entries)
    {
        while (ms_since(begin) < 60'000)
        {
            const auto reply =
                client.call(entry.address, get("/v1/config"), short_timeout);
            if (reply.isObject() &&
                reply["config"]["version"].asUInt64() >= version)
            {
                break;
            }
        }
    }
    return ms_since(begin);
}

// Time from an operator's change until every entry VM has applied it.
void config_propagation(std::ostream& out, const process_set& processes)
{
    sync_http_client client;
    std::vector<double> times;
    times.reserve(config_change_count);
    int pending = 0;
    const std::string zone = processes.entries.back().zone;
    for (int i = 0; i < config_change_count; ++i)
    {
        const auto begin = steady_clock::now();
        const auto reply =
            change_zone(client, processes, zone, i % 2 == 0 ? "out" : "back");
        pending += succeeded(reply) ? 0 : 1;
        times.push_back(wait_for_version(
            client, processes, reply["version"].asUInt64(), begin));
    }
    print(out, {"config.in_force_max", quantile(times, 1), "ms", 0, 0});
    print(
        out,
        {"config.not_accepted", static_cast<double>(pending), "changes", 0, 0});
}

// Number of runs that the backend servers of an availability zone counted.
std::uint64_t count_runs(sync_http_client& client,
                         const process_set& processes,
                         const std::string& zone)
{
    std::uint64_t sum = 0;
    for (const auto& server : processes.backends)
    {
        if (server.zone != zone)
        {
            continue;
        }
        const auto reply =
            client.call(server.address, get("/v1/runs"), short_timeout);
        for (const auto& count : reply["runs"])
        {
            sum += count.asUInt64();
        }
    }
    return sum;
}

// Submits urgent jobs one after another to an entry VM until destroyed.
class job_stream
{
public:
    job_stream(const entry_process& entry, const std::string& prefix)
        : thread_([this, address = entry.address, prefix]
                  { run(address, prefix); })
    {
    }

    ~job_stream()
    {
        stop_ = true;
        thread_.join();
    }

    job_stream(const job_stream&) = delete;
    job_stream& operator=(const job_stream&) = delete;

private:
    void run(const std::string& address, const std::string& prefix)
    {
        sync_http_client client;
        for (int i = 0; !stop_; ++i)
        {
            client.call(
                address, submit(prefix + std::to_string(i), 1), call_timeout);
        }
    }

    std::atomic<bool> stop_ = false;
    std::thread thread_;
};

// Time from taking an availability zone out of service until the last run
// starts there, under a stream of urgent jobs.
void zone_out(std::ostream& out, const process_set& processes)
{
    constexpr milliseconds warm_up{500};
    constexpr double watch_time_ms = 4000;
    sync_http_client client;
    double last_start = 0;
    const std::string zone = processes.entries.back().zone;
    for (int round = 0; round < 5; ++round)
    {
        const job_stream stream(processes.entries.back(),
                                "out" + std::to_string(round) + "-");
        std::this_thread::sleep_for(warm_up);
        const auto begin = steady_clock::now();
        change_zone(client, processes, zone, "out");
        std::uint64_t seen = count_runs(client, processes, zone);
        last_start = std::max(last_start, ms_since(begin));
        while (ms_since(begin) < watch_time_ms)
        {
            const auto now = count_runs(client, processes, zone);
            if (now != seen)
            {
                seen = now;
                last_start = std::max(last_start, ms_since(begin));
            }
        }
        change_zone(client, processes, zone, "back");
    }
    print(out, {"zone_out.last_start_max", last_start, "ms", 0, 0});
}

// Resource use of a process: processor time and resident memory.
struct process_cost
{
    double cpu_s = 0;
    double resident_bytes = 0;
};

process_cost cost_of(pid_t pid)
{
    // User and system time are fields 14 and 15; the command name, which may
    // contain spaces, is field 2.
    constexpr int skipped_fields = 11;
    process_cost cost;
    const std::string folder = "/proc/" + std::to_string(pid) + "/";
    std::ifstream stat(folder + "stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string field;
    for (int i = 0; i < skipped_fields; ++i)
    {
        fields >> field;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    cost.cpu_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream memory(folder + "statm");
    double pages = 0;
    memory >> pages >> pages;
    cost.resident_bytes = pages * static_cast<double>(sysconf(_SC_PAGESIZE));
    return cost;
}

// Bytes received on the loopback device, of all processes together.
double loopback_bytes()
{
    std::ifstream devices("/proc/net/dev");
    std::string line;
    while (std::getline(devices, line))
    {
        const auto name = line.find("lo:");
        if (name != std::string::npos)
        {
            return std::stod(line.substr(name + 3));
        }
    }
    return 0;
}

// Highest cost of an entry VM over 10 s.
void control_cost(std::ostream& out,
                  const process_set& processes,
                  const std::string& load)
{
    constexpr std::chrono::seconds sample_time{10};
    std::map<pid_t, process_cost> before;
    for (const auto& entry : processes.entries)
    {
        before[entry.pid] = cost_of(entry.pid);
    }
    const double bytes_before = loopback_bytes();
    std::this_thread::sleep_for(sample_time);
    const double bytes = loopback_bytes() - bytes_before;
    double cpu_share = 0;
    double resident = 0;
    for (const auto& entry : processes.entries)
    {
        const auto now = cost_of(entry.pid);
        cpu_share = std::max(cpu_share,
                             (now.cpu_s - before[entry.pid].cpu_s) /
                                 static_cast<double>(sample_time.count()));
        resident = std::max(resident, now.resident_bytes);
    }
    print(out, {"control.cpu_share." + load, cpu_share, "cores", 0, 0});
    print(out, {"control.resident_bytes." + load, resident, "bytes", 0, 0});
    print(out,
          {"control.loopback_bytes_per_second." + load,
           bytes / static_cast<double>(sample_time.count()),
           "B/s of all processes",
           0,
           0});
}

void control_costs(std::ostream& out, const process_set& processes)
{
    control_cost(out, processes, "idle");
    const job_stream stream(processes.entries.front(), "busy");
    control_cost(out, processes, "busy");
}

// Costs while seven of eight slots of each server of the first availability
// zone run a task.
void task_costs(std::ostream& out, const process_set& processes)
{
    constexpr int tasks_per_server = 7;
    const auto& entry = processes.entries.front();
    const auto servers = std::count_if(processes.backends.begin(),
                                       processes.backends.end(),
                                       [&entry](const backend_process& server)
                                       { return server.zone == entry.zone; });
    sync_http_client client;
    int accepted = 0;
    for (std::ptrdiff_t i = 0; i < servers * tasks_per_server; ++i)
    {
        Json::Value body;
        body["customer"] = "beadline";
        body["key"] = "task" + std::to_string(i);
        body["kind"] = "shape-check";
        body["accelerators"] = 0;
        body["payload"] = "{\"run_ms\": 600000}";
        http_request request;
        request.target = "/v1/jobs";
        request.body = json_text(body);
        const auto reply = client.call(entry.address, request, call_timeout);
        accepted += reply["result"].asString() == "pending" ? 1 : 0;
    }
    print(out, {"control.running_tasks", double(accepted), "tasks", 0, 0});
    control_cost(out, processes, "tasks");
}

std::string scheduler_of(sync_http_client& client,
                         const process_set& processes,
                         const std::string& zone)
{
    const auto reply = client.call(
        processes.entries.front().address, get("/v1/zones"), short_timeout);
    for (const auto& row : reply["zones"])
    {
        if (row["zone"].asString() == zone)
        {
            return row["scheduler"].asString();
        }
    }
    return "";
}

// Kills the scheduler of an availability zone and submits urgent jobs to a
// remaining entry VM of the zone. Returns the time in ms from the kill to the
// first result; -1 if the zone has no scheduler or no other entry VM.
double takeover_time(sync_http_client& client,
                     const process_set& processes,
                     const std::string& zone)
{
    const auto victim = scheduler_of(client, processes, zone);
    const entry_process* survivor = nullptr;
    pid_t killed = 0;
    for (const auto& entry : processes.entries)
    {
        if (entry.zone != zone)
        {
            continue;
        }
        if (entry.vm == victim)
        {
            killed = entry.pid;
        }
        else
        {
            survivor = &entry;
        }
    }
    if (killed == 0 || survivor == nullptr)
    {
        return -1;
    }
    const auto begin = steady_clock::now();
    kill(killed, SIGKILL);
    for (int i = 0; ms_since(begin) < 30'000; ++i)
    {
        const auto key = "takeover-" + zone + std::to_string(i);
        if (succeeded(
                client.call(survivor->address, submit(key, 1), call_timeout)))
        {
            break;
        }
    }
    return ms_since(begin);
}

// Longest takeover time of any availability zone.
void takeover(std::ostream& out, const process_set& processes)
{
    sync_http_client client;
    std::vector<double> times;
    std::vector<std::string> zones;
    for (const auto& entry : processes.entries)
    {
        if (std::find(zones.begin(), zones.end(), entry.zone) == zones.end())
        {
            zones.push_back(entry.zone);
        }
    }
    times.reserve(zones.size());
    // The first entry VM serves the list of zones, so its zone comes last.
    std::reverse(zones.begin(), zones.end());
    for (const auto& zone : zones)
    {
        times.push_back(takeover_time(client, processes, zone));
    }
    print(out, {"owner.takeover_max", quantile(times, 1), "ms", 0, 0});
}

} // namespace

process_set read_process_set(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    failure why;
    process_set result;
    const auto json = parse_json(text.str(), why);
    if (!json)
    {
        return result;
    }
    json_reader reader(*json, "", why);
    reader.read("token", result.token)
        .read("spare_backend", result.spare_backend)
        .read_each("entries",
                   [&result](json_reader& item)
                   {
                       auto& entry = result.entries.emplace_back();
                       item.read("vm", entry.vm)
                           .read("zone", entry.zone)
                           .read("address", entry.address)
                           .read("pid", entry.pid);
                   })
        .read_each(
            "backends",
            [&result](json_reader& item)
            {
                auto& server = result.backends.emplace_back();
                item.read("zone", server.zone).read("address", server.address);
            });
    return why ? process_set{} : result;
}

std::vector<measurement> process_measurements(const process_set& processes)
{
    const auto bind =
        [&processes](void (*run)(std::ostream&, const process_set&))
    {
        return [&processes, run](std::ostream& out)
        {
            run(out, processes);
        };
    };
    return {{"control", bind(control_costs)},
            {"path", bind(path_latency)},
            {"config", bind(config_propagation)},
            {"zone_out", bind(zone_out)},
            {"owner", bind(takeover)},
            {"tasks", bind(task_costs), true}};
}

} // namespace poplarramp
