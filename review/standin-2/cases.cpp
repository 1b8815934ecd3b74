#include "cases.hpp"

#include "model/codec.hpp"

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

namespace review
{

namespace
{

// Bounds of the site file, in milliseconds.
constexpr std::int64_t contact = 4000;
constexpr std::int64_t finish = 14000;
constexpr std::int64_t start_limit = 15000;
// A task whose turn has come must be at work again within this time.
constexpr std::int64_t lost_after = 3000;

const std::string queue = "/batch/";
const std::string urgent_queue = "/urgent/";

// Accelerators that belong to the first tenant; half of the workers' 32.
constexpr int guaranteed = 16;

void put_config(world& site)
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
    route["max_attempts"] = 3;
    route["stretch"] = 3.0;
    route["allow_anonymous"] = false;
    Json::Value service;
    service["name"] = "engine";
    service["enforces_capacity"] = false;
    Json::Value tenant;
    tenant["name"] = "tenant-1";
    tenant["api_keys"].append("key-1");
    tenant["guaranteed"]["gpus"] = guaranteed;
    Json::Value other;
    other["name"] = "tenant-2";
    other["api_keys"].append("key-2");
    other["guaranteed"]["gpus"] = 0;
    auto urgent = route;
    urgent["name"] = "r-urgent";
    urgent["prefix"] = urgent_queue;
    urgent["goal_ms"] = 600;
    urgent["priority"] = 0;
    urgent["stretch"] = 1.5;
    Json::Value config;
    config["config_version"] = 1;
    config["routes"].append(route);
    config["routes"].append(urgent);
    config["services"].append(service);
    config["tenants"].append(tenant);
    config["tenants"].append(other);
    site.sync(
        [&]
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
bool set_up(world& site)
{
    put_config(site);
    site.add_worker("i-1", "nabeul-a");
    site.add_worker("i-2", "sfax-a");
    site.add_worker("i-3", "kairouan-a");
    site.add_worker("i-4", "nabeul-a");
    for (const auto& [name, zone] :
         std::map<std::string, std::string>{{"edge-1", "nabeul-a"},
                                            {"edge-2", "sfax-a"},
                                            {"edge-3", "kairouan-a"}})
    {
        site.add_node(name, zone);
        site.start_node(name);
    }
    return site.wait_ready(start_limit);
}

// Kills of the leading process, the time until it starts again, and the time
// for which the next one leads.
constexpr int kills = 5;
constexpr std::int64_t down_time = 500;
constexpr std::int64_t time_as_leader = 1000;

// Kills the leading process, starts it again and waits until another one leads.
void kill_leader(world& site)
{
    const auto leader = site.leader();
    const auto epoch = site.leader_epoch();
    site.kill_node(leader);
    site.sleep(down_time);
    site.start_node(leader);
    const auto until = now_ms() + contact;
    while (site.leader_epoch() == epoch && now_ms() < until)
    {
        site.sleep(10);
    }
    site.log(site.leader() + " leads, fence number " +
             std::to_string(site.leader_epoch()));
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

// Tasks of the step, whose name is ID.K.STEP, that have ended done.
std::size_t ended_done(world& site, const std::string& name)
{
    std::size_t count = 0;
    site.sync(
        [&]
        {
            for (const auto& item : site.ends)
            {
                count += item.how == "done" && item.task.starts_with(name + ".")
                             ? 1
                             : 0;
            }
        });
    return count;
}

// When the job was first started; unset if it was not.
std::optional<std::int64_t> first_start(world& site, const std::string& job)
{
    std::optional<std::int64_t> result;
    site.sync(
        [&]
        {
            for (const auto& item : site.starts)
            {
                if (!result && item.task.starts_with(job + "."))
                {
                    result = item.at;
                }
            }
        });
    return result;
}

// Accelerators in use, with one for each run.
std::size_t used_gpus(world& site)
{
    std::size_t count = 0;
    site.sync(
        [&]
        {
            for (const auto& [id, item] : site.workers)
            {
                count += item->active.size();
            }
        });
    return count;
}

Json::Value job_of(const std::string& work, const Json::Value& first_step)
{
    Json::Value result;
    result["task_spec"] = work;
    result["phases"].append(first_step);
    return result;
}

Json::Value lasting_step(int tasks)
{
    auto result = step(tasks, 1000, 1);
    result["long_running"] = true;
    return result;
}

bool submit(world& site,
            const std::string& path,
            const Json::Value& job,
            const std::string& key = "key-1")
{
    return site.call("edge-2", "POST", path, poplarramp::json_text(job), key)
               .status == 200;
}

std::string state_of(world& site, const std::string& path)
{
    return site.call("edge-2", "GET", path).body["state"].asString();
}

std::string begun_text(std::optional<std::int64_t> begun, std::int64_t sent)
{
    return begun ? "begun after " + std::to_string(*begun - sent) + " ms"
                 : "not begun after " + std::to_string(now_ms() - sent) + " ms";
}

// Watches a job of two steps of two tasks and a small one of the calm time.
// Returns the longest time for which the turn of the second step had come and
// nothing of the job was at work, while all workers but those of the small job
// were free.
std::int64_t
longest_idle_time(world& site, const std::string& job, const std::string& other)
{
    std::int64_t idle_since = 0;
    std::int64_t longest = 0;
    const auto until = now_ms() + 2 * finish;
    while (now_ms() < until)
    {
        site.sleep(500);
        const bool idle = ended_done(site, job + ".0.0") == 2 &&
                          ended_done(site, job + ".0.1") == 0 &&
                          running(site, job) == 0;
        const auto now = now_ms();
        idle_since = idle && idle_since != 0 ? idle_since : now;
        longest = std::max(longest, idle ? now - idle_since : 0);
        idle_since = idle ? idle_since : 0;
        const auto state = state_of(site, queue + job);
        const auto other_state = state_of(site, queue + other);
        if (state == "completed" && other_state == "completed")
        {
            break;
        }
    }
    return longest;
}

// The worker with the most runs; empty if there are none.
std::string busiest_worker(world& site)
{
    std::string result;
    site.sync(
        [&]
        {
            std::size_t most = 0;
            for (const auto& [id, item] : site.workers)
            {
                if (item->active.size() > most)
                {
                    most = item->active.size();
                    result = id;
                }
            }
        });
    return result;
}

// Crashes the worker and starts it again under its id.
void crash_for(world& site, const std::string& host, std::int64_t time)
{
    site.log("worker " + host + " crashes");
    site.sync([&] { site.workers.at(host)->crash(); });
    site.sleep(time);
    site.log("worker " + host + " is back");
    site.sync([&] { site.workers.at(host)->restart(); });
}

// Waits, and plays the part of the platform that limits the memory.
void sleep_with_limits(world& site, std::int64_t time)
{
    constexpr std::int64_t tick = 20;
    const auto until = now_ms() + time;
    while (now_ms() < until)
    {
        site.sleep(tick);
        site.enforce_memory();
    }
}

// Hands in legal jobs of many steps that no worker can run.
void hand_in_impossible_jobs(world& site)
{
    constexpr int jobs = 7000;
    constexpr int jobs_per_s = 280;
    constexpr int steps = 60;
    constexpr std::size_t label_size = 800;
    constexpr std::int64_t time_limit = 45000;
    constexpr std::size_t id_size = 17;
    auto impossible = step(1, 1000, 1);
    impossible["requirements"] = std::string(label_size, 'x');
    auto job = job_of("1000", impossible);
    for (int i = 1; i < steps; ++i)
    {
        job["phases"].append(impossible);
    }
    const auto body = poplarramp::json_text(job);
    const auto begun = now_ms();
    int sent = 0;
    while (sent < jobs && now_ms() < begun + time_limit)
    {
        const auto due = (now_ms() - begun) * jobs_per_s / 1000;
        while (sent < due && sent < jobs)
        {
            std::string id(id_size, '\0');
            std::snprintf(id.data(), id.size(), "%016x", 0xf000000 + ++sent);
            id.pop_back();
            site.send("edge-" + std::to_string(sent % 3 + 1), queue + id, body);
        }
        sleep_with_limits(site, 20);
    }
    std::string answers;
    for (const auto& [status, count] : site.answered_calls())
    {
        answers.append(" ")
            .append(std::to_string(status))
            .append(": ")
            .append(std::to_string(count));
    }
    site.log(std::to_string(sent) + " jobs of " + std::to_string(body.size()) +
             " bytes were handed in; answers" + answers);
}

} // namespace

verdict leader_kills(world& site, bool trouble)
{
    const std::string job = "00000000000000a1";
    const std::string other = "00000000000000a2";
    if (!set_up(site))
    {
        return verdict::not_run;
    }
    // The first leader has led for some time.
    site.sleep(6000);
    // The first step is at work during all kills, the second begins after it.
    auto body = job_of("16000", step(2, 16000, 2));
    auto second = step(2, 16000, 2);
    second["after"].append(0);
    body["phases"].append(second);
    if (!submit(site, queue + job, body))
    {
        return verdict::not_run;
    }
    site.sleep(1000);
    for (int i = 0; i < kills; ++i)
    {
        if (trouble)
        {
            kill_leader(site);
        }
        site.sleep(time_as_leader);
    }
    site.log("no disruption from here on");
    // From `contact` on all machines are in touch again; the first step has
    // ended by then or ends soon after.
    site.sleep(contact);
    body["task_spec"] = "1000";
    if (!submit(site, queue + other, body))
    {
        return verdict::not_run;
    }
    const auto idle = longest_idle_time(site, job, other);
    site.log("job " + job + ": " +
             std::to_string(ended_done(site, job + ".0.0")) +
             " of 2 tasks of the first step are done, " +
             std::to_string(ended_done(site, job + ".0.1")) +
             " of 2 of the second; it is shown as " +
             state_of(site, queue + job) + "; nothing of it was at work for " +
             std::to_string(idle) + " ms on end");
    if (state_of(site, queue + other) != "completed")
    {
        return verdict::not_run;
    }
    return idle >= lost_after ? verdict::broken : verdict::held;
}

verdict held_servers(world& site, bool trouble)
{
    constexpr int crashes = 2;
    constexpr std::int64_t crash_time = 4500;
    constexpr std::size_t lasting_tasks = 4;
    const std::string lasting_job = "00000000000000f1";
    const std::string job = "00000000000000f2";
    auto body = job_of("3600000", lasting_step(1));
    for (std::size_t i = 1; i < lasting_tasks; ++i)
    {
        body["phases"].append(lasting_step(1));
    }
    if (!set_up(site) || !submit(site, queue + lasting_job, body))
    {
        return verdict::not_run;
    }
    site.sleep(15000);
    for (int i = 0; i < crashes; ++i)
    {
        const auto host = busiest_worker(site);
        if (host.empty())
        {
            return verdict::not_run;
        }
        if (trouble)
        {
            crash_for(site, host, crash_time);
        }
        const auto until = now_ms() + finish;
        while (running(site, lasting_job) < lasting_tasks && now_ms() < until)
        {
            site.sleep(100);
        }
        site.sleep(5000);
    }
    site.log("no disruption from here on");
    site.sleep(contact);
    if (!submit(site, queue + job, job_of("1000", step(2, 1000, 1))))
    {
        return verdict::not_run;
    }
    const auto sent = now_ms();
    std::string state;
    while (now_ms() < sent + 2 * finish && state != "completed")
    {
        site.sleep(500);
        state = state_of(site, queue + job);
    }
    const auto begun = first_start(site, job);
    site.log("job " + job + ": " + begun_text(begun, sent) + ", shown as " +
             state + "; " + std::to_string(used_gpus(site)) +
             " of 32 GPUs are in use");
    return begun && *begun - sent < lost_after ? verdict::held
                                               : verdict::broken;
}

verdict lent_guarantee(world& site, bool trouble)
{
    constexpr std::int64_t reclaim = 2700;
    constexpr int all_gpus = 32;
    constexpr int needed_gpus = 8;
    constexpr std::int64_t watch_time = 30000;
    const std::string lasting_job = "00000000000000aa";
    const std::string job = "00000000000000ab";
    if (!set_up(site))
    {
        return verdict::not_run;
    }
    site.sleep(hold_max);
    if (trouble && !submit(site,
                           queue + lasting_job,
                           job_of("3600000", lasting_step(all_gpus)),
                           "key-2"))
    {
        return verdict::not_run;
    }
    site.sleep(contact);
    if (!submit(site,
                urgent_queue + job,
                job_of("1000", step(1, 1000, needed_gpus))))
    {
        return verdict::not_run;
    }
    const auto sent = now_ms();
    while (now_ms() < sent + watch_time && !first_start(site, job))
    {
        site.sleep(500);
        state_of(site, urgent_queue + job);
    }
    const auto begun = first_start(site, job);
    std::size_t ended = 0;
    site.sync([&] { ended = site.ends.size(); });
    site.log("job " + job + " of priority 0, " + std::to_string(needed_gpus) +
             " of " + std::to_string(guaranteed) +
             " guaranteed GPUs: " + begun_text(begun, sent) + "; " +
             std::to_string(ended) + " runs have ended");
    return !begun || *begun - sent > reclaim ? verdict::broken : verdict::held;
}

verdict failing_tasks(world& site, bool trouble)
{
    constexpr std::int64_t watch_time = 30000;
    // One job of priority 1, and one of priority 0 within the guarantee.
    const std::map<std::string, std::string> jobs{
        {"00000000000000bb", queue}, {"00000000000000bc", urgent_queue}};
    if (!set_up(site))
    {
        return verdict::not_run;
    }
    site.sleep(hold_max);
    auto lasting = lasting_step(4);
    lasting["max_per_server"] = 1;
    if (!submit(site,
                queue + "00000000000000ba",
                job_of(trouble ? "1000 fail" : "3600000", lasting),
                "key-2"))
    {
        return verdict::not_run;
    }
    site.sleep(2 * contact);
    for (const auto& [job, at] : jobs)
    {
        if (!submit(site, at + job, job_of("1000", step(1, 1000, 1))))
        {
            return verdict::not_run;
        }
    }
    const auto sent = now_ms();
    std::size_t most = 0;
    while (now_ms() < sent + watch_time &&
           !(first_start(site, jobs.begin()->first) &&
             first_start(site, jobs.rbegin()->first)))
    {
        site.sleep(100);
        most = std::max(most, used_gpus(site));
    }
    bool lost = false;
    for (const auto& [job, at] : jobs)
    {
        const auto begun = first_start(site, job);
        lost = lost || !begun || *begun - sent > lost_after;
        const auto state = state_of(site, at + job);
        auto line = std::string("job ").append(job).append(" on ").append(at);
        line.append(": ").append(begun_text(begun, sent));
        site.log(line.append(", shown as ").append(state));
    }
    site.log("at most " + std::to_string(most) +
             " of 32 GPUs were in use meanwhile");
    return lost ? verdict::broken : verdict::held;
}

verdict flood(world& site, bool trouble)
{
    constexpr std::int64_t watch_time = 60000;
    const std::string job = "00000000000000ca";
    const auto path = queue + job;
    if (!set_up(site))
    {
        return verdict::not_run;
    }
    if (trouble)
    {
        hand_in_impossible_jobs(site);
    }
    // A small job of another tenant.
    const auto small = job_of("1000", step(1, 1000, 1));
    const auto calm = now_ms();
    bool accepted = false;
    std::string state;
    while (now_ms() < calm + watch_time && state != "completed")
    {
        sleep_with_limits(site, 500);
        accepted = accepted || submit(site, path, small);
        if (accepted)
        {
            state = state_of(site, path);
        }
    }
    for (const auto& [name, item] : site.nodes)
    {
        auto line = std::string("process ").append(name);
        line.append(" was ended for its memory ");
        line.append(std::to_string(item.memory_kills)).append(" times; most ");
        site.log(line.append(std::to_string(item.most_mb)).append(" MB"));
    }
    const auto begun = first_start(site, job);
    site.log("the small job: " + begun_text(begun, calm) + ", shown as " +
             state + "; " + std::to_string(used_gpus(site)) +
             " of 32 GPUs are in use");
    if (!accepted)
    {
        return verdict::not_run;
    }
    return begun ? verdict::held : verdict::broken;
}

} // namespace review
