// Progress of the tasks of one job, kept by the leader and stored in one
// document, or in one for each open repetition and one for the job. Plain data
// and state transitions.
#ifndef POPLARRAMP_DOMAIN_JOB_PROGRESS_HPP
#define POPLARRAMP_DOMAIN_JOB_PROGRESS_HPP

#include "domain/attempt_ends.hpp"
#include "domain/crash_evidence.hpp"
#include "domain/server_api.hpp"
#include "domain/server_registry.hpp"
#include "model/step_job.hpp"

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <limits>
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
    // Server incarnation on which the newest run may exist; unset if the task
    // is not placed.
    std::optional<server_incarnation> server;
    // Attempt number of the newest run; 0: none yet.
    int attempt = 0;
    // Of a task that is in no gang.
    failed_attempts failures;
    std::string checkpoint;
    crash_evidence crashes;
    // A run was stopped for a more urgent job; not stored, so that a new leader
    // may stop the task once more.
    bool stopped_for_others = false;
    // How the newest run uses its server.
    server_use use = server_use::shared;
};

struct step_progress
{
    std::vector<task_progress> tasks;
    // Of a gang; an attempt counts once, however many of its members fail.
    failed_attempts gang_failures;
    unlisted_ends unlisted;
    // When the step first had tasks to place; not stored.
    time_point ready_since{};
    // Since when long-running tasks that have run before wait to be placed; not
    // stored.
    std::optional<time_point> restart_since;
    // Until when tasks that are to be kept apart wait for servers without runs;
    // not stored.
    time_point empty_servers_until{};

    bool done() const;
};

// One execution of all steps.
struct repetition_progress
{
    std::vector<step_progress> steps;

    bool done() const;
};

// Effect of the end of a run on its job.
struct end_effect
{
    // The end was of the task's current run, or of an earlier one and changed
    // what is known of the task.
    bool applied = false;
    // The task, or the whole gang, is now done.
    bool completed = false;
    // The job has now failed.
    bool job_failed = false;
    // A failure was counted of a run that had been given up.
    bool late_failure = false;
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

    // Latency objective of the job, in Unix milliseconds.
    std::int64_t deadline_unix_ms() const
    {
        return deadline_unix_ms_;
    }

    // Opens the repetitions that are due at `now_unix_ms`, as long as fewer
    // than `max_open` are open. Returns when the next one is due, in Unix
    // milliseconds; nothing if none is left.
    std::optional<std::int64_t> open_due_repetitions(
        std::int64_t now_unix_ms,
        std::size_t max_open = std::numeric_limits<std::size_t>::max());

    // When the next repetition is due that is not open; nothing if none is
    // left.
    std::optional<std::int64_t> next_due() const;

    std::size_t tasks_per_repetition() const;

    // False for a repetition that has ended or was not begun.
    bool is_open(int repetition) const
    {
        return repetitions_.contains(repetition) ||
               unopened_.contains(repetition);
    }

    // Tasks that can be placed: neither done nor placed, and the steps that
    // this step depends on are done. All tasks of a gang or none, because a
    // gang is placed as a whole or not at all. None if the job has ended, or if
    // the ends that are not listed yet may turn out to be the last failures
    // that it may have.
    std::vector<int> ready_tasks(int repetition, int step) const;

    // Next attempt number for tasks that start together.
    int
    next_attempt(int repetition, int step, const std::vector<int>& tasks) const;

    // False if no server was lost under any task.
    bool may_have_losses() const
    {
        return may_have_losses_;
    }

    // Which servers the next run of the task may use; the members of a gang
    // start together and use the same.
    server_use required_use(const task_name& name) const;

    // Precondition: the task has no run.
    void place(const run_id& run,
               const server_incarnation& server,
               server_use use = server_use::shared);

    // A server has confirmed the start of a run of this job. Returns false if
    // the job counted as begun before.
    bool confirm_start();

    // Removes the placement of a run that does not exist and left no end
    // record. Counts no failure. Returns false and does nothing if it is
    // neither the current run of its task nor one with an unlisted end.
    bool remove_placement(const run_id& run, const std::string& checkpoint);

    // Removes the placement of a gang member that has ended, but whose server
    // has not listed how. `record_end` or `remove_placement` has to follow.
    // Precondition: it is the current run of its task.
    void await_end(const run_id& run);

    // Applies an end record of a server. A failure counts once for each attempt
    // of the task or gang, also if a later attempt is at work.
    end_effect record_end(const run_id& run,
                          run_outcome outcome,
                          const std::string& checkpoint);

    // Records that the server of the run was lost while the run was on it, or
    // may have been; `sole_cause` if no other run can be the cause. Returns
    // false and does nothing if it is not the current run of its task. The job
    // fails if the evidence against the task is conclusive.
    bool record_loss(const run_id& run, loss_role role, bool sole_cause);

    // Withdraws the losses of a server that was only out of reach. Returns
    // false if there are none.
    bool withdraw_losses(const server_incarnation& server);

    // Drops the evidence against a task that has worked for long. Returns false
    // if there is none.
    bool clear_losses(const task_name& name);

    // Servers that were lost under any task.
    std::vector<server_incarnation> lost_servers() const;

    // Records that a run of the task is stopped for a more urgent job.
    void record_preemption(const task_name& name);

    // Records the checkpoint of a task; the tasks of a gang share one.
    void save_checkpoint(const run_id& run, const std::string& checkpoint);

    // Null if the task's repetition has ended or was not begun.
    const task_progress* task(const task_name& name) const;

    // The task, if this is the run that is placed for it; null otherwise.
    const task_progress* task_of_placed(const run_id& run) const;

    // Runs that may exist, with their servers.
    std::vector<std::pair<run_id, server_incarnation>> placed_runs() const;
    // The same for one repetition.
    std::vector<std::pair<run_id, server_incarnation>>
    placed_runs(int repetition) const;

    // Runs with an end that is not listed yet, with their servers.
    std::vector<std::pair<run_id, server_incarnation>> awaited_runs() const;

    // Placed runs of the same gang attempt. The run alone if its task is not in
    // a gang or is unknown.
    std::vector<run_id> members(const run_id& run) const;

    // Placed runs of other attempts at the task, or at its gang.
    std::vector<run_id> other_attempts(const run_id& run) const;

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

    // True if each open repetition has a document of its own.
    bool has_repetition_documents() const
    {
        return job_.spec.repetitions > 0;
    }

    // The document of the job. Names the open repetitions of a recurring job
    // and contains the one of any other job.
    std::string to_text() const;
    // The document of a repetition. Precondition: it is open.
    std::string repetition_text(int repetition) const;

    // Restores what `to_text` wrote, now or in the form that contained all open
    // repetitions. Returns false and fills `why` if the text cannot be decoded;
    // what was read before the error is kept. Call it on a new object: absent
    // fields keep their values.
    bool read(const std::string& text, failure& why);
    // Restores what `repetition_text` wrote; call it after `read`. The document
    // of a repetition that has ended is ignored.
    bool
    read_repetition_text(int repetition, const std::string& text, failure& why);

    // Open repetitions that have changed since their documents were taken.
    const std::set<int>& changed_repetitions() const
    {
        return changed_;
    }
    // To be called when the document of a repetition was taken to be stored in
    // one transaction with the document of the job, which is taken afterwards;
    // and if that transaction was not confirmed.
    void on_document_taken(int repetition);
    void on_document_not_stored(int repetition);

private:
    void mark_changed(int repetition);
    task_progress* mutable_task(const task_name& name);
    step_progress& step_of(const task_name& name);
    std::vector<run_id> placed_runs_of_gang(const task_name& member) const;
    bool dependencies_done(const repetition_progress& repetition,
                           int step) const;
    bool may_have_failed(const step_spec& spec,
                         const step_progress& step) const;
    // Returns true if the job has failed by that.
    bool count_failure(const run_id& run);
    failed_attempts& failures_of(const task_name& name);
    void complete(const run_id& run);
    void close_repetition_if_done(int repetition);
    repetition_progress& open_repetition(int repetition);
    bool read_repetition(int number, const Json::Value& json);
    bool read_open_repetitions(const Json::Value& json, failure& why);

    step_job job_;
    std::int64_t deadline_unix_ms_ = 0;
    // State of the tasks of open repetitions; dropped when they end.
    std::map<int, repetition_progress> repetitions_;
    std::set<int> changed_;
    // Begun by an earlier leader without a stored task; opened first.
    std::set<int> unopened_;
    // Repetitions of a recurring job that the document of the job contains, as
    // in an earlier form, until their own documents are stored.
    std::set<int> contained_;
    bool was_contained_ = false;
    // Number of repetitions opened, and of those that are done.
    int opened_count_ = 0;
    int completed_count_ = 0;
    bool started_ = false;
    bool failed_ = false;
    bool cancelled_ = false;
    // Not reset when losses are withdrawn.
    bool may_have_losses_ = false;
};

} // namespace poplarramp

#endif
