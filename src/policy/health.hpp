// Which backend servers fail every task, and when to try them again.
#ifndef POPLARRAMP_POLICY_HEALTH_HPP
#define POPLARRAMP_POLICY_HEALTH_HPP

#include "base/time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace poplarramp
{

// Failures of different jobs in a row that exclude a server.
constexpr int failures_to_exclude = 3;
constexpr milliseconds first_pause{5000};
constexpr milliseconds max_pause{300000};

// Not thread safe. Servers are known by index.
class server_health
{
public:
    // A job failed on the server. True if the server is excluded by this, or
    // again because it was the probe.
    bool failed(int server,
                const std::string& job,
                const std::string& kind,
                time_point now);
    // A task ran well: the server is healthy. True if it was excluded.
    bool succeeded(int server, const std::string& kind);
    // The server came back with another incarnation.
    void forget(int server);

    bool excluded(int server) const;
    // Servers whose pause is over; each is returned once.
    std::vector<int> take_due_probes(time_point now);
    void probe_started(int server);
    // The probe task ended without a verdict, for instance by cancellation.
    void probe_ended(int server);
    // When the next probe is due; `no_deadline` if none.
    time_point next_probe() const;

private:
    enum class probe_state
    {
        paused,
        ready,
        running,
    };

    struct record
    {
        std::set<std::string> failed_jobs;
        bool excluded = false;
        probe_state probe = probe_state::paused;
        milliseconds pause{0};
        time_point probe_at = no_deadline;
    };

    void exclude(record& target, time_point now);
    bool blames_kind(int server, const std::string& kind);

    std::map<int, record> records_;
    // Servers on which a kind has failed since it last succeeded anywhere.
    std::map<std::string, std::set<int>> failing_kinds_;
};

} // namespace poplarramp

#endif
