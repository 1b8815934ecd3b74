// What has become of the tasks of one job, as the leader keeps it and stores it
// in one row. Plain data and transitions.
#ifndef POPLARRAMP_DOMAIN_JOB_PROGRESS_HPP
#define POPLARRAMP_DOMAIN_JOB_PROGRESS_HPP

#include "domain/server_api.hpp"
#include "domain/server_registry.hpp"
#include "model/step_job.hpp"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplarramp
{

struct task_progress
{
    bool done = false;
    // Life of the server where the newest run was placed and may exist.
    std::optional<server_incarnation> placed;
    // Number of the newest run; 0: none yet.
    int attempt = 0;
    int failures = 0;
    std::string checkpoint;
};

struct step_progress
{
    std::vector<task_progress> tasks;
    // Failed runs of a gang; a run counts once, whatever members failed.
    int gang_failures = 0;
    int last_failed_attempt = 0;
    // First moment at which a task could have been placed; not stored.
    time_point turn_since{};

    bool done() const;
};

// One execution of all steps.
struct repetition_progress
{
    std::vector<step_progress> steps;

    bool done() const;
};

// What follows from the end of a run.
struct end_effect
{
    // The end was of a run that the job knows.
    bool known = false;
    // The task, or the whole gang, has ended well with this end.
    bool completed = false;
    // The job has failed with this end.
    bool job_failed = false;
};

// Not thread safe.
class job_progress
{
public:
    explicit job_progress(step_job job);

    const step_job& job() const
    {
        return job_;
    }
    const step_spec& spec_of(int step) const;

    // Makes the repetitions that are due; returns the next due time in Unix
    // milliseconds, nothing if there is none to come.
    std::optional<std::int64_t> open_due(std::int64_t unix_ms);

    // Tasks whose turn has come and that have no run. For a gang all tasks or
    // none.
    std::vector<int> waiting(int repetition, int step) const;

    // Next run number for tasks that start together.
    int
    next_attempt(int repetition, int step, const std::vector<int>& tasks) const;

    // Precondition: the task has no run.
    void place(const run_id& run, const server_incarnation& server);

    // The run does not exist and left no end, or ended without effect.
    // Returns false if the job has no such run.
    bool drop(const run_id& run, const std::string& checkpoint);

    end_effect
    end(const run_id& run, run_outcome outcome, const std::string& checkpoint);

    // A member of a gang shares its checkpoint with all.
    void save(const run_id& run, const std::string& checkpoint);

    const task_progress* task(const task_name& name) const;

    // Runs that may exist.
    std::vector<std::pair<run_id, server_incarnation>> placed() const;

    // Members of the gang run, or the run itself.
    std::vector<run_id> members(const run_id& run) const;

    void cancel();
    bool cancelled() const
    {
        return cancelled_;
    }

    step_job_state state() const;

    std::map<int, repetition_progress>& repetitions()
    {
        return repetitions_;
    }
    const std::map<int, repetition_progress>& repetitions() const
    {
        return repetitions_;
    }

    std::string to_text() const;
    // Takes over what `to_text` wrote; false if it cannot be read.
    bool read(const std::string& text, failure& why);

private:
    task_progress* mutable_task(const task_name& name);
    step_progress& step_of(const task_name& name);
    bool turn_has_come(const repetition_progress& repetition, int step) const;
    end_effect count_failure(const run_id& run, task_progress& task);
    void complete(const run_id& run);
    void close(int repetition);
    repetition_progress& open(int repetition);
    bool read_repetition(const std::string& key, const Json::Value& json);
    bool read_step(step_progress& step, const Json::Value& json) const;

    step_job job_;
    std::map<int, repetition_progress> repetitions_;
    // Repetitions that were opened, and of these those that are done.
    int opened_ = 0;
    int completed_ = 0;
    bool started_ = false;
    bool failed_ = false;
    bool cancelled_ = false;
};

} // namespace poplarramp

#endif
