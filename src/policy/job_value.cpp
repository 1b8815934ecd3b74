#include "policy/job_value.hpp"

namespace poplarramp
{

namespace
{

constexpr std::int64_t late_factor = 3;

// A late result still saves the caller the work, but not the wait: customers
// put it at a fifth to a half of one in time.
constexpr double late_value = 0.3;

} // namespace

std::int64_t late_limit(const job_times& job)
{
    return job.accepted + late_factor * (job.deadline - job.accepted);
}

job_prospect prospect_at(const job_times& job, std::int64_t end)
{
    if (end <= job.deadline)
    {
        return job_prospect::in_time;
    }
    return end <= late_limit(job) ? job_prospect::late : job_prospect::lost;
}

double value_at(const job_times& job, std::int64_t end)
{
    switch (prospect_at(job, end))
    {
    case job_prospect::in_time:
        return 1;
    case job_prospect::late:
        return late_value;
    case job_prospect::lost:
        return 0;
    }
    return 0;
}

} // namespace poplarramp
