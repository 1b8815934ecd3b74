#include "policy/guarantee_claims.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

guarantee_claims::guarantee_claims(std::vector<customer_use> customers)
    : customers_(std::move(customers)), claimed_(customers_.size(), 0)
{
}

bool guarantee_claims::claim(std::size_t customer, std::int64_t accelerators)
{
    const auto& use = customers_[customer];
    auto& claimed = claimed_[customer];
    if (use.used + claimed + accelerators > use.guaranteed)
    {
        return false;
    }
    claimed += accelerators;
    return true;
}

std::int64_t guarantee_claims::borrowed(std::size_t customer) const
{
    const auto& use = customers_[customer];
    return std::max<std::int64_t>(0, use.used - use.guaranteed);
}

void guarantee_claims::add_use(std::size_t customer, std::int64_t accelerators)
{
    customers_[customer].used += accelerators;
}

} // namespace poplarramp
