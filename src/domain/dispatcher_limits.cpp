// Limits and shares of the customers: rates, and what is reported of them.
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace poplarramp
{

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
