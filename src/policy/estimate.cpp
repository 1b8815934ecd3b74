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

// 96 logarithmic bins from 1 ms to 14 days are 24% wide each.
constexpr unsigned bins = 96;
constexpr double shortest_ms = 1;
constexpr double max_ms = 14.0 * 24 * 3600 * 1000;

// Weight that earlier run times keep when a new one is counted; the last 50
// run times have about two thirds of the weight.
constexpr double kept_weight = 0.98;
constexpr double min_weight = 4.5;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using weight_storage = bh::dense_storage<double>;
using weight_histogram = bh::histogram<std::tuple<log_axis>, weight_storage>;

} // namespace

struct run_times::distribution
{
    weight_histogram counts = bh::make_histogram_with(
        weight_storage(), log_axis(bins, shortest_ms, max_ms));
    double weight = 0;
    // Quantiles asked for since the last run time was counted.
    std::vector<std::pair<double, milliseconds>> known;

    milliseconds quantile(double share) const;
};

run_times::run_times() = default;
run_times::~run_times() = default;

void run_times::add(const std::string& customer,
                    const std::string& kind,
                    milliseconds run)
{
    auto& entry = learned_[customer][kind];
    if (entry == nullptr)
    {
        entry = std::make_unique<distribution>();
    }
    const auto value = std::clamp(
        static_cast<double>(run.count()), shortest_ms, max_ms * 0.999);
    entry->counts *= kept_weight;
    entry->counts(value);
    entry->known.clear();
    entry->weight = entry->weight * kept_weight + 1;
}

milliseconds run_times::distribution::quantile(double share) const
{
    const auto& axis = counts.axis();
    double left = share * weight;
    for (int i = 0; i < axis.size(); ++i)
    {
        const double here = counts.at(i);
        if (here >= left && here > 0)
        {
            return milliseconds(std::lround(axis.value(i + left / here)));
        }
        left -= here;
    }
    return milliseconds(std::lround(max_ms));
}

milliseconds run_times::estimate(const std::string& customer,
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
    auto& known = found->second->known;
    for (const auto& [share, value] : known)
    {
        if (share == quantile)
        {
            return value;
        }
    }
    known.emplace_back(quantile, found->second->quantile(quantile));
    return known.back().second;
}

} // namespace poplarramp
