#include "domain/gang_ends.hpp"

namespace poplarramp
{

gang_ends::attempt_key gang_ends::key_of(const run_id& run)
{
    return {run.task.job, run.task.repetition, run.task.step, run.attempt};
}

void gang_ends::record(const run_id& run,
                       run_outcome outcome,
                       bool stopping,
                       time_point now)
{
    const auto [item, first] = ends_.try_emplace(key_of(run));
    auto& end = item->second;
    if (first)
    {
        end.first = now;
        // A stop that was requested before any end is a cause as well.
        end.has_known_cause = stopping;
    }
    // The members that are stopped after the first end are no cause.
    const bool is_consequence =
        outcome == run_outcome::gang_ended ||
        (outcome == run_outcome::stopped && stopping && !first);
    end.has_known_cause = end.has_known_cause || !is_consequence;
}

bool gang_ends::ended_elsewhere(const run_id& run, time_point now) const
{
    const auto found = ends_.find(key_of(run));
    return found != ends_.end() && !found->second.has_known_cause &&
           now - found->second.first >= gang_end_delay;
}

void gang_ends::forget(const run_id& run)
{
    ends_.erase(key_of(run));
}

void gang_ends::forget_job(const std::string& job)
{
    std::erase_if(ends_,
                  [&job](const auto& item)
                  { return std::get<0>(item.first) == job; });
}

} // namespace poplarramp
