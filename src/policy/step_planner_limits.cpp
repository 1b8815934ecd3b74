// Limits of the customers: how many tasks of a step may start, and which steps
// wait for room under the limit.
#include "policy/step_planner.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

// How long a gang keeps the room under its customer's limit from the customer's
// later steps: twice the run time of usual gangs. Then it competes without, so
// that a run that never ends does not hold up all jobs of the customer.
constexpr milliseconds max_room_wait{20000};

} // namespace

void step_planner::start_ledger()
{
    const auto& input = round_.input;
    round_.limits = customer_limits(input.customers, input.limit_overage);
    round_.room_kept.assign(input.customers.size(), false);
    if (!round_.limits.any_limited())
    {
        return;
    }
    for (const auto& group : input.groups)
    {
        // The end of a run on a server that does not reply is not known soon.
        if (group.stopping && !group.servers.empty())
        {
            round_.limits.add_stopping(group.customer, group.charged);
        }
    }
}

std::int64_t step_planner::waiting_urgent_accelerators()
{
    std::int64_t accelerators = 0;
    auto counted = round_.limits;
    const auto& steps = round_.input.steps;
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        const auto& step = steps[i];
        // A wide step has headroom only in its reservation, which is bounded.
        if (step.priority != 0 ||
            (is_wide(i, step.request.tasks) && !has_preempted_for(i)))
        {
            continue;
        }
        const auto& spec = *step.request.step;
        int tasks = tasks_in_reach(i);
        if (counted.any_limited())
        {
            tasks =
                counted.tasks_allowed_after_stops(step.customer, spec, tasks);
            counted.add_expected(step.customer, spec, tasks);
        }
        accelerators += tasks * spec.need.accelerators;
    }
    return accelerators;
}

// A reservation must not hide servers from others while its step waits for
// room, or for more tasks than have room.
void step_planner::drop_blocked_reservations()
{
    if (!round_.limits.any_limited())
    {
        return;
    }
    const auto& steps = round_.input.steps;
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        const auto& request = steps[i].request;
        const auto found = reservations_.find(steps[i].id);
        if (found == reservations_.end() || request.isolated != isolation::none)
        {
            continue;
        }
        int reserved = 0;
        for (const auto& part : found->second.places)
        {
            reserved += part.count;
        }
        if (reserved > round_.limits.tasks_allowed_after_stops(
                           steps[i].customer, *request.step, request.tasks))
        {
            reservations_.erase(found);
        }
    }
}

bool step_planner::yields(std::size_t index) const
{
    return round_.input.steps[index].beyond_rate && !round_.in_guarantee[index];
}

share_order step_planner::steps_by_share() const
{
    resources fleet;
    for (const auto& server : round_.input.servers)
    {
        fleet += server.capacity;
    }
    std::vector<share_order::entry> entries;
    for (const auto index : ranked_steps())
    {
        // Steps within a guarantee are entitled to start at once.
        const int level = level_of(index);
        entries.push_back({index,
                           round_.input.steps[index].customer,
                           2 * level + (yields(index) ? 1 : 0),
                           level > 0});
    }
    return {std::move(entries), round_.input.customers, fleet};
}

step_planner::limit_room step_planner::room_under_limit(std::size_t index)
{
    const auto& step = round_.input.steps[index];
    const auto& spec = *step.request.step;
    const auto& limits = round_.limits;
    const int tasks = step.request.tasks;
    if (!limits.any_limited())
    {
        return {tasks, tasks};
    }
    const bool in_guarantee = round_.in_guarantee[index];
    if (round_.room_kept[step.customer] && !in_guarantee)
    {
        round_.decisions.limited.push_back(index);
        return {};
    }
    if (in_guarantee)
    {
        make_room(index);
    }
    // Room that other steps wait for is not used either.
    const int after_stops =
        limits.tasks_allowed_after_stops(step.customer, spec, tasks);
    const int now =
        std::min(limits.tasks_allowed(step.customer, spec, tasks), after_stops);
    if (now < tasks)
    {
        round_.decisions.limited.push_back(index);
    }
    if (now == 0 && spec.gang &&
        round_.input.now - step.ready_since < max_room_wait &&
        limits.can_ever_run(step.customer, spec, tasks))
    {
        round_.room_kept[step.customer] = true;
    }
    return {now, in_guarantee ? after_stops : now};
}

// Stops less urgent runs of the step's customer until its limit leaves room for
// the step, those with the least lost work for what they hold first.
void step_planner::make_room(std::size_t index)
{
    const auto& step = round_.input.steps[index];
    const auto& spec = *step.request.step;
    const int tasks = step.request.tasks;
    const auto& groups = round_.input.groups;
    const auto allowed = [&step, &spec, tasks](const customer_limits& limits)
    {
        return limits.tasks_allowed_after_stops(step.customer, spec, tasks);
    };
    const int before = allowed(round_.limits);
    if (before == tasks)
    {
        return;
    }
    std::vector<std::pair<double, std::size_t>> victims;
    for (std::size_t i = 0; i < groups.size(); ++i)
    {
        const auto& group = groups[i];
        const bool may_end = group.preemptible || ends_soon(group);
        if (group.customer == step.customer && !group.stopping && may_end &&
            group.priority > step.priority && !group.servers.empty())
        {
            victims.emplace_back(
                loss_of(group) / (1 + group.charged.equivalent_cores()), i);
        }
    }
    std::sort(victims.begin(), victims.end());
    auto limits = round_.limits;
    capacity_claim chosen;
    for (const auto& [cost, group] : victims)
    {
        if (allowed(limits) == tasks)
        {
            break;
        }
        limits.add_stopping(step.customer, groups[group].charged);
        chosen.groups.push_back(group);
    }
    const int reached = allowed(limits);
    if (reached <= before)
    {
        return;
    }
    // A run that was chosen early may be needless beside a larger one.
    for (std::size_t i = chosen.groups.size(); i-- > 0;)
    {
        auto without = limits;
        without.keep_running(step.customer, groups[chosen.groups[i]].charged);
        if (allowed(without) == reached)
        {
            limits = without;
            chosen.groups.erase(chosen.groups.begin() +
                                static_cast<std::ptrdiff_t>(i));
        }
    }
    round_.limits = limits;
    stop_groups(index, chosen);
}

} // namespace poplarramp
