// Run times learned per customer and kind, as decaying quantiles.
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
class run_times
{
public:
    run_times();
    ~run_times();
    run_times(const run_times&) = delete;
    run_times& operator=(const run_times&) = delete;

    // Counts the run time of a job that succeeded.
    void
    add(const std::string& customer, const std::string& kind, milliseconds run);

    // Run time that a share `quantile` of the jobs stays within, by the recent
    // ones; `declared` while too few have been seen.
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

// Quantiles that decisions use. The short one is for refusing a job, so that
// none is refused that could have ended in time.
constexpr double short_run = 0.1;
constexpr double usual_run = 0.5;
constexpr double long_run = 0.9;

} // namespace poplarramp

#endif
