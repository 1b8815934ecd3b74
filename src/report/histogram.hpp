// Histogram of durations with logarithmic buckets from 1 ms to 1 day.
#ifndef POPLARRAMP_REPORT_HISTOGRAM_HPP
#define POPLARRAMP_REPORT_HISTOGRAM_HPP

#include "base/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace poplarramp
{

// Not thread safe. Movable.
class time_histogram
{
public:
    time_histogram();
    ~time_histogram();
    time_histogram(time_histogram&&) noexcept;
    time_histogram& operator=(time_histogram&&) noexcept;

    void record(milliseconds value);
    std::uint64_t count() const;

    // Upper edge of the bucket that holds the quantile `share` (0 to 1) of the
    // values; zero if there are none.
    milliseconds quantile(double share) const;

    // Appends the histogram in the Prometheus text format; `labels` is the
    // inner part of the label list, possibly empty. Times are in seconds.
    void append_prometheus(std::string& text,
                           std::string_view name,
                           std::string_view labels) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace poplarramp

#endif
