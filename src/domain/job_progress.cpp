#include "domain/job_progress.hpp"

#include "domain/progress_codec.hpp"
#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace poplarramp
{

namespace
{

// A longer checkpoint is not kept: with 1,000 tasks, a repetition would outgrow
// a transaction of 1 MB. The usual ones have 16 characters.
constexpr std::size_t max_checkpoint_bytes = 512;

Json::Value repetition_to_json(const repetition_progress& repetition)
{
    Json::Value steps(Json::arrayValue);
    for (const auto& step : repetition.steps)
    {
        steps.append(to_json(step));
    }
    return steps;
}

bool is_repetition(const Json::Value& number)
{
    return number.isInt() && number.asInt() >= 0 &&
           number.asInt() < max_repetitions;
}

} // namespace

bool step_progress::done() const
{
    return std::all_of(tasks.begin(),
                       tasks.end(),
                       [](const task_progress& task) { return task.done; });
}

bool repetition_progress::done() const
{
    return std::all_of(steps.begin(),
                       steps.end(),
                       [](const step_progress& step) { return step.done(); });
}

job_progress::job_progress(step_job job) : job_(std::move(job))
{
    const auto& policy = job_.policy;
    deadline_unix_ms_ =
        job_.accepted_unix_ms + policy.latency_slack.count() +
        static_cast<std::int64_t>(
            policy.stretch *
            static_cast<double>(critical_path(job_.spec).count()));
}

const step_spec& job_progress::spec_of(int step) const
{
    return job_.spec.steps[static_cast<std::size_t>(step)];
}

repetition_progress& job_progress::open_repetition(int repetition)
{
    auto& opened = repetitions_[repetition];
    unopened_.erase(repetition);
    if (opened.steps.empty())
    {
        opened.steps.resize(job_.spec.steps.size());
        for (std::size_t i = 0; i < opened.steps.size(); ++i)
        {
            opened.steps[i].tasks.resize(
                static_cast<std::size_t>(job_.spec.steps[i].tasks));
        }
    }
    opened_count_ = std::max(opened_count_, repetition + 1);
    return opened;
}

std::size_t job_progress::tasks_per_repetition() const
{
    std::size_t tasks = 0;
    for (const auto& step : job_.spec.steps)
    {
        tasks += static_cast<std::size_t>(step.tasks);
    }
    return tasks;
}

std::optional<std::int64_t> job_progress::next_due() const
{
    const auto& spec = job_.spec;
    if (!unopened_.empty())
    {
        return spec.first_due_unix_ms;
    }
    // Not periodic: the steps run once, at once.
    if (spec.repetitions == 0)
    {
        return opened_count_ == 0 ? std::optional<std::int64_t>(0)
                                  : std::nullopt;
    }
    return opened_count_ < spec.repetitions
               ? std::optional(spec.first_due_unix_ms +
                               opened_count_ * spec.interval.count())
               : std::nullopt;
}

std::optional<std::int64_t>
job_progress::open_due_repetitions(std::int64_t now_unix_ms,
                                   std::size_t max_open)
{
    auto due = next_due();
    while (due && *due <= now_unix_ms && repetitions_.size() < max_open)
    {
        open_repetition(unopened_.empty() ? opened_count_ : *unopened_.begin());
        due = next_due();
    }
    return due;
}

bool job_progress::dependencies_done(const repetition_progress& repetition,
                                     int step) const
{
    const auto& dependencies = spec_of(step).after;
    return std::all_of(
        dependencies.begin(),
        dependencies.end(),
        [&repetition](int earlier)
        { return repetition.steps[static_cast<std::size_t>(earlier)].done(); });
}

// True if the gang has failed as often as it may, should the attempts whose
// ends are not listed yet have failed too.
bool job_progress::may_have_failed(const step_spec& spec,
                                   const step_progress& step) const
{
    const auto& failures = step.gang_failures;
    return !spec.long_running &&
           failures.count() + step.unlisted.attempts_besides(failures) >=
               job_.policy.max_attempts;
}

std::vector<int> job_progress::ready_tasks(int repetition, int step) const
{
    const auto found = repetitions_.find(repetition);
    if (found == repetitions_.end() || is_final(state()) ||
        !dependencies_done(found->second, step))
    {
        return {};
    }
    const auto& progress = found->second.steps[static_cast<std::size_t>(step)];
    const auto& tasks = progress.tasks;
    std::vector<int> result;
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        if (!tasks[i].done && !tasks[i].server)
        {
            result.push_back(static_cast<int>(i));
        }
    }
    // A gang is placed as a whole or not at all.
    if (spec_of(step).gang && (result.size() < tasks.size() ||
                               may_have_failed(spec_of(step), progress)))
    {
        return {};
    }
    return result;
}

int job_progress::next_attempt(int repetition,
                               int step,
                               const std::vector<int>& tasks) const
{
    const auto& all =
        repetitions_.at(repetition).steps[static_cast<std::size_t>(step)].tasks;
    int highest = 0;
    for (const int index : tasks)
    {
        highest =
            std::max(highest, all[static_cast<std::size_t>(index)].attempt);
    }
    return highest + 1;
}

server_use job_progress::required_use(const task_name& name) const
{
    if (!spec_of(name.step).gang)
    {
        return task(name)->crashes.required_use();
    }
    auto use = server_use::shared;
    for (const auto& member : repetitions_.at(name.repetition)
                                  .steps[static_cast<std::size_t>(name.step)]
                                  .tasks)
    {
        use = std::max(use, member.crashes.required_use());
    }
    return use;
}

void job_progress::place(const run_id& run,
                         const server_incarnation& server,
                         server_use use)
{
    auto* task = mutable_task(run.task);
    task->server = server;
    task->attempt = run.attempt;
    task->use = use;
    mark_changed(run.task.repetition);
    step_of(run.task).empty_servers_until = {};
}

bool job_progress::confirm_start()
{
    return !std::exchange(started_, true);
}

bool job_progress::record_loss(const run_id& run,
                               loss_role role,
                               bool sole_cause)
{
    auto* task = mutable_task(run.task);
    if (task == nullptr || task->done || !task->server ||
        task->attempt != run.attempt)
    {
        return false;
    }
    // Others may have joined the run once it was seen at work.
    const bool kept_apart = task->use == server_use::exclusive ||
                            (task->use == server_use::exclusive_at_start &&
                             role == loss_role::at_start);
    const bool alone = sole_cause && kept_apart;
    may_have_losses_ = true;
    mark_changed(run.task.repetition);
    task->crashes.add({*task->server, role, alone});
    failed_ = failed_ || task->crashes.is_conclusive();
    return true;
}

bool job_progress::withdraw_losses(const server_incarnation& server)
{
    bool withdrawn = false;
    for (auto& [number, repetition] : repetitions_)
    {
        for (auto& step : repetition.steps)
        {
            for (auto& task : step.tasks)
            {
                if (task.crashes.withdraw(server))
                {
                    withdrawn = true;
                    mark_changed(number);
                }
            }
        }
    }
    return withdrawn;
}

bool job_progress::clear_losses(const task_name& name)
{
    auto* task = mutable_task(name);
    if (task == nullptr || task->crashes.losses().empty())
    {
        return false;
    }
    task->crashes.clear();
    mark_changed(name.repetition);
    return true;
}

std::vector<server_incarnation> job_progress::lost_servers() const
{
    std::vector<server_incarnation> result;
    for (const auto& [number, repetition] : repetitions_)
    {
        for (const auto& step : repetition.steps)
        {
            for (const auto& task : step.tasks)
            {
                for (const auto& loss : task.crashes.losses())
                {
                    result.push_back(loss.server);
                }
            }
        }
    }
    return result;
}

bool job_progress::remove_placement(const run_id& run,
                                    const std::string& checkpoint)
{
    auto* task = mutable_task(run.task);
    if (task == nullptr)
    {
        return false;
    }
    if (step_of(run.task).unlisted.remove(run.task.index, run.attempt))
    {
        mark_changed(run.task.repetition);
        return true;
    }
    if (task_of_placed(run) == nullptr)
    {
        return false;
    }
    save_checkpoint(run, checkpoint);
    task->server.reset();
    mark_changed(run.task.repetition);
    return true;
}

void job_progress::await_end(const run_id& run)
{
    auto* task = mutable_task(run.task);
    step_of(run.task).unlisted.add(
        {run.task.index, run.attempt, *task->server});
    task->server.reset();
    mark_changed(run.task.repetition);
}

end_effect job_progress::record_end(const run_id& run,
                                    run_outcome outcome,
                                    const std::string& checkpoint)
{
    end_effect effect;
    auto* task = mutable_task(run.task);
    if (task == nullptr || task->done)
    {
        return effect;
    }
    const bool is_current_run = task_of_placed(run) != nullptr;
    const bool was_awaited =
        step_of(run.task).unlisted.remove(run.task.index, run.attempt);
    // Of an earlier attempt, success completes the task, and a failure that was
    // not counted uses up one of its attempts. A long-running step is never
    // complete, and its failures do not count.
    const bool counts_late = !spec_of(run.task.step).long_running &&
                             (outcome == run_outcome::done ||
                              (outcome == run_outcome::failed &&
                               !failures_of(run.task).contains(run.attempt)));
    if (!is_current_run && !was_awaited && !counts_late)
    {
        return effect;
    }
    effect.applied = true;
    started_ = started_ || outcome != run_outcome::gang_incomplete;
    mark_changed(run.task.repetition);
    if (is_current_run)
    {
        task->server.reset();
    }
    if (outcome == run_outcome::failed)
    {
        effect.late_failure = !is_current_run;
        effect.job_failed = count_failure(run);
        return effect;
    }
    if (outcome == run_outcome::done && !spec_of(run.task.step).long_running)
    {
        effect.completed = true;
        complete(run);
        return effect;
    }
    if (is_current_run)
    {
        save_checkpoint(run, checkpoint);
    }
    return effect;
}

bool job_progress::count_failure(const run_id& run)
{
    // A long-running step runs until the job is cancelled: its failures are not
    // counted, so that they never fail the job.
    if (spec_of(run.task.step).long_running)
    {
        return false;
    }
    auto& failures = failures_of(run.task);
    failures.add(run.attempt);
    if (failures.count() < job_.policy.max_attempts || is_final(state()))
    {
        return false;
    }
    failed_ = true;
    return true;
}

// Precondition: the repetition of the task is open.
failed_attempts& job_progress::failures_of(const task_name& name)
{
    auto& step = step_of(name);
    return spec_of(name.step).gang
               ? step.gang_failures
               : step.tasks[static_cast<std::size_t>(name.index)].failures;
}

void job_progress::complete(const run_id& run)
{
    auto& step = step_of(run.task);
    // The successful end of one gang member completes the whole gang.
    if (spec_of(run.task.step).gang)
    {
        for (auto& task : step.tasks)
        {
            task.done = true;
            task.server.reset();
        }
        step.unlisted = {};
    }
    else
    {
        auto& task = step.tasks[static_cast<std::size_t>(run.task.index)];
        task.done = true;
        task.server.reset();
    }
    close_repetition_if_done(run.task.repetition);
}

void job_progress::close_repetition_if_done(int repetition)
{
    if (repetitions_.at(repetition).done())
    {
        ++completed_count_;
        repetitions_.erase(repetition);
        changed_.erase(repetition);
        contained_.erase(repetition);
    }
}

void job_progress::on_document_taken(int repetition)
{
    changed_.erase(repetition);
    contained_.erase(repetition);
}

void job_progress::on_document_not_stored(int repetition)
{
    mark_changed(repetition);
    if (was_contained_ && repetitions_.contains(repetition))
    {
        contained_.insert(repetition);
    }
}

void job_progress::mark_changed(int repetition)
{
    if (repetitions_.contains(repetition))
    {
        changed_.insert(repetition);
    }
}

void job_progress::record_preemption(const task_name& name)
{
    if (auto* task = mutable_task(name))
    {
        task->stopped_for_others = true;
    }
}

void job_progress::save_checkpoint(const run_id& run,
                                   const std::string& checkpoint)
{
    auto* task = mutable_task(run.task);
    if (task == nullptr || checkpoint.empty() ||
        checkpoint.size() > max_checkpoint_bytes)
    {
        return;
    }
    mark_changed(run.task.repetition);
    if (!spec_of(run.task.step).gang)
    {
        task->checkpoint = checkpoint;
        return;
    }
    // The members of a gang share one checkpoint.
    for (auto& other : step_of(run.task).tasks)
    {
        other.checkpoint = checkpoint;
    }
}

task_progress* job_progress::mutable_task(const task_name& name)
{
    return const_cast<task_progress*>(std::as_const(*this).task(name));
}

const task_progress* job_progress::task(const task_name& name) const
{
    const auto found = repetitions_.find(name.repetition);
    if (name.job != job_.id || found == repetitions_.end() || name.step < 0 ||
        static_cast<std::size_t>(name.step) >= found->second.steps.size())
    {
        return nullptr;
    }
    const auto& tasks =
        found->second.steps[static_cast<std::size_t>(name.step)].tasks;
    const auto index = static_cast<std::size_t>(name.index);
    return name.index >= 0 && index < tasks.size() ? &tasks[index] : nullptr;
}

const task_progress* job_progress::task_of_placed(const run_id& run) const
{
    const auto* found = task(run.task);
    return found != nullptr && found->server && found->attempt == run.attempt
               ? found
               : nullptr;
}

step_progress& job_progress::step_of(const task_name& name)
{
    return repetitions_.at(name.repetition)
        .steps[static_cast<std::size_t>(name.step)];
}

std::vector<std::pair<run_id, server_incarnation>>
job_progress::placed_runs() const
{
    std::vector<std::pair<run_id, server_incarnation>> result;
    for (const auto& [number, repetition] : repetitions_)
    {
        const auto part = placed_runs(number);
        result.insert(result.end(), part.begin(), part.end());
    }
    return result;
}

std::vector<std::pair<run_id, server_incarnation>>
job_progress::placed_runs(int repetition) const
{
    std::vector<std::pair<run_id, server_incarnation>> result;
    const auto found = repetitions_.find(repetition);
    if (found == repetitions_.end())
    {
        return result;
    }
    const auto& steps = found->second.steps;
    for (std::size_t step = 0; step < steps.size(); ++step)
    {
        const auto& tasks = steps[step].tasks;
        for (std::size_t i = 0; i < tasks.size(); ++i)
        {
            if (tasks[i].server)
            {
                result.push_back({{{job_.id,
                                    repetition,
                                    static_cast<int>(step),
                                    static_cast<int>(i)},
                                   tasks[i].attempt},
                                  *tasks[i].server});
            }
        }
    }
    return result;
}

std::vector<std::pair<run_id, server_incarnation>>
job_progress::awaited_runs() const
{
    std::vector<std::pair<run_id, server_incarnation>> result;
    for (const auto& [number, repetition] : repetitions_)
    {
        for (std::size_t step = 0; step < repetition.steps.size(); ++step)
        {
            for (const auto& end : repetition.steps[step].unlisted.all())
            {
                result.push_back(
                    {{{job_.id, number, static_cast<int>(step), end.task},
                      end.attempt},
                     end.server});
            }
        }
    }
    return result;
}

std::vector<run_id> job_progress::members(const run_id& run) const
{
    if (task(run.task) == nullptr || !spec_of(run.task.step).gang)
    {
        return {run};
    }
    auto result = placed_runs_of_gang(run.task);
    std::erase_if(result,
                  [&run](const run_id& other)
                  { return other.attempt != run.attempt; });
    return result;
}

std::vector<run_id> job_progress::other_attempts(const run_id& run) const
{
    const auto* found = task(run.task);
    if (found == nullptr)
    {
        return {};
    }
    std::vector<run_id> result;
    if (spec_of(run.task.step).gang)
    {
        result = placed_runs_of_gang(run.task);
    }
    else if (found->server)
    {
        result.push_back({run.task, found->attempt});
    }
    std::erase_if(result,
                  [&run](const run_id& other)
                  { return other.attempt == run.attempt; });
    return result;
}

// Precondition: the repetition of the task is open.
std::vector<run_id>
job_progress::placed_runs_of_gang(const task_name& member) const
{
    std::vector<run_id> result;
    const auto& tasks = repetitions_.at(member.repetition)
                            .steps[static_cast<std::size_t>(member.step)]
                            .tasks;
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        if (tasks[i].server)
        {
            auto name = member;
            name.index = static_cast<int>(i);
            result.push_back({name, tasks[i].attempt});
        }
    }
    return result;
}

void job_progress::cancel()
{
    cancelled_ = true;
}

step_job_state job_progress::state() const
{
    if (failed_)
    {
        return step_job_state::failed;
    }
    // 0 repetitions: not periodic, so the steps run once.
    if (completed_count_ >= std::max(1, job_.spec.repetitions))
    {
        return step_job_state::completed;
    }
    if (cancelled_)
    {
        return step_job_state::cancelled;
    }
    return started_ ? step_job_state::running : step_job_state::queued;
}

std::string job_progress::to_text() const
{
    Json::Value json(Json::objectValue);
    for (const auto& [number, repetition] : repetitions_)
    {
        if (has_repetition_documents() && !contained_.contains(number))
        {
            json["running"].append(number);
        }
        else
        {
            json["open"][std::to_string(number)] =
                repetition_to_json(repetition);
        }
    }
    for (const int number : unopened_)
    {
        json["running"].append(number);
    }
    json["opened"] = opened_count_;
    json["completed"] = completed_count_;
    json["started"] = started_;
    json["failed"] = failed_;
    json["cancelled"] = cancelled_;
    return json_text(json);
}

std::string job_progress::repetition_text(int repetition) const
{
    return json_text(repetition_to_json(repetitions_.at(repetition)));
}

bool job_progress::read(const std::string& text, failure& why)
{
    const auto json = parse_json(text, why);
    if (!json)
    {
        return false;
    }
    json_reader reader(*json, "progress", why);
    int opened = 0;
    reader.read("opened", opened)
        .read("completed", completed_count_)
        .read("started", started_)
        .read("failed", failed_)
        .read("cancelled", cancelled_);
    if (!reader.good() || !read_open_repetitions(*json, why))
    {
        return false;
    }
    opened_count_ = std::max(opened_count_, opened);
    return true;
}

// An earlier form of the row of a recurring job also has its repetitions in
// "open".
bool job_progress::read_open_repetitions(const Json::Value& json, failure& why)
{
    const auto& contained = json["open"];
    for (const auto& key : contained.isObject() ? contained.getMemberNames()
                                                : Json::Value::Members{})
    {
        int number = 0;
        const auto* end = key.data() + key.size();
        const auto parsed = std::from_chars(key.data(), end, number);
        if (parsed.ec != std::errc{} || parsed.ptr != end ||
            !read_repetition(number, contained[key]))
        {
            why = {result_code::bad_request,
                   "repetition " + key + " cannot be decoded"};
            return false;
        }
        mark_changed(number);
        if (has_repetition_documents())
        {
            was_contained_ = true;
            contained_.insert(number);
        }
    }
    for (const auto& number : json["running"])
    {
        if (!is_repetition(number))
        {
            why = {result_code::bad_request,
                   "the open repetitions cannot be decoded"};
            return false;
        }
        unopened_.insert(number.asInt());
    }
    return true;
}

bool job_progress::read_repetition_text(int repetition,
                                        const std::string& text,
                                        failure& why)
{
    if (!unopened_.contains(repetition))
    {
        return true;
    }
    const auto json = parse_json(text, why);
    if (json && read_repetition(repetition, *json))
    {
        return true;
    }
    why = {result_code::bad_request,
           "repetition " + std::to_string(repetition) + " cannot be decoded"};
    return false;
}

bool job_progress::read_repetition(int number, const Json::Value& json)
{
    if (number < 0 || number >= max_repetitions || !json.isArray() ||
        json.size() != job_.spec.steps.size())
    {
        return false;
    }
    auto& repetition = open_repetition(number);
    for (Json::ArrayIndex i = 0; i < json.size(); ++i)
    {
        if (!json[i].isObject() || !read_step(json[i], repetition.steps[i]))
        {
            return false;
        }
        may_have_losses_ = may_have_losses_ || has_losses(json[i]);
    }
    return true;
}

} // namespace poplarramp
