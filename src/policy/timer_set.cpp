#include "policy/timer_set.hpp"

namespace poplarramp
{

void timer_set::set(std::int64_t job, time_point due)
{
    remove(job);
    if (due != no_deadline)
    {
        by_time_.emplace(due, job);
        by_job_.emplace(job, due);
    }
}

void timer_set::remove(std::int64_t job)
{
    const auto found = by_job_.find(job);
    if (found != by_job_.end())
    {
        by_time_.erase({found->second, job});
        by_job_.erase(found);
    }
}

std::vector<std::int64_t> timer_set::take_due(time_point now)
{
    std::vector<std::int64_t> due;
    while (!by_time_.empty() && by_time_.begin()->first <= now)
    {
        due.push_back(by_time_.begin()->second);
        remove(due.back());
    }
    return due;
}

time_point timer_set::next() const
{
    return by_time_.empty() ? no_deadline : by_time_.begin()->first;
}

} // namespace poplarramp
