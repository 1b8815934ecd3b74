#include "domain/planning_view.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace poplarramp
{

namespace
{

// No new task is placed on a server that has not replied for this long.
constexpr milliseconds max_contact_age{2000};

// How long a server is avoided after a failed run.
constexpr milliseconds failure_backoff{6000};

// How long a suspect waits for a server without runs. Then servers are used on
// which all runs were seen at work: a job must not wait for 3 s while there is
// room for it.
constexpr milliseconds empty_server_timeout{1000};

// Work since the last checkpoint that a run with checkpoints loses.
constexpr double checkpoint_loss_s = 0.6;

// Progress below this is too coarse to predict the end of a run.
constexpr int min_percent = 5;

constexpr double ms_per_s = 1000;
constexpr int hundred_percent = 100;

// What is free where no more tasks may be placed, although `free` is.
resources nothing_of(const resources& free)
{
    constexpr std::int64_t none = 0;
    return {std::min(none, free.cpu_millis),
            std::min(none, free.memory_mb),
            std::min(none, free.accelerators)};
}

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds(
        std::llround(static_cast<double>(time.count()) * factor));
}

// One attempt of a gang.
using gang_key = std::tuple<const job_progress*, int, int, int>;

class view_builder
{
public:
    explicit view_builder(const planning_records& records) : records_(records)
    {
        view_.input.now = records.now;
        view_.input.unix_now = records.unix_now;
        view_.input.weigh_value = records.weigh_value;
        view_.input.limit_overage = records.limit_overage;
    }

    planning_view build()
    {
        for (auto& [id, job] : records_.jobs)
        {
            add_waiting(job);
        }
        if (!view_.input.steps.empty())
        {
            for (const auto& [id, job] : records_.jobs)
            {
                jobs_.emplace(id, &job);
            }
            add_servers();
            count_existing_tasks();
        }
        return std::move(view_);
    }

private:
    std::size_t customer_index(const std::string& name)
    {
        const auto [item, added] =
            customers_.emplace(name, view_.input.customers.size());
        if (added)
        {
            const auto* customer = records_.deployment.customer(name);
            auto& use = view_.input.customers.emplace_back();
            if (customer != nullptr)
            {
                use.guaranteed = customer->guaranteed_accelerators;
                use.weight = customer->weight;
                use.limit = customer->limit;
            }
        }
        return item->second;
    }

    void add_waiting(job_progress& progress)
    {
        for (auto& [number, repetition] : progress.repetitions())
        {
            for (std::size_t i = 0; i < repetition.steps.size(); ++i)
            {
                const auto step = static_cast<int>(i);
                auto tasks = progress.ready_tasks(number, step);
                record_restart(
                    progress.spec_of(step), tasks, repetition.steps[i]);
                if (tasks.empty())
                {
                    continue;
                }
                auto& since = repetition.steps[i].ready_since;
                if (since == time_point{})
                {
                    since = records_.now;
                }
                add_tasks(progress,
                          {progress.job().id, number, step, 0},
                          std::move(tasks),
                          repetition.steps[i]);
            }
        }
    }

    void record_restart(const step_spec& spec,
                        const std::vector<int>& tasks,
                        step_progress& step) const
    {
        const bool has_run =
            spec.long_running &&
            std::any_of(tasks.begin(),
                        tasks.end(),
                        [&step](int index) {
                            return step.tasks
                                       .at(static_cast<std::size_t>(index))
                                       .attempt > 0;
                        });
        if (!has_run)
        {
            step.restart_since.reset();
        }
        else if (!step.restart_since)
        {
            step.restart_since = records_.now;
        }
    }

    // Moves the tasks that are to be kept apart out of `tasks`. The members of
    // a gang are kept apart together.
    static std::vector<int> take_suspects(const job_progress& progress,
                                          task_name name,
                                          std::vector<int>& tasks)
    {
        if (!progress.may_have_losses())
        {
            return {};
        }
        const auto is_suspect = [&progress, &name](int index)
        {
            name.index = index;
            return progress.required_use(name) != server_use::shared;
        };
        if (progress.spec_of(name.step).gang)
        {
            return is_suspect(tasks.front()) ? std::exchange(tasks, {})
                                             : std::vector<int>{};
        }
        const auto first_suspect = std::stable_partition(
            tasks.begin(),
            tasks.end(),
            [&is_suspect](int index) { return !is_suspect(index); });
        std::vector<int> suspects(first_suspect, tasks.end());
        tasks.erase(first_suspect, tasks.end());
        return suspects;
    }

    // Tasks that are to be kept apart are placed by themselves.
    void add_tasks(job_progress& progress,
                   const task_name& name,
                   std::vector<int> tasks,
                   step_progress& step)
    {
        auto suspects = take_suspects(progress, name, tasks);
        if (!tasks.empty())
        {
            add_step(progress, name, std::move(tasks), step, isolation::none);
        }
        if (suspects.empty())
        {
            return;
        }
        isolated_steps_wait_ = true;
        if (step.empty_servers_until == time_point{})
        {
            step.empty_servers_until = records_.now + empty_server_timeout;
        }
        add_step(progress,
                 name,
                 std::move(suspects),
                 step,
                 records_.now < step.empty_servers_until
                     ? isolation::empty_servers
                     : isolation::proven_servers);
    }

    void add_step(job_progress& progress,
                  const task_name& name,
                  std::vector<int> tasks,
                  const step_progress& step,
                  isolation isolated)
    {
        const auto& job = progress.job();
        waiting_step item;
        item.id = {job.id, name.repetition, name.step};
        item.request = request_for(progress, name.step);
        item.request.tasks = static_cast<int>(tasks.size());
        item.request.isolated = isolated;
        item.priority = job.policy.priority;
        item.customer = customer_index(job.customer);
        item.accepted_unix_ms = job.accepted_unix_ms;
        item.deadline_unix_ms = progress.deadline_unix_ms();
        item.request.tolerated_slowdown =
            tolerated_slowdown(job, item.deadline_unix_ms);
        item.beyond_rate =
            records_.rates != nullptr && records_.rates->beyond(job.id);
        item.ready_since = step.ready_since;
        item.restart_since = step.restart_since;
        view_.input.steps.push_back(std::move(item));
        view_.steps.push_back({&progress, std::move(tasks)});
    }

    // Factor on run times with which the job still meets its deadline. A job
    // that misses it in any case loses no more by slow servers, but is not to
    // occupy those that hardly advance.
    double tolerated_slowdown(const step_job& job,
                              std::int64_t deadline_unix_ms) const
    {
        const auto left =
            static_cast<double>(deadline_unix_ms - records_.unix_now);
        const auto work = static_cast<double>(critical_path(job.spec).count());
        return left > work && work > 0 ? left / work : job.policy.stretch;
    }

    placement_request request_for(const job_progress& progress, int step) const
    {
        const auto& job = progress.job();
        placement_request request;
        request.step = &progress.spec_of(step);
        request.service = job.service;
        request.remote_slowdown = records_.remote_slowdown;
        request.urgent = job.policy.priority == 0;
        if (const auto* queue = records_.deployment.queue(job.queue))
        {
            request.service = queue->service;
            request.regions = queue->regions;
        }
        const auto* customer = records_.deployment.customer(job.customer);
        if (customer != nullptr && request.regions.empty())
        {
            request.regions = customer->regions;
        }
        return request;
    }

    bool is_usable(const server_record& server) const
    {
        const auto& registration = server.registration;
        return server.registered && server.adopted && !registration.draining &&
               server.last_contact &&
               records_.now - *server.last_contact < max_contact_age &&
               records_.now >= server.placement_blocked_until &&
               !records_.deployment.evacuated(registration.zone) &&
               records_.deployment.is_active(registration.service);
    }

    void add_servers()
    {
        std::int64_t used = 0;
        std::int64_t all = 0;
        for (auto& [id, server] : records_.registry.all())
        {
            const auto free = server.free();
            all += server.registration.capacity.accelerators;
            used +=
                server.registration.capacity.accelerators - free.accelerators;
            const bool usable = is_usable(server);
            if (usable)
            {
                add_server(id, server, free);
            }
            for (const auto& [run, run_record] : server.runs)
            {
                if (!run_record.ended)
                {
                    add_run(server, run, run_record, usable);
                }
            }
        }
        view_.input.utilization =
            all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
    }

    void add_server(const std::string& id,
                    server_record& server,
                    const resources& free)
    {
        const auto& registration = server.registration;
        candidate_server item;
        item.id = id;
        const auto region = records_.regions.find(registration.zone);
        item.region = region == records_.regions.end() ? "" : region->second;
        item.rack = registration.rack;
        item.service = registration.service;
        item.labels = registration.labels;
        item.capacity = registration.capacity;
        item.slowdown = records_.speeds.slowdown(server.speed, records_.now);
        item.proven = !isolated_steps_wait_ || server.is_proven();
        item.free = server.keeps_others_out() ? nothing_of(free) : free;
        item.failures = records_.now - server.last_failure < failure_backoff
                            ? server.failures
                            : 0;
        view_.input.servers.push_back(std::move(item));
        view_.servers.push_back(&server);
    }

    // Adds the run to its group. Precondition: if its server is usable, that
    // server was added last.
    void add_run(const server_record& server,
                 const run_id& run,
                 const server_run& record,
                 bool usable)
    {
        const auto found = jobs_.find(run.task.job);
        const auto* job = found == jobs_.end() ? nullptr : found->second;
        const auto* task = job == nullptr ? nullptr : job->task_of_placed(run);
        const bool is_current = task != nullptr;
        const auto index = group_index(is_current ? job : nullptr, run, record);
        auto& group = view_.input.groups[index];
        view_.group_runs[index].push_back({&server.registration.id, &run});
        const auto used = server.used_by(record);
        charge(run, job, group);
        group.need = used;
        group.accelerators += used.accelerators;
        if (usable)
        {
            const auto last = view_.input.servers.size() - 1;
            group.servers.push_back(last);
            view_.input.servers[last].groups.push_back(index);
        }
        if (!is_current)
        {
            // It is stopped in any case, or its job is unknown.
            return;
        }
        const auto& spec = job->spec_of(run.task.step);
        group.priority = job->job().policy.priority;
        group.preemptible = !spec.long_running;
        group.job = {job->job().accepted_unix_ms, job->deadline_unix_ms()};
        group.estimate = spec.estimate;
        group.left_after_stop =
            std::max(group.left_after_stop, left_after_stop(spec, record));
        group.stopped_before = group.stopped_before || task->stopped_for_others;
        group.lost_core_seconds += lost_core_seconds(spec, record);
        group.expected_end =
            std::max(group.expected_end, expected_end(spec, server, record));
        if (group.priority == 0 && !group.stopping)
        {
            view_.input.customers[group.customer].used += used.accelerators;
        }
    }

    // Counts the run under the limit of its customer: every run counts that may
    // exist, whatever became of its task or job. A run of a job that was never
    // accepted here has no customer.
    void charge(const run_id& run, const job_progress* open, run_group& group)
    {
        const step_job* job = open == nullptr ? nullptr : &open->job();
        const job_record* record = nullptr;
        if (job == nullptr && records_.directory != nullptr)
        {
            record = records_.directory->find(run.task.job);
            job = record != nullptr && record->job ? &*record->job : nullptr;
        }
        if (job == nullptr)
        {
            return;
        }
        const auto charged = charged_for_run(*job, record, run);
        group.customer = customer_index(job->customer);
        group.charged += charged;
        view_.input.customers[group.customer].held += charged;
    }

    // Index of the group that the run belongs to, which is added if it is new.
    // `job` is null for a run that is not the current one of its task.
    std::size_t group_index(const job_progress* job,
                            const run_id& run,
                            const server_run& record)
    {
        const auto next = view_.input.groups.size();
        const bool stopping = record.lifecycle.phase == run_phase::stopping;
        if (job != nullptr && !stopping && job->spec_of(run.task.step).gang)
        {
            const auto [item, added] = gangs_.emplace(
                gang_key{job, run.task.repetition, run.task.step, run.attempt},
                next);
            if (!added)
            {
                return item->second;
            }
        }
        view_.input.groups.emplace_back();
        view_.group_runs.emplace_back();
        auto& group = view_.input.groups.back();
        group.stopping = stopping;
        group.preemptible = false;
        group.priority = std::numeric_limits<int>::max();
        return next;
    }

    double lost_core_seconds(const step_spec& spec,
                             const server_run& record) const
    {
        if (record.lifecycle.phase == run_phase::placing)
        {
            return 0;
        }
        // A new leader does not know when a run started, only its progress.
        const auto elapsed =
            static_cast<double>((records_.now - record.started_at).count()) /
            ms_per_s;
        const auto worked = static_cast<double>(spec.estimate.count()) /
                            ms_per_s * record.percent / hundred_percent;
        const double seconds =
            spec.checkpoints ? checkpoint_loss_s : std::max(elapsed, worked);
        return seconds * spec.need.equivalent_cores();
    }

    time_point expected_end(const step_spec& spec,
                            const server_record& server,
                            const server_run& record) const
    {
        if (spec.long_running)
        {
            return time_point::max();
        }
        const auto listed_after = record.listed_at - record.started_at;
        if (record.percent < min_percent || listed_after <= milliseconds(0))
        {
            const double slowdown =
                records_.speeds.slowdown(server.speed, records_.now);
            return std::max(records_.now,
                            record.started_at +
                                scaled(spec.estimate, slowdown));
        }
        return record.listed_at + listed_after *
                                      (hundred_percent - record.percent) /
                                      record.percent;
    }

    // Run time of a new start of the task.
    static milliseconds left_after_stop(const step_spec& spec,
                                        const server_run& record)
    {
        return spec.checkpoints
                   ? spec.estimate * (hundred_percent - record.percent) /
                         hundred_percent
                   : spec.estimate;
    }

    // A step with a limit of tasks per server has to know its own.
    void count_existing_tasks()
    {
        std::unordered_map<std::string_view, std::size_t> index;
        for (std::size_t i = 0; i < view_.input.steps.size(); ++i)
        {
            auto& step = view_.input.steps[i];
            if (step.request.step->max_per_server <= 0)
            {
                continue;
            }
            if (index.empty())
            {
                for (std::size_t k = 0; k < view_.input.servers.size(); ++k)
                {
                    index.emplace(view_.input.servers[k].id, k);
                }
            }
            auto& existing = step.request.existing_tasks;
            existing.assign(view_.input.servers.size(), 0);
            const auto& tasks =
                view_.steps[i]
                    .job->repetitions()
                    .at(step.id.repetition)
                    .steps[static_cast<std::size_t>(step.id.step)]
                    .tasks;
            for (const auto& task : tasks)
            {
                const auto found =
                    task.server ? index.find(task.server->id) : index.end();
                if (found != index.end())
                {
                    ++existing[found->second];
                }
            }
        }
    }

    const planning_records& records_;
    planning_view view_;
    std::unordered_map<std::string_view, const job_progress*> jobs_;
    std::unordered_map<std::string, std::size_t> customers_;
    std::map<gang_key, std::size_t> gangs_;
    bool isolated_steps_wait_ = false;
};

} // namespace

placed_runs planning_view::runs_of(const std::vector<std::size_t>& groups) const
{
    placed_runs result;
    for (const auto group : groups)
    {
        for (const auto& item : group_runs[group])
        {
            result.emplace_back(*item.server, *item.run);
        }
    }
    return result;
}

resources charged_for_run(const step_job& job,
                          const job_record* record,
                          const run_id& run)
{
    const auto step = static_cast<std::size_t>(run.task.step);
    if (step < job.spec.steps.size())
    {
        return charged_for_task(job.spec.steps[step]);
    }
    return record != nullptr ? record->largest_need : resources{};
}

planning_view make_planning_view(const planning_records& records)
{
    return view_builder(records).build();
}

} // namespace poplarramp
