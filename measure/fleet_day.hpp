// Fleets and seeded loads in the proportions of the users' sites, for replays
// of the planner.
#ifndef POPLARRAMP_MEASURE_FLEET_DAY_HPP
#define POPLARRAMP_MEASURE_FLEET_DAY_HPP

#include "base/time.hpp"
#include "model/step_job.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarramp
{

// Jobs of one queue, each of one step.
struct job_kind
{
    std::string name;
    int priority = 0;
    double per_second = 0;
    // Log-normal with this coefficient of variation.
    double mean_tasks = 1;
    double tasks_spread = 0.8;
    int max_tasks = 1;
    resources need;
    // Drawn for each job.
    std::vector<int> accelerators;
    milliseconds mean_run{0};
    double run_spread = 0.3;
    milliseconds max_run{0};
    bool gang = false;
    double same_rack_share = 0;
    double checkpoint_share = 0;
    // Relative error of the estimate, at most.
    double estimate_error = 0;
    double failure_share = 0.05;
    double stretch = 1;
    milliseconds latency_slack{0};
    double worth = 1;
    double late_worth = 0;
};

// Multiplies the arrivals of a kind, or of all kinds.
struct load_burst
{
    time_point begin{};
    time_point end{};
    double factor = 1;
    // Empty: all kinds.
    std::string kind;
};

// Servers that leave at a time, with their runs.
struct server_loss
{
    time_point at{};
    double share = 0;
};

struct fleet_day
{
    int servers = 0;
    int servers_per_rack = 8;
    resources capacity;
    int customers = 4;
    // Of all accelerators.
    double guaranteed_share = 0.5;
    std::vector<job_kind> kinds;
    std::vector<load_burst> bursts;
    std::vector<server_loss> losses;
    // Factors on run times, drawn for each server; empty: all are 1.
    std::vector<double> speeds;
    // The planner uses the speeds that are learned from progress.
    bool learn_speeds = false;
    // A new leader takes over, which learns the speeds again.
    time_point takeover = time_point::max();
    time_point end_of_arrivals{};
    // The replay ends here.
    time_point end{};
};

struct fleet_job
{
    std::size_t kind = 0;
    std::size_t customer = 0;
    time_point arrival{};
    step_spec step;
    // Run time of each task on a sound server.
    std::vector<milliseconds> runs;
    // Completion is worth less after the first, and nothing after the second.
    time_point objective{};
    time_point late_limit{};
    double worth = 0;
    double late_worth = 0;
};

// The load of the large site with that many servers (1,100 there).
fleet_day large_site_day(int servers);

// The load of the grown sites, of 350 servers.
fleet_day grown_site_day();

// Jobs in the order of their arrival.
std::vector<fleet_job> draw_jobs(const fleet_day& day, std::uint64_t seed);

} // namespace poplarramp

#endif
