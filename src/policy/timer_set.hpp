// Times at which something is due for a job.
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
    // Replaces the time of the job. `no_deadline` removes it.
    void set(std::int64_t job, time_point due);
    void remove(std::int64_t job);
    // Removes and returns the jobs that are due, the earliest first.
    std::vector<std::int64_t> take_due(time_point now);
    // `no_deadline` if there is none.
    time_point next() const;

private:
    std::set<std::pair<time_point, std::int64_t>> order_;
    std::map<std::int64_t, time_point> times_;
};

} // namespace poplarramp

#endif
