// Jobs that no leader is known to have begun and outlived: only these can be
// the cause of the end of a leader. Plain data.
#ifndef POPLARRAMP_DOMAIN_JOB_PROBATION_HPP
#define POPLARRAMP_DOMAIN_JOB_PROBATION_HPP

#include "base/time.hpp"
#include "domain/leadership.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace poplarramp
{

// A leader that a job ends, such as by its memory or a crash, ends within some
// tenths of a second after it has begun the job.
constexpr milliseconds probation_time{500};

// Not thread safe.
class job_probation
{
public:
    // Adds a job, unless it is on probation. `begun` tells whether an earlier
    // leader has begun it.
    void add(const std::string& job, bool begun);

    // Records that this leader begins the job, if it is on probation. Only the
    // first call for a job has an effect.
    void begin(const std::string& job, time_point now);

    // To be called when the job has ended.
    void remove(const std::string& job);

    // Releases the jobs that were begun `probation_time` before `now`.
    void advance(time_point now);

    bool contains(const std::string& job) const
    {
        return jobs_.contains(job);
    }

    // Calls `visit` for each job that this leader has not begun.
    void for_each_waiting(
        const std::function<void(const std::string& job)>& visit) const;

    // The jobs that some leader has begun.
    probation_list begun() const;

private:
    struct entry
    {
        bool begun_before = false;
        // Unset until this leader begins the job.
        std::optional<time_point> until;
    };

    std::map<std::string, entry> jobs_;
};

} // namespace poplarramp

#endif
