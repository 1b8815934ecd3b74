#include "policy/customer_limits.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace poplarramp
{

namespace
{

using dimension = std::int64_t resources::*;

constexpr std::array<dimension, 3> dimensions{
    &resources::cpu_millis, &resources::memory_mb, &resources::accelerators};

bool is_limited(const resources& limit)
{
    return std::any_of(dimensions.begin(),
                       dimensions.end(),
                       [&limit](dimension item) { return limit.*item > 0; });
}

// How many of `tasks` tasks fit beside `held`. None while any dimension is
// above its limit, also one that the tasks do not use.
int count_within(const resources& limit,
                 const resources& held,
                 const resources& need,
                 int tasks)
{
    std::int64_t count = tasks;
    for (const auto item : dimensions)
    {
        if (limit.*item <= 0)
        {
            continue;
        }
        const auto room = limit.*item - held.*item;
        if (room < 0)
        {
            return 0;
        }
        if (need.*item > 0)
        {
            count = std::min(count, room / (need.*item));
        }
    }
    return static_cast<int>(std::max<std::int64_t>(count, 0));
}

resources with_overage(const resources& limit, double overage)
{
    auto result = limit;
    for (const auto item : dimensions)
    {
        result.*item = static_cast<std::int64_t>(
            std::floor(static_cast<double>(limit.*item) * (1 + overage)));
    }
    return result;
}

resources times(const resources& need, int tasks)
{
    auto result = need;
    for (const auto item : dimensions)
    {
        result.*item *= tasks;
    }
    return result;
}

} // namespace

resources charged_for_task(const step_spec& step)
{
    return step.need;
}

bool can_run_under(const resources& limit,
                   double overage,
                   const step_spec& step,
                   int tasks)
{
    const int together = step.gang ? tasks : 1;
    return count_within(with_overage(limit, overage),
                        {},
                        charged_for_task(step),
                        together) == together;
}

std::optional<std::size_t> step_beyond_limit(const resources& limit,
                                             double overage,
                                             std::span<const step_spec> steps)
{
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        if (!can_run_under(limit, overage, steps[i], steps[i].tasks))
        {
            return i;
        }
    }
    return std::nullopt;
}

customer_limits::customer_limits(std::span<const customer_use> customers,
                                 double overage)
    : overage_(overage)
{
    accounts_.reserve(customers.size());
    for (const auto& item : customers)
    {
        const bool limited = is_limited(item.limit);
        accounts_.push_back({item.limit, limited, item.held, item.held});
        any_limited_ = any_limited_ || limited;
    }
}

int customer_limits::tasks_allowed(std::size_t customer,
                                   const step_spec& step,
                                   int tasks) const
{
    const auto& use = accounts_[customer];
    return tasks_allowed(use, use.held, step, tasks);
}

int customer_limits::tasks_allowed_after_stops(std::size_t customer,
                                               const step_spec& step,
                                               int tasks) const
{
    const auto& use = accounts_[customer];
    return tasks_allowed(use, use.held_after_stops, step, tasks);
}

int customer_limits::tasks_allowed(const account& use,
                                   const resources& held,
                                   const step_spec& step,
                                   int tasks) const
{
    if (!use.limited)
    {
        return tasks;
    }
    const int count =
        count_within(use.limit, held, charged_for_task(step), tasks);
    if (!step.gang)
    {
        // One task that alone is wider than the limit is like a gang of one.
        const bool alone = count == 0 && held == resources{} && tasks > 0 &&
                           can_run_under(use.limit, overage_, step, 1);
        return alone ? 1 : count;
    }
    const bool alone =
        held == resources{} && can_run_under(use.limit, overage_, step, tasks);
    return count == tasks || alone ? tasks : 0;
}

bool customer_limits::can_ever_run(std::size_t customer,
                                   const step_spec& step,
                                   int tasks) const
{
    const auto& use = accounts_[customer];
    return !use.limited || can_run_under(use.limit, overage_, step, tasks);
}

void customer_limits::add_placed(std::size_t customer,
                                 const step_spec& step,
                                 int tasks)
{
    accounts_[customer].held += times(charged_for_task(step), tasks);
    add_expected(customer, step, tasks);
}

void customer_limits::add_stopping(std::size_t customer,
                                   const resources& released)
{
    accounts_[customer].held_after_stops -= released;
}

void customer_limits::keep_running(std::size_t customer, const resources& kept)
{
    accounts_[customer].held_after_stops += kept;
}

void customer_limits::add_expected(std::size_t customer,
                                   const step_spec& step,
                                   int tasks)
{
    accounts_[customer].held_after_stops +=
        times(charged_for_task(step), tasks);
}

} // namespace poplarramp
