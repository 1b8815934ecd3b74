#include "policy/customer_shares.hpp"

#include <algorithm>
#include <tuple>

namespace poplarramp
{

double dominant_share(const resources& held, const resources& fleet)
{
    const auto share = [](std::int64_t part, std::int64_t whole)
    {
        return whole > 0
                   ? static_cast<double>(part) / static_cast<double>(whole)
                   : 0;
    };
    return std::max({share(held.cpu_millis, fleet.cpu_millis),
                     share(held.memory_mb, fleet.memory_mb),
                     share(held.accelerators, fleet.accelerators)});
}

share_order::share_order(std::vector<entry> entries,
                         std::span<const customer_use> customers,
                         const resources& fleet)
    : entries_(std::move(entries)), fleet_(fleet)
{
    weights_.reserve(customers.size());
    for (const auto& item : customers)
    {
        weights_.push_back(item.weight);
        weight_sum_ += item.weight;
    }
}

std::optional<std::size_t> share_order::next(const customer_limits& ledger)
{
    if (waiting_.empty())
    {
        if (position_ == entries_.size())
        {
            return std::nullopt;
        }
        if (weight_sum_ <= 0 || !entries_[position_].shared)
        {
            return entries_[position_++].step;
        }
        collect_rank();
    }
    auto best = waiting_.begin();
    std::tuple<double, std::size_t> best_rank;
    for (auto item = waiting_.begin(); item != waiting_.end(); ++item)
    {
        const auto& [steps, taken] = item->second;
        const std::tuple rank{distance(item->first, ledger), steps[taken]};
        if (item == waiting_.begin() || rank < best_rank)
        {
            best = item;
            best_rank = rank;
        }
    }
    auto& [steps, taken] = best->second;
    const auto step = entries_[steps[taken++]].step;
    if (taken == steps.size())
    {
        waiting_.erase(best);
    }
    return step;
}

// How much of its share the customer holds, as the holding for each unit of
// weight. A customer without a weight comes after those below their shares and
// before those above.
double share_order::distance(std::size_t customer,
                             const customer_limits& ledger) const
{
    const auto weight = weights_[customer];
    return weight > 0 ? dominant_share(ledger.held(customer), fleet_) / weight
                      : 1 / weight_sum_;
}

void share_order::collect_rank()
{
    const int rank = entries_[position_].rank;
    for (; position_ < entries_.size() && entries_[position_].rank == rank;
         ++position_)
    {
        waiting_[entries_[position_].customer].first.push_back(position_);
    }
}

} // namespace poplarramp
