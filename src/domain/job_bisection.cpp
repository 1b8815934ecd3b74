#include "domain/job_bisection.hpp"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>

namespace poplarramp
{

namespace
{

// A leader that exceeds its memory ends within some tenths of a second of the
// arrival of a job.
constexpr milliseconds group_time{1500};

// Leaders also end for other causes: a job alone in its group is at fault after
// the second.
constexpr int ends_of_faulty_job = 2;

// Keys sort by the number of tasks over all repetitions, then by id.
std::string key_of(const step_job& job)
{
    constexpr std::size_t digits = 12;
    std::int64_t tasks = 0;
    for (const auto& step : job.spec.steps)
    {
        tasks += step.tasks;
    }
    auto weight = std::to_string(tasks * std::max(1, job.spec.repetitions));
    weight.insert(0, digits - std::min(digits, weight.size()), '0');
    return weight + ":" + job.id;
}

} // namespace

job_bisection::job_bisection(bisection_group failed)
    : failed_(std::move(failed))
{
}

void job_bisection::add(const step_job& job)
{
    const auto key = key_of(job);
    if (begun_ && key <= note_.to)
    {
        late_.insert(key);
    }
    jobs_.emplace(key, job.id);
}

void job_bisection::advance(time_point now, bool stored)
{
    stored_ = stored;
    if (!std::exchange(begun_, true))
    {
        if (!choose_from_failed())
        {
            choose_group("");
        }
        stored_ = false;
        return;
    }
    if (done_ || !stored)
    {
        return;
    }
    if (!until_)
    {
        until_ = now + group_time;
    }
    else if (now >= *until_)
    {
        until_.reset();
        stored_ = false;
        choose_group(note_.to);
    }
}

// Half of the jobs after the key.
void job_bisection::choose_group(std::string after)
{
    const auto first = jobs_.upper_bound(after);
    const auto count = std::distance(first, jobs_.end());
    done_ = count == 0;
    note_ = {};
    if (!done_)
    {
        note_ = {std::move(after), std::next(first, (count - 1) / 2)->first, 0};
    }
}

// False if none of the group that failed is left.
bool job_bisection::choose_from_failed()
{
    const auto first = jobs_.upper_bound(failed_.after);
    const auto end = jobs_.upper_bound(failed_.to);
    if (failed_.to <= failed_.after || first == end)
    {
        return false;
    }
    const auto count = std::distance(first, end);
    if (count > 1)
    {
        note_ = {failed_.after, std::next(first, (count - 1) / 2)->first, 0};
        return true;
    }
    if (failed_.ends + 1 >= ends_of_faulty_job)
    {
        faulty_job_ = first->second;
        jobs_.erase(first);
        return false;
    }
    note_ = {failed_.after, failed_.to, failed_.ends + 1};
    return true;
}

bool job_bisection::may_begin(const step_job& job) const
{
    const auto key = key_of(job);
    return done_ || (begun_ && !late_.contains(key) &&
                     (key <= note_.after || (stored_ && key <= note_.to)));
}

} // namespace poplarramp
