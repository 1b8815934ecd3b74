#include "domain/attempt_ends.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace poplarramp
{

failed_attempts::failed_attempts(int unnamed,
                                 int unnamed_until,
                                 std::vector<int> named)
    : unnamed_(unnamed), unnamed_until_(unnamed_until), named_(std::move(named))
{
}

bool failed_attempts::add(int attempt)
{
    if (contains(attempt))
    {
        return false;
    }
    named_.insert(std::upper_bound(named_.begin(), named_.end(), attempt),
                  attempt);
    return true;
}

bool failed_attempts::contains(int attempt) const
{
    return attempt <= unnamed_until_ ||
           std::binary_search(named_.begin(), named_.end(), attempt);
}

int failed_attempts::count() const
{
    return unnamed_ + static_cast<int>(named_.size());
}

int failed_attempts::newest() const
{
    return named_.empty() ? unnamed_until_ : named_.back();
}

void unlisted_ends::add(unlisted_end end)
{
    ends_.push_back(std::move(end));
}

bool unlisted_ends::remove(int task, int attempt)
{
    return std::erase_if(ends_,
                         [task, attempt](const unlisted_end& end) {
                             return end.task == task && end.attempt == attempt;
                         }) > 0;
}

int unlisted_ends::attempts_besides(const failed_attempts& failures) const
{
    std::set<int> attempts;
    for (const auto& end : ends_)
    {
        if (!failures.contains(end.attempt))
        {
            attempts.insert(end.attempt);
        }
    }
    return static_cast<int>(attempts.size());
}

} // namespace poplarramp
