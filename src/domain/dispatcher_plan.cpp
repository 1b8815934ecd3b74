// Planning: carries out the decisions of the planner.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"
#include "domain/open_work.hpp"

#include <utility>

namespace poplarramp
{

namespace
{

// Interval between the log lines about one step that cannot be placed.
constexpr milliseconds blocked_report_interval{30000};

} // namespace

void dispatcher::plan()
{
    open_due_repetitions();
    auto view = make_planning_view({hooks_.now(),
                                    hooks_.unix_now(),
                                    open_jobs_,
                                    registry_,
                                    deployment_,
                                    settings_.regions,
                                    settings_.remote_slowdown,
                                    speeds_,
                                    settings_.limit_overage,
                                    settings_.weigh_value,
                                    &jobs_,
                                    &rates_});
    if (view.input.steps.empty())
    {
        return;
    }
    const auto decisions = planner_.plan(std::move(view.input));
    // Stops may remove runs to which the view refers.
    std::vector<placed_runs> victims;
    for (const auto& item : decisions.preemptions)
    {
        victims.push_back(view.runs_of(item.groups));
    }
    for (const auto& item : decisions.placements)
    {
        place(view, item);
    }
    log_limited(view, decisions.limited);
    for (std::size_t i = 0; i < victims.size(); ++i)
    {
        preempt(view, decisions.preemptions[i], victims[i]);
    }
    report_blocked(decisions.blocked);
    if (decisions.incomplete)
    {
        request_plan();
    }
}

std::size_t dispatcher::open_tasks() const
{
    std::size_t tasks = 0;
    for (const auto& [id, job] : open_jobs_)
    {
        tasks += job.repetitions().size() * job.tasks_per_repetition();
    }
    return tasks;
}

void dispatcher::open_due_repetitions()
{
    auto waiting = open_due_work(open_jobs_,
                                 hooks_.unix_now(),
                                 max_open_tasks(settings_.memory_mb),
                                 [this](const job_progress& job)
                                 { return may_begin(job.job().id); });
    for (const auto& id : waiting)
    {
        if (!jobs_without_memory_.contains(id))
        {
            hooks_.count("jobs_without_memory", 1);
            log_line(log_level::info,
                     "sched",
                     "Tasks of a job wait, since the leader already holds the "
                     "state of as many as its memory allows.",
                     {{"job", id}});
        }
    }
    jobs_without_memory_ = std::move(waiting);
}

// Says why steps wait that no plan will place while the fleet is as it is.
void dispatcher::report_blocked(std::span<const blocked_step> blocked)
{
    const auto now = hooks_.now();
    std::erase_if(blocked_steps_,
                  [now](const auto& item) { return item.second <= now; });
    for (const auto& [id, reason] : blocked)
    {
        const bool is_new =
            blocked_steps_
                .try_emplace({id, reason}, now + blocked_report_interval)
                .second;
        if (!is_new)
        {
            continue;
        }
        log_line(log_level::warning,
                 "sched",
                 "Tasks cannot be placed.",
                 {{"job", id.job},
                  {"step", std::to_string(id.step)},
                  {"repetition", std::to_string(id.repetition)},
                  {"reason", std::string(name_of(reason))}});
        hooks_.count(reason == block_reason::exceeds_fleet
                         ? "blocked_by_fleet_size"
                         : "blocked_by_long_runs",
                     1);
    }
}

void dispatcher::place(const planning_view& view,
                       const planned_placement& decision)
{
    const auto& [progress, tasks] = view.steps[decision.step];
    const auto& [job_id, repetition, step] = decision.id;
    const auto& spec = progress->spec_of(step);
    const int attempt = progress->next_attempt(repetition, step, tasks);
    auto next = tasks.begin();
    for (const auto& part : decision.result.parts)
    {
        auto& server = *view.servers[part.server];
        for (int i = 0; i < part.count; ++i)
        {
            const run_id run{{job_id, repetition, step, *next++}, attempt};
            const auto use = decision.isolated
                                 ? progress->required_use(run.task)
                                 : server_use::shared;
            progress->place(
                run,
                {server.registration.id, server.registration.incarnation},
                use);
            server_run run_record;
            run_record.need = occupied_by_task(spec);
            run_record.use = use;
            server.runs[run] = run_record;
        }
    }
    log_line(log_level::info,
             "sched",
             "Tasks are placed.",
             {{"job", job_id},
              {"step", std::to_string(step)},
              {"repetition", std::to_string(repetition)},
              {"tasks", std::to_string(decision.result.tasks)},
              {"of", std::to_string(tasks.size())},
              {"attempt", std::to_string(attempt)},
              {"servers", std::to_string(decision.result.parts.size())},
              {"slowness",
               std::to_string(decision.result.remote_slowdown *
                              decision.result.server_slowdown)},
              {"in_guarantee", decision.in_guarantee ? "true" : "false"},
              {"isolated", decision.isolated ? "true" : "false"},
              {"config", std::to_string(deployment_.version())}});
    mark_dirty(job_id);
}

void dispatcher::preempt(const planning_view& view,
                         const planned_preemption& decision,
                         const placed_runs& victims)
{
    const auto& [progress, tasks] = view.steps[decision.step];
    const auto& job = progress->job();
    log_line(log_level::info,
             "sched",
             "Runs are stopped for a job.",
             {{"job", job.id},
              {"priority", std::to_string(job.policy.priority)},
              {"tasks", std::to_string(tasks.size())},
              {"victims", std::to_string(victims.size())},
              {"lost_core_seconds", std::to_string(decision.lost_core_seconds)},
              {"in_guarantee", decision.in_guarantee ? "true" : "false"}});
    hooks_.count("preemptions", static_cast<double>(victims.size()));
    for (const auto& [server, run] : victims)
    {
        const auto victim = open_jobs_.find(run.task.job);
        if (victim != open_jobs_.end())
        {
            victim->second.record_preemption(run.task);
        }
        request_stop(server, run, "a more urgent job needs the room");
    }
}

} // namespace poplarramp
