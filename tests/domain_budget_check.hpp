// Check in a simulation that no task starts after it has failed as often as its
// queue allows, as the backend servers see it. For tests.
#ifndef POPLARRAMP_TESTS_DOMAIN_BUDGET_CHECK_HPP
#define POPLARRAMP_TESTS_DOMAIN_BUDGET_CHECK_HPP

#include "domain/server_api.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarramp::fakes
{

struct domain_simulation;

class budget_check
{
public:
    void on_start(domain_simulation& sim, const run_id& run);

    void on_failed(const run_id& run, std::int64_t now);

    // A scheduler has acknowledged the failed end of the run, and the lease of
    // its server had not run out in between.
    void on_noted(domain_simulation& sim, const run_id& run);

    // Number of failed attempts at a job of which one task or gang fails.
    int failures_of(const std::string& job) const;

private:
    struct failed_run
    {
        std::int64_t ended_at = 0;
        bool noted = false;
    };

    struct task_runs
    {
        std::vector<std::int64_t> starts;
        // By attempt.
        std::map<int, failed_run> failed;
        bool reported = false;
    };

    void check(domain_simulation& sim, const task_name& name);

    std::map<task_name, task_runs> tasks_;
};

} // namespace poplarramp::fakes

#endif
