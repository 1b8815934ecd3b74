// Room that is kept for steps, and the runs that are stopped to make it.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace poplarramp
{

namespace
{

// Room is kept this long for a step: an urgent one waits for runs to stop, any
// other for runs to end.
constexpr milliseconds urgent_claim_time{3000};
constexpr milliseconds claim_time{12000};

// Steps that are not urgent and have room kept for them at a time, so that the
// rest of the servers goes on working.
constexpr std::size_t max_open_claims = 3;

// Work that may be thrown away for a job, as a multiple of its own.
constexpr double max_loss_for_urgent = 4;
constexpr double max_loss_for_others = 1;

// A step that has to start within this time to be in time makes room at once:
// this share of its estimate, and a time for stops and starts.
constexpr double start_slack = 0.3;
constexpr milliseconds start_time{2000};

// Work that a run with checkpoints loses, in seconds.
constexpr double checkpoint_loss_s = 0.6;

constexpr double ms_per_s = 1000;
constexpr double whole_percent = 100;

// The candidates are in the order of their ids.
template <class Servers>
auto candidate_of(const std::string& id, Servers& servers)
    -> decltype(&servers.front())
{
    const auto found = std::lower_bound(
        servers.begin(),
        servers.end(),
        id,
        [](const candidate_server& server, const std::string& wanted)
        { return server.id < wanted; });
    return found != servers.end() && found->id == id ? &*found : nullptr;
}

} // namespace

bool dispatcher::may_stop_for(const waiting_step& item, const run_id& run) const
{
    const auto found = open_.find(run.task.job);
    // A run that its job has given up is stopped in any case.
    const auto* task =
        found == open_.end() ? nullptr : found->second.task(run.task);
    if (task == nullptr || !task->placed || task->attempt != run.attempt ||
        &found->second == item.job ||
        found->second.spec_of(run.task.step).long_running)
    {
        return false;
    }
    const auto& job = found->second.job();
    if (job.policy.priority > item.job->job().policy.priority)
    {
        return true;
    }
    if (!item.in_guarantee || job.policy.priority != 0 ||
        job.customer == item.job->job().customer)
    {
        return false;
    }
    const auto* customer = deployment_.customer(job.customer);
    const auto use = urgent_.find(job.customer);
    return customer == nullptr ||
           (use != urgent_.end() &&
            use->second > customer->guaranteed_accelerators);
}

double dispatcher::lost_work(const run_id& run, const server_run& held) const
{
    if (held.lifecycle.phase == run_phase::placing)
    {
        return 0;
    }
    const auto& job = open_.at(run.task.job);
    const auto& spec = job.spec_of(run.task.step);
    // A new leader does not know when a run has started, but how far it is.
    const auto elapsed =
        static_cast<double>((hooks_.now() - held.started_at).count()) /
        ms_per_s;
    const auto worked = static_cast<double>(spec.estimate.count()) / ms_per_s *
                        held.percent / whole_percent;
    const double seconds =
        spec.checkpoints ? checkpoint_loss_s : std::max(elapsed, worked);
    const auto members = spec.gang ? job.members(run).size() : 1;
    return seconds * spec.need.equivalent_cores() *
           static_cast<double>(members);
}

void dispatcher::add_reclaimable(const waiting_step& item,
                                 std::vector<candidate_server>& servers) const
{
    const auto need = item.job->spec_of(item.step).need;
    for (auto& candidate : servers)
    {
        candidate.reclaimable = {};
        double cost = 0;
        for (const auto& [run, held] : registry_.at_id(candidate.id).runs)
        {
            if (held.lifecycle.phase == run_phase::stopping)
            {
                candidate.reclaimable += held.need;
            }
            else if (may_stop_for(item, run))
            {
                candidate.reclaimable += held.need;
                cost += lost_work(run, held);
            }
        }
        auto all = candidate.free;
        all += candidate.reclaimable;
        const int count =
            all.count_fitting(need, static_cast<int>(item.tasks.size()));
        candidate.reclaim_cost = count > 0 ? cost / count : 0;
    }
}

dispatcher::placed_runs
dispatcher::victims_for(const waiting_step& item,
                        const claim& kept,
                        const std::vector<candidate_server>& servers) const
{
    std::set<std::pair<std::string, run_id>> chosen;
    const auto need = item.job->spec_of(item.step).need;
    for (const auto& [id, count] : kept.parts)
    {
        const auto candidate =
            std::find_if(servers.begin(),
                         servers.end(),
                         [&id = id](const candidate_server& server)
                         { return server.id == id; });
        if (candidate == servers.end())
        {
            continue;
        }
        auto available = candidate->free;
        std::vector<std::pair<double, run_id>> order;
        for (const auto& [run, held] : registry_.at_id(id).runs)
        {
            const bool leaves = held.lifecycle.phase == run_phase::stopping ||
                                chosen.contains({id, run});
            if (leaves)
            {
                available += held.need;
            }
            else if (may_stop_for(item, run))
            {
                order.emplace_back(lost_work(run, held), run);
            }
        }
        std::sort(order.begin(), order.end());
        for (const auto& [cost, run] : order)
        {
            if (available.count_fitting(need, count) >= count)
            {
                break;
            }
            available += registry_.at_id(id).runs.at(run).need;
            for (const auto& member : open_.at(run.task.job).members(run))
            {
                chosen.emplace(server_of(member), member);
            }
        }
    }
    return {chosen.begin(), chosen.end()};
}

std::size_t dispatcher::open_claims() const
{
    return static_cast<std::size_t>(std::count_if(
        claims_.begin(),
        claims_.end(),
        [now = hooks_.now()](const auto& entry)
        { return !entry.second.stopped && now < entry.second.expires; }));
}

// Whether a step may throw away so much work of others now.
bool dispatcher::may_stop_all_for(const waiting_step& item, double lost) const
{
    if (item.in_guarantee)
    {
        return true;
    }
    const auto& spec = item.job->spec_of(item.step);
    const double own = static_cast<double>(spec.estimate.count()) / ms_per_s *
                       spec.need.equivalent_cores() *
                       static_cast<double>(item.tasks.size());
    if (item.job->job().policy.priority == 0)
    {
        return lost <= max_loss_for_urgent * own;
    }
    const auto slack =
        start_time.count() +
        static_cast<std::int64_t>(start_slack *
                                  static_cast<double>(spec.estimate.count()));
    const bool last_moment =
        hooks_.unix_now() + spec.estimate.count() + slack >= item.due_unix_ms;
    return !item.late && last_moment && lost <= max_loss_for_others * own;
}

// Keeps room for an urgent step, or for a gang that the tasks of less urgent
// jobs would keep out for good.
bool dispatcher::open_claim(const waiting_step& item,
                            std::vector<candidate_server>& servers)
{
    const bool urgent = item.job->job().policy.priority == 0;
    const bool worth_it =
        urgent || (item.job->spec_of(item.step).gang && !item.late &&
                   open_claims() < max_open_claims);
    if (!worth_it)
    {
        return false;
    }
    auto request = request_for(item);
    request.reclaim = true;
    const auto& job = item.job->job();
    auto& memo = findings_.reclaimable[{job.policy.priority,
                                        item.in_guarantee,
                                        item.in_guarantee ? job.customer : ""}];
    auto far = request;
    far.max_slowdown = request.remote_slowdown * request.remote_slowdown;
    if (memo.fits(far) == false)
    {
        return false;
    }
    add_reclaimable(item, servers);
    auto result = place_step(request, servers);
    if (!result && (urgent || !fits_on_empty(request, servers)))
    {
        result = place_step(far, servers);
        if (!result)
        {
            memo.note(far, false);
        }
    }
    if (!result)
    {
        return false;
    }
    claim kept;
    kept.need = item.job->spec_of(item.step).need;
    kept.priority = item.job->job().policy.priority;
    kept.expires = hooks_.now() + (urgent ? urgent_claim_time : claim_time);
    for (const auto& part : result->parts)
    {
        kept.parts.emplace_back(servers[part.server].id, part.count);
    }
    claims_[{item.job->job().id, item.repetition, item.step}] = std::move(kept);
    return true;
}

void dispatcher::make_room(const waiting_step& item,
                           std::vector<candidate_server>& servers)
{
    const auto& job = item.job->job();
    const step_key key{job.id, item.repetition, item.step};
    auto found = claims_.find(key);
    if (found == claims_.end() || hooks_.now() >= found->second.expires)
    {
        if (!open_claim(item, servers))
        {
            return;
        }
        found = claims_.find(key);
    }
    if (found->second.stopped)
    {
        return;
    }
    const auto victims = victims_for(item, found->second, servers);
    double lost = 0;
    for (const auto& [id, run] : victims)
    {
        const auto& held = registry_.at_id(id).runs.at(run);
        lost += lost_work(run, held) /
                static_cast<double>(open_.at(run.task.job).members(run).size());
    }
    if (!may_stop_all_for(item, lost))
    {
        return;
    }
    found->second.stopped = true;
    log_line(log_level::info,
             "sched",
             "Runs are stopped for a job.",
             {{"job", job.id},
              {"priority", std::to_string(job.policy.priority)},
              {"tasks", std::to_string(item.tasks.size())},
              {"victims", std::to_string(victims.size())},
              {"lost_core_seconds", std::to_string(lost)},
              {"in_guarantee", item.in_guarantee ? "true" : "false"}});
    hooks_.count("preemptions", static_cast<double>(victims.size()));
    for (const auto& [server, run] : victims)
    {
        want_stop(server, run, "a more urgent job needs the room");
    }
}

void dispatcher::withhold_claims(const waiting_step& item,
                                 std::vector<candidate_server>& servers,
                                 bool give_back) const
{
    const step_key own{item.job->job().id, item.repetition, item.step};
    for (const auto& [key, kept] : claims_)
    {
        if (key == own || kept.priority > item.job->job().policy.priority ||
            hooks_.now() >= kept.expires)
        {
            continue;
        }
        for (const auto& [id, count] : kept.parts)
        {
            auto* server = candidate_of(id, servers);
            for (int i = 0; server != nullptr && i < count; ++i)
            {
                give_back ? server->free += kept.need
                          : server->free -= kept.need;
            }
        }
    }
}

} // namespace poplarramp
