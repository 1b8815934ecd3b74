#include "standin/task_registry.hpp"

#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp::standin
{

namespace
{

// Limit of the recorded starts, and of the states of acknowledged tasks.
constexpr std::size_t max_retained_entries = 20000;
constexpr int full_speed_percent = 100;

task_reply make_refusal(result_code code, std::string reason, task_state state)
{
    return {{code, std::move(reason)}, state};
}

task_reply unknown_task(const std::string& id)
{
    return make_refusal(
        result_code::unknown_task, "no task " + id, task_state::expired);
}

} // namespace

task_registry::task_registry(usage capacity,
                             timers& clock,
                             std::function<void()> on_event)
    : capacity_(capacity), clock_(clock), on_event_(std::move(on_event))
{
}

task_registry::task_script task_registry::parse_script(const task& item)
{
    task_script script;
    script.answer = "ran " + job_id(item.parent_job.request);
    failure why;
    const auto json = parse_json(item.parent_job.request.payload, why);
    if (!json || !json->isObject())
    {
        return script;
    }
    std::uint64_t answer_bytes = 0;
    json_reader reader(*json, "", why);
    reader.read("run_ms", script.run)
        .read("answer", script.answer)
        .read("answer_bytes", answer_bytes)
        .read("fail", script.fail);
    if (answer_bytes > 0)
    {
        script.answer.assign(answer_bytes, 'a');
    }
    return script;
}

bool task_registry::is_active(const task_record& record)
{
    return record.status.state == task_state::prepared ||
           record.status.state == task_state::running;
}

std::optional<task_reply>
task_registry::recorded_reply(const std::string& id) const
{
    const auto record = tasks_.find(id);
    if (record != tasks_.end())
    {
        return task_reply{{}, record->second.status.state};
    }
    const auto ended = ended_states_.find(id);
    if (ended != ended_states_.end())
    {
        return task_reply{{}, ended->second};
    }
    return std::nullopt;
}

usage task_registry::in_use() const
{
    usage total;
    for (const auto& [id, record] : tasks_)
    {
        if (is_active(record))
        {
            total.accelerators += record.status.item.accelerators;
            ++total.slots;
        }
    }
    return total;
}

failure task_registry::check_capacity(const task& item) const
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

task_registry::task_record& task_registry::add(const task& item,
                                               task_state state)
{
    auto& record = tasks_[item.id];
    record.status.item = item;
    record.status.state = state;
    return record;
}

task_reply task_registry::prepare(const task& item, time_point commit_deadline)
{
    if (const auto reply = recorded_reply(item.id))
    {
        return *reply;
    }
    if (auto error = check_capacity(item))
    {
        return {std::move(error), task_state::expired};
    }
    auto& record = add(item, task_state::prepared);
    schedule_end(record, commit_deadline);
    return {{}, task_state::prepared};
}

task_reply task_registry::commit(const std::string& id)
{
    const auto record = tasks_.find(id);
    if (record == tasks_.end())
    {
        const auto ended = recorded_reply(id);
        return ended ? *ended : unknown_task(id);
    }
    const auto state = record->second.status.state;
    if (state == task_state::expired)
    {
        return make_refusal(
            result_code::wrong_state, "the commit deadline has passed", state);
    }
    if (state == task_state::prepared)
    {
        run(record->second);
    }
    return {{}, record->second.status.state};
}

task_reply task_registry::start(const task& item)
{
    if (const auto reply = recorded_reply(item.id))
    {
        return *reply;
    }
    if (auto error = check_capacity(item))
    {
        return {std::move(error), task_state::expired};
    }
    run(add(item, task_state::prepared));
    return {{}, task_state::running};
}

void task_registry::run(task_record& record)
{
    const auto& item = record.status.item;
    record.status.state = task_state::running;
    if (item.member == 0)
    {
        ++runs_[job_id(item.parent_job.request)];
    }
    starts_.push_back({item.id, monotonic_now()});
    if (starts_.size() > max_retained_entries)
    {
        starts_.pop_front();
    }
    const auto run_time =
        fail_tasks_ ? milliseconds(0) : parse_script(item).run;
    schedule_end(record, monotonic_now() + run_time);
}

std::uint64_t task_registry::next_timer_id()
{
    return ++last_timer_id_;
}

void task_registry::schedule_end(task_record& record, time_point when)
{
    record.ends = when;
    record.timer_id = next_timer_id();
    if (when == no_deadline)
    {
        return;
    }
    clock_.at(when,
              [this, id = record.status.item.id, timer_id = record.timer_id]
              {
                  const auto found = tasks_.find(id);
                  if (found != tasks_.end() &&
                      found->second.timer_id == timer_id)
                  {
                      finish(found->second);
                  }
              });
}

void task_registry::finish(task_record& record)
{
    if (record.status.state == task_state::prepared)
    {
        end(record, task_state::expired, "no commit by the deadline");
        return;
    }
    if (record.status.checkpoint)
    {
        end(record, task_state::stopped, "stopped after a checkpoint");
        return;
    }
    const auto script = parse_script(record.status.item);
    if (fail_tasks_ || script.fail)
    {
        end(record,
            task_state::failed,
            script.fail ? "the payload asks to fail"
                        : "this backend server fails every task");
        return;
    }
    record.status.answer = script.answer;
    end(record, task_state::finished, "");
}

void task_registry::end(task_record& record,
                        task_state state,
                        std::string reason)
{
    record.status.state = state;
    record.status.reason = std::move(reason);
    record.timer_id = next_timer_id();
    record.end_sequence = ++last_sequence_;
    const auto& status = record.status;
    events_.push_back({record.end_sequence,
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
        const auto ended = recorded_reply(id);
        return ended ? *ended : unknown_task(id);
    }
    auto& record = found->second;
    const auto& parent_job = record.status.item.parent_job;
    if (!is_active(record) || record.status.checkpoint)
    {
        // A stop without checkpoint overrides a checkpoint in progress.
        if (is_active(record) && !checkpoint && parent_job.can_stop)
        {
            record.status.checkpoint = false;
            end(record, task_state::stopped, "stopped before the checkpoint");
        }
        return {{}, record.status.state};
    }
    if (record.status.state == task_state::running && checkpoint &&
        parent_job.can_checkpoint)
    {
        const auto saved = monotonic_now() + parent_job.checkpoint_time;
        // No checkpoint if the task ends before it would be complete.
        if (record.ends > saved)
        {
            record.status.checkpoint = true;
            schedule_end(record, saved);
        }
        return {{}, task_state::running};
    }
    if (record.status.state == task_state::running && !parent_job.can_stop)
    {
        return make_refusal(result_code::wrong_state,
                            "the task can not be stopped",
                            task_state::running);
    }
    end(record, task_state::stopped, "stopped on request");
    return {{}, task_state::stopped};
}

task_reply task_registry::throttle(const std::string& id, int percent)
{
    const auto found = tasks_.find(id);
    if (found == tasks_.end())
    {
        return unknown_task(id);
    }
    auto& record = found->second;
    if (record.status.state != task_state::running || record.status.checkpoint)
    {
        return make_refusal(result_code::wrong_state,
                            "the task is not running",
                            record.status.state);
    }
    percent = std::clamp(percent, 1, full_speed_percent);
    const auto now = monotonic_now();
    const auto remaining = record.ends - now;
    schedule_end(record, now + remaining * record.percent / percent);
    record.percent = percent;
    return {{}, task_state::running};
}

void task_registry::stop_orphans()
{
    for (auto& [id, record] : tasks_)
    {
        if (is_active(record) && record.status.item.parent_job.can_stop)
        {
            record.status.checkpoint = false;
            end(record, task_state::stopped, "no scheduler claimed the server");
        }
    }
}

void task_registry::acknowledge(std::uint64_t sequence)
{
    while (!events_.empty() && events_.front().sequence <= sequence)
    {
        const auto found = tasks_.find(events_.front().task_id);
        if (found != tasks_.end() &&
            found->second.end_sequence == events_.front().sequence)
        {
            retain_ended_state(found->first, found->second.status.state);
            tasks_.erase(found);
        }
        events_.pop_front();
    }
}

void task_registry::retain_ended_state(const std::string& id, task_state state)
{
    ended_states_[id] = state;
    ended_order_.push_back(id);
    if (ended_order_.size() > max_retained_entries)
    {
        ended_states_.erase(ended_order_.front());
        ended_order_.pop_front();
    }
}

std::vector<task_status> task_registry::statuses() const
{
    std::vector<task_status> list;
    for (const auto& [id, record] : tasks_)
    {
        list.push_back(record.status);
    }
    return list;
}

void task_registry::clear_tasks()
{
    tasks_.clear();
    ended_states_.clear();
    ended_order_.clear();
    events_.clear();
}

} // namespace poplarramp::standin
