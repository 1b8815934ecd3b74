// Learns how fast backend servers are from the progress of their runs. Compares
// the tasks of one step with each other, since the work of a step is not known.
// Knows no network.
#ifndef POPLARRAMP_POLICY_SERVER_SPEED_HPP
#define POPLARRAMP_POLICY_SERVER_SPEED_HPP

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace poplarramp
{

// What is known of the speed of one incarnation of a server. Logarithms are
// natural and of run time factors: above 0 is slow.
struct speed_estimate
{
    float log_factor = 0;
    // Observed runs, of which only the latest count.
    float runs = 0;
    // Class relative to the median of the fleet, and the factor of the class.
    int level = 0;
    double class_factor = 1;
    // The server is slower by this for a while; 0: it is not.
    float slow_phase = 0;
    time_point slow_since{};
    time_point last_slow{};
    // Run with the last slow observation that is not confirmed; 0: none.
    std::uint64_t suspect_run = 0;
};

// Progress of a run at its last observation.
struct progress_mark
{
    // The tasks that it is compared with; unset until the run is known, 0: not
    // compared.
    std::optional<std::uint64_t> step;
    // On the clock of the server.
    std::int64_t at_ms = 0;
    int percent = 0;
    // It has advanced at the usual pace.
    bool was_usual = false;
};

// Time that a run needs for all of its work at its present pace.
struct pace_sample
{
    double log_ms = 0;
    // Share of the work that was observed.
    double share = 0;
};

struct fleet_speeds
{
    std::size_t known = 0;
    // Servers whose class is not that of the median.
    std::size_t slow = 0;
    std::size_t fast = 0;
    // Ratio between the median and the 90th or 10th percentile, whichever is
    // larger.
    double spread = 1;
};

// Records the progress of a run in percent. Returns a sample after enough of
// it; nothing for runs that have not begun or are about to end. Thread safe.
std::optional<pace_sample>
sample_progress(progress_mark& mark, int percent, std::int64_t server_ms);

// The same for the end of a run, which has completed its work now. Thread safe.
std::optional<pace_sample> sample_end(const progress_mark& mark,
                                      std::int64_t server_ms);

// Standard error of `log_factor`. Thread safe.
double error_of(const speed_estimate& server);

// Not thread safe.
class server_speed
{
public:
    // Takes a sample of the run into account. `run` is not 0 and identifies the
    // run on its server. Preconditions: `mark.step` is set and not 0, and `now`
    // does not decrease.
    void observe(speed_estimate& server,
                 progress_mark& mark,
                 std::uint64_t run,
                 const pace_sample& sample,
                 time_point now);

    // Classifies the servers and decides whether their speeds matter.
    // `tolerated`: factor on run times that all callers bear, above 1; unset:
    // speeds are not used. Call it about once a second.
    void classify(std::span<speed_estimate* const> servers,
                  std::optional<double> tolerated,
                  time_point now);

    // The speeds differ by more than callers bear.
    bool in_force() const
    {
        return in_force_;
    }

    // Factor on run times for decisions; 1 unless in force.
    double slowdown(const speed_estimate& server, time_point now) const;

    const fleet_speeds& fleet() const
    {
        return fleet_;
    }

private:
    static constexpr std::size_t max_values = 16;

    // Pace of the tasks of a step on a server of factor 1.
    struct step_pace
    {
        std::array<float, max_values> values{};
        std::size_t count = 0;
        std::size_t next = 0;
        float log_ms = 0;
        // Server of the first value, and whether others have contributed.
        const speed_estimate* first_server = nullptr;
        bool several_servers = false;
        time_point last_used{};
    };

    step_pace* pace_of(std::uint64_t step, time_point now);
    static void add_value(step_pace& step, double value);
    static void take_slow(speed_estimate& server,
                          const progress_mark& mark,
                          std::uint64_t run,
                          double excess,
                          time_point now);
    void set_level(speed_estimate& server, double tolerated) const;
    void drop_old_steps(time_point now);
    void measure_spread(std::span<speed_estimate* const> servers);

    std::unordered_map<std::uint64_t, step_pace> steps_;
    double median_ = 0;
    bool in_force_ = false;
    fleet_speeds fleet_;
};

} // namespace poplarramp

#endif
