// What callers gain and lose by the decisions of the planner.
#include "policy/fleet_fit.hpp"
#include "policy/step_planner.hpp"

#include <limits>

namespace poplarramp
{

namespace
{

constexpr double ms_per_s = 1000;

// Limit on the work lost by preemption for an urgent step outside of its
// customer's guarantee, as a multiple of the step's own work. Steps that are
// not urgent stop no runs: replays of an overloaded fleet lost more work by
// that than they gained.
constexpr double max_loss_factor = 1.5;

// Limits reservations that wait for runs to end, since their free capacity
// stays idle.
constexpr int max_waiting_reservations = 3;

// Share of the fleet that reservations for steps that are not urgent may hold
// if value is weighed: with three, gangs waited until the load was over while
// single tasks took each place that came free.
constexpr double max_waiting_share = 0.25;

double core_seconds(milliseconds time, const resources& need, std::size_t tasks)
{
    return static_cast<double>(time.count()) / ms_per_s *
           need.equivalent_cores() * static_cast<double>(tasks);
}

} // namespace

bool step_planner::misses_deadline(const waiting_step& step) const
{
    // A long-running task does not end, so that it cannot be late.
    return !step.request.step->long_running &&
           round_.input.unix_now + step.request.step->estimate.count() >
               step.deadline_unix_ms;
}

// A step that gains nothing by an early start holds no capacity back.
bool step_planner::is_worth_reserving(const waiting_step& step) const
{
    return round_.input.weigh_value ? prospect_of(step) != job_prospect::lost
                                    : !misses_deadline(step);
}

// True if one more step that is not urgent may reserve capacity that others
// have to leave idle.
bool step_planner::may_add_waiting_reservation() const
{
    int count = 0;
    double share = 0;
    for (const auto& [id, reserved] : reservations_)
    {
        if (reserved.preempted)
        {
            continue;
        }
        ++count;
        int tasks = 0;
        for (const auto& part : reserved.parts)
        {
            tasks += part.second;
        }
        share += share_of_fleet(round_.fleet, reserved.need, tasks);
    }
    return count < max_waiting_reservations ||
           (round_.input.weigh_value && share < max_waiting_share);
}

// What the caller would have of the step if it started now.
job_prospect step_planner::prospect_of(const waiting_step& step) const
{
    // A long-running step has no result to wait for.
    if (step.request.step->long_running)
    {
        return job_prospect::in_time;
    }
    if (!round_.input.weigh_value)
    {
        return misses_deadline(step) ? job_prospect::late
                                     : job_prospect::in_time;
    }
    return prospect_at({step.accepted_unix_ms, step.deadline_unix_ms},
                       round_.input.unix_now +
                           step.request.step->estimate.count());
}

// Work that may be lost for tasks of the step, in core seconds. A step that is
// late gains less; one whose result is of no more use gains nothing.
double step_planner::loss_limit(std::size_t index, int tasks) const
{
    if (round_.in_guarantee[index])
    {
        return std::numeric_limits<double>::infinity();
    }
    const auto& step = round_.input.steps[index];
    const auto& spec = *step.request.step;
    const double own =
        core_seconds(spec.estimate, spec.need, static_cast<std::size_t>(tasks));
    const double value =
        round_.input.weigh_value
            ? value_at({step.accepted_unix_ms, step.deadline_unix_ms},
                       round_.input.unix_now + spec.estimate.count())
            : 1;
    return max_loss_factor * own * value;
}

// Work of the victim whose value its caller loses if it is stopped, in core
// seconds. The victim gets its place back when the step has ended.
double step_planner::value_lost_by_stop(std::size_t index,
                                        const run_group& victim) const
{
    if (!round_.input.weigh_value || victim.stopping)
    {
        return 0;
    }
    const auto& input = round_.input;
    const auto until_end = victim.expected_end - input.now;
    const auto until_restart = input.steps[index].request.step->estimate;
    const double before =
        value_at(victim.job, input.unix_now + until_end.count());
    const double after = value_at(
        victim.job,
        input.unix_now + (until_restart + victim.left_after_stop).count());
    return (before - after) *
           core_seconds(victim.estimate, victim.need, victim.servers.size());
}

} // namespace poplarramp
