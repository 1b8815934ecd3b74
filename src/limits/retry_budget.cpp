#include "limits/retry_budget.hpp"

#include <algorithm>

namespace poplarramp
{

void retry_budget::on_request()
{
    tokens_ = std::min(settings_.capacity, tokens_ + settings_.per_request);
}

bool retry_budget::try_retry()
{
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace poplarramp
