// Named counters, gauges and duration histograms in the Prometheus text format.
#ifndef POPLARRAMP_REPORT_COUNTERS_HPP
#define POPLARRAMP_REPORT_COUNTERS_HPP

#include "base/time.hpp"
#include "report/histogram.hpp"

#include <map>
#include <string>

namespace poplarramp
{

// Not thread safe.
class counters
{
public:
    void add(const std::string& name, double amount);
    void set(const std::string& name, double value);
    // Replaces all gauges that have a value for each customer; the maps are by
    // name, then by customer.
    void set_by_customer(
        std::map<std::string, std::map<std::string, double>> gauges);
    void record(const std::string& name, milliseconds value);

    // Names get the prefix "poplarramp_"; counters end in "_total", histograms
    // in "_seconds".
    std::string prometheus() const;

private:
    std::map<std::string, double> totals_;
    std::map<std::string, double> gauges_;
    std::map<std::string, std::map<std::string, double>> customer_gauges_;
    std::map<std::string, time_histogram> histograms_;
};

} // namespace poplarramp

#endif
