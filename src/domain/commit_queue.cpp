#include "domain/commit_queue.hpp"

#include <utility>

namespace poplarramp
{

void commit_queue::push(const std::string& job)
{
    if (waiting_.insert(job).second)
    {
        order_.push_back(job);
    }
}

void commit_queue::begin_batch()
{
    group_.reset();
    if (!groups_.empty())
    {
        group_ = std::move(groups_.back());
        groups_.pop_back();
    }
}

std::optional<std::string> commit_queue::next()
{
    auto& from = group_ ? *group_ : order_;
    if (from.empty())
    {
        return std::nullopt;
    }
    auto job = std::move(from.front());
    from.pop_front();
    if (!group_)
    {
        waiting_.erase(job);
    }
    return job;
}

void commit_queue::end_batch()
{
    if (group_ && !group_->empty())
    {
        groups_.push_back(std::move(*group_));
    }
    group_.reset();
}

void commit_queue::split(const std::vector<std::string>& jobs)
{
    const auto middle =
        jobs.begin() + static_cast<std::ptrdiff_t>(jobs.size() / 2);
    groups_.emplace_back(middle, jobs.end());
    groups_.emplace_back(jobs.begin(), middle);
}

} // namespace poplarramp
