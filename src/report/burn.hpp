// Service-level burn: how fast each customer's error budget is used up.
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

// Jobs of one customer, availability zone and kind that met their objective or
// not, in the windows of the report.
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

// Error budget used per unit of budget granted; 1 uses exactly the budget.
double burn_rate(std::uint64_t good, std::uint64_t bad, double objective_share);

// Counts over the last hour in buckets of a minute. Not thread safe; used on
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
        // Minutes since the epoch of the clock.
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

// Adds the rows of several entry VMs.
std::vector<burn_row> merge_rows(std::span<const std::vector<burn_row>> parts);

Json::Value to_json(std::span<const burn_row> rows);
std::optional<std::vector<burn_row>>
burn_rows_from_json(const Json::Value& json, failure& why);

// Report with fixed columns for a terminal.
std::string burn_table(std::span<const burn_row> rows);

// One self-contained page with a bar for each row.
std::string burn_html(std::span<const burn_row> rows);

} // namespace poplarramp

#endif
