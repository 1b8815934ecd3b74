// Which waiting tasks are placed, and in which order.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// A server without a reply for this long gets no new task.
constexpr milliseconds placing_contact{2000};

// A server whose last run failed is avoided for this long, then tried again.
constexpr milliseconds failure_pause{6000};

// A task waits for servers near its data, or for one rack, this long while
// half of the capacity is idle, and longer while it is not: a task that runs
// elsewhere takes up several times as much.
constexpr milliseconds far_patience{1200};
constexpr double busy_share = 0.5;

// Servers are kept free this long after the last urgent job.
constexpr milliseconds headroom_time{10000};

} // namespace

void dispatcher::plan()
{
    auto steps = waiting_steps();
    if (steps.empty() || !fresh())
    {
        return;
    }
    auto servers = candidates();
    findings_ = {};
    findings_.share_in_use = share_in_use();
    keep_headroom(servers);
    for (const auto& item : steps)
    {
        withhold_claims(item, servers, false);
        const bool placed = place_waiting(item, servers);
        if (!placed)
        {
            make_room(item, servers);
        }
        withhold_claims(item, servers, true);
        if (placed)
        {
            claims_.erase({item.job->job().id, item.repetition, item.step});
        }
    }
}

std::map<std::string, std::int64_t> dispatcher::urgent_use() const
{
    std::map<std::string, std::int64_t> use;
    for (const auto& [id, server] : registry_.all())
    {
        for (const auto& [run, held] : server.runs)
        {
            const auto job = open_.find(run.task.job);
            if (job != open_.end() && job->second.job().policy.priority == 0)
            {
                use[job->second.job().customer] += held.need.accelerators;
            }
        }
    }
    return use;
}

void dispatcher::add_waiting(job_progress& job,
                             std::vector<waiting_step>& steps)
{
    const auto& known = job.job();
    job.open_due(hooks_.unix_now());
    for (auto& [number, repetition] : job.repetitions())
    {
        for (std::size_t i = 0; i < repetition.steps.size(); ++i)
        {
            waiting_step item;
            item.job = &job;
            item.repetition = number;
            item.step = static_cast<int>(i);
            item.tasks = job.waiting(number, item.step);
            if (item.tasks.empty())
            {
                continue;
            }
            auto& since = repetition.steps[i].turn_since;
            if (since == time_point{})
            {
                since = hooks_.now();
            }
            const auto& policy = known.policy;
            item.due_unix_ms =
                known.accepted_unix_ms + policy.latency_slack.count() +
                static_cast<std::int64_t>(
                    policy.stretch *
                    static_cast<double>(critical_path(known.spec).count()));
            item.late =
                hooks_.unix_now() + job.spec_of(item.step).estimate.count() >
                item.due_unix_ms;
            steps.push_back(std::move(item));
        }
    }
}

std::vector<dispatcher::waiting_step> dispatcher::waiting_steps()
{
    std::vector<waiting_step> steps;
    for (auto& [id, job] : open_)
    {
        add_waiting(job, steps);
    }
    urgent_ = urgent_use();
    for (auto& item : steps)
    {
        const auto& job = item.job->job();
        const auto* customer = deployment_.customer(job.customer);
        const auto need = static_cast<std::int64_t>(item.tasks.size()) *
                          item.job->spec_of(item.step).need.accelerators;
        item.in_guarantee =
            job.policy.priority == 0 && customer != nullptr &&
            urgent_[job.customer] + need <= customer->guaranteed_accelerators;
    }
    std::sort(steps.begin(),
              steps.end(),
              [](const waiting_step& a, const waiting_step& b)
              {
                  const auto rank = [](const waiting_step& item)
                  {
                      return std::tuple(item.job->job().policy.priority,
                                        !item.in_guarantee,
                                        item.late,
                                        item.due_unix_ms,
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
        const auto& entry = server.entry;
        const bool usable =
            server.registered && server.adopted && !entry.draining &&
            server.contact && now - *server.contact < placing_contact &&
            now >= server.closed_until && !deployment_.evacuated(entry.zone) &&
            deployment_.runs(entry.service);
        if (!usable)
        {
            continue;
        }
        candidate_server item;
        item.id = id;
        const auto region = settings_.regions.find(entry.zone);
        item.region = region == settings_.regions.end() ? "" : region->second;
        item.rack = entry.rack;
        item.service = entry.service;
        item.labels = entry.labels;
        item.capacity = entry.capacity;
        item.free = server.free();
        item.failures =
            now - server.last_failure < failure_pause ? server.failures : 0;
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
            int present = 0;
            for (const auto& [run, held] : registry_.at_id(server.id).runs)
            {
                present += run.task.job == item.job->job().id &&
                                   run.task.repetition == item.repetition &&
                                   run.task.step == item.step
                               ? 1
                               : 0;
            }
            request.present.push_back(present);
        }
    }
    const bool has_claim =
        claims_.contains({item.job->job().id, item.repetition, item.step});
    auto* memo = has_claim ? nullptr : &findings_.free_room;
    auto result = search(request, servers, memo);
    const auto& since = item.job->repetitions()
                            .at(item.repetition)
                            .steps[static_cast<std::size_t>(item.step)]
                            .turn_since;
    const bool far_is_better = hooks_.now() - since >= far_patience &&
                               findings_.share_in_use < busy_share;
    if (!result && (far_is_better || !fits_on_empty(request, servers)))
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
                   shape_memo* memo)
{
    // A step that is no gang is placed as far as there is room.
    auto least = request;
    least.tasks = request.step->gang ? request.tasks : 1;
    if (memo != nullptr && memo->fits(least) == false)
    {
        return std::nullopt;
    }
    auto result = place_step(request, servers);
    if (memo != nullptr && (!result || result->tasks < request.tasks))
    {
        memo->note(least, false);
    }
    return result;
}

bool dispatcher::fits_on_empty(const placement_request& request,
                               const std::vector<candidate_server>& servers)
{
    const auto known = findings_.empty_servers.fits(request);
    if (known)
    {
        return *known;
    }
    const bool fits = can_ever_fit(request, servers);
    findings_.empty_servers.note(request, fits);
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
            item.job->place(run, {candidate.id, server.entry.incarnation});
            server_run held;
            held.need = spec.need;
            if (spec.best_effort)
            {
                held.need.cpu_millis = 0;
            }
            candidate.free -= held.need;
            server.runs[run] = held;
        }
    }
    if (job.policy.priority == 0)
    {
        urgent_[job.customer] += result.tasks * spec.need.accelerators;
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
    mark(job.id);
}

// Work that is stopped for an urgent job is lost, and the stop takes time; a
// server that stays free in each rack costs less while urgent jobs keep coming.
void dispatcher::keep_headroom(std::vector<candidate_server>& servers) const
{
    const auto now = hooks_.now();
    if (!urgent_arrival_ || now - *urgent_arrival_ > headroom_time ||
        findings_.share_in_use < busy_share)
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

double dispatcher::share_in_use() const
{
    std::int64_t used = 0;
    std::int64_t all = 0;
    for (const auto& [id, server] : registry_.all())
    {
        all += server.entry.capacity.accelerators;
        used += server.entry.capacity.accelerators - server.free().accelerators;
    }
    return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
}

} // namespace poplarramp
