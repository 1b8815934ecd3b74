// Timers by job, at most one per job.
#ifndef POPLARRAMP_POLICY_TIMER_SET_HPP
#define POPLARRAMP_POLICY_TIMER_SET_HPP

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace poplarramp
{

// Not thread safe.
class timer_set
{
public:
    // Sets or replaces the timer of the job; `no_deadline` removes it.
    void set(std::int64_t job, time_point due);
    void remove(std::int64_t job);
    // Removes the timers that are due and returns their jobs, earliest first.
    std::vector<std::int64_t> take_due(time_point now);
    // Time of the earliest timer; `no_deadline` if there is none.
    time_point next() const;

private:
    std::set<std::pair<time_point, std::int64_t>> by_time_;
    std::map<std::int64_t, time_point> by_job_;
};

} // namespace poplarramp

#endif
