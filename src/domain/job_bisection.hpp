// Finds the job under which leaders end again and again. Each leader splits the
// jobs in question in two, and names the part that it is about to begin in its
// row before. The next leader looks for the job in the part that its
// predecessor ended under. A job alone is begun a random time after all others:
// if a leader ends before that, it has ended for another cause. Plain data.
#ifndef POPLARRAMP_DOMAIN_JOB_BISECTION_HPP
#define POPLARRAMP_DOMAIN_JOB_BISECTION_HPP

#include "base/time.hpp"
#include "domain/leadership.hpp"
#include "model/step_job.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace poplarramp
{

// A leader is careful after this many leaders in a row that ended early.
constexpr int short_terms_before_bisection = 2;

// A job is at fault after this many leaders that ended just after they had
// begun it alone. One that is ended at a fixed time after its election, for a
// cause of its own, meets that moment in one of four cases at most.
constexpr int ends_of_faulty_job = 3;

// Jobs sort by the number of their tasks, then by id. Thread safe.
std::string bisection_key(const step_job& job);

// Not thread safe.
class job_bisection
{
public:
    // `failed` is the group of the leader before; empty: it had none.
    job_bisection(bisection_group failed,
                  std::function<std::uint64_t()> random);

    // Begins one job again, under which `ends` leaders have ended before.
    static job_bisection
    retry(const step_job& job, int ends, std::function<std::uint64_t()> random);

    // Adds a job in question. Precondition: `advance` has not been called.
    void add(const step_job& job);

    // Chooses the first group; lets the current one begin once it is `stored`
    // in the leader row; and goes on to the next one when its time is over.
    // Returns true if more jobs may begin than before.
    bool advance(time_point now, bool stored);

    // To be called after each plan: the time of a group starts with the first
    // plan in which its jobs may begin.
    void on_planned(time_point now);

    // The group to be named in the leader row.
    const bisection_group& note() const
    {
        return note_;
    }

    // Whether the job may begin now; always true for one that was not added.
    bool may_begin(const std::string& job) const
    {
        return !waiting_.contains(job);
    }

    // True after the last group.
    bool done() const
    {
        return phase_ == phase::done;
    }

    // The job at fault, if the first call of `advance` has found it.
    const std::optional<std::string>& faulty_job() const
    {
        return faulty_job_;
    }

    // Leaders that have ended under the job at fault.
    int ends() const
    {
        return ends_;
    }

private:
    enum class phase
    {
        not_begun,
        first_part,
        // All other jobs are begun; the job in question is not.
        control,
        // The second part, or the job in question.
        last_part,
        done,
    };

    struct candidate
    {
        std::string id;
        std::int64_t tasks = 0;
    };
    using candidate_map = std::map<std::string, candidate>;

    void choose_groups();
    void split(candidate_map::const_iterator first,
               candidate_map::const_iterator last);
    void go_on();

    bisection_group failed_;
    std::function<std::uint64_t()> random_;
    phase phase_ = phase::not_begun;
    bisection_group note_;
    bisection_group last_group_;
    // By key: the smaller jobs first, as larger ones are more likely at fault.
    candidate_map jobs_;
    // Jobs that may not begin yet, and those of the last part.
    std::set<std::string> waiting_;
    std::set<std::string> last_part_;
    std::optional<std::string> faulty_job_;
    int ends_ = 0;
    bool is_retry_ = false;
    // The current group may begin.
    bool released_ = false;
    // Set once it has begun.
    std::optional<time_point> until_;
};

} // namespace poplarramp

#endif
