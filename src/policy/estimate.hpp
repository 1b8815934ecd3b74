// Run time estimates per customer and kind, as quantiles of an exponentially
// decaying histogram.
#ifndef POPLARRAMP_POLICY_ESTIMATE_HPP
#define POPLARRAMP_POLICY_ESTIMATE_HPP

#include "base/time.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace poplarramp
{

// Not thread safe.
class run_time_estimator
{
public:
    run_time_estimator();
    ~run_time_estimator();
    run_time_estimator(const run_time_estimator&) = delete;
    run_time_estimator& operator=(const run_time_estimator&) = delete;

    // Records the run time of a successful job.
    void
    add(const std::string& customer, const std::string& kind, milliseconds run);

    // Quantile, from 0 to 1, of the recent run times; `declared` while there
    // are too few of them.
    milliseconds estimate(const std::string& customer,
                          const std::string& kind,
                          double quantile,
                          milliseconds declared) const;

private:
    struct distribution;
    using by_kind =
        std::map<std::string, std::unique_ptr<distribution>, std::less<>>;

    std::map<std::string, by_kind, std::less<>> learned_;
};

// Quantiles used by the decisions. Refusals use the short one, so that a job
// that could have met its deadline is not refused.
constexpr double short_run_quantile = 0.1;
constexpr double usual_run_quantile = 0.5;
constexpr double long_run_quantile = 0.9;

} // namespace poplarramp

#endif
