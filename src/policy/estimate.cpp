#include "policy/estimate.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

namespace bh = boost::histogram;

// 96 logarithmic bins from 1 ms to 14 days, each 24% wide.
constexpr unsigned bin_count = 96;
constexpr double min_run_ms = 1;
constexpr double max_run_ms = 14.0 * 24 * 3600 * 1000;

// Decay of the earlier weights per new run time; the last 50 run times have
// about two thirds of the weight.
constexpr double decay_factor = 0.98;
// Reached with the fifth run time. Below it, the declared run time is used.
constexpr double min_weight = 4.5;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using weight_storage = bh::dense_storage<double>;
using weight_histogram = bh::histogram<std::tuple<log_axis>, weight_storage>;

} // namespace

struct run_time_estimator::distribution
{
    weight_histogram counts = bh::make_histogram_with(
        weight_storage(), log_axis(bin_count, min_run_ms, max_run_ms));
    double weight = 0;
    // Cached quantiles; cleared when a run time is added.
    std::vector<std::pair<double, milliseconds>> cached_quantiles;

    milliseconds quantile(double share) const;
};

run_time_estimator::run_time_estimator() = default;
run_time_estimator::~run_time_estimator() = default;

void run_time_estimator::add(const std::string& customer,
                             const std::string& kind,
                             milliseconds run)
{
    auto& entry = learned_[customer][kind];
    if (entry == nullptr)
    {
        entry = std::make_unique<distribution>();
    }
    const auto value = std::clamp(
        static_cast<double>(run.count()), min_run_ms, max_run_ms * 0.999);
    entry->counts *= decay_factor;
    entry->counts(value);
    entry->cached_quantiles.clear();
    entry->weight = entry->weight * decay_factor + 1;
}

milliseconds run_time_estimator::distribution::quantile(double share) const
{
    const auto& axis = counts.axis();
    double left = share * weight;
    for (int i = 0; i < axis.size(); ++i)
    {
        const double bin_weight = counts.at(i);
        if (bin_weight >= left && bin_weight > 0)
        {
            return milliseconds(std::lround(axis.value(i + left / bin_weight)));
        }
        left -= bin_weight;
    }
    return milliseconds(std::lround(max_run_ms));
}

milliseconds run_time_estimator::estimate(const std::string& customer,
                                          const std::string& kind,
                                          double quantile,
                                          milliseconds declared) const
{
    const auto kinds = learned_.find(customer);
    if (kinds == learned_.end())
    {
        return declared;
    }
    const auto found = kinds->second.find(kind);
    if (found == kinds->second.end() || found->second->weight < min_weight)
    {
        return declared;
    }
    auto& cached_quantiles = found->second->cached_quantiles;
    for (const auto& [share, value] : cached_quantiles)
    {
        if (share == quantile)
        {
            return value;
        }
    }
    cached_quantiles.emplace_back(quantile, found->second->quantile(quantile));
    return cached_quantiles.back().second;
}

} // namespace poplarramp
