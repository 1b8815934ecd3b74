#include "policy/server_speed.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace poplarramp
{

namespace
{

// Percentages are whole numbers: the increase is known to 0.4 percent points,
// 5% of this.
constexpr int min_increase = 8;
// A run that advances less in this time is observed all the same, so that a
// server that has become slow is noticed.
constexpr std::int64_t max_interval_ms = 2000;
// Shorter intervals suffer from the granularity of the reports.
constexpr std::int64_t min_interval_ms = 250;
// Assumed increase, in percent, of a run that has not advanced.
constexpr double unseen_increase = 0.5;
// Members of a gang that are done are listed with 100 until all are.
constexpr int done_percent = 99;
constexpr int hundred_percent = 100;

// Standard deviation of the logarithm of the work of tasks of one step, which
// differs by up to 30% in both directions.
constexpr double work_deviation = 0.17;
// Weight of the assumption that a server is as fast as the others, in runs:
// variance of the work (0.17 squared) by that between servers (0.4 squared).
constexpr double prior_runs = 0.15;
// Only about so many runs count, so that the estimate follows the server.
constexpr double max_runs = 2;

// Values of a step that are needed to compare a run with them.
constexpr std::size_t min_values = 4;
// Values of a full step are summed up again after so many new ones.
constexpr std::size_t values_per_update = 4;
// Values of a step further from their median are left out. Covers the range
// between servers (0.6 to 1.6 times the usual time), not the few tasks that
// take 7 times as long.
constexpr double max_distance = 1;

// Difference that is no usual variation any more: a factor of 3. The fastest
// and the slowest of the servers differ by 2.7.
constexpr double sudden = 1.1;
// One observation changes an estimate by no more than its share of this.
constexpr double max_deviation = 0.8;
// Runs that still count after a server has become much faster or slower.
constexpr float runs_after_change = 0.1F;
// With fewer observed runs a server has no usual speed yet, from which a slow
// phase could differ.
constexpr float min_usual_runs = 1;

// A slow phase is over this long after the last slow observation; running tasks
// are observed every 2 s at least.
constexpr milliseconds slow_phase_memory{3000};
// Slow phases take seconds. One that lasts longer is the speed of the server.
constexpr milliseconds max_slow_phase{20000};
// Two slow runs within this time confirm each other.
constexpr milliseconds suspicion_time{3000};

// Bound on memory: about 1.5 MB of steps.
constexpr std::size_t max_steps = 8192;
// No running task goes unobserved for so long while its server replies.
constexpr milliseconds step_memory{10000};

// The percentiles of fewer servers are off by a quarter or more.
constexpr std::size_t min_known_servers = 16;
// Estimates from fewer runs do not count for the spread of the fleet.
constexpr float min_runs_for_spread = 1;
constexpr double low_percentile = 0.1;
constexpr double high_percentile = 0.9;
// Share of the tolerated factor below which speeds are not used any more.
constexpr double release_share = 0.9;
// A server changes its class when it is this far from the center of the present
// one, in classes; the border is at 0.5.
constexpr double class_hysteresis = 0.65;

std::optional<pace_sample> sample_of(double increase, std::int64_t elapsed_ms)
{
    const double share = increase / hundred_percent;
    return pace_sample{std::log(static_cast<double>(elapsed_ms) / share),
                       share};
}

// An average with weights that fall exponentially has the error of one over
// twice as many runs.
double counted_runs(const speed_estimate& server)
{
    return server.runs < max_runs ? server.runs : 2 * max_runs;
}

// The value at this share of the sorted values. Precondition: there are some.
double percentile(std::vector<double>& values, double share)
{
    const auto index = static_cast<std::ptrdiff_t>(
        std::lround(share * static_cast<double>(values.size() - 1)));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

} // namespace

std::optional<pace_sample>
sample_progress(progress_mark& mark, int percent, std::int64_t server_ms)
{
    if (percent <= 0 || percent >= done_percent)
    {
        mark.percent = 0;
        return std::nullopt;
    }
    const auto elapsed = server_ms - mark.at_ms;
    const int increase = percent - mark.percent;
    const bool has_mark = mark.percent > 0 && increase >= 0 && elapsed > 0;
    const bool is_enough =
        (increase >= min_increase && elapsed >= min_interval_ms) ||
        elapsed >= max_interval_ms;
    if (has_mark && !is_enough)
    {
        return std::nullopt;
    }
    mark.percent = percent;
    mark.at_ms = server_ms;
    return has_mark
               ? sample_of(std::max<double>(increase, unseen_increase), elapsed)
               : std::nullopt;
}

std::optional<pace_sample> sample_end(const progress_mark& mark,
                                      std::int64_t server_ms)
{
    const auto elapsed = server_ms - mark.at_ms;
    const int increase = hundred_percent - mark.percent;
    if (mark.percent <= 0 || increase < min_increase ||
        elapsed < min_interval_ms)
    {
        return std::nullopt;
    }
    return sample_of(increase, elapsed);
}

double error_of(const speed_estimate& server)
{
    return work_deviation / std::sqrt(counted_runs(server) + prior_runs);
}

void server_speed::observe(speed_estimate& server,
                           progress_mark& mark,
                           std::uint64_t run,
                           const pace_sample& sample,
                           time_point now)
{
    auto* step = pace_of(*mark.step, now);
    if (step == nullptr)
    {
        return;
    }
    if (step->first_server == nullptr)
    {
        step->first_server = &server;
    }
    step->several_servers |= step->first_server != &server;
    add_value(*step, sample.log_ms - server.log_factor);
    if (!step->several_servers || step->count < min_values)
    {
        return;
    }
    const double deviation = sample.log_ms - server.log_factor - step->log_ms;
    if (deviation > sudden)
    {
        take_slow(server, mark, run, deviation, now);
        return;
    }
    mark.was_usual = true;
    server.slow_phase = 0;
    server.suspect_run = 0;
    if (deviation < -sudden)
    {
        server.runs = std::min(server.runs, runs_after_change);
    }
    const auto clipped =
        deviation < -sudden
            ? deviation
            : std::clamp(deviation, -max_deviation, max_deviation);
    server.runs =
        static_cast<float>(std::min(max_runs, server.runs + sample.share));
    const double gain =
        std::min(1.0, sample.share / (server.runs + prior_runs));
    server.log_factor += static_cast<float>(gain * clipped);
}

server_speed::step_pace* server_speed::pace_of(std::uint64_t step,
                                               time_point now)
{
    const auto found = steps_.find(step);
    if (found == steps_.end() && steps_.size() >= max_steps)
    {
        return nullptr;
    }
    auto& pace = found == steps_.end() ? steps_[step] : found->second;
    pace.last_used = now;
    return &pace;
}

void server_speed::add_value(step_pace& step, double value)
{
    step.values[step.next] = static_cast<float>(value);
    step.next = (step.next + 1) % max_values;
    if (step.count == max_values && step.next % values_per_update != 0)
    {
        return;
    }
    step.count = std::min(step.count + 1, max_values);
    auto sorted = step.values;
    const auto middle =
        sorted.begin() + static_cast<std::ptrdiff_t>(step.count / 2);
    std::nth_element(sorted.begin(),
                     middle,
                     sorted.begin() + static_cast<std::ptrdiff_t>(step.count));
    const float median = *middle;
    float sum = 0;
    int used = 0;
    for (std::size_t i = 0; i < step.count; ++i)
    {
        if (std::abs(sorted[i] - median) <= max_distance)
        {
            sum += sorted[i];
            ++used;
        }
    }
    step.log_ms = sum / static_cast<float>(used);
}

// A slow run is the fault of its server if it was not slow before, or if
// another run on the server is as slow: single tasks take several times as long
// as the others of their step.
void server_speed::take_slow(speed_estimate& server,
                             const progress_mark& mark,
                             std::uint64_t run,
                             double excess,
                             time_point now)
{
    const bool is_confirmed =
        mark.was_usual || server.slow_phase > 0 ||
        (server.suspect_run != 0 && server.suspect_run != run &&
         now - server.last_slow <= suspicion_time);
    const bool continues =
        server.slow_phase > 0 && now - server.last_slow <= slow_phase_memory;
    server.last_slow = now;
    if (!is_confirmed)
    {
        server.suspect_run = run;
        return;
    }
    if (!continues)
    {
        server.slow_since = now;
    }
    server.slow_phase = static_cast<float>(excess);
    if (now - server.slow_since >= max_slow_phase ||
        server.runs < min_usual_runs)
    {
        server.log_factor += server.slow_phase;
        server.runs = runs_after_change;
        server.slow_phase = 0;
        server.suspect_run = 0;
    }
}

void server_speed::classify(std::span<speed_estimate* const> servers,
                            std::optional<double> tolerated,
                            time_point now)
{
    drop_old_steps(now);
    measure_spread(servers);
    if (!tolerated || fleet_.known < min_known_servers)
    {
        in_force_ = false;
        return;
    }
    in_force_ = fleet_.spread >= *tolerated * (in_force_ ? release_share : 1.0);
    for (auto* server : servers)
    {
        set_level(*server, *tolerated);
        fleet_.slow += server->level > 0 ? 1 : 0;
        fleet_.fast += server->level < 0 ? 1 : 0;
    }
}

void server_speed::measure_spread(std::span<speed_estimate* const> servers)
{
    fleet_ = {};
    std::vector<double> factors;
    factors.reserve(servers.size());
    // The usual speed is that of all servers: those with much work, which are
    // known best, are the slow ones once speeds are in force.
    std::vector<double> all;
    all.reserve(servers.size());
    double sum = 0;
    double squares = 0;
    double error = 0;
    for (const auto* server : servers)
    {
        all.push_back(server->log_factor);
        if (server->runs >= min_runs_for_spread)
        {
            // Without the assumption that the server is like the others.
            const double factor =
                server->log_factor * (server->runs + prior_runs) / server->runs;
            factors.push_back(factor);
            sum += factor;
            squares += factor * factor;
            error += work_deviation * work_deviation / counted_runs(*server);
        }
    }
    fleet_.known = factors.size();
    if (factors.size() < min_known_servers)
    {
        median_ = 0;
        return;
    }
    const double low = percentile(factors, low_percentile);
    const double high = percentile(factors, high_percentile);
    const double median = percentile(factors, 0.5);
    median_ = percentile(all, 0.5);
    // The errors of the estimates widen the spread.
    const auto count = static_cast<double>(factors.size());
    const double variance = squares / count - sum * sum / count / count;
    const double true_share =
        variance > 0 ? std::max(0.0, 1 - error / count / variance) : 0;
    fleet_.spread =
        std::exp(std::max(high - median, median - low) * std::sqrt(true_share));
}

void server_speed::set_level(speed_estimate& server, double tolerated) const
{
    const double position =
        server.runs > 0 ? (server.log_factor - median_) / std::log(tolerated)
                        : 0;
    if (std::abs(position - server.level) > class_hysteresis)
    {
        server.level = static_cast<int>(std::lround(position));
    }
    server.class_factor = std::pow(tolerated, server.level);
}

void server_speed::drop_old_steps(time_point now)
{
    std::erase_if(steps_,
                  [now](const auto& item)
                  { return now - item.second.last_used > step_memory; });
}

double server_speed::slowdown(const speed_estimate& server,
                              time_point now) const
{
    if (!in_force_)
    {
        return 1;
    }
    const bool slow_now =
        server.slow_phase > 0 && now - server.last_slow <= slow_phase_memory;
    return server.class_factor *
           (slow_now ? std::exp(static_cast<double>(server.slow_phase)) : 1);
}

} // namespace poplarramp
