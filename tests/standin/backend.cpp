#include "standin/backend.hpp"

#include "http/json_reply.hpp"
#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <random>
#include <sstream>
#include <utility>

namespace poplarramp::standin
{

namespace
{

// Upper bound for the requested duration of a poll.
constexpr milliseconds max_poll_duration{60000};

std::string new_incarnation()
{
    std::random_device random;
    std::ostringstream text;
    text << std::hex << random() << random();
    return text.str();
}

lease_token parse_token(const Json::Value& body, failure& why)
{
    lease_token token;
    json_reader reader(body, "", why);
    reader.read("owner", token.owner)
        .read("incarnation", token.incarnation)
        .read("epoch", token.epoch);
    return token;
}

http_response task_response(const task_reply& reply)
{
    Json::Value fields;
    fields["state"] = std::string(name_of(reply.state));
    return json_response(reply.error, fields);
}

} // namespace

backend::backend(backend_settings settings,
                 const clock_mapping& wall,
                 timers& clock)
    : settings_(std::move(settings)), wall_(wall), clock_(clock),
      lease_(new_incarnation()),
      tasks_({settings_.accelerators, settings_.slots},
             clock,
             [this] { complete_poll({}); })
{
}

void backend::handle(const http_request& request,
                     const respond_function& respond)
{
    if (request.method == "GET")
    {
        respond(handle_get(request));
        return;
    }
    if (request.target == "/v1/restart")
    {
        respond(restart());
        return;
    }
    failure why;
    const auto body = parse_json(request.body, why);
    if (!body)
    {
        respond(json_response(why));
        return;
    }
    if (request.target == "/v1/claim")
    {
        respond(claim(*body));
        return;
    }
    if (request.target == "/v1/renew")
    {
        renew(*body, respond);
        return;
    }
    respond(handle_fenced_call(request.target, *body));
    record_usage();
}

http_response backend::handle_get(const http_request& request)
{
    if (request.target == "/v1/runs")
    {
        return runs();
    }
    if (request.target == "/v1/usage")
    {
        return usage_report();
    }
    return json_response({result_code::not_found, "no GET " + request.target});
}

http_response backend::claim(const Json::Value& body)
{
    failure why;
    std::string owner;
    milliseconds duration{0};
    json_reader reader(body, "", why);
    reader.read("owner", owner).read("lease_ms", duration);
    if (!why && (owner.empty() || duration.count() <= 0))
    {
        why = {result_code::bad_request, "owner or lease_ms is missing"};
    }
    if (!why)
    {
        why = lease_.claim(owner, duration, monotonic_now());
    }
    if (why)
    {
        return json_response(why);
    }
    complete_poll({result_code::stale_epoch, "the server was claimed again"});
    schedule_orphan_stop();
    delivered_sequence_ = 0;
    reported_leaving_ = faults_.leaving;
    Json::Value fields;
    fields["incarnation"] = lease_.token().incarnation;
    fields["epoch"] = static_cast<Json::UInt64>(lease_.token().epoch);
    fields["rack"] = settings_.rack;
    fields["accelerators"] = settings_.accelerators;
    fields["slots"] = settings_.slots;
    fields["leaving"] = faults_.leaving;
    fields["tasks"] = Json::Value(Json::arrayValue);
    for (const auto& status : tasks_.statuses())
    {
        fields["tasks"].append(to_json(status, wall_));
    }
    return json_response({}, fields);
}

void backend::renew(const Json::Value& body, const respond_function& respond)
{
    failure why;
    std::uint64_t acknowledged = 0;
    milliseconds wait{0};
    const auto token = parse_token(body, why);
    json_reader reader(body, "", why);
    reader.read("acknowledged", acknowledged).read("wait_ms", wait);
    if (!why)
    {
        why = lease_.renew(token, monotonic_now());
    }
    if (why)
    {
        respond(json_response(why));
        return;
    }
    schedule_orphan_stop();
    // A new poll completes the previous one.
    complete_poll({});
    tasks_.acknowledge(acknowledged);
    poll_ = {respond, ++last_poll_};
    if (has_updates() || wait.count() <= 0)
    {
        complete_poll({});
        return;
    }
    clock_.after(std::min(wait, max_poll_duration),
                 [this, number = poll_.number]
                 {
                     if (poll_.number == number)
                     {
                         complete_poll({});
                     }
                 });
}

void backend::complete_poll(const failure& error)
{
    record_usage();
    if (!poll_.respond)
    {
        return;
    }
    const auto respond = std::exchange(poll_.respond, nullptr);
    respond(error ? json_response(error) : make_poll_reply());
}

// Unacknowledged events are sent again only when a poll times out. Immediate
// replies would make a scheduler that cannot acknowledge, because the table is
// unavailable, poll in a busy loop.
bool backend::has_updates() const
{
    const auto& events = tasks_.events();
    return faults_.leaving != reported_leaving_ ||
           (!events.empty() && events.back().sequence > delivered_sequence_);
}

http_response backend::make_poll_reply()
{
    reported_leaving_ = faults_.leaving;
    if (!tasks_.events().empty())
    {
        delivered_sequence_ = tasks_.events().back().sequence;
    }
    Json::Value fields;
    fields["leaving"] = faults_.leaving;
    fields["events"] = Json::Value(Json::arrayValue);
    for (const auto& event : tasks_.events())
    {
        fields["events"].append(to_json(event));
    }
    return json_response({}, fields);
}

http_response backend::handle_fenced_call(const std::string& target,
                                          const Json::Value& body)
{
    failure why;
    const auto token = parse_token(body, why);
    if (!why)
    {
        why = lease_.check(token, monotonic_now());
    }
    if (why)
    {
        return json_response(why);
    }
    if (target == "/v1/release")
    {
        return release(token);
    }
    const auto reply = handle_task_call(target, body, why);
    return why ? json_response(why) : task_response(reply);
}

task_reply backend::handle_task_call(const std::string& target,
                                     const Json::Value& body,
                                     failure& why)
{
    std::string id;
    bool checkpoint = false;
    int percent = 100;
    time_point commit_deadline = no_deadline;
    json_reader reader(body, "", why);
    reader.read("task_id", id)
        .read("checkpoint", checkpoint)
        .read("percent", percent)
        .read("commit_deadline", commit_deadline, wall_);
    if (target == "/v1/prepare" || target == "/v1/start")
    {
        const auto item = task_from_json(body["task"], wall_, why);
        if (!item || why)
        {
            return {};
        }
        return target == "/v1/start" ? tasks_.start(*item)
                                     : tasks_.prepare(*item, commit_deadline);
    }
    if (target == "/v1/commit")
    {
        return tasks_.commit(id);
    }
    if (target == "/v1/stop")
    {
        return tasks_.stop(id, checkpoint);
    }
    if (target == "/v1/throttle")
    {
        return tasks_.throttle(id, percent);
    }
    why = {result_code::not_found, "no POST " + target};
    return {};
}

http_response backend::release(const lease_token& token)
{
    const auto error = lease_.release(token, monotonic_now());
    schedule_orphan_stop();
    complete_poll({result_code::stale_epoch, "the server lease was released"});
    return json_response(error);
}

http_response backend::restart()
{
    complete_poll({result_code::stale_epoch, "the server restarts"});
    lease_ = server_lease(new_incarnation());
    tasks_.clear_tasks();
    ++restarts_;
    return json_response({});
}

http_response backend::runs() const
{
    Json::Value fields;
    fields["runs"] = Json::Value(Json::objectValue);
    for (const auto& [job, count] : tasks_.runs())
    {
        fields["runs"][job] = count;
    }
    fields["starts"] = Json::Value(Json::arrayValue);
    for (const auto& start : tasks_.starts())
    {
        Json::Value entry;
        entry["task_id"] = start.task_id;
        entry["unix_ms"] = static_cast<Json::Int64>(wall_.to_unix(start.when));
        fields["starts"].append(entry);
    }
    fields["restarts"] = restarts_;
    return json_response({}, fields);
}

void backend::record_usage()
{
    const auto used = tasks_.in_use();
    if (samples_.empty() || !(samples_.back().value == used))
    {
        samples_.push_back({monotonic_now(), used});
    }
    const auto visible = monotonic_now() - settings_.usage_lag;
    while (samples_.size() > 1 && samples_[1].since <= visible)
    {
        samples_.pop_front();
    }
}

http_response backend::usage_report()
{
    record_usage();
    const auto visible = monotonic_now() - settings_.usage_lag;
    const auto& oldest = samples_.front();
    const auto reported = oldest.since <= visible ? oldest.value : usage{};
    Json::Value fields;
    fields["accelerators"] = reported.accelerators;
    fields["slots"] = reported.slots;
    return json_response({}, fields);
}

void backend::schedule_orphan_stop()
{
    const auto expiry = lease_.expiry();
    clock_.at(expiry + settings_.orphan_timeout,
              [this, expiry]
              {
                  if (lease_.expiry() == expiry)
                  {
                      tasks_.stop_orphans();
                  }
              });
}

void backend::on_faults_changed()
{
    tasks_.set_fail_tasks(faults_.fail_tasks);
    complete_poll({});
}

} // namespace poplarramp::standin
