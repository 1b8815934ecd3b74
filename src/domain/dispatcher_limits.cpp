// Limits and shares of the customers: rates, and what is reported of them.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace poplarramp
{

namespace
{

// A job can wait for minutes; plans follow each other in milliseconds.
constexpr milliseconds limit_log_interval{10000};

std::string text_of(const resources& amount)
{
    return std::to_string(amount.cpu_millis) + "/" +
           std::to_string(amount.memory_mb) + "/" +
           std::to_string(amount.accelerators);
}

} // namespace

void dispatcher::log_limited(const planning_view& view,
                             const std::vector<std::size_t>& steps)
{
    const auto now = hooks_.now();
    std::erase_if(next_limit_log_,
                  [now](const auto& item) { return item.second <= now; });
    for (const auto index : steps)
    {
        const auto& progress = *view.steps[index].job;
        const auto& job = progress.job();
        const auto* customer = deployment_.customer(job.customer);
        if (customer == nullptr ||
            !next_limit_log_.emplace(job.id, now + limit_log_interval).second)
        {
            continue;
        }
        hooks_.count("limit_waits", 1);
        const bool never = step_beyond_limit(customer->limit,
                                             settings_.limit_overage,
                                             job.spec.steps)
                               .has_value();
        log_line(never ? log_level::warning : log_level::info,
                 "sched",
                 "Tasks wait for the limit of the customer.",
                 {{"job", job.id},
                  {"customer", job.customer},
                  {"tasks", std::to_string(view.steps[index].tasks.size())},
                  {"limit", text_of(customer->limit)},
                  {"reason",
                   never ? "the limit can never hold a step of the job"
                         : "limit of the customer"}});
    }
}

std::map<std::string, customer_figures> dispatcher::figures_by_customer() const
{
    std::map<std::string, customer_figures> result;
    double weights = 0;
    for (const auto& customer : deployment_.customers())
    {
        weights += customer.weight;
        if (customer.weight > 0 || customer.limit != resources{})
        {
            result[customer.name].limit = customer.limit;
        }
    }
    if (result.empty())
    {
        return result;
    }
    resources fleet;
    for (const auto& [id, server] : registry_.all())
    {
        fleet += server.registration.capacity;
        for (const auto& [run, record] : server.runs)
        {
            const auto open = open_jobs_.find(run.task.job);
            const auto* accepted = jobs_.find(run.task.job);
            const auto* job = open != open_jobs_.end() ? &open->second.job()
                              : accepted != nullptr && accepted->job
                                  ? &*accepted->job
                                  : nullptr;
            const auto found =
                job == nullptr ? result.end() : result.find(job->customer);
            if (found != result.end() && !record.ended)
            {
                found->second.held += charged_for_run(*job, accepted, run);
            }
        }
    }
    for (const auto& [id, progress] : open_jobs_)
    {
        const auto found = result.find(progress.job().customer);
        if (found == result.end())
        {
            continue;
        }
        for (const auto& [number, repetition] : progress.repetitions())
        {
            for (std::size_t i = 0; i < repetition.steps.size(); ++i)
            {
                found->second.waiting_tasks += static_cast<std::int64_t>(
                    progress.ready_tasks(number, static_cast<int>(i)).size());
            }
        }
    }
    for (auto& [name, figures] : result)
    {
        figures.share = dominant_share(figures.held, fleet);
        figures.entitled_share =
            weights > 0 ? deployment_.customer(name)->weight / weights : 0;
    }
    return result;
}

void dispatcher::record_rate(const step_job& job)
{
    const auto* customer = deployment_.customer(job.customer);
    if (customer != nullptr)
    {
        rates_.add(
            job.id, job.customer, customer->weight, job.accepted_unix_ms);
    }
}

// A new leader repeats the decisions of the last one, for which it needs the
// ended jobs too: they have used up their customers' rates.
void dispatcher::restore_rates()
{
    std::vector<const step_job*> jobs;
    for (const auto& [id, record] : jobs_.all())
    {
        const auto* customer =
            record.job ? deployment_.customer(record.job->customer) : nullptr;
        if (customer != nullptr && customer->weight > 0)
        {
            jobs.push_back(&*record.job);
        }
    }
    std::sort(jobs.begin(),
              jobs.end(),
              [](const step_job* a, const step_job* b)
              {
                  return std::tie(a->accepted_unix_ms, a->id) <
                         std::tie(b->accepted_unix_ms, b->id);
              });
    for (const auto* job : jobs)
    {
        record_rate(*job);
    }
    for (const auto* job : jobs)
    {
        if (!open_jobs_.contains(job->id))
        {
            rates_.forget(job->id);
        }
    }
}

} // namespace poplarramp
