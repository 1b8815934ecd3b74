#include "cases.hpp"

#include "model/codec.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace review
{

namespace
{

// Bounds of the site file, in milliseconds.
constexpr std::int64_t contact = 4000;
constexpr std::int64_t finish = 14000;
constexpr std::int64_t start_limit = 15000;

const std::string queue = "/work/";

void put_config(world& site, int max_attempts)
{
    Json::Value route;
    route["name"] = "r-work";
    route["hostname"] = "work.example";
    route["prefix"] = queue;
    route["route_type"] = "unsafe";
    route["timeout_ms"] = 3000;
    route["goal_ms"] = 1500;
    route["priority"] = 1;
    route["backend"] = "engine";
    route["max_attempts"] = max_attempts;
    route["stretch"] = 3.0;
    route["allow_anonymous"] = false;
    Json::Value service;
    service["name"] = "engine";
    service["enforces_capacity"] = false;
    Json::Value tenant;
    tenant["name"] = "tenant-1";
    tenant["api_keys"].append("key-1");
    tenant["guaranteed"]["gpus"] = 8;
    Json::Value config;
    config["config_version"] = 1;
    config["routes"].append(route);
    config["services"].append(service);
    config["tenants"].append(tenant);
    site.sync([&]
              { site.platform.put("op", "config", poplarramp::json_text(config)); });
}

Json::Value step(int tasks, std::int64_t estimate, int gpus)
{
    Json::Value result;
    result["task_count"] = tasks;
    result["cpu"] = 4000;
    result["mem_mb"] = 1024;
    result["gpus"] = gpus;
    result["estimate_ms"] = static_cast<Json::Int64>(estimate);
    return result;
}

// Three processes and four workers in three zones, with a first configuration.
bool set_up(world& site, int max_attempts = 3)
{
    put_config(site, max_attempts);
    site.add_worker("i-1", "nabeul-a");
    site.add_worker("i-2", "sfax-a");
    site.add_worker("i-3", "kairouan-a");
    site.add_worker("i-4", "nabeul-a");
    for (const auto& [name, zone] : std::map<std::string, std::string>{
             {"edge-1", "nabeul-a"},
             {"edge-2", "sfax-a"},
             {"edge-3", "kairouan-a"}})
    {
        site.add_node(name, zone);
        site.start_node(name);
    }
    return site.wait_ready(start_limit);
}

// Runs of the job that are at work.
std::size_t running(world& site, const std::string& job)
{
    std::size_t count = 0;
    site.sync(
        [&]
        {
            for (const auto& [id, item] : site.workers)
            {
                count += static_cast<std::size_t>(std::count_if(
                    item->active.begin(),
                    item->active.end(),
                    [&job](const run& candidate)
                    { return candidate.task.starts_with(job + "."); }));
            }
        });
    return count;
}

std::size_t ended_done(world& site, const std::string& step)
{
    std::size_t count = 0;
    site.sync(
        [&]
        {
            for (const auto& item : site.ends)
            {
                count += item.how == "done" && item.task.starts_with(step + ".")
                             ? 1
                             : 0;
            }
        });
    return count;
}

} // namespace

verdict leader_kills(world& site, bool trouble)
{
    constexpr int kills = 5;
    constexpr std::int64_t down_time = 500;
    constexpr std::int64_t time_as_leader = 1000;
    if (!set_up(site))
    {
        return verdict::not_run;
    }
    // The first leader has led for some time.
    site.sleep(6000);
    // The first step is at work during all kills, the second begins after it.
    const std::string job = "00000000000000a1";
    Json::Value body;
    body["task_spec"] = "16000";
    body["phases"].append(step(2, 16000, 2));
    auto second = step(2, 16000, 2);
    second["after"].append(0);
    body["phases"].append(second);
    const auto accepted = site.call(
        "edge-1", "POST", queue + job, poplarramp::json_text(body));
    if (accepted.status != 200)
    {
        return verdict::not_run;
    }
    site.sleep(1000);
    for (int i = 0; i < kills; ++i)
    {
        const auto leader = site.leader();
        const auto epoch = site.leader_epoch();
        if (trouble)
        {
            site.kill_node(leader);
            site.sleep(down_time);
            site.start_node(leader);
        }
        const auto until = now_ms() + contact;
        while (trouble && site.leader_epoch() == epoch && now_ms() < until)
        {
            site.sleep(10);
        }
        site.log(site.leader() + " leads, fence number " +
                 std::to_string(site.leader_epoch()));
        site.sleep(time_as_leader);
    }
    site.log("no disruption from here on");
    // From `contact` on all machines are in touch again; the first step has
    // ended by then or ends soon after.
    site.sleep(contact);
    const std::string other = "00000000000000a2";
    body["task_spec"] = "1000";
    const bool other_accepted =
        site.call(
                "edge-2", "POST", queue + other, poplarramp::json_text(body))
            .status == 200;
    std::int64_t idle_since = 0;
    std::int64_t longest_idle = 0;
    std::string state;
    std::string other_state;
    const auto until = now_ms() + 2 * finish;
    while (now_ms() < until)
    {
        site.sleep(500);
        state = site.call("edge-1", "GET", queue + job).body["state"].asString();
        other_state =
            site.call("edge-2", "GET", queue + other).body["state"].asString();
        // The turn of the second step has come and all workers but those of
        // the small job are free.
        const bool idle = ended_done(site, job + ".0.0") == 2 &&
                          ended_done(site, job + ".0.1") == 0 &&
                          running(site, job) == 0;
        idle_since = idle ? (idle_since == 0 ? now_ms() : idle_since) : 0;
        longest_idle =
            std::max(longest_idle, idle ? now_ms() - idle_since : 0);
        if (state == "completed" && other_state == "completed")
        {
            break;
        }
    }
    site.log("job " + job + ": " +
             std::to_string(ended_done(site, job + ".0.0")) +
             " of 2 tasks of the first step are done, " +
             std::to_string(ended_done(site, job + ".0.1")) +
             " of 2 of the second; it is shown as " + state +
             "; nothing of it was at work for " +
             std::to_string(longest_idle) + " ms on end");
    site.log("job " + other + " of the calm time is shown as " + other_state);
    if (!other_accepted || other_state != "completed")
    {
        return verdict::not_run;
    }
    constexpr std::int64_t lost_after = 3000;
    return longest_idle >= lost_after ? verdict::broken : verdict::held;
}

} // namespace review
