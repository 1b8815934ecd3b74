#include "report/histogram.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cstdio>

namespace poplarramp
{

namespace
{

namespace bh = boost::histogram;

constexpr int bucket_count = 32;
constexpr double min_ms = 1;
constexpr double max_ms = 86'400'000;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto make_buckets()
{
    return bh::make_histogram(log_axis(bucket_count, min_ms, max_ms));
}

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value);
    return text;
}

} // namespace

struct time_histogram::state
{
    decltype(make_buckets()) counts = make_buckets();
    std::uint64_t total = 0;
    double sum_ms = 0;
};

time_histogram::time_histogram() : state_(std::make_unique<state>())
{
}

time_histogram::~time_histogram() = default;
time_histogram::time_histogram(time_histogram&&) noexcept = default;
time_histogram& time_histogram::operator=(time_histogram&&) noexcept = default;

void time_histogram::record(milliseconds value)
{
    const auto ms = static_cast<double>(value.count());
    // The logarithm needs a positive value.
    state_->counts(std::max(ms, min_ms));
    ++state_->total;
    state_->sum_ms += ms;
}

std::uint64_t time_histogram::count() const
{
    return state_->total;
}

milliseconds time_histogram::quantile(double share) const
{
    const double target = share * static_cast<double>(state_->total);
    double cumulative = 0;
    for (int i = 0; i < bucket_count && state_->total > 0; ++i)
    {
        cumulative += state_->counts.at(i);
        if (cumulative >= target)
        {
            return milliseconds(static_cast<std::int64_t>(
                state_->counts.axis().bin(i).upper()));
        }
    }
    return milliseconds(state_->total > 0 ? static_cast<std::int64_t>(max_ms)
                                          : 0);
}

void time_histogram::append_prometheus(std::string& text,
                                       std::string_view name,
                                       std::string_view labels) const
{
    const std::string comma = labels.empty() ? "" : ",";
    const std::string prefix =
        std::string(name) + "_bucket{" + std::string(labels) + comma + "le=\"";
    double cumulative = 0;
    for (int i = 0; i < bucket_count; ++i)
    {
        cumulative += state_->counts.at(i);
        const double edge_s = state_->counts.axis().bin(i).upper() / 1000;
        text += prefix + number(edge_s) + "\"} " + number(cumulative) + "\n";
    }
    const auto total = std::to_string(state_->total);
    text += prefix + "+Inf\"} " + total + "\n";
    const std::string braces =
        labels.empty() ? "" : "{" + std::string(labels) + "}";
    text += std::string(name) + "_sum" + braces + " " +
            number(state_->sum_ms / 1000) + "\n";
    text += std::string(name) + "_count" + braces + " " + total + "\n";
}

} // namespace poplarramp
