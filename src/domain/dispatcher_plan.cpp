// Planning: orders the waiting steps and places their tasks.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// No new task is placed on a server that has not replied for this long.
constexpr milliseconds max_contact_age{2000};

// How long a server is avoided after a failed run.
constexpr milliseconds failure_backoff{6000};

// How long a task waits for servers near its data, or a gang for a single rack,
// while less than `busy_utilization` of the accelerators is in use. Above that
// it waits longer, since a task placed elsewhere takes several times as long.
constexpr milliseconds locality_timeout{1200};
constexpr double busy_utilization = 0.5;

// How long servers are kept free after the arrival of an urgent job.
constexpr milliseconds headroom_retention{10000};

} // namespace

void dispatcher::plan()
{
    auto steps = waiting_steps();
    if (steps.empty() || !has_recent_state())
    {
        return;
    }
    auto servers = candidates();
    plan_cache_ = {};
    plan_cache_.utilization = utilization();
    keep_headroom(servers);
    for (const auto& item : steps)
    {
        exclude_reservations(item, servers, false);
        const bool placed = place_waiting(item, servers);
        if (!placed)
        {
            reserve_and_preempt(item, servers);
        }
        exclude_reservations(item, servers, true);
        if (placed)
        {
            reservations_.erase(
                {item.job->job().id, item.repetition, item.step});
        }
    }
}

std::map<std::string, std::int64_t>
dispatcher::count_urgent_accelerators() const
{
    std::map<std::string, std::int64_t> use;
    for (const auto& [id, server] : registry_.all())
    {
        for (const auto& [run, run_record] : server.runs)
        {
            const auto job = open_jobs_.find(run.task.job);
            if (job != open_jobs_.end() &&
                job->second.job().policy.priority == 0)
            {
                use[job->second.job().customer] += run_record.need.accelerators;
            }
        }
    }
    return use;
}

void dispatcher::add_waiting(job_progress& progress,
                             std::vector<waiting_step>& steps)
{
    const auto& job = progress.job();
    progress.open_due_repetitions(hooks_.unix_now());
    for (auto& [number, repetition] : progress.repetitions())
    {
        for (std::size_t i = 0; i < repetition.steps.size(); ++i)
        {
            waiting_step item;
            item.job = &progress;
            item.repetition = number;
            item.step = static_cast<int>(i);
            item.tasks = progress.ready_tasks(number, item.step);
            if (item.tasks.empty())
            {
                continue;
            }
            auto& since = repetition.steps[i].ready_since;
            if (since == time_point{})
            {
                since = hooks_.now();
            }
            const auto& policy = job.policy;
            item.deadline_unix_ms =
                job.accepted_unix_ms + policy.latency_slack.count() +
                static_cast<std::int64_t>(
                    policy.stretch *
                    static_cast<double>(critical_path(job.spec).count()));
            item.misses_deadline =
                hooks_.unix_now() +
                    progress.spec_of(item.step).estimate.count() >
                item.deadline_unix_ms;
            steps.push_back(std::move(item));
        }
    }
}

std::vector<dispatcher::waiting_step> dispatcher::waiting_steps()
{
    std::vector<waiting_step> steps;
    for (auto& [id, job] : open_jobs_)
    {
        add_waiting(job, steps);
    }
    urgent_accelerators_ = count_urgent_accelerators();
    for (auto& item : steps)
    {
        const auto& job = item.job->job();
        const auto* customer = deployment_.customer(job.customer);
        const auto need = static_cast<std::int64_t>(item.tasks.size()) *
                          item.job->spec_of(item.step).need.accelerators;
        item.in_guarantee = job.policy.priority == 0 && customer != nullptr &&
                            urgent_accelerators_[job.customer] + need <=
                                customer->guaranteed_accelerators;
    }
    std::sort(steps.begin(),
              steps.end(),
              [](const waiting_step& a, const waiting_step& b)
              {
                  const auto rank = [](const waiting_step& item)
                  {
                      return std::tuple(item.job->job().policy.priority,
                                        !item.in_guarantee,
                                        item.misses_deadline,
                                        item.deadline_unix_ms,
                                        item.job->job().id,
                                        item.repetition,
                                        item.step);
                  };
                  return rank(a) < rank(b);
              });
    return steps;
}

std::vector<candidate_server> dispatcher::candidates() const
{
    const auto now = hooks_.now();
    std::vector<candidate_server> result;
    for (const auto& [id, server] : registry_.all())
    {
        const auto& registration = server.registration;
        const bool usable = server.registered && server.adopted &&
                            !registration.draining && server.last_contact &&
                            now - *server.last_contact < max_contact_age &&
                            now >= server.placement_blocked_until &&
                            !deployment_.evacuated(registration.zone) &&
                            deployment_.is_active(registration.service);
        if (!usable)
        {
            continue;
        }
        candidate_server item;
        item.id = id;
        const auto region = settings_.regions.find(registration.zone);
        item.region = region == settings_.regions.end() ? "" : region->second;
        item.rack = registration.rack;
        item.service = registration.service;
        item.labels = registration.labels;
        item.capacity = registration.capacity;
        item.free = server.free();
        item.failures =
            now - server.last_failure < failure_backoff ? server.failures : 0;
        result.push_back(std::move(item));
    }
    return result;
}

placement_request dispatcher::request_for(const waiting_step& item) const
{
    const auto& job = item.job->job();
    placement_request request;
    request.step = &item.job->spec_of(item.step);
    request.service = job.service;
    request.tasks = static_cast<int>(item.tasks.size());
    request.remote_slowdown = settings_.remote_slowdown;
    request.urgent = job.policy.priority == 0;
    if (const auto* queue = deployment_.queue(job.queue))
    {
        request.service = queue->service;
        request.regions = queue->regions;
    }
    const auto* customer = deployment_.customer(job.customer);
    if (customer != nullptr && request.regions.empty())
    {
        request.regions = customer->regions;
    }
    return request;
}

bool dispatcher::place_waiting(const waiting_step& item,
                               std::vector<candidate_server>& servers)
{
    auto request = request_for(item);
    if (request.step->max_per_server > 0)
    {
        for (const auto& server : servers)
        {
            int existing_tasks = 0;
            for (const auto& [run, run_record] :
                 registry_.record_of(server.id).runs)
            {
                existing_tasks +=
                    run.task.job == item.job->job().id &&
                            run.task.repetition == item.repetition &&
                            run.task.step == item.step
                        ? 1
                        : 0;
            }
            request.existing_tasks.push_back(existing_tasks);
        }
    }
    const bool has_reservation = reservations_.contains(
        {item.job->job().id, item.repetition, item.step});
    auto* memo = has_reservation ? nullptr : &plan_cache_.free_capacity;
    auto result = search(request, servers, memo);
    const auto& since = item.job->repetitions()
                            .at(item.repetition)
                            .steps[static_cast<std::size_t>(item.step)]
                            .ready_since;
    const bool allow_remote = hooks_.now() - since >= locality_timeout &&
                              plan_cache_.utilization < busy_utilization;
    if (!result && (allow_remote || !fits_empty_servers(request, servers)))
    {
        request.max_slowdown =
            request.remote_slowdown * request.remote_slowdown;
        result = search(request, servers, memo);
    }
    if (!result)
    {
        return false;
    }
    place(item, *result, servers);
    return result->tasks == request.tasks;
}

std::optional<placement_result>
dispatcher::search(const placement_request& request,
                   const std::vector<candidate_server>& servers,
                   fit_cache* memo)
{
    // Tasks that are not a gang may be placed in part.
    auto min_request = request;
    min_request.tasks = request.step->gang ? request.tasks : 1;
    if (memo != nullptr && memo->fits(min_request) == false)
    {
        return std::nullopt;
    }
    auto result = place_step(request, servers);
    if (memo != nullptr && (!result || result->tasks < request.tasks))
    {
        memo->record(min_request, false);
    }
    return result;
}

bool dispatcher::fits_empty_servers(
    const placement_request& request,
    const std::vector<candidate_server>& servers)
{
    const auto known = plan_cache_.empty_servers.fits(request);
    if (known)
    {
        return *known;
    }
    const bool fits = can_ever_fit(request, servers);
    plan_cache_.empty_servers.record(request, fits);
    return fits;
}

void dispatcher::place(const waiting_step& item,
                       const placement_result& result,
                       std::vector<candidate_server>& servers)
{
    const auto& job = item.job->job();
    const auto& spec = item.job->spec_of(item.step);
    const int attempt =
        item.job->next_attempt(item.repetition, item.step, item.tasks);
    auto next = item.tasks.begin();
    for (const auto& part : result.parts)
    {
        auto& candidate = servers[part.server];
        auto& server = registry_.at(candidate.id);
        for (int i = 0; i < part.count; ++i)
        {
            const run_id run{{job.id, item.repetition, item.step, *next++},
                             attempt};
            item.job->place(run,
                            {candidate.id, server.registration.incarnation});
            server_run run_record;
            run_record.need = spec.need;
            if (spec.best_effort)
            {
                run_record.need.cpu_millis = 0;
            }
            candidate.free -= run_record.need;
            server.runs[run] = run_record;
        }
    }
    if (job.policy.priority == 0)
    {
        urgent_accelerators_[job.customer] +=
            result.tasks * spec.need.accelerators;
    }
    log_line(log_level::info,
             "sched",
             "Tasks are placed.",
             {{"job", job.id},
              {"step", std::to_string(item.step)},
              {"repetition", std::to_string(item.repetition)},
              {"tasks", std::to_string(result.tasks)},
              {"of", std::to_string(item.tasks.size())},
              {"attempt", std::to_string(attempt)},
              {"servers", std::to_string(result.parts.size())},
              {"slowness", std::to_string(result.slowdown)},
              {"in_guarantee", item.in_guarantee ? "true" : "false"},
              {"config", std::to_string(deployment_.version())}});
    mark_dirty(job.id);
}

// Preemption for an urgent job loses work and takes time. While urgent jobs
// keep arriving, keeping one server per rack free costs less.
void dispatcher::keep_headroom(std::vector<candidate_server>& servers) const
{
    const auto now = hooks_.now();
    if (!urgent_arrival_ || now - *urgent_arrival_ > headroom_retention ||
        plan_cache_.utilization < busy_utilization)
    {
        return;
    }
    std::map<std::string, candidate_server*> emptiest;
    for (auto& server : servers)
    {
        auto& best = emptiest[server.rack];
        if (best == nullptr ||
            server.free.accelerators > best->free.accelerators)
        {
            best = &server;
        }
    }
    for (const auto& [rack, server] : emptiest)
    {
        server->reserved_for_urgent = true;
    }
}

double dispatcher::utilization() const
{
    std::int64_t used = 0;
    std::int64_t all = 0;
    for (const auto& [id, server] : registry_.all())
    {
        all += server.registration.capacity.accelerators;
        used += server.registration.capacity.accelerators -
                server.free().accelerators;
    }
    return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
}

} // namespace poplarramp
