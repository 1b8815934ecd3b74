// Replays a load on the planner in simulated time, without processes: placed
// tasks start after a delay, stops take time, and servers are lost.
#ifndef POPLARRAMP_MEASURE_FLEET_REPLAY_HPP
#define POPLARRAMP_MEASURE_FLEET_REPLAY_HPP

#include "fleet_day.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace poplarramp
{

struct fleet_result
{
    // Earned worth as a share of the worth of all jobs, over the day and by
    // kind.
    double served = 0;
    std::vector<double> served_of_kind;
    // Share of the urgent jobs that were completed by their objective.
    double urgent_in_time = 0;
    // Share of the servers that were in the class of their factor, by second.
    std::vector<double> classified;
    // The two worst windows of 2 s of arrivals.
    double worst_windows = 0;
    int runs = 0;
    int stopped = 0;
    // Stopped for another step.
    int preempted = 0;
    // Stopped before a tenth of their run time.
    int stopped_early = 0;
    double lost_core_seconds = 0;
    // Accelerator seconds of completed runs.
    double completed_work = 0;
    // Accelerator seconds of the tasks that were not done when the arrivals
    // ended, and when the last job ended.
    double backlog_work = 0;
    time_point last_end{};
    // By second: jobs that have arrived and not ended, and the share of all
    // accelerators whose runs were successful later.
    std::vector<int> open_jobs;
    std::vector<double> useful_share;
    // Time from the arrival to the start of all tasks, of jobs within their
    // customer's guarantee, and of all urgent jobs.
    std::vector<double> guaranteed_start_ms;
    std::vector<double> urgent_start_ms;
    std::vector<double> plan_ms;
};

fleet_result replay_fleet(const fleet_day& day, std::uint64_t seed);

} // namespace poplarramp

#endif
