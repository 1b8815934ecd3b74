// State and job state machine of the scheduler of one availability zone.
// Private to `zone_scheduler`; implemented in zone_core.cpp (activation, ticks,
// job outcomes), zone_queue.cpp (enqueue, cancel, policy decisions),
// zone_attempts.cpp (attempts from placement to end) and zone_takeover.cpp
// (recovery of attempts of an earlier scheduler).
#ifndef POPLARRAMP_CONTROL_ZONE_CORE_HPP
#define POPLARRAMP_CONTROL_ZONE_CORE_HPP

#include "control/config_freshness_check.hpp"
#include "control/job_rows.hpp"
#include "control/open_job_scan.hpp"
#include "control/server_leases.hpp"
#include "control/task_run.hpp"
#include "control/zone_scheduler.hpp"
#include "policy/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarramp::detail
{

enum class job_phase
{
    // An earlier scheduler may have started it; not submitted to the policy.
    awaiting_recovery,
    queued,
    // Placed; reading its row, because another scheduler may have ended it.
    checking,
    // Placed; writing its attempt record.
    recording,
    // Placed; waiting for a recently confirmed configuration.
    awaiting_config,
    // An attempt runs or may run.
    running,
    // Waits until `retry_at` before it is queued again.
    deferred,
    // The job ends without a run, but its outcome is not written while another
    // scheduler may hold backend servers and start it.
    withheld,
    // The outcome is decided; the final row is not written yet.
    finishing,
    ended,
    // The scheduler was deactivated.
    dropped,
};

struct zone_job
{
    job item;
    std::string id;
    job_phase phase = job_phase::awaiting_recovery;
    // Incremented when an attempt is abandoned; replies to its calls are then
    // ignored.
    int generation = 0;
    // The policy counts the job as placed.
    bool placed = false;
    bool started = false;
    // An attempt ran, so the outcome cannot be `not_run`.
    bool ran = false;
    // An earlier scheduler may have run it.
    bool may_have_run = false;
    bool cancel_requested = false;
    // The outcome was not reported by a backend server.
    bool inferred = false;
    bool end_reported = false;
    // The row was read since the job entered `awaiting_recovery`.
    bool row_read = false;
    bool row_read_in_flight = false;
    // Value of `zone_core::foreign_claims` when the row was last known not to
    // be final.
    std::uint64_t checked_at_claim = 0;
    int attempt = 0;
    // Attempts up to this number are known not to have run.
    int not_run_up_to = 0;
    int failures = 0;
    // Backend servers on which it has failed.
    std::set<std::string> failed_on;
    int refusals = 0;
    std::vector<placement_part> parts;
    std::vector<lease_token> tokens;
    std::shared_ptr<task_run> run;
    std::vector<event_ref> pending_acks;
    time_point retry_at{};
    time_point ended_at{};
};

using job_ptr = std::shared_ptr<zone_job>;

// A running task that no attempt of this scheduler owns.
struct untracked_task
{
    std::string server;
    std::string id;
    time_point next_stop{};
};

struct zone_core
{
    zone_core(std::string vm_name,
              std::string zone_name,
              zone_scheduler_hooks all_hooks);
    zone_core(const zone_core&) = delete;
    zone_core& operator=(const zone_core&) = delete;

    // zone_core.cpp
    void activate();
    void deactivate(std::function<void()> released);
    void set_configuration(const configuration& next, bool is_open);
    void release_after_writes();
    void tick();
    void tick_job(const job_ptr& entry);
    job_ptr find(std::string_view id) const;
    job_ptr add(const job& item);
    std::vector<job_ptr> all_jobs() const;
    std::vector<job_ptr> jobs_to_tick();
    // Writes the outcome of an attempt to the row. With `report_early`,
    // `on_job_ended` does not wait for the row while the table is unavailable,
    // because the backend server reports the same outcome to the next
    // scheduler.
    void finish(const job_ptr& entry, job_outcome outcome, bool report_early);
    // Ends a job that has no running attempt.
    void end_without_attempt(const job_ptr& entry, failure why);
    void write_final(const job_ptr& entry, bool report_early, bool did_not_run);
    // Returns the job to `awaiting_recovery`: its row has an attempt that
    // another scheduler may have run.
    void await_recovery(const job_ptr& entry, const job& row);
    void on_final_row(const job_ptr& entry, const job& row);
    void report_end(const job_ptr& entry);
    void mark_ended(const job_ptr& entry);
    time_point now() const;

    // zone_queue.cpp
    failure enqueue(const job& item);
    failure cancel(std::string_view id);
    failure submit(const job_ptr& entry);
    // Removes the job from the policy.
    void remove_from_policy(const job_ptr& entry);
    void defer(const job_ptr& entry, milliseconds wait);
    void decide();
    void apply(const decision& made);
    void apply_place(const decision& made);
    void apply_preempt(const decision& made);
    bool is_fresh(const job& item) const;

    // zone_attempts.cpp
    void check_row(const job_ptr& entry);
    void record_attempt(const job_ptr& entry);
    void on_recorded(const job_ptr& entry,
                     record_result result,
                     const job_row_view& view);
    void try_start(const job_ptr& entry);
    // Requeues a placed job for which no call was sent.
    void abandon(const job_ptr& entry);
    std::shared_ptr<task_run> make_run(const job_ptr& entry);
    void run_changed(const job_ptr& entry);
    void run_ended(const job_ptr& entry, attempt_outcome end_state);
    void run_never_started(const job_ptr& entry);
    void run_stopped(const job_ptr& entry);
    void run_failed(const job_ptr& entry);
    void run_lost(const job_ptr& entry);
    void record_loss(const job_ptr& entry);
    void on_loss_recorded(const job_ptr& entry);
    void requeue(const job_ptr& entry, const std::string& fault_server);
    void end_in_policy(const job_ptr& entry, bool succeeded);
    void acknowledge(const job_ptr& entry);

    // zone_takeover.cpp
    void on_claimed(const std::string& server, const claim_reply& reply);
    void on_event(const task_event& event, const event_ref& ref);
    void on_server_removed(const std::string& server);
    void note_foreign_claim();
    bool revoke_inferred(const job_ptr& entry);
    void adopt_task(const std::string& server, const task_status& status);
    void on_open_job(const std::string& id);
    void try_recovery(const job_ptr& entry);
    void read_recovery_row(const job_ptr& entry);
    void recover_attempt(const job_ptr& entry);
    bool may_be_running(const job_ptr& entry) const;
    void resolve_lost_servers(const job_ptr& entry);
    void stop_untracked_tasks();

    std::string vm;
    std::string zone;
    zone_scheduler_hooks hooks;
    bool active = false;
    bool zone_open = false;
    // `decide` is applying decisions; further calls return at once.
    bool deciding = false;
    // Deactivated, but the leases are not released yet.
    bool releasing = false;
    std::function<void()> on_released;
    configuration config;
    time_point activated_at{};
    // Number of claims of servers that another scheduler may have held before.
    // That scheduler may have run or ended jobs that are queued here too.
    std::uint64_t foreign_claims = 1;
    time_point last_foreign_claim{};
    // All servers were held at some tick since the activation.
    bool takeover_done = false;
    time_point next_full_tick{};
    // Whether all servers were held at the last tick.
    bool all_held = false;
    std::unique_ptr<scheduler> policy;
    server_leases leases;
    job_rows rows;
    open_job_scan scan;
    config_freshness_check freshness_check;
    std::map<std::string, job_ptr, std::less<>> jobs;
    // Cancellations of unknown jobs, with the time at which they expire.
    std::map<std::string, time_point, std::less<>> early_cancels;
    std::map<std::pair<std::string, std::string>, untracked_task>
        untracked_tasks;
};

} // namespace poplarramp::detail

#endif
