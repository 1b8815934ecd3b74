// Bounds the state of tasks that the leader holds: which repetitions of which
// jobs are open. Plain data.
#ifndef POPLARRAMP_DOMAIN_OPEN_WORK_HPP
#define POPLARRAMP_DOMAIN_OPEN_WORK_HPP

#include "domain/job_progress.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace poplarramp
{

// Number of tasks whose state a process with this memory may hold. Thread safe.
std::size_t max_open_tasks(std::int64_t memory_mb);

// Opens due repetitions, those of urgent jobs first and then in the order of
// arrival, until `max_tasks` tasks are open. Part of that is reserved for
// urgent jobs, and part for the first open repetition of each job. Passes over
// jobs that may not begin. Returns the other jobs of which a due repetition is
// not open. Not thread safe.
std::set<std::string>
open_due_work(std::map<std::string, job_progress>& jobs,
              std::int64_t unix_now,
              std::size_t max_tasks,
              const std::function<bool(const job_progress& job)>& may_begin);

} // namespace poplarramp

#endif
