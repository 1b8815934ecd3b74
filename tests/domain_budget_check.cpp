#include "domain_budget_check.hpp"

#include "domain_simulation.hpp"

#include <algorithm>
#include <set>

namespace poplarramp::fakes
{

namespace
{

// Of all queues of the simulation.
constexpr int max_attempts = 3;

} // namespace

void budget_check::on_start(domain_simulation& sim, const run_id& run)
{
    tasks_[run.task].starts.push_back(sim.now);
    check(sim, run.task);
}

void budget_check::on_failed(const run_id& run, std::int64_t now)
{
    tasks_[run.task].failed[run.attempt].ended_at = now;
}

void budget_check::on_noted(domain_simulation& sim, const run_id& run)
{
    tasks_[run.task].failed[run.attempt].noted = true;
    check(sim, run.task);
}

int budget_check::failures_of(const std::string& job) const
{
    std::set<int> attempts;
    for (const auto& [name, runs] : tasks_)
    {
        for (const auto& [attempt, run] : runs.failed)
        {
            if (name.job == job)
            {
                attempts.insert(attempt);
            }
        }
    }
    return static_cast<int>(attempts.size());
}

void budget_check::check(domain_simulation& sim, const task_name& name)
{
    auto& runs = tasks_[name];
    for (const auto start : runs.starts)
    {
        const auto before = std::count_if(
            runs.failed.begin(),
            runs.failed.end(),
            [start](const auto& item)
            { return item.second.noted && item.second.ended_at < start; });
        if (before >= max_attempts && !runs.reported)
        {
            runs.reported = true;
            sim.violations.push_back(text_of(name) + " was started after " +
                                     std::to_string(before) + " failures");
        }
    }
}

} // namespace poplarramp::fakes
