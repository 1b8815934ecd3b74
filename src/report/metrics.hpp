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

// One job that ended while this entry VM was its scheduler.
struct job_sample
{
    std::string customer;
    std::string kind;
    std::string zone;
    // `ok` if the job produced its result, else the reason why not.
    result_code code = result_code::ok;
    // Time from acceptance to the end.
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

    // All metrics in the Prometheus text format.
    std::string prometheus() const;

private:
    using job_labels = std::tuple<std::string, std::string, std::string>;

    std::map<job_labels, time_histogram> completion_;
    std::map<std::pair<job_labels, std::string>, std::uint64_t> ended_;
    std::map<std::pair<std::string, std::string>, double> gauges_;
};

} // namespace poplarramp

#endif
