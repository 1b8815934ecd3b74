#include "domain/job_probation.hpp"

namespace poplarramp
{

void job_probation::add(const std::string& job, bool begun)
{
    jobs_.try_emplace(job, entry{begun, std::nullopt});
}

void job_probation::begin(const std::string& job, time_point now)
{
    const auto found = jobs_.find(job);
    if (found != jobs_.end() && !found->second.until)
    {
        found->second.until = now + probation_time;
    }
}

void job_probation::remove(const std::string& job)
{
    jobs_.erase(job);
}

void job_probation::advance(time_point now)
{
    std::erase_if(jobs_,
                  [now](const auto& item)
                  { return item.second.until && *item.second.until <= now; });
}

void job_probation::for_each_waiting(
    const std::function<void(const std::string& job)>& visit) const
{
    for (const auto& [job, item] : jobs_)
    {
        if (!item.until)
        {
            visit(job);
        }
    }
}

probation_list job_probation::begun() const
{
    probation_list result;
    for (const auto& [job, item] : jobs_)
    {
        if (item.begun_before || item.until)
        {
            result.jobs.push_back(job);
        }
    }
    return result;
}

} // namespace poplarramp
