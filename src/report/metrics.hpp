// Counters, gauges and histograms of one entry VM, and their Prometheus text.
#ifndef POPLARRAMP_REPORT_METRICS_HPP
#define POPLARRAMP_REPORT_METRICS_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "report/histogram.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace poplarramp
{

// One job that this entry VM answered.
struct job_sample
{
    std::string customer;
    std::string kind;
    std::string zone;
    // `ok` for a whole answer, else why there was none.
    result_code code = result_code::ok;
    milliseconds completion{0};
};

// Not thread safe; used on the control thread only.
class metrics
{
public:
    void record(const job_sample& sample);

    // Sets a gauge; the name ends in its unit. `zone` becomes its label.
    void
    set_gauge(const std::string& name, const std::string& zone, double value);

    // All figures in the Prometheus text format.
    std::string prometheus() const;

private:
    using job_labels = std::tuple<std::string, std::string, std::string>;

    std::map<job_labels, time_histogram> completion_;
    std::map<std::pair<job_labels, std::string>, std::uint64_t> ended_;
    std::map<std::pair<std::string, std::string>, double> gauges_;
};

} // namespace poplarramp

#endif
