// Excludes backend servers on which tasks keep failing, and schedules probes.
#ifndef POPLARRAMP_POLICY_HEALTH_HPP
#define POPLARRAMP_POLICY_HEALTH_HPP

#include "base/time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace poplarramp
{

// Consecutive failures of different jobs that exclude a server.
constexpr int failures_to_exclude = 3;
constexpr milliseconds initial_probe_delay{5000};
constexpr milliseconds max_probe_delay{300000};

// Servers are identified by index. Not thread safe.
class server_health
{
public:
    // Records a failure. True if it excludes the server, or excludes it again
    // because a probe was running.
    bool record_failure(int server,
                        const std::string& job,
                        const std::string& kind,
                        time_point now);
    // Records a success and clears the server's record. True if the server was
    // excluded.
    bool record_success(int server, const std::string& kind);
    // Clears the record of a server that is added again with a new incarnation.
    void reset_server(int server);

    bool excluded(int server) const;
    // Excluded servers whose probe delay has passed; each is returned once.
    std::vector<int> take_due_probes(time_point now);
    void probe_started(int server);
    // The probe task ended without a result, for instance by cancellation.
    void probe_ended(int server);
    // Time of the next probe; `no_deadline` if there is none.
    time_point next_probe() const;

private:
    enum class probe_state
    {
        delayed,
        ready,
        running,
    };

    struct record
    {
        std::set<std::string> failed_jobs;
        bool excluded = false;
        probe_state probe = probe_state::delayed;
        milliseconds probe_delay{0};
        time_point probe_at = no_deadline;
    };

    void exclude(record& target, time_point now);
    // True if the kind itself is at fault rather than the server.
    bool record_kind_failure(int server, const std::string& kind);

    std::map<int, record> records_;
    // Servers on which a kind has failed since its last success on any server.
    std::map<std::string, std::set<int>> failing_kinds_;
};

} // namespace poplarramp

#endif
