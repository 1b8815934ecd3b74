// Service-level burn rate: how fast a customer's error budget is consumed.
#ifndef POPLARRAMP_REPORT_BURN_HPP
#define POPLARRAMP_REPORT_BURN_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplarramp
{

// Numbers of jobs of one customer, availability zone and kind that met their
// objective (good) or missed it (bad), in the short and the long window.
struct burn_row
{
    std::string customer;
    std::string zone;
    std::string kind;
    // Share of jobs that must meet the objective.
    double objective_share = 0.99;
    std::uint64_t short_good = 0;
    std::uint64_t short_bad = 0;
    std::uint64_t long_good = 0;
    std::uint64_t long_bad = 0;
};

// Share of bad jobs divided by the share that the objective allows; 1 consumes
// exactly the error budget. 0 if there are no jobs.
double burn_rate(std::uint64_t good, std::uint64_t bad, double objective_share);

// Counts of the last hour in buckets of one minute. Not thread safe; used on
// the control thread only.
class burn_counter
{
public:
    static constexpr milliseconds short_window{300'000};
    static constexpr milliseconds long_window{3'600'000};

    void record(const std::string& customer,
                const std::string& zone,
                const std::string& kind,
                double objective_share,
                bool met,
                time_point now);

    std::vector<burn_row> rows(time_point now) const;

private:
    struct bucket
    {
        // In minutes since the epoch of the monotonic clock.
        std::int64_t minute = 0;
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
    };
    struct series
    {
        double objective_share = 0.99;
        std::vector<bucket> buckets;
    };

    std::map<std::vector<std::string>, series> series_;
};

// Sums the rows of several entry VMs by customer, zone and kind.
std::vector<burn_row> merge_rows(std::span<const std::vector<burn_row>> parts);

Json::Value to_json(std::span<const burn_row> rows);
std::optional<std::vector<burn_row>>
burn_rows_from_json(const Json::Value& json, failure& why);

// Report as a text table.
std::string burn_table(std::span<const burn_row> rows);

// Report as a self-contained HTML page with bars for the rates.
std::string burn_html(std::span<const burn_row> rows);

} // namespace poplarramp

#endif
