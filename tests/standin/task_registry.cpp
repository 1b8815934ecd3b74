#include "standin/task_registry.hpp"

#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp::standin
{

namespace
{

constexpr std::size_t max_remembered = 20000;
constexpr int full_speed = 100;

task_reply refused(result_code code, std::string reason, task_state state)
{
    return {{code, std::move(reason)}, state};
}

task_reply unknown_task(const std::string& id)
{
    return refused(
        result_code::unknown_task, "no task " + id, task_state::expired);
}

} // namespace

task_registry::task_registry(usage capacity,
                             timers& clock,
                             std::function<void()> on_event)
    : capacity_(capacity), clock_(clock), on_event_(std::move(on_event))
{
}

task_registry::script task_registry::script_of(const task& item)
{
    script plan;
    plan.answer = "ran " + job_id(item.owner.request);
    failure why;
    const auto json = parse_json(item.owner.request.payload, why);
    if (!json || !json->isObject())
    {
        return plan;
    }
    std::uint64_t answer_bytes = 0;
    json_reader reader(*json, "", why);
    reader.read("run_ms", plan.run)
        .read("answer", plan.answer)
        .read("answer_bytes", answer_bytes)
        .read("fail", plan.fail);
    if (answer_bytes > 0)
    {
        plan.answer.assign(answer_bytes, 'a');
    }
    return plan;
}

bool task_registry::is_active(const known_task& known)
{
    return known.status.state == task_state::prepared ||
           known.status.state == task_state::running;
}

std::optional<task_reply>
task_registry::known_reply(const std::string& id) const
{
    const auto known = tasks_.find(id);
    if (known != tasks_.end())
    {
        return task_reply{{}, known->second.status.state};
    }
    const auto ended = ended_.find(id);
    if (ended != ended_.end())
    {
        return task_reply{{}, ended->second};
    }
    return std::nullopt;
}

usage task_registry::in_use() const
{
    usage total;
    for (const auto& [id, known] : tasks_)
    {
        if (is_active(known))
        {
            total.accelerators += known.status.item.accelerators;
            ++total.slots;
        }
    }
    return total;
}

failure task_registry::room_for(const task& item) const
{
    const auto used = in_use();
    if (used.slots >= capacity_.slots)
    {
        return {result_code::server_full, "no free slot"};
    }
    if (used.accelerators + item.accelerators > capacity_.accelerators)
    {
        return {result_code::server_full,
                std::to_string(capacity_.accelerators - used.accelerators) +
                    " accelerators free"};
    }
    return {};
}

task_registry::known_task& task_registry::add(const task& item,
                                              task_state state)
{
    auto& known = tasks_[item.id];
    known.status.item = item;
    known.status.state = state;
    return known;
}

task_reply task_registry::prepare(const task& item, time_point commit_deadline)
{
    if (const auto known = known_reply(item.id))
    {
        return *known;
    }
    if (auto full = room_for(item))
    {
        return {std::move(full), task_state::expired};
    }
    auto& known = add(item, task_state::prepared);
    plan_end(known, commit_deadline);
    return {{}, task_state::prepared};
}

task_reply task_registry::commit(const std::string& id)
{
    const auto known = tasks_.find(id);
    if (known == tasks_.end())
    {
        const auto ended = known_reply(id);
        return ended ? *ended : unknown_task(id);
    }
    const auto state = known->second.status.state;
    if (state == task_state::expired)
    {
        return refused(
            result_code::wrong_state, "the commit deadline has passed", state);
    }
    if (state == task_state::prepared)
    {
        run(known->second);
    }
    return {{}, known->second.status.state};
}

task_reply task_registry::start(const task& item)
{
    if (const auto known = known_reply(item.id))
    {
        return *known;
    }
    if (auto full = room_for(item))
    {
        return {std::move(full), task_state::expired};
    }
    run(add(item, task_state::prepared));
    return {{}, task_state::running};
}

void task_registry::run(known_task& known)
{
    const auto& item = known.status.item;
    known.status.state = task_state::running;
    if (item.member == 0)
    {
        ++runs_[job_id(item.owner.request)];
    }
    starts_.push_back({item.id, monotonic_now()});
    if (starts_.size() > max_remembered)
    {
        starts_.pop_front();
    }
    const auto length = fail_tasks_ ? milliseconds(0) : script_of(item).run;
    plan_end(known, monotonic_now() + length);
}

std::uint64_t task_registry::next_plan()
{
    return ++last_plan_;
}

void task_registry::plan_end(known_task& known, time_point when)
{
    known.ends = when;
    known.plan = next_plan();
    if (when == no_deadline)
    {
        return;
    }
    clock_.at(when,
              [this, id = known.status.item.id, plan = known.plan]
              {
                  const auto found = tasks_.find(id);
                  if (found != tasks_.end() && found->second.plan == plan)
                  {
                      finish(found->second);
                  }
              });
}

void task_registry::finish(known_task& known)
{
    if (known.status.state == task_state::prepared)
    {
        end(known, task_state::expired, "no commit by the deadline");
        return;
    }
    if (known.status.checkpoint)
    {
        end(known, task_state::stopped, "stopped after a checkpoint");
        return;
    }
    const auto plan = script_of(known.status.item);
    if (fail_tasks_ || plan.fail)
    {
        end(known,
            task_state::failed,
            plan.fail ? "failure requested by the payload"
                      : "failure injected on this backend server");
        return;
    }
    known.status.answer = plan.answer;
    end(known, task_state::finished, "");
}

void task_registry::end(known_task& known, task_state state, std::string reason)
{
    known.status.state = state;
    known.status.reason = std::move(reason);
    known.plan = next_plan();
    known.ended_by = ++last_sequence_;
    const auto& status = known.status;
    events_.push_back({known.ended_by,
                       status.item.id,
                       state,
                       status.checkpoint,
                       status.reason,
                       status.answer,
                       status.answer_object});
    on_event_();
}

task_reply task_registry::stop(const std::string& id, bool checkpoint)
{
    const auto found = tasks_.find(id);
    if (found == tasks_.end())
    {
        const auto ended = known_reply(id);
        return ended ? *ended : unknown_task(id);
    }
    auto& known = found->second;
    const auto& owner = known.status.item.owner;
    if (!is_active(known) || known.status.checkpoint)
    {
        // A stop without checkpoint overrides a checkpoint in progress.
        if (is_active(known) && !checkpoint && owner.can_stop)
        {
            known.status.checkpoint = false;
            end(known, task_state::stopped, "stopped before the checkpoint");
        }
        return {{}, known.status.state};
    }
    if (known.status.state == task_state::running && checkpoint &&
        owner.can_checkpoint)
    {
        const auto saved = monotonic_now() + owner.checkpoint_time;
        // No checkpoint if the task ends before it would be complete.
        if (known.ends > saved)
        {
            known.status.checkpoint = true;
            plan_end(known, saved);
        }
        return {{}, task_state::running};
    }
    if (known.status.state == task_state::running && !owner.can_stop)
    {
        return refused(result_code::wrong_state,
                       "the task cannot be stopped",
                       task_state::running);
    }
    end(known, task_state::stopped, "stopped on request");
    return {{}, task_state::stopped};
}

task_reply task_registry::throttle(const std::string& id, int percent)
{
    const auto found = tasks_.find(id);
    if (found == tasks_.end())
    {
        return unknown_task(id);
    }
    auto& known = found->second;
    if (known.status.state != task_state::running || known.status.checkpoint)
    {
        return refused(result_code::wrong_state,
                       "the task is not running",
                       known.status.state);
    }
    percent = std::clamp(percent, 1, full_speed);
    const auto now = monotonic_now();
    const auto left = known.ends - now;
    plan_end(known, now + left * known.percent / percent);
    known.percent = percent;
    return {{}, task_state::running};
}

void task_registry::stop_orphans()
{
    for (auto& [id, known] : tasks_)
    {
        if (is_active(known) && known.status.item.owner.can_stop)
        {
            known.status.checkpoint = false;
            end(known, task_state::stopped, "no scheduler claimed the server");
        }
    }
}

void task_registry::acknowledge(std::uint64_t sequence)
{
    while (!events_.empty() && events_.front().sequence <= sequence)
    {
        const auto found = tasks_.find(events_.front().task_id);
        if (found != tasks_.end() &&
            found->second.ended_by == events_.front().sequence)
        {
            remember(found->first, found->second.status.state);
            tasks_.erase(found);
        }
        events_.pop_front();
    }
}

void task_registry::remember(const std::string& id, task_state state)
{
    ended_[id] = state;
    ended_order_.push_back(id);
    if (ended_order_.size() > max_remembered)
    {
        ended_.erase(ended_order_.front());
        ended_order_.pop_front();
    }
}

std::vector<task_status> task_registry::statuses() const
{
    std::vector<task_status> list;
    for (const auto& [id, known] : tasks_)
    {
        list.push_back(known.status);
    }
    return list;
}

void task_registry::forget_all()
{
    tasks_.clear();
    ended_.clear();
    ended_order_.clear();
    events_.clear();
}

} // namespace poplarramp::standin
