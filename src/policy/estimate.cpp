#include "policy/estimate.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace poplarramp
{

namespace
{

namespace bh = boost::histogram;

// 96 logarithmic bins from 1 ms to 14 days are 24% wide each.
constexpr unsigned bins = 96;
constexpr double shortest_ms = 1;
constexpr double longest_ms = 14.0 * 24 * 3600 * 1000;

// Weight that earlier run times keep when a new one is counted; the last 50
// run times have about two thirds of the weight.
constexpr double kept_weight = 0.98;
constexpr double least_weight = 4.5;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using weight_storage = bh::dense_storage<double>;
using weight_histogram = bh::histogram<std::tuple<log_axis>, weight_storage>;

} // namespace

struct run_times::distribution
{
    weight_histogram counts = bh::make_histogram_with(
        weight_storage(), log_axis(bins, shortest_ms, longest_ms));
    double weight = 0;
};

run_times::run_times() = default;
run_times::~run_times() = default;

void run_times::add(const std::string& customer,
                    const std::string& kind,
                    milliseconds run)
{
    auto& entry = learned_[{customer, kind}];
    if (entry == nullptr)
    {
        entry = std::make_unique<distribution>();
    }
    const auto value = std::clamp(
        static_cast<double>(run.count()), shortest_ms, longest_ms * 0.999);
    entry->counts *= kept_weight;
    entry->counts(value);
    entry->weight = entry->weight * kept_weight + 1;
}

milliseconds run_times::estimate(const std::string& customer,
                                 const std::string& kind,
                                 double quantile,
                                 milliseconds declared) const
{
    const auto found = learned_.find({customer, kind});
    if (found == learned_.end() || found->second->weight < least_weight)
    {
        return declared;
    }
    const auto& counts = found->second->counts;
    const auto& axis = counts.axis();
    double left = quantile * found->second->weight;
    for (int i = 0; i < axis.size(); ++i)
    {
        const double here = counts.at(i);
        if (here >= left && here > 0)
        {
            const double value = axis.value(i + left / here);
            return milliseconds(std::lround(value));
        }
        left -= here;
    }
    return milliseconds(std::lround(longest_ms));
}

} // namespace poplarramp
