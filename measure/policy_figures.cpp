#include "policy_figures.hpp"

#include "baseline.hpp"
#include "replay.hpp"
#include "trace.hpp"

#include <algorithm>
#include <ostream>
#include <string>

namespace poplarramp
{

namespace
{

constexpr std::uint64_t seed = 20261204;

// Target size of one availability zone: 400 servers, 53 of them with
// accelerators, and 2900 running tasks.
constexpr int target_accelerated = 53;
constexpr int target_plain = 347;
constexpr int target_running = 2900;

struct paired_result
{
    replay_result ours;
    replay_result baseline;
};

paired_result run_paired(const zone_setup& zone,
                         const std::vector<trace_job>& jobs,
                         const replay_options& options = {})
{
    return {replay<scheduler>(zone, jobs).run(options),
            replay<first_fit_queue>(zone, jobs).run(options)};
}

// Waits in ms until the first start; a job that never started counts with one
// day.
std::vector<double> start_waits(const std::vector<trace_job>& jobs,
                                const replay_result& result,
                                urgency urgency_class)
{
    std::vector<double> waits;
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        if (jobs[i].item.urgency_class != urgency_class)
        {
            continue;
        }
        const auto& entry = result.jobs[i];
        const auto wait = entry.first_start == no_deadline
                              ? milliseconds(86'400'000)
                              : entry.first_start - jobs[i].arrival;
        waits.push_back(static_cast<double>(wait.count()));
    }
    return waits;
}

// Completion times in ms of the jobs that ended.
std::vector<double> completion_times(const std::vector<trace_job>& jobs,
                                     const replay_result& result,
                                     urgency urgency_class)
{
    std::vector<double> times;
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        const auto& entry = result.jobs[i];
        if (jobs[i].item.urgency_class == urgency_class &&
            entry.ended != no_deadline)
        {
            times.push_back(
                static_cast<double>((entry.ended - jobs[i].arrival).count()));
        }
    }
    return times;
}

double deadline_share(const std::vector<trace_job>& jobs,
                      const replay_result& result)
{
    double met = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        met += result.jobs[i].ended <= jobs[i].item.request.deadline ? 1 : 0;
    }
    return met / static_cast<double>(jobs.size());
}

void decision_time(std::ostream& out,
                   const std::string& suffix,
                   int accelerated,
                   int plain,
                   int running)
{
    const zone_setup zone = make_zone(accelerated, plain);
    constexpr milliseconds length(300'000);
    auto jobs = make_slot_load(zone, running, length, seed);
    const auto mixed = make_mixed_load(zone, 0.8, length, seed);
    jobs.insert(jobs.end(), mixed.begin(), mixed.end());
    const auto results = run_paired(zone, jobs);
    print(out,
          {"placement.decision_p99." + suffix,
           quantile(results.ours.decide_us, 0.99) / 1000,
           "ms",
           quantile(results.baseline.decide_us, 0.99) / 1000,
           seed});
}

void decision_times(std::ostream& out)
{
    decision_time(out, "100_servers", 13, 87, 725);
    decision_time(out, "200_servers", 27, 173, 1450);
    decision_time(
        out, "400_servers", target_accelerated, target_plain, target_running);
    decision_time(out, "5900_servers", 800, 5100, 43'000);
}

// Start and completion of urgent jobs in a burst while all capacity is
// borrowed.
void urgent_start(std::ostream& out)
{
    const zone_setup zone = make_zone(target_accelerated, target_plain);
    const auto jobs = make_urgent_burst(
        zone, milliseconds(600'000), milliseconds(60'000), seed);
    const auto results = run_paired(zone, jobs);
    const auto ours = start_waits(jobs, results.ours, urgency::urgent);
    const auto baseline_waits =
        start_waits(jobs, results.baseline, urgency::urgent);
    print(out,
          {"urgent.start_p99",
           quantile(ours, 0.99),
           "ms",
           quantile(baseline_waits, 0.99),
           seed});
    print(out,
          {"urgent.start_max",
           quantile(ours, 1),
           "ms",
           quantile(baseline_waits, 1),
           seed});
    for (const auto& [name, urgency_class] :
         {std::pair("urgent.completion_p99", urgency::urgent),
          std::pair("patient.completion_p50", urgency::patient)})
    {
        const double share = urgency_class == urgency::urgent ? 0.99 : 0.5;
        print(out,
              {name,
               quantile(completion_times(jobs, results.ours, urgency_class),
                        share),
               "ms",
               quantile(completion_times(jobs, results.baseline, urgency_class),
                        share),
               seed});
    }
}

// Fragmentation, met deadlines and utilization under a steady load of jobs of
// all shapes. The first 5 minutes are not sampled.
void mixed_load(std::ostream& out)
{
    const zone_setup zone = make_zone(target_accelerated, 0);
    for (const int utilization : {60, 80, 95})
    {
        const auto jobs = make_mixed_load(
            zone, utilization / 100.0, milliseconds(3'600'000), seed);
        const replay_options options{time_point(milliseconds(300'000)), 8};
        const auto results = run_paired(zone, jobs, options);
        const std::string suffix =
            "." + std::to_string(utilization) + "_percent";
        print(out,
              {"fragmentation.largest_shape_open" + suffix,
               results.ours.shape_open_share,
               "share",
               results.baseline.shape_open_share,
               seed});
        print(out,
              {"deadline.met" + suffix,
               deadline_share(jobs, results.ours),
               "share",
               deadline_share(jobs, results.baseline),
               seed});
        print(out,
              {"load.mean_use" + suffix,
               results.ours.mean_utilization,
               "share",
               results.baseline.mean_utilization,
               seed});
    }
}

} // namespace

std::vector<measurement> policy_measurements()
{
    return {{"placement.decision", decision_times},
            {"urgent", urgent_start},
            {"mixed", mixed_load}};
}

} // namespace poplarramp
