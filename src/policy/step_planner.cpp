#include "policy/step_planner.hpp"

#include "policy/fleet_fit.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace poplarramp
{

namespace
{

// How long a task waits for servers near its data, or a gang for a single rack,
// while less than `busy_utilization` of the accelerators is in use. Above that
// it waits longer, since a task placed elsewhere takes several times as long.
// Steps within a guarantee do not, since they must start within 2.7 s at the
// strictest.
constexpr milliseconds locality_timeout{1200};
constexpr double busy_utilization = 0.5;

// Lifetime of a reservation. Stopped runs end within a second; other runs take
// their time.
constexpr milliseconds preempting_reservation_lifetime{3000};
constexpr milliseconds waiting_reservation_lifetime{12000};

// A run that is expected to end later than this counts as long: no reservation
// waits for it, since it would keep idle what other steps could use meanwhile.
// Short runs take up to 11 s, and are estimated at up to 1.9 times as long.
constexpr milliseconds long_run_time{30000};

// A step that takes more of the fleet than this would hold up all other work.
constexpr double wide_share = 1.0 / 3;

// All waiting reservations of a wide step together last no longer than this.
constexpr milliseconds max_wide_reservation{12000};

// A wide step that was not placed within that time has no waiting reservation
// for this long, so that the work that it held up gets its turn.
constexpr milliseconds wide_reservation_pause{12000};

// While less than `busy_utilization` is in use, the reservation of a wide step
// lasts no longer than this: a job must not wait for 3 s while there is room
// for it.
constexpr milliseconds idle_reservation_lifetime{2000};

// A reservation is searched anew after this time: a run that was expected to
// end has not, or other capacity has become cheaper.
constexpr milliseconds search_interval{500};

// A long-running task that waits longer than this for its restart goes wherever
// there is room: it must run again within 6 s of its last end, also on a full
// fleet. Its end is known and its start takes effect within a second.
constexpr milliseconds restart_timeout{3000};

// Searches for occupied capacity in one plan. Each looks at all runs.
constexpr int max_searches = 12;

// Cost of a stop beside the lost work, as run time: the place is not used while
// the run stops, waits and starts again, and a gang has to be assembled anew.
constexpr double stop_overhead_s = 1;

// A group that is expected to end within this time is waited for.
constexpr milliseconds soon{300};
// An expected end that passed longer ago was a wrong estimate.
constexpr milliseconds overdue{200};

// Stopping an urgent run costs its customer more than the lost work, and more
// still if it takes the customer below its guarantee.
constexpr double urgent_victim_weight = 4;
constexpr double guarantee_victim_weight = 4;

constexpr double no_limit = std::numeric_limits<double>::infinity();

} // namespace

std::string_view name_of(block_reason reason)
{
    return reason == block_reason::exceeds_fleet
               ? "the present servers cannot hold it"
               : "it waits for runs that take long to end";
}

plan_decisions step_planner::plan(planning_input input)
{
    round_ = {};
    round_.input = std::move(input);
    round_.claims = guarantee_claims(round_.input.customers);
    round_.fleet = total_capacity(round_.input.servers);
    round_.room_beside_long_runs = room_until(round_.input.servers,
                                              round_.input.groups,
                                              round_.input.now + long_run_time);
    start_ledger();
    for (const auto& step : round_.input.steps)
    {
        round_.last_level = std::max(round_.last_level, step.priority + 2);
    }
    validate_reservations();
    claim_guarantees();
    drop_blocked_reservations();
    update_reservation_levels();
    keep_headroom();
    int excluded = -1;
    auto order = steps_by_share();
    while (const auto index = order.next(round_.limits))
    {
        while (excluded < level_of(*index))
        {
            exclude_reservations(++excluded);
        }
        plan_step(*index);
    }
    auto& decisions = round_.decisions;
    if (decisions.placements.empty() && decisions.preemptions.empty())
    {
        // The next plan would make the same searches with the same result.
        decisions.incomplete = false;
    }
    return std::move(decisions);
}

void step_planner::forget_job(const std::string& job)
{
    std::erase_if(reservations_,
                  [&job](const auto& item) { return item.first.job == job; });
    std::erase_if(wait_limits_,
                  [&job](const auto& item) { return item.first.job == job; });
}

void step_planner::claim_guarantees()
{
    const auto& steps = round_.input.steps;
    round_.in_guarantee.assign(steps.size(), false);
    std::vector<std::size_t> urgent;
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        if (steps[i].priority == 0)
        {
            urgent.push_back(i);
        }
    }
    std::sort(urgent.begin(),
              urgent.end(),
              [&steps](std::size_t a, std::size_t b)
              {
                  return std::tie(steps[a].accepted_unix_ms, steps[a].id) <
                         std::tie(steps[b].accepted_unix_ms, steps[b].id);
              });
    for (const auto index : urgent)
    {
        const auto& request = steps[index].request;
        if (!fits_empty_servers(request) ||
            !round_.limits.can_ever_run(
                steps[index].customer, *request.step, request.tasks))
        {
            continue;
        }
        round_.in_guarantee[index] = round_.claims.claim(
            steps[index].customer,
            request.tasks * request.step->need.accelerators);
    }
}

std::vector<std::size_t> step_planner::ranked_steps() const
{
    const auto& steps = round_.input.steps;
    std::vector<std::size_t> order(steps.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    const auto rank = [this, &steps](std::size_t index)
    {
        const auto& step = steps[index];
        return std::
            tuple<int, bool, bool, job_prospect, std::int64_t, const step_id&>(
                level_of(index),
                !step.restart_since,
                yields(index),
                prospect_of(step),
                step.deadline_unix_ms,
                step.id);
    };
    std::sort(order.begin(),
              order.end(),
              [&rank](std::size_t a, std::size_t b)
              { return rank(a) < rank(b); });
    return order;
}

void step_planner::keep_headroom()
{
    std::int64_t urgent = 0;
    for (const auto& group : round_.input.groups)
    {
        urgent +=
            group.priority == 0 && !group.stopping ? group.accelerators : 0;
    }
    urgent += waiting_urgent_accelerators();
    headroom_.record(round_.input.now, urgent);
    if (round_.input.utilization >= busy_utilization)
    {
        headroom_.keep(round_.input.servers, round_.input.groups);
    }
}

bool step_planner::has_preempted_for(std::size_t index) const
{
    const auto found = reservations_.find(round_.input.steps[index].id);
    return found != reservations_.end() && found->second.preempted;
}

// Tasks of the urgent step that can run once the short runs have ended, or the
// long ones have been stopped for it.
int step_planner::tasks_in_reach(std::size_t index)
{
    const auto& request = round_.input.steps[index].request;
    if (!fits_empty_servers(request))
    {
        return 0;
    }
    const auto& servers = round_.input.servers;
    const auto& room = round_.room_beside_long_runs;
    if (room.empty() || has_preempted_for(index))
    {
        return count_tasks_that_fit(request, servers, {});
    }
    auto& cache = round_.beside_long_runs;
    if (cache.fits(request) == false && request.step->gang)
    {
        return 0;
    }
    const int tasks = count_tasks_that_fit(request, servers, room);
    cache.record(request, tasks == request.tasks);
    return tasks;
}

// Reports the step if it cannot be placed, however long it waits.
void step_planner::report_blocked(std::size_t index)
{
    const auto& step = round_.input.steps[index];
    auto& blocked = round_.decisions.blocked;
    if (!fits_empty_servers(step.request))
    {
        blocked.push_back({step.id, block_reason::exceeds_fleet});
        return;
    }
    const bool waits = step.priority == 0 && !reservations_.contains(step.id);
    if (waits && tasks_in_reach(index) == 0)
    {
        blocked.push_back({step.id, block_reason::long_runs});
    }
}

// Drops reservations that have expired, or whose servers cannot be used any
// more.
void step_planner::validate_reservations()
{
    for (auto item = reservations_.begin(); item != reservations_.end();)
    {
        auto& reserved = item->second;
        if (!reserved.preempted)
        {
            limit_waiting(reserved, item->first);
        }
        const bool valid =
            round_.input.now < reserved.expires && find_places(reserved);
        item = valid ? std::next(item) : reservations_.erase(item);
    }
    std::erase_if(wait_limits_,
                  [this](const auto& item)
                  { return item.second.pause_until <= round_.input.now; });
}

// Looks up the servers of the reservation; false if one cannot be used.
bool step_planner::find_places(reservation& reserved) const
{
    const auto& servers = round_.input.servers;
    reserved.places.clear();
    for (const auto& [id, count] : reserved.parts)
    {
        const auto found = std::lower_bound(
            servers.begin(),
            servers.end(),
            id,
            [](const candidate_server& server, const std::string& value)
            { return server.id < value; });
        if (found == servers.end() || found->id != id)
        {
            return false;
        }
        reserved.places.push_back(
            {static_cast<std::size_t>(found - servers.begin()), count});
    }
    return true;
}

// Urgency of a step, 0 first: urgent steps within their guarantee, other urgent
// steps, then the other priorities.
int step_planner::level_of(std::size_t index) const
{
    const auto& step = round_.input.steps[index];
    if (round_.in_guarantee[index])
    {
        return 0;
    }
    return prospect_of(step) == job_prospect::lost ? round_.last_level
                                                   : step.priority + 1;
}

// A step may come into its customer's guarantee, or leave it, while it waits.
// Its isolated tasks, which wait under the same id, have no reservation.
void step_planner::update_reservation_levels()
{
    for (std::size_t i = 0; i < round_.input.steps.size(); ++i)
    {
        const auto& step = round_.input.steps[i];
        const auto found = reservations_.find(step.id);
        if (found != reservations_.end() &&
            step.request.isolated == isolation::none)
        {
            found->second.level = level_of(i);
        }
    }
}

// Hides the capacity that is reserved for steps of this level from those of
// this and the following levels.
void step_planner::exclude_reservations(int level)
{
    for (const auto& [id, reserved] : reservations_)
    {
        if (reserved.level == level)
        {
            exclude(reserved, false);
        }
    }
}

void step_planner::exclude(const reservation& reserved, bool add_back)
{
    for (const auto& [server, count] : reserved.places)
    {
        auto& free = round_.input.servers[server].free;
        for (int i = 0; i < count; ++i)
        {
            add_back ? free += reserved.need : free -= reserved.need;
        }
    }
}

void step_planner::plan_step(std::size_t index)
{
    const auto room = room_under_limit(index);
    if (room.after_stops == 0)
    {
        const auto own = reservations_.find(round_.input.steps[index].id);
        if (own != reservations_.end())
        {
            close_reservation(own);
        }
        return;
    }
    round_.input.steps[index].request.tasks = room.now;
    place_or_reserve(index, room);
}

void step_planner::place_or_reserve(std::size_t index, const limit_room& room)
{
    const auto& step = round_.input.steps[index];
    if (step.request.isolated != isolation::none)
    {
        // A reservation would count on runs of others to end.
        if (room.now > 0)
        {
            place_free(index, true);
        }
        return;
    }
    const auto own = reservations_.find(step.id);
    const bool has_reservation = own != reservations_.end();
    if (has_reservation)
    {
        exclude(own->second, true);
    }
    int placed = room.now > 0 ? place_free(index, has_reservation) : 0;
    if (placed == 0 && room.now > 0 && step.restart_since)
    {
        placed = place_restart(index);
    }
    const int missing = room.after_stops - placed;
    round_.input.steps[index].request.tasks = room.after_stops;
    if (round_.in_guarantee[index])
    {
        round_.limits.add_expected(step.customer, *step.request.step, missing);
    }
    if (has_reservation)
    {
        exclude(own->second, false);
        if (missing == 0)
        {
            close_reservation(own);
        }
    }
    if (missing > 0)
    {
        reserve(index, missing);
    }
    if (missing == step.request.tasks)
    {
        report_blocked(index);
    }
    round_.urgent_waits =
        round_.urgent_waits ||
        (missing > 0 && step.priority == 0 && tasks_in_reach(index) > 0);
}

// Hides or shows the reservations that wait for runs to end, as far as they are
// hidden from the step, and as a restart may use their capacity.
void step_planner::exclude_waiting(std::size_t index,
                                   bool is_overdue,
                                   bool add_back)
{
    const auto& own = round_.input.steps[index].id;
    for (const auto& [id, reserved] : reservations_)
    {
        const bool urgent = reserved.level <= 1;
        if (!reserved.preempted && reserved.level <= level_of(index) &&
            (is_overdue || !urgent) && id != own)
        {
            exclude(reserved, add_back);
        }
    }
}

// Places long-running tasks that have run before where other steps may not be
// placed: into the headroom if no urgent step waits for it, and into capacity
// that is kept for steps that wait for runs to end. Overdue ones also go far
// from their data, into the headroom in any case, and to servers on which runs
// have failed. Returns the number of tasks that are placed.
int step_planner::place_restart(std::size_t index)
{
    const auto& step = round_.input.steps[index];
    const bool is_overdue =
        round_.input.now - *step.restart_since >= restart_timeout;
    auto request = step.request;
    request.urgent = request.urgent || is_overdue || !round_.urgent_waits;
    if (is_overdue)
    {
        request.max_slowdown =
            request.remote_slowdown * request.remote_slowdown;
        request.max_failures = std::numeric_limits<int>::max();
    }
    exclude_waiting(index, is_overdue, true);
    const auto result = search(
        request, &round_.restart_capacity[{level_of(index), is_overdue}]);
    exclude_waiting(index, is_overdue, false);
    if (!result)
    {
        return 0;
    }
    apply_placement(index, *result);
    return result->tasks;
}

int step_planner::place_free(std::size_t index, bool has_reservation)
{
    const auto& step = round_.input.steps[index];
    auto request = step.request;
    // Reserved capacity is hidden from other steps, so that the result of this
    // search does not hold for them.
    auto* cache = has_reservation ? nullptr : &round_.free_capacity;
    auto result = search(request, cache);
    const bool allow_remote =
        round_.input.now - step.ready_since >= locality_timeout &&
        (round_.in_guarantee[index] ||
         round_.input.utilization < busy_utilization);
    if (!result && (allow_remote || !fits_empty_servers(request)))
    {
        request.max_slowdown =
            request.remote_slowdown * request.remote_slowdown;
        result = search(request, cache);
    }
    if (!result)
    {
        return 0;
    }
    apply_placement(index, *result);
    return result->tasks;
}

std::optional<placement_result>
step_planner::search(const placement_request& request, fit_cache* cache)
{
    // Tasks that are not a gang may be placed in part.
    auto min_request = request;
    min_request.tasks = request.step->gang ? request.tasks : 1;
    if (cache != nullptr && cache->fits(min_request) == false)
    {
        return std::nullopt;
    }
    auto result = place_step(request, round_.input.servers);
    if (cache != nullptr && (!result || result->tasks < request.tasks))
    {
        cache->record(min_request, false);
    }
    return result;
}

bool step_planner::fits_empty_servers(const placement_request& request)
{
    if (const auto known = round_.empty_servers.fits(request))
    {
        return *known;
    }
    const bool fits =
        count_tasks_that_fit(request, round_.input.servers, {}) > 0;
    round_.empty_servers.record(request, fits);
    return fits;
}

void step_planner::apply_placement(std::size_t index,
                                   const placement_result& result)
{
    const auto& step = round_.input.steps[index];
    const auto need = occupied_by_task(*step.request.step);
    const bool isolated = step.request.isolated != isolation::none;
    for (const auto& part : result.parts)
    {
        auto& server = round_.input.servers[part.server];
        server.proven = false;
        for (int i = 0; i < part.count; ++i)
        {
            server.free -= need;
        }
        if (isolated)
        {
            server.free = {};
        }
    }
    round_.limits.add_placed(step.customer, *step.request.step, result.tasks);
    if (step.priority == 0)
    {
        round_.claims.add_use(step.customer, result.tasks * need.accelerators);
    }
    round_.decisions.placements.push_back(
        {index, step.id, result, round_.in_guarantee[index], isolated});
}

// An urgent step always gets a reservation; of the others only gangs, which the
// tasks of less urgent jobs would starve, and restarts of long-running tasks.
void step_planner::reserve(std::size_t index, int tasks)
{
    const auto& step = round_.input.steps[index];
    const auto now = round_.input.now;
    const bool urgent = step.priority == 0;
    const auto found = reservations_.find(step.id);
    const bool exists = found != reservations_.end();
    if (exists && now < found->second.next_search)
    {
        return;
    }
    const bool restart = step.restart_since.has_value();
    if (yields(index) ||
        (!urgent && !restart &&
         (!step.request.step->gang || !is_worth_reserving(step))))
    {
        return;
    }
    if (!fits_empty_servers(step.request))
    {
        return;
    }
    if (round_.searches >= max_searches)
    {
        round_.decisions.incomplete = true;
        return;
    }
    if (preempt_for(index, tasks))
    {
        return;
    }
    if (exists)
    {
        found->second.next_search = now + search_interval;
        return;
    }
    if (!may_wait_reserved(index) ||
        (!urgent && !restart && !may_add_waiting_reservation()))
    {
        return;
    }
    if (const auto claim = find_occupied(index, tasks, false))
    {
        open_reservation(index, *claim, false);
    }
}

// Stops runs for an urgent step if that is allowed.
bool step_planner::preempt_for(std::size_t index, int tasks)
{
    const auto& step = round_.input.steps[index];
    if (step.priority != 0)
    {
        return false;
    }
    const auto claim = find_occupied(index, tasks, true);
    if (!claim)
    {
        return false;
    }
    double lost = 0;
    for (const auto group : claim->groups)
    {
        const auto& victim = round_.input.groups[group];
        lost += loss_of(victim) + value_lost_by_stop(index, victim);
    }
    if (lost > loss_limit(index, tasks))
    {
        return false;
    }
    open_reservation(index, *claim, true);
    stop_groups(index, *claim);
    return true;
}

std::optional<capacity_claim>
step_planner::find_occupied(std::size_t index, int tasks, bool preempt)
{
    const auto& step = round_.input.steps[index];
    auto request = step.request;
    request.tasks = tasks;
    const bool urgent = step.priority == 0;
    const auto owner = round_.in_guarantee[index] ? std::optional(step.customer)
                                                  : std::nullopt;
    auto& cache = round_.occupied_capacity[{step.priority, preempt, owner}];
    auto remote_request = request;
    remote_request.max_slowdown =
        request.remote_slowdown * request.remote_slowdown;
    if (cache.fits(remote_request) == false)
    {
        return std::nullopt;
    }
    ++round_.searches;
    const end_cost cost =
        [this, index, preempt](std::size_t group,
                               std::span<const std::size_t> chosen)
    {
        return preempt ? stop_cost(index, group, chosen) : wait_cost(group);
    };
    const auto& servers = round_.input.servers;
    const auto& groups = round_.input.groups;
    auto claim = find_capacity(request, servers, groups, cost, no_limit);
    if (!claim && (urgent || !fits_empty_servers(request)))
    {
        claim = find_capacity(remote_request, servers, groups, cost, no_limit);
        if (!claim)
        {
            cache.record(remote_request, false);
        }
    }
    return claim;
}

bool step_planner::ends_soon(const run_group& group) const
{
    const auto left = group.expected_end - round_.input.now;
    return left > -overdue && left <= soon;
}

// What the fleet loses if the group is stopped, in core seconds.
double step_planner::loss_of(const run_group& group) const
{
    if (ends_soon(group))
    {
        return 0;
    }
    return group.lost_core_seconds +
           stop_overhead_s * group.need.equivalent_cores() *
               static_cast<double>(group.servers.size());
}

// Cost of stopping the group for the step, in core seconds.
std::optional<double>
step_planner::stop_cost(std::size_t index,
                        std::size_t group,
                        std::span<const std::size_t> chosen) const
{
    const auto& step = round_.input.steps[index];
    const auto& victim = round_.input.groups[group];
    if (ends_soon(victim))
    {
        return 0;
    }
    if (!victim.preemptible)
    {
        return std::nullopt;
    }
    const double cost = victim.lost_core_seconds +
                        stop_overhead_s * victim.need.equivalent_cores() *
                            static_cast<double>(victim.servers.size());
    if (victim.priority > step.priority)
    {
        return victim.stopped_before && round_.input.weigh_value &&
                       !round_.in_guarantee[index]
                   ? std::nullopt
                   : std::optional(cost + value_lost_by_stop(index, victim));
    }
    if (!round_.in_guarantee[index] || victim.priority != 0 ||
        victim.customer == step.customer)
    {
        return std::nullopt;
    }
    auto borrowed = round_.claims.borrowed(victim.customer);
    for (const auto other : chosen)
    {
        const auto& taken = round_.input.groups[other];
        if (taken.priority == 0 && taken.customer == victim.customer)
        {
            borrowed -= taken.accelerators;
        }
    }
    if (borrowed <= 0)
    {
        return std::nullopt;
    }
    return cost * urgent_victim_weight *
           (victim.accelerators > borrowed ? guarantee_victim_weight : 1);
}

// Time until the group ends by itself, in milliseconds.
std::optional<double> step_planner::wait_cost(std::size_t group) const
{
    const auto& waited_for = round_.input.groups[group];
    if (waited_for.expected_end == time_point::max())
    {
        return std::nullopt;
    }
    const auto left = waited_for.expected_end - round_.input.now;
    if (left > long_run_time)
    {
        return std::nullopt;
    }
    return static_cast<double>(std::max(left, milliseconds(0)).count());
}

void step_planner::open_reservation(std::size_t index,
                                    const capacity_claim& claim,
                                    bool preempted)
{
    const auto& step = round_.input.steps[index];
    const auto now = round_.input.now;
    const auto existing = reservations_.find(step.id);
    if (existing != reservations_.end())
    {
        close_reservation(existing);
    }
    auto& reserved = reservations_[step.id];
    reserved.need = occupied_by_task(*step.request.step);
    reserved.level = level_of(index);
    reserved.preempted = preempted;
    reserved.expires =
        now + (preempted || step.priority == 0 ? preempting_reservation_lifetime
                                               : waiting_reservation_lifetime);
    reserved.next_search = now + search_interval;
    reserved.wide = is_wide(index, step.request.tasks);
    if (!preempted)
    {
        limit_waiting(reserved, step.id);
    }
    reserved.places = claim.parts;
    for (const auto& part : claim.parts)
    {
        reserved.parts.emplace_back(round_.input.servers[part.server].id,
                                    part.count);
    }
    exclude(reserved, false);
}

bool step_planner::is_wide(std::size_t index, int tasks) const
{
    const auto need = occupied_by_task(*round_.input.steps[index].request.step);
    return share_of_fleet(round_.fleet, need, tasks) > wide_share;
}

// False if the step is wide and has used up its time for waiting reservations.
bool step_planner::may_wait_reserved(std::size_t index) const
{
    const auto limit = wait_limits_.find(round_.input.steps[index].id);
    return limit == wait_limits_.end() ||
           round_.input.now < limit->second.reserve_until;
}

// Shortens the reservation of a wide step to what is left of the step's time
// for waiting reservations.
void step_planner::limit_waiting(reservation& reserved, const step_id& id)
{
    if (!reserved.wide)
    {
        return;
    }
    const bool idle = round_.input.utilization < busy_utilization;
    const auto until = round_.input.now + (idle ? idle_reservation_lifetime
                                                : max_wide_reservation);
    auto& limit =
        wait_limits_.try_emplace(id, wait_limit{until, {}}).first->second;
    limit.reserve_until = std::min(limit.reserve_until, until);
    limit.pause_until = limit.reserve_until + wide_reservation_pause;
    reserved.expires = std::min(reserved.expires, limit.reserve_until);
}

// Precondition: the capacity of the reservation is hidden.
void step_planner::close_reservation(reservation_map::iterator item)
{
    exclude(item->second, true);
    reservations_.erase(item);
}

void step_planner::stop_groups(std::size_t index, const capacity_claim& claim)
{
    planned_preemption decision;
    decision.step = index;
    decision.in_guarantee = round_.in_guarantee[index];
    for (const auto item : claim.groups)
    {
        auto& group = round_.input.groups[item];
        if (ends_soon(group))
        {
            continue;
        }
        decision.groups.push_back(item);
        decision.lost_core_seconds += group.lost_core_seconds;
        group.stopping = true;
        if (group.priority == 0)
        {
            round_.claims.add_use(group.customer, -group.accelerators);
        }
    }
    if (!decision.groups.empty())
    {
        round_.decisions.preemptions.push_back(std::move(decision));
    }
}

} // namespace poplarramp
