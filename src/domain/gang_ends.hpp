// Ends of gang members while other members are on servers that do not reply.
// Tells when these members are known to have ended too. Plain data.
#ifndef POPLARRAMP_DOMAIN_GANG_ENDS_HPP
#define POPLARRAMP_DOMAIN_GANG_ENDS_HPP

#include "base/time.hpp"
#include "domain/server_api.hpp"
#include "model/step_job.hpp"

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace poplarramp
{

// Time after the first end of a gang by which the members on servers out of
// reach have ended as well; on reachable servers it takes up to 0.3 s.
constexpr milliseconds gang_end_delay{1000};

// Not thread safe.
class gang_ends
{
public:
    // Records the end of a member that became known at `now`; `stopping` if a
    // stop of the member had been requested. Precondition: the run is of a
    // gang.
    void record(const run_id& run,
                run_outcome outcome,
                bool stopping,
                time_point now);

    // True if the attempt ended by itself with a member that has reported
    // nothing: the first known end was caused by the end of another member, and
    // no member has reported a cause. Then no member works any more.
    bool ended_elsewhere(const run_id& run, time_point now) const;

    // Drops what is known of the attempt.
    void forget(const run_id& run);

    // Drops what is known of a job.
    void forget_job(const std::string& job);

private:
    // Job, repetition, step and attempt.
    using attempt_key = std::tuple<std::string, int, int, int>;

    struct attempt_end
    {
        time_point first{};
        // A member reported what ended the gang, or the leader stopped it.
        bool has_known_cause = false;
    };

    static attempt_key key_of(const run_id& run);

    std::map<attempt_key, attempt_end> ends_;
};

} // namespace poplarramp

#endif
