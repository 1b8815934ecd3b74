// The leader's records as input of the planner, and the way back from the
// indices in its decisions to jobs, servers and runs.
#ifndef POPLARRAMP_DOMAIN_PLANNING_VIEW_HPP
#define POPLARRAMP_DOMAIN_PLANNING_VIEW_HPP

#include "domain/deployment_view.hpp"
#include "domain/job_directory.hpp"
#include "domain/job_progress.hpp"
#include "domain/server_registry.hpp"
#include "policy/customer_rates.hpp"
#include "policy/step_planner.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace poplarramp
{

// Runs, each with the id of its server.
using placed_runs = std::vector<std::pair<std::string, run_id>>;

// What the view is built from. The records must outlive it.
struct planning_records
{
    time_point now{};
    std::int64_t unix_now = 0;
    std::map<std::string, job_progress>& jobs;
    server_registry& registry;
    const deployment_view& deployment;
    // Region of each zone.
    const std::map<std::string, std::string>& regions;
    // Factor on the run time of a task far from its data, or of a gang that
    // spans several racks.
    double remote_slowdown = 1;
    const server_speed& speeds;
    // Share of its limit by which a customer may exceed it, for a gang that is
    // wider than the limit.
    double limit_overage = 0;
    // Weigh what callers lose by waiting.
    bool weigh_value = false;
    // All accepted jobs, to find the customers of runs whose job has ended; may
    // be null.
    const job_directory* directory = nullptr;
    // Which jobs exceed the rates of their customers; may be null.
    const customer_rates* rates = nullptr;
};

// Valid until the records change.
struct planning_view
{
    // Tasks of a waiting step.
    struct step_tasks
    {
        job_progress* job = nullptr;
        std::vector<int> tasks;
    };

    struct run_ref
    {
        const std::string* server = nullptr;
        const run_id* run = nullptr;
    };

    planning_input input;
    // By index of the server, step and group in `input`.
    std::vector<server_record*> servers;
    std::vector<step_tasks> steps;
    std::vector<std::vector<run_ref>> group_runs;

    placed_runs runs_of(const std::vector<std::size_t>& groups) const;
};

// What a run counts with under the limit of its customer. `record` is that of
// the job in the directory, or null. Thread safe.
resources charged_for_run(const step_job& job,
                          const job_record* record,
                          const run_id& run);

// Collects the waiting steps of the open repetitions of all jobs, and sets
// `ready_since` of the steps that it meets first. `input.steps` is empty if no
// step waits; nothing else is filled in then.
planning_view make_planning_view(const planning_records& records);

} // namespace poplarramp

#endif
