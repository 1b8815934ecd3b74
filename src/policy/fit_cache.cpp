#include "policy/fit_cache.hpp"

#include <algorithm>

namespace poplarramp
{

// A step with a limit of tasks per server is not cached: its placement depends
// on the tasks that already run on each server.
std::optional<fit_cache::requirements>
fit_cache::requirements_of(const placement_request& request)
{
    const auto& step = *request.step;
    if (step.max_per_server > 0)
    {
        return std::nullopt;
    }
    return requirements{request.service,
                        request.regions,
                        step.label,
                        step.data_rack,
                        step.best_effort ? 0 : step.need.cpu_millis,
                        step.need.memory_mb,
                        step.need.accelerators,
                        step.gang,
                        step.gang && step.same_rack,
                        request.urgent,
                        request.isolated,
                        request.max_slowdown};
}

std::optional<bool> fit_cache::fits(const placement_request& request) const
{
    const auto key = requirements_of(request);
    const auto found = key ? bounds_.find(*key) : bounds_.end();
    if (found == bounds_.end())
    {
        return std::nullopt;
    }
    const auto& tasks = found->second;
    if (tasks.min_unfit && request.tasks >= *tasks.min_unfit)
    {
        return false;
    }
    return request.tasks <= tasks.max_fit ? std::optional(true) : std::nullopt;
}

void fit_cache::record(const placement_request& request, bool fits)
{
    const auto key = requirements_of(request);
    if (!key)
    {
        return;
    }
    auto& tasks = bounds_[*key];
    if (fits)
    {
        tasks.max_fit = std::max(tasks.max_fit, request.tasks);
    }
    else
    {
        tasks.min_unfit =
            std::min(tasks.min_unfit.value_or(request.tasks), request.tasks);
    }
}

} // namespace poplarramp
