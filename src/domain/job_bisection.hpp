// Finds the job under which leaders end again and again: after several that
// ended early, a leader begins the waiting jobs in groups, and names each group
// in its row before. The next leader looks for the job in the group that its
// predecessor ended under. Plain data.
#ifndef POPLARRAMP_DOMAIN_JOB_BISECTION_HPP
#define POPLARRAMP_DOMAIN_JOB_BISECTION_HPP

#include "base/time.hpp"
#include "domain/leadership.hpp"
#include "model/step_job.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace poplarramp
{

// A leader is careful after this many leaders in a row that ended early.
constexpr int short_terms_before_bisection = 2;

// Not thread safe.
class job_bisection
{
public:
    // `failed` is the group of the leader before; empty: it had none.
    explicit job_bisection(bisection_group failed);

    // Adds a job that waits to be begun. One that arrives later than its group
    // was begun waits for the end of the bisection.
    void add(const step_job& job);

    // Chooses the first group; then goes on to the next one if the current one
    // is `stored` in the leader row and has worked for long enough.
    void advance(time_point now, bool stored);

    // The group to be named in the leader row.
    const bisection_group& note() const
    {
        return note_;
    }

    bool may_begin(const step_job& job) const;

    // True after the last group.
    bool done() const
    {
        return done_;
    }

    // The job at fault, if the first call of `advance` has found it.
    const std::optional<std::string>& faulty_job() const
    {
        return faulty_job_;
    }

private:
    void choose_group(std::string after);
    bool choose_from_failed();

    bisection_group failed_;
    bisection_group note_;
    // Ids of the jobs by key: the smaller ones first, as larger ones are more
    // likely at fault.
    std::map<std::string, std::string> jobs_;
    std::set<std::string> late_;
    std::optional<std::string> faulty_job_;
    std::optional<time_point> until_;
    bool begun_ = false;
    bool done_ = false;
    bool stored_ = false;
};

} // namespace poplarramp

#endif
