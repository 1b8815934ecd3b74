#include "review/standin/workers.hpp"

#include "model/codec.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <stdexcept>

namespace poplarramp::review
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_conflict = 409;
constexpr int status_other_instance = 421;

constexpr std::size_t workers_per_rack = 8;
constexpr std::size_t max_ends = 500;
constexpr milliseconds beat_interval{1500};
constexpr milliseconds entry_lifetime{4500};
constexpr milliseconds max_wait{2000};

std::int64_t unix_now()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(wall).count();
}

std::string hex(const char* format, std::uint64_t number)
{
    constexpr std::size_t size = 24;
    std::array<char, size> text{};
    std::snprintf(text.data(),
                  text.size(),
                  format,
                  static_cast<unsigned long long>(number));
    return text.data();
}

std::string header_of(const http_request& request, const std::string& name)
{
    for (const auto& header : request.headers)
    {
        if (header.name == name)
        {
            return header.value;
        }
    }
    return "";
}

// The payload is {"work_ms": N, "saves": true, "lasts": false}.
std::optional<task_work> work_of(const std::string& payload)
{
    failure why;
    const auto json = parse_json(payload, why);
    if (!json || !(*json)["work_ms"].isInt64())
    {
        return std::nullopt;
    }
    return task_work{milliseconds((*json)["work_ms"].asInt64()),
                     (*json)["saves"].asBool(),
                     (*json)["lasts"].asBool()};
}

} // namespace

fleet::fleet(boost::asio::io_context& traffic,
             boost::asio::io_context& control,
             const fleet_settings& settings,
             store& rows,
             record& log)
    : settings_(settings), rows_(rows), log_(log)
{
    constexpr std::uint64_t first_id = 0x7f3a9100;
    for (int i = 0; i < settings_.workers; ++i)
    {
        auto item = std::make_unique<worker>();
        const auto number = static_cast<std::size_t>(i);
        const auto zone = number % settings_.zones.size();
        item->id = hex("i-%08llx", first_id + number);
        item->zone = settings_.zones[zone];
        item->rack =
            "r" + std::to_string(zone + 1) + "-" +
            std::to_string(number / settings_.zones.size() / workers_per_rack +
                           1);
        item->born = unix_now();
        item->clock_start = monotonic_now();
        item->server = std::make_unique<http_server>(
            traffic,
            control,
            http_server_settings{},
            [this, at = item.get()](const http_request& request,
                                    respond_hook respond)
            { serve(*at, request, std::move(respond)); });
        failure why;
        if (!item->server->listen(why))
        {
            throw std::runtime_error(why.reason);
        }
        announce(*item);
        workers_.push_back(std::move(item));
    }
    next_beat_ = monotonic_now() + beat_interval;
}

void fleet::lose_power(std::size_t count)
{
    for (const auto& item : workers_)
    {
        if (count > 0 && item->rack == workers_.front()->rack)
        {
            --count;
            log_.write(item->id, "loses power");
            item->dark_since = monotonic_now();
            item->active.clear();
        }
    }
    std::erase_if(waiting_,
                  [](const waiting_hold& call)
                  { return call.at->dark_since.has_value(); });
}

void fleet::fail(const std::string& job)
{
    for (const auto& item : workers_)
    {
        std::vector<run_key> runs;
        for (const auto& [run, state] : item->active)
        {
            if (parse_task_name(run.first)->job == job)
            {
                runs.push_back(run);
            }
        }
        for (const auto& run : runs)
        {
            end(*item, run, "failed");
        }
    }
}

void fleet::announce(worker& item)
{
    Json::Value row;
    row["backend"] = "svc";
    row["address"] = "127.0.0.1:" + std::to_string(item.server->port());
    row["zone"] = item.zone;
    row["config_version"] = "v1";
    row["slots"] = 8;
    row["state"] = "ready";
    row["cold_remaining_ms"] = 0;
    row["capacity"]["cpu"] = static_cast<Json::Int64>(settings_.capacity.cpu);
    row["capacity"]["mem_mb"] =
        static_cast<Json::Int64>(settings_.capacity.memory);
    row["capacity"]["gpus"] = static_cast<Json::Int64>(settings_.capacity.gpus);
    row["labels"].append("a");
    row["labels"].append(item.rack);
    row["clock_ms"] = static_cast<Json::Int64>(clock_of(item));
    row["seq"] = static_cast<Json::Int64>(++item.beats);
    row["born"] = static_cast<Json::Int64>(item.born);
    rows_.put("servers", item.id, row);
}

std::int64_t fleet::clock_of(const worker& item) const
{
    return (monotonic_now() - item.clock_start).count();
}

http_response
fleet::reply(const worker& item, int status, Json::Value body) const
{
    body["clock_ms"] = static_cast<Json::Int64>(clock_of(item));
    body["born"] = static_cast<Json::Int64>(item.born);
    http_response response;
    response.status = status;
    response.body = json_text(body);
    return response;
}

void fleet::serve(worker& item,
                  const http_request& request,
                  respond_hook respond)
{
    if (item.dark_since)
    {
        return;
    }
    advance(item);
    failure why;
    const auto call = parse_json(request.body, why);
    if (header_of(request, "X-Target-Instance") != item.id)
    {
        respond(reply(item, status_other_instance));
    }
    else if (!call)
    {
        respond(reply(item, status_bad_request));
    }
    else if (fenced(item, *call))
    {
        Json::Value body;
        body["reason"] = "fence";
        respond(reply(item, status_conflict, std::move(body)));
    }
    else if (request.target == "/v1/run-start")
    {
        respond(start(item, *call));
    }
    else if (request.target == "/v1/run-stop")
    {
        respond(stop(item, *call));
    }
    else
    {
        hold(item, *call, std::move(respond));
    }
}

bool fleet::fenced(worker& item, const Json::Value& call)
{
    const auto fence = call["fencing_token"].asUInt64();
    if (fence < item.fence)
    {
        return true;
    }
    item.fence = fence;
    return false;
}

void fleet::extend_lease(worker& item, const Json::Value& call)
{
    if (call.isMember("until_ms"))
    {
        const auto longest = clock_of(item) + settings_.longest_lease.count();
        item.lease_until = std::max(
            item.lease_until,
            std::min<std::int64_t>(call["until_ms"].asInt64(), longest));
    }
}

http_response fleet::start(worker& item, const Json::Value& call)
{
    const run_key run{call["task"].asString(), call["attempt_id"].asInt()};
    Json::Value body;
    if (call["until_ms"].asInt64() <= clock_of(item))
    {
        body["reason"] = "late";
        return reply(item, status_conflict, std::move(body));
    }
    extend_lease(item, call);
    if (item.active.contains(run))
    {
        return reply(item, status_ok);
    }
    const auto known = item.highest_attempt.find(run.first);
    if (known != item.highest_attempt.end() && run.second <= known->second)
    {
        body["reason"] = "old";
        return reply(item, status_conflict, std::move(body));
    }
    const auto work = work_of(call["task_spec"].asString());
    const auto name = parse_task_name(run.first);
    if (!work || !name)
    {
        return reply(item, status_bad_request);
    }
    active_run begun;
    begun.work = *work;
    begun.since = monotonic_now();
    begun.saved = call["last_checkpoint"].asString();
    const auto saved = checkpoints_.find(begun.saved);
    if (saved != checkpoints_.end())
    {
        begun.done_before = saved->second;
        begun.since += settings_.restore_time;
    }
    item.active[run] = begun;
    ++starts_[name->job];
    log_.write(item.id,
               "starts " + run.first + " attempt " +
                   std::to_string(run.second));
    return reply(item, status_ok);
}

http_response fleet::stop(worker& item, const Json::Value& call)
{
    const run_key run{call["task"].asString(), call["attempt_id"].asInt()};
    const auto found = item.active.find(run);
    if (found != item.active.end() && !found->second.stops_at)
    {
        found->second.stops_at = monotonic_now() + settings_.stop_time;
    }
    auto& highest = item.highest_attempt[run.first];
    highest = std::max(highest, run.second);
    return reply(item, status_ok);
}

void fleet::hold(worker& item, const Json::Value& call, respond_hook respond)
{
    extend_lease(item, call);
    const auto seen = call["last_seen"].asUInt64();
    std::erase_if(item.ended,
                  [seen](const ended_run& end) { return end.number <= seen; });
    const auto wait =
        std::min(milliseconds(call["wait_ms"].asInt64()), max_wait);
    waiting_.push_back({&item, monotonic_now() + wait, std::move(respond)});
}

http_response fleet::lists(const worker& item) const
{
    constexpr std::int64_t hundred_percent = 100;
    Json::Value body;
    body["active"] = Json::Value(Json::arrayValue);
    body["ended"] = Json::Value(Json::arrayValue);
    for (const auto& [run, state] : item.active)
    {
        const auto worked = state.done_before + (monotonic_now() - state.since);
        auto& row = body["active"].append(Json::arrayValue);
        row.append(run.first);
        row.append(run.second);
        row.append(state.saved);
        row.append(static_cast<Json::Int64>(std::clamp<std::int64_t>(
            worked.count() * hundred_percent / state.work.time.count(),
            0,
            hundred_percent)));
    }
    for (const auto& end : item.ended)
    {
        if (body["ended"].size() >= max_ends)
        {
            break;
        }
        auto& row = body["ended"].append(Json::arrayValue);
        row.append(static_cast<Json::UInt64>(end.number));
        row.append(end.run.first);
        row.append(end.run.second);
        row.append(end.how);
        row.append(end.saved);
    }
    return reply(item, status_ok, std::move(body));
}

std::string fleet::save(milliseconds progress)
{
    auto text = hex("%016llx", ++next_checkpoint_);
    checkpoints_[text] = progress;
    return text;
}

void fleet::end(worker& item, const run_key& run, const std::string& how)
{
    const auto found = item.active.find(run);
    const auto saved = found->second.saved;
    item.active.erase(found);
    auto& highest = item.highest_attempt[run.first];
    highest = std::max(highest, run.second);
    item.ended.push_back(
        {++item.last_end, run, how, how == "done" ? "" : saved});
    log_.write(item.id,
               "ends " + run.first + " attempt " + std::to_string(run.second) +
                   " " + how);
}

void fleet::advance(worker& item)
{
    const auto now = monotonic_now();
    std::vector<std::pair<run_key, std::string>> ends;
    for (auto& [run, state] : item.active)
    {
        const auto worked = state.done_before + (now - state.since);
        if (clock_of(item) > item.lease_until)
        {
            ends.emplace_back(run, "lapsed");
        }
        else if (state.stops_at && now >= *state.stops_at)
        {
            ends.emplace_back(run, "stopped");
        }
        else if (!state.stops_at && !state.work.lasts &&
                 worked >= state.work.time)
        {
            ends.emplace_back(run, "done");
        }
        const auto known = checkpoints_.find(state.saved);
        const auto last =
            known == checkpoints_.end() ? state.done_before : known->second;
        if (state.work.saves && worked - last >= settings_.checkpoint_interval)
        {
            state.saved = save(worked);
        }
    }
    for (const auto& [run, how] : ends)
    {
        end(item, run, how);
    }
}

void fleet::tick()
{
    const auto now = monotonic_now();
    for (const auto& item : workers_)
    {
        if (item->dark_since && item->registered &&
            now - *item->dark_since >= entry_lifetime)
        {
            item->registered = false;
            rows_.remove("servers", item->id);
        }
        advance(*item);
    }
    if (now >= next_beat_)
    {
        next_beat_ = now + beat_interval;
        for (const auto& item : workers_)
        {
            if (!item->dark_since)
            {
                announce(*item);
            }
        }
    }
    for (auto call = waiting_.begin(); call != waiting_.end();)
    {
        if (now < call->deadline && call->at->ended.empty())
        {
            ++call;
            continue;
        }
        call->respond(lists(*call->at));
        call = waiting_.erase(call);
    }
}

void fleet::expect(const std::string& job, const room& need)
{
    needs_[job] = need;
}

int fleet::running(const std::string& job) const
{
    int count = 0;
    for (const auto& item : workers_)
    {
        for (const auto& [run, state] : item->active)
        {
            const auto name = parse_task_name(run.first);
            count += name && name->job == job ? 1 : 0;
        }
    }
    return count;
}

int fleet::starts(const std::string& job) const
{
    const auto found = starts_.find(job);
    return found == starts_.end() ? 0 : found->second;
}

room fleet::used_on(const worker& item) const
{
    room used;
    for (const auto& [run, state] : item.active)
    {
        const auto name = parse_task_name(run.first);
        const auto need = needs_.find(name->job);
        if (need != needs_.end())
        {
            used.cpu += need->second.cpu;
            used.memory += need->second.memory;
            used.gpus += need->second.gpus;
        }
    }
    return used;
}

int fleet::free_places(const room& need) const
{
    const auto fitting = [](std::int64_t free, std::int64_t one)
    {
        return one > 0 ? free / one : free;
    };
    std::int64_t places = 0;
    for (const auto& item : workers_)
    {
        const auto used = used_on(*item);
        places += std::min(
            {fitting(settings_.capacity.cpu - used.cpu, need.cpu),
             fitting(settings_.capacity.memory - used.memory, need.memory),
             need.gpus > 0 ? (settings_.capacity.gpus - used.gpus) / need.gpus
                           : settings_.capacity.cpu});
    }
    return static_cast<int>(places);
}

double fleet::share_in_use() const
{
    const auto cores_of = [](const room& part)
    {
        constexpr std::int64_t millis_per_gpu = 8000;
        return part.cpu + millis_per_gpu * part.gpus;
    };
    std::int64_t used = 0;
    for (const auto& item : workers_)
    {
        used += cores_of(used_on(*item));
    }
    return static_cast<double>(used) /
           static_cast<double>(cores_of(settings_.capacity) *
                               settings_.workers);
}

} // namespace poplarramp::review
