// What callers lose while their jobs wait: the common measure for the order of
// waiting steps and for preemption. Plain data and arithmetic.
#ifndef POPLARRAMP_POLICY_JOB_VALUE_HPP
#define POPLARRAMP_POLICY_JOB_VALUE_HPP

#include <cstdint>

namespace poplarramp
{

// Times of a job, in Unix milliseconds.
struct job_times
{
    std::int64_t accepted = 0;
    // Latency objective.
    std::int64_t deadline = 0;
};

// What an end at some time is to the caller.
enum class job_prospect
{
    in_time,
    // After the deadline, but still of use.
    late,
    // So late that the caller loses nothing more by waiting.
    lost,
};

// The functions below are thread safe.

// Until when a late result is of use: after three times the objective callers
// have usually made do without it.
std::int64_t late_limit(const job_times& job);

job_prospect prospect_at(const job_times& job, std::int64_t end);

// Share of the job's value that is left if it ends at this time, from 1 to 0.
double value_at(const job_times& job, std::int64_t end);

} // namespace poplarramp

#endif
