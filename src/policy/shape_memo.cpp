#include "policy/shape_memo.hpp"

#include <algorithm>

namespace poplarramp
{

// Tasks of a step that are spread over servers depend on what runs there.
std::optional<shape_memo::shape>
shape_memo::shape_of(const placement_request& request)
{
    const auto& step = *request.step;
    if (step.max_per_server > 0)
    {
        return std::nullopt;
    }
    return shape{request.service,
                 request.regions,
                 step.label,
                 step.data_rack,
                 step.best_effort ? 0 : step.need.cpu_millis,
                 step.need.memory_mb,
                 step.need.accelerators,
                 step.gang,
                 step.gang && step.same_rack,
                 request.urgent,
                 request.max_slowdown};
}

std::optional<bool> shape_memo::fits(const placement_request& request) const
{
    const auto wanted = shape_of(request);
    const auto found = wanted ? known_.find(*wanted) : known_.end();
    if (found == known_.end())
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

void shape_memo::note(const placement_request& request, bool fits)
{
    const auto wanted = shape_of(request);
    if (!wanted)
    {
        return;
    }
    auto& tasks = known_[*wanted];
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
