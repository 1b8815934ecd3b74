#include "domain/job_bisection.hpp"

#include "domain/job_probation.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace poplarramp
{

namespace
{

// Leaders may be ended at a fixed time after their election for a cause of
// their own: the beginning of a job in question varies by more.
constexpr milliseconds control_spread{2000};

// Tasks over all repetitions.
std::int64_t tasks_of(const step_job& job)
{
    std::int64_t tasks = 0;
    for (const auto& step : job.spec.steps)
    {
        tasks += step.tasks;
    }
    return tasks * std::max(1, job.spec.repetitions);
}

} // namespace

std::string bisection_key(const step_job& job)
{
    constexpr std::size_t digits = 12;
    auto weight = std::to_string(tasks_of(job));
    weight.insert(0, digits - std::min(digits, weight.size()), '0');
    return weight + ":" + job.id;
}

job_bisection::job_bisection(bisection_group failed,
                             std::function<std::uint64_t()> random)
    : failed_(std::move(failed)), random_(std::move(random))
{
}

job_bisection job_bisection::retry(const step_job& job,
                                   int ends,
                                   std::function<std::uint64_t()> random)
{
    job_bisection result({}, std::move(random));
    result.add(job);
    result.ends_ = ends;
    result.is_retry_ = true;
    return result;
}

void job_bisection::add(const step_job& job)
{
    jobs_.emplace(bisection_key(job), candidate{job.id, tasks_of(job)});
    waiting_.insert(job.id);
}

bool job_bisection::advance(time_point now, bool stored)
{
    if (phase_ == phase::done)
    {
        return false;
    }
    if (phase_ == phase::not_begun)
    {
        choose_groups();
        return done();
    }
    if (until_ && now >= *until_)
    {
        go_on();
        return false;
    }
    if (released_ || !stored)
    {
        return false;
    }
    released_ = true;
    waiting_ =
        phase_ == phase::last_part ? std::set<std::string>{} : last_part_;
    return true;
}

void job_bisection::on_planned(time_point now)
{
    if (!released_ || until_)
    {
        return;
    }
    until_ = now + probation_time;
    if (phase_ == phase::control)
    {
        const auto spread = static_cast<std::uint64_t>(control_spread.count());
        *until_ += milliseconds(static_cast<std::int64_t>(random_() % spread));
    }
}

// The current group has been outlived.
void job_bisection::go_on()
{
    until_.reset();
    released_ = false;
    if (phase_ == phase::last_part)
    {
        phase_ = phase::done;
        note_ = {};
        return;
    }
    phase_ = phase::last_part;
    note_ = last_group_;
}

void job_bisection::choose_groups()
{
    auto first = jobs_.cbegin();
    auto last = jobs_.cend();
    if (failed_.alone)
    {
        first = jobs_.find(failed_.to);
        last = first == jobs_.cend() ? first : std::next(first);
    }
    else if (!failed_.to.empty())
    {
        first = jobs_.upper_bound(failed_.after);
        last =
            failed_.to > failed_.after ? jobs_.upper_bound(failed_.to) : first;
    }
    const auto count = std::distance(first, last);
    if (count > 1)
    {
        split(first, last);
        return;
    }
    if (!is_retry_)
    {
        ends_ = failed_.alone ? failed_.ends + 1 : 0;
    }
    if (count == 1 && !is_retry_ && ends_ >= ends_of_faulty_job)
    {
        faulty_job_ = first->second.id;
    }
    if (count == 0 || faulty_job_)
    {
        // None of the jobs in question is left, or only the one at fault.
        phase_ = phase::done;
        waiting_.clear();
        return;
    }
    const auto before =
        first == jobs_.cbegin() ? std::string() : std::prev(first)->first;
    if (failed_.to.empty() && !is_retry_)
    {
        // No leader has ended under it alone, so that it need not wait.
        phase_ = phase::last_part;
        note_ = {before, first->first};
        return;
    }
    phase_ = phase::control;
    note_ = {before, first->first, true, false, ends_};
    last_group_ = {before, first->first, false, true, ends_};
    last_part_ = {first->second.id};
}

// The parts have the same number of tasks, as far as possible.
void job_bisection::split(candidate_map::const_iterator first,
                          candidate_map::const_iterator last)
{
    std::int64_t tasks = 0;
    for (auto item = first; item != last; ++item)
    {
        tasks += item->second.tasks;
    }
    const auto before =
        first == jobs_.cbegin() ? std::string() : std::prev(first)->first;
    auto middle = std::next(first);
    auto first_tasks = first->second.tasks;
    while (std::next(middle) != last &&
           2 * (first_tasks + middle->second.tasks) <= tasks)
    {
        first_tasks += middle->second.tasks;
        ++middle;
    }
    phase_ = phase::first_part;
    note_ = {before, std::prev(middle)->first};
    last_group_ = {note_.to, std::prev(last)->first};
    for (auto item = middle; item != last; ++item)
    {
        last_part_.insert(item->second.id);
    }
}

} // namespace poplarramp
