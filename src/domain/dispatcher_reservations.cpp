// Reservation of capacity for waiting steps, and preemption of runs.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace poplarramp
{

namespace
{

// Lifetime of a reservation. An urgent step waits for runs to be stopped, any
// other step for runs to end.
constexpr milliseconds urgent_reservation_lifetime{3000};
constexpr milliseconds reservation_lifetime{12000};

// Limits reservations that wait for runs to end, since their free capacity
// stays idle.
constexpr std::size_t max_waiting_reservations = 3;

// Limit on the work lost by preemption for a step, as a multiple of the step's
// own work.
constexpr double max_urgent_loss_factor = 4;
constexpr double max_loss_factor = 1;

// A step that is not urgent may preempt runs only when the slack before its
// latest start is less than this share of its estimate plus the time for stops
// and starts.
constexpr double start_slack_factor = 0.3;
constexpr milliseconds stop_and_start_time{2000};

// Work since the last checkpoint that a run with checkpoints loses.
constexpr double checkpoint_loss_s = 0.6;

constexpr double ms_per_s = 1000;
constexpr double hundred_percent = 100;

// Finds a candidate by id, or null. Precondition: `servers` is sorted by id.
template <class Servers>
auto find_candidate(const std::string& id, Servers& servers)
    -> decltype(&servers.front())
{
    const auto found = std::lower_bound(
        servers.begin(),
        servers.end(),
        id,
        [](const candidate_server& server, const std::string& value)
        { return server.id < value; });
    return found != servers.end() && found->id == id ? &*found : nullptr;
}

} // namespace

bool dispatcher::may_preempt(const waiting_step& item, const run_id& run) const
{
    const auto found = open_jobs_.find(run.task.job);
    // A run that is not the current run of its task is stopped anyway.
    const auto* task =
        found == open_jobs_.end() ? nullptr : found->second.task(run.task);
    if (task == nullptr || !task->server || task->attempt != run.attempt ||
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
    const auto use = urgent_accelerators_.find(job.customer);
    return customer == nullptr ||
           (use != urgent_accelerators_.end() &&
            use->second > customer->guaranteed_accelerators);
}

double dispatcher::lost_core_seconds(const run_id& run,
                                     const server_run& run_record) const
{
    if (run_record.lifecycle.phase == run_phase::placing)
    {
        return 0;
    }
    const auto& job = open_jobs_.at(run.task.job);
    const auto& spec = job.spec_of(run.task.step);
    // A new leader does not know when a run started, only its progress.
    const auto elapsed =
        static_cast<double>((hooks_.now() - run_record.started_at).count()) /
        ms_per_s;
    const auto worked = static_cast<double>(spec.estimate.count()) / ms_per_s *
                        run_record.percent / hundred_percent;
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
        for (const auto& [run, run_record] :
             registry_.record_of(candidate.id).runs)
        {
            if (run_record.lifecycle.phase == run_phase::stopping)
            {
                candidate.reclaimable += run_record.need;
            }
            else if (may_preempt(item, run))
            {
                candidate.reclaimable += run_record.need;
                cost += lost_core_seconds(run, run_record);
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
dispatcher::select_victims(const waiting_step& item,
                           const reservation& reserved,
                           const std::vector<candidate_server>& servers) const
{
    std::set<std::pair<std::string, run_id>> chosen;
    const auto need = item.job->spec_of(item.step).need;
    for (const auto& [id, count] : reserved.parts)
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
        std::vector<std::pair<double, run_id>> preemptible;
        for (const auto& [run, run_record] : registry_.record_of(id).runs)
        {
            const bool is_ending =
                run_record.lifecycle.phase == run_phase::stopping ||
                chosen.contains({id, run});
            if (is_ending)
            {
                available += run_record.need;
            }
            else if (may_preempt(item, run))
            {
                preemptible.emplace_back(lost_core_seconds(run, run_record),
                                         run);
            }
        }
        std::sort(preemptible.begin(), preemptible.end());
        for (const auto& [cost, run] : preemptible)
        {
            if (available.count_fitting(need, count) >= count)
            {
                break;
            }
            available += registry_.record_of(id).runs.at(run).need;
            for (const auto& member : open_jobs_.at(run.task.job).members(run))
            {
                chosen.emplace(server_of(member), member);
            }
        }
    }
    return {chosen.begin(), chosen.end()};
}

std::size_t dispatcher::count_waiting_reservations() const
{
    return static_cast<std::size_t>(std::count_if(
        reservations_.begin(),
        reservations_.end(),
        [now = hooks_.now()](const auto& entry)
        { return !entry.second.preempted && now < entry.second.expires; }));
}

// True if the step may now preempt runs that lose `lost` core seconds of work.
bool dispatcher::may_preempt_all(const waiting_step& item, double lost) const
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
        return lost <= max_urgent_loss_factor * own;
    }
    const auto slack =
        stop_and_start_time.count() +
        static_cast<std::int64_t>(start_slack_factor *
                                  static_cast<double>(spec.estimate.count()));
    const bool slack_exhausted =
        hooks_.unix_now() + spec.estimate.count() + slack >=
        item.deadline_unix_ms;
    return !item.misses_deadline && slack_exhausted &&
           lost <= max_loss_factor * own;
}

// Reserves capacity for an urgent step, or for a gang that the tasks of less
// urgent jobs would starve. Returns false if there is no suitable capacity.
bool dispatcher::open_reservation(const waiting_step& item,
                                  std::vector<candidate_server>& servers)
{
    const bool urgent = item.job->job().policy.priority == 0;
    const bool may_reserve =
        urgent || (item.job->spec_of(item.step).gang && !item.misses_deadline &&
                   count_waiting_reservations() < max_waiting_reservations);
    if (!may_reserve)
    {
        return false;
    }
    auto request = request_for(item);
    request.reclaim = true;
    const auto& job = item.job->job();
    auto& memo =
        plan_cache_.reclaimable[{job.policy.priority,
                                 item.in_guarantee,
                                 item.in_guarantee ? job.customer : ""}];
    auto remote_request = request;
    remote_request.max_slowdown =
        request.remote_slowdown * request.remote_slowdown;
    if (memo.fits(remote_request) == false)
    {
        return false;
    }
    add_reclaimable(item, servers);
    auto result = place_step(request, servers);
    if (!result && (urgent || !fits_empty_servers(request, servers)))
    {
        result = place_step(remote_request, servers);
        if (!result)
        {
            memo.record(remote_request, false);
        }
    }
    if (!result)
    {
        return false;
    }
    reservation reserved;
    reserved.need = item.job->spec_of(item.step).need;
    reserved.priority = item.job->job().policy.priority;
    reserved.expires = hooks_.now() + (urgent ? urgent_reservation_lifetime
                                              : reservation_lifetime);
    for (const auto& part : result->parts)
    {
        reserved.parts.emplace_back(servers[part.server].id, part.count);
    }
    reservations_[{item.job->job().id, item.repetition, item.step}] =
        std::move(reserved);
    return true;
}

void dispatcher::reserve_and_preempt(const waiting_step& item,
                                     std::vector<candidate_server>& servers)
{
    const auto& job = item.job->job();
    const step_key key{job.id, item.repetition, item.step};
    auto found = reservations_.find(key);
    if (found == reservations_.end() || hooks_.now() >= found->second.expires)
    {
        if (!open_reservation(item, servers))
        {
            return;
        }
        found = reservations_.find(key);
    }
    if (found->second.preempted)
    {
        return;
    }
    const auto victims = select_victims(item, found->second, servers);
    double lost = 0;
    for (const auto& [id, run] : victims)
    {
        const auto& run_record = registry_.record_of(id).runs.at(run);
        lost += lost_core_seconds(run, run_record) /
                static_cast<double>(
                    open_jobs_.at(run.task.job).members(run).size());
    }
    if (!may_preempt_all(item, lost))
    {
        return;
    }
    found->second.preempted = true;
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
        request_stop(server, run, "a more urgent job needs the room");
    }
}

void dispatcher::exclude_reservations(const waiting_step& item,
                                      std::vector<candidate_server>& servers,
                                      bool add_back) const
{
    const step_key own{item.job->job().id, item.repetition, item.step};
    for (const auto& [key, reserved] : reservations_)
    {
        if (key == own || reserved.priority > item.job->job().policy.priority ||
            hooks_.now() >= reserved.expires)
        {
            continue;
        }
        for (const auto& [id, count] : reserved.parts)
        {
            auto* server = find_candidate(id, servers);
            for (int i = 0; server != nullptr && i < count; ++i)
            {
                add_back ? server->free += reserved.need
                         : server->free -= reserved.need;
            }
        }
    }
}

} // namespace poplarramp
