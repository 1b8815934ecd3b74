#include "review/standin/consumers.hpp"

#include "model/codec.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace poplarramp::review
{

namespace
{

constexpr int status_ok = 200;
constexpr milliseconds call_timeout{3000};
constexpr milliseconds retry_delay{500};

// LOST: for 3 s, with room twice over and under half of the capacity in use.
constexpr milliseconds lost_time{3000};
constexpr int room_factor = 2;
constexpr double half = 0.5;
constexpr milliseconds question_interval{1000};

// MIXED: `visible_ms` and 2 s.
constexpr milliseconds count_age{5000};

std::int64_t unix_now()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(wall).count();
}

std::string body_of(const job_order& order)
{
    Json::Value spec;
    spec["work_ms"] = static_cast<Json::Int64>(order.work.time.count());
    spec["saves"] = order.work.saves;
    spec["lasts"] = order.work.lasts;
    Json::Value step;
    step["task_count"] = order.tasks;
    step["cpu"] = static_cast<Json::Int64>(order.need.cpu);
    step["mem_mb"] = static_cast<Json::Int64>(order.need.memory);
    step["estimate_ms"] = static_cast<Json::Int64>(order.work.time.count());
    if (order.need.gpus > 0)
    {
        step["gpus"] = static_cast<Json::Int64>(order.need.gpus);
    }
    if (order.work.saves)
    {
        step["saves_progress"] = true;
    }
    if (order.work.lasts)
    {
        step["long_running"] = true;
    }
    if (order.gang)
    {
        step["gang"] = true;
    }
    Json::Value body;
    body["task_spec"] = json_text(spec);
    body["phases"].append(step);
    if (order.repetitions > 0)
    {
        body["repetitions"] = order.repetitions;
    }
    if (order.interval > milliseconds(0))
    {
        body["start_at_ms"] =
            static_cast<Json::Int64>(unix_now() + order.first_due.count());
        body["interval_ms"] = static_cast<Json::Int64>(order.interval.count());
    }
    return json_text(body);
}

http_request call_of(const job_order& order, const std::string& method)
{
    http_request request;
    request.method = method;
    request.host = "jobs.example";
    request.authorization = "Bearer key-of-tenant";
    request.target = "/q" + std::to_string(order.queue) + "/" + order.id;
    request.idempotent = method != "POST";
    return request;
}

} // namespace

Json::Value desired_state()
{
    constexpr int queues = 3;
    Json::Value state;
    state["config_version"] = 1;
    for (int i = 0; i < queues; ++i)
    {
        Json::Value route;
        route["name"] = "r" + std::to_string(i);
        route["hostname"] = "jobs.example";
        route["prefix"] = "/q" + std::to_string(i) + "/";
        route["route_type"] = "unsafe";
        route["timeout_ms"] = 3000;
        route["goal_ms"] = 3000;
        route["priority"] = i;
        route["backend"] = "svc";
        route["max_attempts"] = 3;
        route["stretch"] = 3.0;
        route["allow_anonymous"] = false;
        route["allowed_regions"] = Json::Value(Json::arrayValue);
        state["routes"].append(route);
    }
    Json::Value service;
    service["name"] = "svc";
    service["enforces_capacity"] = false;
    service["standby"] = false;
    state["services"].append(service);
    Json::Value tenant;
    tenant["name"] = "tenant";
    tenant["api_keys"].append("key-of-tenant");
    tenant["guaranteed"]["gpus"] = 72;
    tenant["allowed_regions"] = Json::Value(Json::arrayValue);
    state["tenants"].append(tenant);
    return state;
}

consumers::consumers(boost::asio::io_context& traffic,
                     boost::asio::io_context& control,
                     std::vector<std::string> fronts,
                     fleet& workers,
                     record& log)
    : client_(traffic, control), fronts_(std::move(fronts)), workers_(workers),
      log_(log)
{
}

void consumers::submit(const job_order& order)
{
    jobs_[order.id].order = order;
    workers_.expect(order.id, order.need);
    send(order.id, next_front_++);
}

void consumers::send(const std::string& id, std::size_t front)
{
    const auto& order = jobs_.at(id).order;
    auto request = call_of(order, "POST");
    request.body = body_of(order);
    const auto& address = fronts_[front % fronts_.size()];
    log_.write("consumer",
               "sends POST " + request.target + " to " + address + ": " +
                   std::to_string(order.tasks) + " tasks");
    client_.send_function()(
        address,
        std::move(request),
        monotonic_now() + call_timeout,
        [this, id, front](const http_reply& reply)
        {
            const bool ok = !reply.error && reply.response.status == status_ok;
            log_.write("consumer",
                       "POST of " + id + " is answered " +
                           (reply.error
                                ? reply.error.reason
                                : std::to_string(reply.response.status)));
            if (ok)
            {
                jobs_.at(id).accepted = monotonic_now();
            }
            else
            {
                actions_.emplace(monotonic_now() + retry_delay,
                                 [this, id, front] { send(id, front + 1); });
            }
        });
}

void consumers::ask_for_all()
{
    for (auto& [id, job] : jobs_)
    {
        if (!job.accepted)
        {
            continue;
        }
        client_.send_function()(
            fronts_[next_front_++ % fronts_.size()],
            call_of(job.order, "GET"),
            monotonic_now() + call_timeout,
            [this, id = id](const http_reply& reply)
            {
                failure why;
                const auto json = parse_json(reply.response.body, why);
                auto& state = jobs_.at(id).state;
                state = reply.error ? reply.error.reason
                        : json      ? (*json)["state"].asString()
                                    : "";
                auto line = "GET of " + id + " is answered " +
                            std::to_string(reply.response.status);
                line.append(" ").append(state);
                line += "; starts " + std::to_string(workers_.starts(id)) +
                        ", running " + std::to_string(workers_.running(id));
                log_.write("consumer", line);
            });
    }
}

std::vector<std::string> consumers::waiting_in(int queue, time_point when) const
{
    std::vector<std::string> waiting;
    for (const auto& [id, job] : jobs_)
    {
        if (job.order.queue == queue && job.accepted &&
            when - *job.accepted > count_age && workers_.starts(id) == 0)
        {
            waiting.push_back(id);
        }
    }
    return waiting;
}

void consumers::ask_for_pending(int queue)
{
    const auto waiting = waiting_in(queue, monotonic_now());
    for (const auto& front : fronts_)
    {
        job_order all;
        all.queue = queue;
        client_.send_function()(front,
                                call_of(all, "GET"),
                                monotonic_now() + call_timeout,
                                [this, front, waiting](const http_reply& reply)
                                { on_pending(front, waiting, reply); });
    }
}

// Only jobs that had not begun either when the answer came are counted.
void consumers::on_pending(const std::string& front,
                           const std::vector<std::string>& waiting,
                           const http_reply& reply)
{
    failure why;
    const auto json = parse_json(reply.response.body, why);
    if (reply.error || reply.response.status != status_ok || !json)
    {
        return;
    }
    const auto pending = (*json)["pending"].asInt64();
    const auto missing = std::count_if(waiting.begin(),
                                       waiting.end(),
                                       [this](const std::string& id)
                                       { return workers_.starts(id) == 0; });
    const bool wrong = 2 * pending < missing;
    wrong_counts_ += wrong ? 1 : 0;
    log_.write(wrong ? "check" : "consumer",
               "GET of the queue at " + front + " is answered pending " +
                   std::to_string(pending) + "; accepted over 5 s ago and " +
                   "not begun: " + std::to_string(missing) +
                   (wrong ? ": MIXED" : ""));
}

// The turn of a task has come if it was handed in, since the job has one step.
bool consumers::idle_with_room(const submitted& job) const
{
    const bool ended = job.state == "completed" || job.state == "failed" ||
                       job.state == "cancelled";
    return job.accepted && !ended && workers_.running(job.order.id) == 0 &&
           workers_.free_places(job.order.need) >=
               room_factor * job.order.tasks &&
           workers_.share_in_use() < half;
}

void consumers::check_lost(std::function<void(std::vector<std::string>)> done)
{
    constexpr milliseconds margin{500};
    checked_ = std::move(done);
    check_ends_ = monotonic_now() + lost_time + margin;
    lost_.clear();
    for (auto& [id, job] : jobs_)
    {
        job.idle_since = {};
    }
}

void consumers::tick()
{
    const auto now = monotonic_now();
    while (!actions_.empty() && actions_.begin()->first <= now)
    {
        const auto action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
    }
    if (!checked_)
    {
        return;
    }
    if (now >= next_question_)
    {
        next_question_ = now + question_interval;
        ask_for_all();
    }
    for (auto& [id, job] : jobs_)
    {
        if (!idle_with_room(job))
        {
            job.idle_since = {};
        }
        else if (job.idle_since == time_point{})
        {
            job.idle_since = now;
        }
        else if (now - job.idle_since >= lost_time &&
                 std::find(lost_.begin(), lost_.end(), id) == lost_.end())
        {
            lost_.push_back(id);
        }
    }
    if (now >= check_ends_)
    {
        std::exchange(checked_, nullptr)(lost_);
    }
}

std::size_t consumers::accepted() const
{
    return static_cast<std::size_t>(std::count_if(
        jobs_.begin(),
        jobs_.end(),
        [](const auto& item) { return item.second.accepted.has_value(); }));
}

} // namespace poplarramp::review
