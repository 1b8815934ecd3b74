#include "fleet.hpp"

#include "text.hpp"

#include <algorithm>
#include <utility>

namespace review
{

namespace
{

constexpr std::int64_t hold_max_ms = 10000;
constexpr std::int64_t gang_wait_ms = 3000;
constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::int64_t tick_ms = 10;
constexpr int percent_of_all = 100;

// ID.K.STEP of a task's name ID.K.STEP.INDEX.
std::string step_of(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

int index_of(const std::string& task)
{
    return std::stoi(task.substr(task.rfind('.') + 1));
}

std::string name_of(run_event::event_kind kind)
{
    switch (kind)
    {
    case run_event::event_kind::started:
        return "started";
    case run_event::event_kind::working:
        return "working";
    case run_event::event_kind::ended:
        return "ended";
    case run_event::event_kind::noted:
        return "end noted";
    }
    return "";
}

} // namespace

fleet::fleet(store& platform, std::function<void(const std::string&)> record)
    : platform_(platform), record_(std::move(record))
{
    thread_ = std::thread([this] { work(); });
}

fleet::~fleet()
{
    closing_ = true;
    ended_.notify_all();
    thread_.join();
    for (auto& [id, item] : workers_)
    {
        item->listener->close();
    }
}

void fleet::add(const worker_settings& settings)
{
    const std::lock_guard lock(mutex_);
    auto item = std::make_unique<worker>();
    auto& added = *item;
    added.settings = settings;
    added.born = unix_ms();
    added.clock_zero = steady_ms();
    added.listener = std::make_unique<http_listener>(
        [this, &added](const http_request& request)
        { return handle(added, request); });
    workers_.emplace(settings.id, std::move(item));
    register_worker(added);
}

void fleet::define(const std::string& name, const job_behaviour& behaviour)
{
    const std::lock_guard lock(mutex_);
    jobs_[name] = behaviour;
}

void fleet::cut(const std::string& id, bool is_cut)
{
    const std::lock_guard lock(mutex_);
    workers_.at(id)->cut = is_cut;
    ended_.notify_all();
    record_(id + (is_cut ? " is cut off" : " is reachable again"));
}

void fleet::lose_answers(const std::set<std::string>& workers, double share)
{
    const std::lock_guard lock(mutex_);
    losing_ = workers;
    lost_share_ = share;
}

void fleet::lose(const std::string& id)
{
    {
        const std::lock_guard lock(mutex_);
        auto& gone = *workers_.at(id);
        gone.lost = true;
        gone.cut = true;
        gone.runs.clear();
        record_(id + " has crashed for good");
    }
    workers_.at(id)->listener->close();
}

std::vector<run_event> fleet::events()
{
    const std::lock_guard lock(mutex_);
    return events_;
}

std::string fleet::worker_of(const std::string& task)
{
    const std::lock_guard lock(mutex_);
    for (const auto& [id, item] : workers_)
    {
        if (item->runs.contains(task))
        {
            return id;
        }
    }
    return "";
}

std::int64_t fleet::lease_left_ms(const std::string& id)
{
    const std::lock_guard lock(mutex_);
    const auto& item = *workers_.at(id);
    return item.until_ms - clock_of(item);
}

std::int64_t fleet::clock_of(const worker& at) const
{
    return steady_ms() - at.clock_zero;
}

http_response fleet::refuse(const worker& at, const std::string& reason) const
{
    Json::Value body;
    body["clock_ms"] = static_cast<Json::Int64>(clock_of(at));
    body["reason"] = reason;
    constexpr int status_conflict = 409;
    return {status_conflict, to_json_text(body)};
}

std::optional<http_response> fleet::handle(worker& at,
                                           const http_request& request)
{
    std::unique_lock lock(mutex_);
    if (!wait_for_path(at, request, lock))
    {
        return std::nullopt;
    }
    const auto body = parse_json_text(request.body);
    const auto instance = request.headers.find("x-target-instance");
    if (instance != request.headers.end() && instance->second != at.settings.id)
    {
        constexpr int status_misdirected = 421;
        return http_response{status_misdirected, "{}"};
    }
    const auto fence = body["fencing_token"].asUInt64();
    if (fence < at.fence)
    {
        return refuse(at, "fence");
    }
    at.fence = fence;
    http_response response{404, "{}"};
    if (request.target == "/v1/run-start")
    {
        response = start(at, body);
    }
    else if (request.target == "/v1/run-stop")
    {
        response = stop(at, body);
    }
    else if (request.target == "/v1/hold")
    {
        response = hold(at, body, lock);
    }
    if (losing_.contains(at.settings.id) &&
        std::uniform_real_distribution<>(0, 1)(random_) < lost_share_)
    {
        record_(at.settings.id + ": the answer to " + request.target + " " +
                body["task"].asString() + " is lost");
        return std::nullopt;
    }
    return wait_for_path(at, request, lock) ? std::optional(response)
                                            : std::nullopt;
}

// Bytes that a cut holds up arrive when it heals, unless the other end has
// closed the connection.
bool fleet::wait_for_path(const worker& at,
                          const http_request& request,
                          std::unique_lock<std::mutex>& lock)
{
    while (at.cut && !at.lost && !closing_ && request.is_open())
    {
        constexpr auto interval = std::chrono::milliseconds(10);
        ended_.wait_for(lock, interval);
    }
    return !at.cut && !at.lost && request.is_open();
}

void fleet::extend(worker& at, const Json::Value& body)
{
    if (!body.isMember("until_ms"))
    {
        return;
    }
    const auto now = clock_of(at);
    const auto until =
        std::min<std::int64_t>(body["until_ms"].asInt64(), now + hold_max_ms);
    at.until_ms = std::max(at.until_ms, until);
    at.lease_live = at.lease_live || until > now;
}

http_response fleet::start(worker& at, const Json::Value& body)
{
    const auto task = body["task"].asString();
    const int attempt = body["attempt_id"].asInt();
    if (body["until_ms"].asInt64() <= clock_of(at))
    {
        return refuse(at, "late");
    }
    const auto found = at.runs.find(task);
    const bool is_there =
        found != at.runs.end() && found->second.attempt == attempt;
    const auto gone = at.highest_gone.find(task);
    const bool old =
        !is_there &&
        (found != at.runs.end() ||
         (gone != at.highest_gone.end() && attempt <= gone->second));
    extend(at, body);
    if (old)
    {
        return refuse(at, "old");
    }
    if (!is_there)
    {
        const auto now = steady_ms();
        at.runs[task] = {attempt, now, -1};
        note({now,
              run_event::event_kind::started,
              at.settings.id,
              task,
              attempt,
              ""});
        begin_gang(task, attempt);
    }
    Json::Value reply;
    reply["clock_ms"] = static_cast<Json::Int64>(clock_of(at));
    return {200, to_json_text(reply)};
}

http_response fleet::stop(worker& at, const Json::Value& body)
{
    const auto task = body["task"].asString();
    const int attempt = body["attempt_id"].asInt();
    const auto found = at.runs.find(task);
    if (found != at.runs.end() && found->second.attempt <= attempt)
    {
        end_gang(task, found->second.attempt, "stopped", "broken");
    }
    auto& highest = at.highest_gone[task];
    highest = std::max(highest, attempt);
    Json::Value reply;
    reply["clock_ms"] = static_cast<Json::Int64>(clock_of(at));
    return {200, to_json_text(reply)};
}

void fleet::forget_ends(worker& at, std::uint64_t last_seen)
{
    for (const auto& item : at.ends)
    {
        // An end is not taken note of if the lease lapsed before.
        if (item.number <= last_seen && !item.lapsed_since)
        {
            note({steady_ms(),
                  run_event::event_kind::noted,
                  at.settings.id,
                  item.task,
                  item.attempt,
                  item.how});
        }
    }
    std::erase_if(at.ends,
                  [last_seen](const end& item)
                  { return item.number <= last_seen; });
}

http_response fleet::hold(worker& at,
                          const Json::Value& body,
                          std::unique_lock<std::mutex>& lock)
{
    extend(at, body);
    forget_ends(at, body["last_seen"].asUInt64());
    const auto wait = std::chrono::milliseconds(body["wait_ms"].asInt());
    ended_.wait_for(
        lock, wait, [this, &at] { return !at.ends.empty() || closing_; });
    Json::Value reply;
    reply["clock_ms"] = static_cast<Json::Int64>(clock_of(at));
    reply["born"] = static_cast<Json::Int64>(at.born);
    reply["active"] = Json::Value(Json::arrayValue);
    reply["ended"] = Json::Value(Json::arrayValue);
    for (const auto& [task, item] : at.runs)
    {
        const auto work = behaviour_of(task).work_ms;
        const auto done =
            item.working_since_ms < 0 ? 0 : steady_ms() - item.working_since_ms;
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(item.attempt);
        row.append("");
        row.append(static_cast<int>(std::min<std::int64_t>(
            percent_of_all,
            percent_of_all * done / std::max<std::int64_t>(work, 1))));
        row.append(0);
        reply["active"].append(row);
    }
    for (const auto& item : at.ends)
    {
        Json::Value row(Json::arrayValue);
        row.append(static_cast<Json::UInt64>(item.number));
        row.append(item.task);
        row.append(item.attempt);
        row.append(item.how);
        row.append("");
        reply["ended"].append(row);
    }
    return {200, to_json_text(reply)};
}

const job_behaviour& fleet::behaviour_of(const std::string& task) const
{
    static const job_behaviour usual;
    const auto of_step = jobs_.find(step_of(task));
    const auto found = of_step != jobs_.end()
                           ? of_step
                           : jobs_.find(task.substr(0, task.find('.')));
    return found == jobs_.end() ? usual : found->second;
}

void fleet::end_run(worker& at, const std::string& task, const std::string& how)
{
    const auto found = at.runs.find(task);
    const int attempt = found->second.attempt;
    at.runs.erase(found);
    auto& highest = at.highest_gone[task];
    highest = std::max(highest, attempt);
    at.ends.push_back(
        {at.next_end++, task, attempt, how, steady_ms(), how == "lapsed"});
    note({steady_ms(),
          run_event::event_kind::ended,
          at.settings.id,
          task,
          attempt,
          how});
    ended_.notify_all();
}

// Ends a run, and with it the other members of its gang.
void fleet::end_gang(const std::string& task,
                     int attempt,
                     const std::string& first,
                     const std::string& others)
{
    const auto step = step_of(task);
    const bool gang = behaviour_of(task).gang > 1;
    for (auto& [id, item] : workers_)
    {
        std::vector<std::string> ending;
        for (const auto& [name, member] : item->runs)
        {
            if (name == task || (gang && step_of(name) == step))
            {
                if (member.attempt == attempt)
                {
                    ending.push_back(name);
                }
            }
        }
        for (const auto& name : ending)
        {
            end_run(*item, name, name == task ? first : others);
        }
    }
}

// The members of a gang work from the moment when all are there.
void fleet::begin_gang(const std::string& task, int attempt)
{
    const auto step = step_of(task);
    std::vector<std::pair<worker*, std::string>> members;
    for (auto& [id, item] : workers_)
    {
        for (const auto& [name, member] : item->runs)
        {
            const bool same = behaviour_of(task).gang > 1
                                  ? step_of(name) == step
                                  : name == task;
            if (same && member.attempt == attempt)
            {
                members.emplace_back(item.get(), name);
            }
        }
    }
    if (static_cast<int>(members.size()) < behaviour_of(task).gang)
    {
        return;
    }
    const auto now = steady_ms();
    for (const auto& [at, name] : members)
    {
        at->runs.at(name).working_since_ms = now;
        note({now,
              run_event::event_kind::working,
              at->settings.id,
              name,
              attempt,
              ""});
    }
}

void fleet::advance_run(worker& at, const std::string& task)
{
    const auto found = at.runs.find(task);
    if (found == at.runs.end())
    {
        return;
    }
    const auto item = found->second;
    const auto& behaviour = behaviour_of(task);
    const auto now = steady_ms();
    if (item.working_since_ms < 0)
    {
        if (now - item.started_ms >= gang_wait_ms)
        {
            end_gang(task, item.attempt, "alone", "broken");
        }
        return;
    }
    const auto worked = now - item.working_since_ms;
    if (index_of(task) == behaviour.failing_index &&
        worked >= behaviour.fails_after_ms)
    {
        end_gang(task, item.attempt, "failed", "broken");
    }
    else if (worked >= behaviour.work_ms)
    {
        end_gang(task, item.attempt, "done", "done");
    }
}

void fleet::advance()
{
    for (auto& [id, item] : workers_)
    {
        if (item->lost)
        {
            continue;
        }
        if (item->lease_live && clock_of(*item) >= item->until_ms)
        {
            item->lease_live = false;
            record_(id + ": the lease has lapsed");
            for (auto& ended : item->ends)
            {
                ended.lapsed_since = true;
            }
            while (!item->runs.empty())
            {
                const auto first = *item->runs.begin();
                end_gang(first.first, first.second.attempt, "lapsed", "broken");
            }
        }
        std::vector<std::string> tasks;
        for (const auto& [task, member] : item->runs)
        {
            tasks.push_back(task);
        }
        for (const auto& task : tasks)
        {
            advance_run(*item, task);
        }
    }
}

Json::Value fleet::entry_of(const std::string& id)
{
    const std::lock_guard lock(mutex_);
    return make_entry(*workers_.at(id));
}

Json::Value fleet::make_entry(worker& at) const
{
    Json::Value row;
    row["backend"] = "carve-svc";
    row["address"] = "127.0.0.1:" + std::to_string(at.listener->port());
    row["zone"] = at.settings.zone;
    row["config_version"] = "v1";
    row["slots"] = 8;
    row["state"] = "ready";
    row["cold_remaining_ms"] = 0;
    row["capacity"]["cpu"] = at.settings.cpu;
    row["capacity"]["mem_mb"] = at.settings.mem_mb;
    row["capacity"]["gpus"] = at.settings.gpus;
    row["labels"].append("a");
    row["labels"].append(at.settings.rack);
    row["clock_ms"] = static_cast<Json::Int64>(clock_of(at));
    row["born"] = static_cast<Json::Int64>(at.born);
    row["seq"] = static_cast<Json::UInt64>(++at.seq);
    return row;
}

void fleet::register_worker(worker& at)
{
    platform_.put("servers", at.settings.id, make_entry(at));
}

void fleet::note(run_event event)
{
    record_(event.worker + ": " + event.task + " attempt " +
            std::to_string(event.attempt) + " " + name_of(event.kind) +
            (event.how.empty() ? "" : " " + event.how));
    events_.push_back(std::move(event));
}

void fleet::work()
{
    auto next_heartbeat = steady_ms() + heartbeat_ms;
    while (!closing_)
    {
        {
            const std::lock_guard lock(mutex_);
            advance();
            if (steady_ms() >= next_heartbeat)
            {
                next_heartbeat += heartbeat_ms;
                for (auto& [id, item] : workers_)
                {
                    // The entry of a silent worker stands for three heartbeats.
                    if (!item->lost)
                    {
                        register_worker(*item);
                    }
                    else if (++item->missed_heartbeats == 3)
                    {
                        platform_.erase("servers", id);
                    }
                }
            }
        }
        sleep_ms(tick_ms);
    }
}

} // namespace review
