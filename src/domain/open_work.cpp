#include "domain/open_work.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace poplarramp
{

namespace
{

// State of a placed task in its job, on its server and in the plan. Measured at
// 128 bytes for a waiting task, without the texts of server and checkpoint.
constexpr std::size_t bytes_per_task = 512;

// The rest of the memory is for rows, connections and the plan. With 128 MB
// this allows 65,536 tasks; the largest fleet runs 43,000.
constexpr std::size_t memory_share = 4;

constexpr std::size_t bytes_per_mb = 1'048'576;

// One repetition must always fit.
constexpr std::size_t min_open_tasks = 2000;

// A job names its open repetitions in one row, and each adds a step to a plan.
constexpr std::size_t max_open_repetitions = 1000;

// A job with many repetitions takes at most a quarter of the tasks, and such
// jobs together half, so that the first repetitions of others find room.
constexpr std::size_t job_share = 4;
constexpr std::size_t further_share = 2;

// A quarter is left to urgent jobs.
std::size_t limit_for(const job_progress& job, std::size_t max_tasks)
{
    return job.job().policy.priority == 0 ? max_tasks
                                          : max_tasks - max_tasks / 4;
}

std::size_t open_tasks(const job_progress& job)
{
    return job.repetitions().size() * job.tasks_per_repetition();
}

} // namespace

std::size_t max_open_tasks(std::int64_t memory_mb)
{
    const auto bytes =
        static_cast<std::size_t>(std::max<std::int64_t>(memory_mb, 0)) *
        bytes_per_mb;
    return std::max(min_open_tasks, bytes / memory_share / bytes_per_task);
}

std::set<std::string>
open_due_work(std::map<std::string, job_progress>& jobs,
              std::int64_t unix_now,
              std::size_t max_tasks,
              const std::function<bool(const job_progress& job)>& may_begin)
{
    std::size_t open = 0;
    std::vector<job_progress*> due;
    for (auto& [id, job] : jobs)
    {
        open += open_tasks(job);
        const auto next = job.next_due();
        if (next && *next <= unix_now && !is_final(job.state()) &&
            may_begin(job))
        {
            due.push_back(&job);
        }
    }
    std::sort(due.begin(),
              due.end(),
              [](const job_progress* a, const job_progress* b)
              {
                  const auto rank = [](const job_progress& item)
                  {
                      const auto& job = item.job();
                      return std::make_tuple(job.policy.priority != 0,
                                             job.accepted_unix_ms,
                                             std::cref(job.id));
                  };
                  return rank(*a) < rank(*b);
              });
    // Opens repetitions of a job up to a number of tasks in all.
    const auto open_up_to =
        [&open, unix_now](job_progress& job, std::size_t limit, std::size_t max)
    {
        const auto tasks = job.tasks_per_repetition();
        const auto room = limit > open ? (limit - open) / tasks : 0;
        const auto before = open_tasks(job);
        job.open_due_repetitions(
            unix_now, std::min(max, job.repetitions().size() + room));
        open += open_tasks(job) - before;
    };
    for (auto* job : due)
    {
        if (job->repetitions().empty())
        {
            open_up_to(*job, limit_for(*job, max_tasks), 1);
        }
    }
    std::set<std::string> waiting;
    for (auto* job : due)
    {
        const auto own_limit = std::max<std::size_t>(
            1, max_tasks / job_share / job->tasks_per_repetition());
        open_up_to(*job,
                   max_tasks / further_share,
                   std::min(own_limit, max_open_repetitions));
        const auto next = job->next_due();
        if (next && *next <= unix_now)
        {
            waiting.insert(job->job().id);
        }
    }
    return waiting;
}

} // namespace poplarramp
