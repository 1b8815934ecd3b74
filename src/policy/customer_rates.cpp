#include "policy/customer_rates.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

constexpr double ms_per_s = 1000;

// A bucket for less than one job a second would never let one through.
constexpr double min_bucket_jobs = 1;

} // namespace

void customer_rates::add(const std::string& job,
                         const std::string& customer,
                         double per_second,
                         std::int64_t accepted_unix_ms)
{
    if (per_second <= 0)
    {
        return;
    }
    const double size = std::max(per_second, min_bucket_jobs);
    const auto [item, added] =
        buckets_.try_emplace(customer, bucket{size, accepted_unix_ms});
    auto& [tokens, filled] = item->second;
    // The clocks of the VMs differ: an earlier time adds nothing.
    const auto elapsed = std::max<std::int64_t>(0, accepted_unix_ms - filled);
    tokens = std::min(
        size, tokens + per_second * static_cast<double>(elapsed) / ms_per_s);
    filled = std::max(filled, accepted_unix_ms);
    if (tokens < 1)
    {
        beyond_.insert(job);
        return;
    }
    tokens -= 1;
}

void customer_rates::forget(const std::string& job)
{
    beyond_.erase(job);
}

} // namespace poplarramp
