#include "fleet_day.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace poplarramp
{

namespace
{

constexpr std::int64_t gigabyte = 1024;
constexpr std::int64_t core = 1000;
constexpr int large_site_servers = 1100;
constexpr int grown_site_servers = 350;

// A late job completes within this multiple of its objective.
constexpr int late_factor = 3;

// Value of a job, by its work relative to the mean of its kind.
constexpr double fixed_worth = 0.3;
constexpr double worth_of_work = 0.7;
constexpr double max_worth = 4;

job_kind short_gangs(double per_second, double mean_tasks, int max_tasks)
{
    job_kind kind;
    kind.name = "shape-check";
    kind.priority = 0;
    kind.per_second = per_second;
    kind.mean_tasks = mean_tasks;
    kind.max_tasks = max_tasks;
    kind.need = {7500, 20 * gigabyte, 0};
    kind.accelerators = {1, 2, 4, 8, 8};
    kind.mean_run = milliseconds(2500);
    kind.run_spread = 0.5;
    kind.max_run = milliseconds(8000);
    kind.gang = true;
    kind.same_rack_share = 0.8;
    kind.estimate_error = 0.9;
    kind.stretch = 1.5;
    kind.latency_slack = milliseconds(600);
    kind.worth = 4;
    kind.late_worth = 0.8;
    return kind;
}

job_kind long_gangs(double per_second, double mean_tasks, int max_tasks)
{
    job_kind kind;
    kind.name = "tint-batch";
    kind.priority = 1;
    kind.per_second = per_second;
    kind.mean_tasks = mean_tasks;
    kind.max_tasks = max_tasks;
    kind.need = {7 * core, 14 * gigabyte, 0};
    kind.accelerators = {1, 2, 4, 8, 8};
    kind.mean_run = milliseconds(11000);
    kind.max_run = milliseconds(11000);
    kind.gang = true;
    kind.same_rack_share = 0.6;
    kind.checkpoint_share = 0.45;
    kind.estimate_error = 0.2;
    kind.stretch = 3;
    kind.latency_slack = milliseconds(1500);
    kind.worth = 3;
    kind.late_worth = 0.3;
    return kind;
}

job_kind wide_batches(double per_second, double mean_tasks, int max_tasks)
{
    job_kind kind;
    kind.name = "glaze-run";
    kind.priority = 2;
    kind.per_second = per_second;
    kind.mean_tasks = mean_tasks;
    kind.max_tasks = max_tasks;
    kind.need = {5600, 8 * gigabyte, 0};
    kind.accelerators = {1};
    kind.mean_run = milliseconds(6100);
    kind.max_run = milliseconds(11000);
    kind.checkpoint_share = 0.45;
    kind.estimate_error = 0.9;
    kind.stretch = 3;
    kind.latency_slack = milliseconds(3000);
    kind.worth = 1;
    kind.late_worth = 0.1;
    return kind;
}

fleet_day make_day(int servers)
{
    fleet_day day;
    day.servers = servers;
    day.capacity = {64 * core, 128 * gigabyte, 8};
    day.customers = 24;
    day.end_of_arrivals = time_point(milliseconds(34000));
    day.end = time_point(milliseconds(60000));
    return day;
}

using generator = std::mt19937_64;

double in_ms(milliseconds time)
{
    return static_cast<double>(time.count());
}

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds(std::llround(in_ms(time) * factor));
}

double uniform(generator& random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

// `spread` is the coefficient of variation.
double log_normal(generator& random, double mean, double spread)
{
    const double variance = std::log(1 + spread * spread);
    std::lognormal_distribution<double> distribution(
        std::log(mean) - variance / 2, std::sqrt(variance));
    return distribution(random);
}

double rate_at(const fleet_day& day, const job_kind& kind, time_point now)
{
    double rate = kind.per_second;
    for (const auto& burst : day.bursts)
    {
        const bool applies = burst.kind.empty() || burst.kind == kind.name;
        rate *=
            applies && now >= burst.begin && now < burst.end ? burst.factor : 1;
    }
    return rate;
}

fleet_job draw_job(const fleet_day& day,
                   std::size_t kind_index,
                   time_point arrival,
                   generator& random)
{
    const auto& kind = day.kinds[kind_index];
    fleet_job job;
    job.kind = kind_index;
    job.customer = random() % static_cast<std::size_t>(day.customers);
    job.arrival = arrival;
    auto& step = job.step;
    step.tasks = std::clamp(static_cast<int>(std::lround(log_normal(
                                random, kind.mean_tasks, kind.tasks_spread))),
                            1,
                            kind.max_tasks);
    step.need = kind.need;
    step.need.accelerators =
        kind.accelerators[random() % kind.accelerators.size()];
    step.gang = kind.gang;
    const auto rack_accelerators =
        day.servers_per_rack * day.capacity.accelerators;
    step.same_rack = kind.gang &&
                     uniform(random, 0, 1) < kind.same_rack_share &&
                     step.tasks * step.need.accelerators <= rack_accelerators;
    step.checkpoints = uniform(random, 0, 1) < kind.checkpoint_share;
    const auto run = milliseconds(std::min<std::int64_t>(
        kind.max_run.count(),
        std::llround(log_normal(random,
                                static_cast<double>(kind.mean_run.count()),
                                kind.run_spread))));
    milliseconds longest{0};
    for (int i = 0; i < step.tasks; ++i)
    {
        const double factor = kind.gang ? 1 : uniform(random, 0.85, 1.15);
        job.runs.push_back(scaled(run, factor));
        longest = std::max(longest, job.runs.back());
    }
    step.estimate = scaled(
        run, uniform(random, 1 - kind.estimate_error, 1 + kind.estimate_error));
    const auto allowed = scaled(longest, kind.stretch) + kind.latency_slack;
    job.objective = arrival + allowed;
    job.late_limit = arrival + late_factor * allowed;
    const double work = step.tasks * step.need.equivalent_cores() * in_ms(run);
    auto mean_need = kind.need;
    double mean_cores = 0;
    for (const auto accelerators : kind.accelerators)
    {
        mean_need.accelerators = accelerators;
        mean_cores += mean_need.equivalent_cores() /
                      static_cast<double>(kind.accelerators.size());
    }
    const double mean_work = kind.mean_tasks * mean_cores *
                             static_cast<double>(kind.mean_run.count());
    const double value =
        std::min(max_worth, fixed_worth + worth_of_work * work / mean_work);
    job.worth = kind.worth * value;
    job.late_worth = kind.late_worth * value;
    return job;
}

} // namespace

fleet_day large_site_day(int servers)
{
    auto day = make_day(servers);
    const double scale = static_cast<double>(servers) / large_site_servers;
    day.kinds = {short_gangs(20.9 * scale, 7.6, 46),
                 long_gangs(2.34 * scale, 26, 160),
                 wide_batches(3.59 * 1.3 * scale, 78, 470)};
    return day;
}

fleet_day grown_site_day()
{
    auto day = make_day(grown_site_servers);
    day.customers = 10;
    day.kinds = {short_gangs(9.5, 4.6, 28),
                 long_gangs(1.7, 13, 80),
                 wide_batches(2, 39, 235)};
    return day;
}

std::vector<fleet_job> draw_jobs(const fleet_day& day, std::uint64_t seed)
{
    generator random(seed);
    std::vector<fleet_job> jobs;
    for (std::size_t kind = 0; kind < day.kinds.size(); ++kind)
    {
        time_point now{};
        while (now < day.end_of_arrivals)
        {
            const double rate = rate_at(day, day.kinds[kind], now);
            std::exponential_distribution<double> gap(rate);
            now += milliseconds(
                std::max<std::int64_t>(1, std::llround(gap(random) * 1000)));
            jobs.push_back(draw_job(day, kind, now, random));
        }
    }
    std::stable_sort(jobs.begin(),
                     jobs.end(),
                     [](const fleet_job& a, const fleet_job& b)
                     { return a.arrival < b.arrival; });
    return jobs;
}

} // namespace poplarramp
