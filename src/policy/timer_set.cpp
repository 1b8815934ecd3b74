#include "policy/timer_set.hpp"

namespace poplarramp
{

void timer_set::set(std::int64_t job, time_point due)
{
    remove(job);
    if (due != no_deadline)
    {
        order_.emplace(due, job);
        times_.emplace(job, due);
    }
}

void timer_set::remove(std::int64_t job)
{
    const auto found = times_.find(job);
    if (found != times_.end())
    {
        order_.erase({found->second, job});
        times_.erase(found);
    }
}

std::vector<std::int64_t> timer_set::take_due(time_point now)
{
    std::vector<std::int64_t> due;
    while (!order_.empty() && order_.begin()->first <= now)
    {
        due.push_back(order_.begin()->second);
        remove(due.back());
    }
    return due;
}

time_point timer_set::next() const
{
    return order_.empty() ? no_deadline : order_.begin()->first;
}

} // namespace poplarramp
