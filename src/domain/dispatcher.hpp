// Scheduler of one domain: places the tasks of accepted jobs on the backend
// servers of all zones, stores each decision, then sends start and stop orders
// and tracks their runs. Exists on the leader only, for one epoch.
#ifndef POPLARRAMP_DOMAIN_DISPATCHER_HPP
#define POPLARRAMP_DOMAIN_DISPATCHER_HPP

#include "domain/commit_queue.hpp"
#include "domain/deployment_view.hpp"
#include "domain/gang_ends.hpp"
#include "domain/job_bisection.hpp"
#include "domain/job_directory.hpp"
#include "domain/job_probation.hpp"
#include "domain/job_progress.hpp"
#include "domain/leadership.hpp"
#include "domain/planning_view.hpp"
#include "domain/progress_rows.hpp"
#include "domain/row_watcher.hpp"
#include "domain/run_log.hpp"
#include "domain/scan_pace.hpp"
#include "domain/server_api.hpp"
#include "domain/server_registry.hpp"
#include "policy/customer_rates.hpp"
#include "policy/step_planner.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarramp
{

struct dispatcher_settings
{
    // Region of each zone.
    std::map<std::string, std::string> regions;
    // Longest lease that a server grants.
    milliseconds max_lease{6000};
    // Factor on the run time of a task far from its data, or of a gang that
    // spans several racks.
    double remote_slowdown = 3;
    // Learn the speed of the servers, and use it where speeds differ by more
    // than the queues bear.
    bool learn_speeds = false;
    // Weigh what callers lose by waiting when there is too little capacity.
    bool weigh_value = false;
    // Share of its limit by which a customer may exceed it, for a gang that is
    // wider than the limit.
    double limit_overage = 0;
    // How long the rows of a finished job are kept.
    milliseconds retention{300000};
    // Memory that a process may have.
    std::int64_t memory_mb = 128;
};

// Figures of one customer for the metrics page.
struct customer_figures
{
    resources held;
    resources limit;
    // Tasks that could be placed.
    std::int64_t waiting_tasks = 0;
    // Share of the fleet that it holds, in the dimension of which it holds
    // most, and that it is entitled to by its weight.
    double share = 0;
    double entitled_share = 0;
};

struct dispatcher_hooks
{
    table store;
    server_api servers;
    deployment_rows rows;
    std::function<time_point()> now;
    std::function<boot_time()> boot_now;
    std::function<std::int64_t()> unix_now;
    std::function<std::uint64_t()> random;
    // Runs a function later on the control thread.
    std::function<void(std::function<void()>)> post;
    // When the local copies of the operator's rows and of the job rows were
    // last known to be complete.
    std::function<std::optional<boot_time>()> deployment_confirmed;
    std::function<std::optional<boot_time>()> jobs_confirmed;
    // Called for each row that this leader has written.
    std::function<void(const table_row_change& change)> on_written;
    // Adds to a metrics counter.
    std::function<void(const std::string& counter, double amount)> count;
    // Adds to a metrics histogram.
    std::function<void(const std::string& name, milliseconds time)> record;
};

// Used on the control thread only. `leader`, `deployment` and `jobs` must
// outlive the calls of `tick`, `on_job_changed` and `on_jobs_loaded`.
class dispatcher : public std::enable_shared_from_this<dispatcher>
{
public:
    dispatcher(dispatcher_settings settings,
               dispatcher_hooks hooks,
               leadership& leader,
               const deployment_view& deployment,
               const job_directory& jobs);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    // Makes due calls, plans and commits. To be called every few milliseconds.
    void tick();

    // To be called when rows of a job have changed, or after a new scan.
    void on_job_changed(const std::string& id);
    void on_jobs_loaded();

    // To be called when the configuration or an evacuation has changed.
    void on_deployment_changed();

    // What the customers with a limit or a weight hold and wait for, by name.
    // Looks at all runs.
    std::map<std::string, customer_figures> figures_by_customer() const;

    const server_registry& servers() const
    {
        return registry_;
    }

    // Number of tasks whose state is held.
    std::size_t open_tasks() const;

    const server_speed& speeds() const
    {
        return speeds_;
    }

private:
    // What a commit stores; takes effect here once the commit is confirmed.
    struct commit_contents
    {
        // Jobs to commit again if the commit fails, and their repetitions whose
        // documents are stored or removed.
        std::vector<std::string> jobs;
        std::vector<std::pair<std::string, int>> documents;
        std::vector<std::pair<std::string, int>> removed_documents;
        // Jobs of which a part is left for a later commit.
        std::vector<std::string> unfinished;
        // New states of jobs.
        std::map<std::string, step_job_state> states;
        // Runs to start.
        placed_runs placed;
        // Number of the last applied end of each server; empty while further
        // jobs wait to be committed.
        std::map<server_incarnation, std::uint64_t> ends;
        // State rows of jobs, for `on_written`.
        std::vector<table_row_change> written;
        // Ended jobs without runs, whose progress rows are removed.
        std::vector<std::string> removed_jobs;
    };

    // Start-up of a new leader (dispatcher.cpp).
    void load_progress();
    void on_progress_page(table_scan_reply reply, time_point sent);
    void restore_jobs();
    void restore_job(const step_job& job);
    server_run& restore_run(const run_id& run,
                            const server_incarnation& placed_on);
    // Runs of a job whose rows are not read count on their servers.
    std::vector<std::pair<run_id, server_incarnation>>
    track_runs(const std::string& id,
               const job_record& job,
               const progress_texts& texts);
    // Reads the rows of the job, if it has any.
    bool read_progress(job_progress& progress, failure& why) const;
    void restore_ended_job(const std::string& id,
                           const job_record& job,
                           const progress_texts& texts);
    void find_restarted_servers();
    void on_server_row(const table_row_change& change);
    void on_server_rows(const std::vector<table_row>& rows);
    bool has_recent_state() const;

    // Jobs (dispatcher.cpp).
    void add_job(const job_record& record);
    void cancel_job(job_progress& job);
    void stop_runs_of(job_progress& job);
    void drop_run(const std::string& server,
                  const run_id& run,
                  const std::string& checkpoint,
                  std::string_view reason);
    void mark_dirty(const std::string& job);
    void request_plan();
    void advance();

    // Jobs that may end leaders (dispatcher_begin.cpp).
    bool may_begin(const std::string& job) const;
    void restore_probation();
    void start_bisection();
    void advance_bisection();
    void on_bisection_done();
    // To be called after each plan, before the commit of what it has begun.
    void record_begun_jobs();
    // Null if the job is not quarantined for a time.
    const timed_quarantine* quarantine_of(const std::string& job) const;
    void quarantine_for_a_time(const std::string& job, int ends);
    void end_quarantine(const std::string& job);
    void retry_quarantined_job();
    // Keeps the rows of a job that may not begin, and reads them later.
    void leave_unread(const step_job& job);
    void read_begun_jobs();
    void release_held_ends();
    void cancel_unread_job(const std::string& id);

    // Commits (dispatcher_commit.cpp).
    void commit();
    void add_to_batch(const std::string& id,
                      leader_batch& batch,
                      commit_contents& contents);
    // Adds the documents of a recurring job.
    void add_repetitions(const std::string& id,
                         job_progress& job,
                         leader_batch& batch,
                         commit_contents& contents);
    // Adds removals of the rows of a job while there is room. Returns false if
    // rows are left.
    bool remove_rows(const std::string& id,
                     leader_batch& batch,
                     commit_contents& contents);
    void add_state(const std::string& id,
                   step_job_state state,
                   leader_batch& batch,
                   commit_contents& contents);
    void
    add_placed(const std::vector<std::pair<run_id, server_incarnation>>& placed,
               commit_contents& contents);
    void on_committed(const commit_contents& contents);
    void on_not_committed(const commit_contents& contents,
                          commit_outcome outcome);
    void expire_jobs();
    // To be called when a server has confirmed the start of a run.
    void on_start_confirmed(const run_id& run);
    void store_begun_jobs();
    void quarantine(const std::string& id, std::string_view reason);
    void cancel_quarantined_job(const std::string& id);

    // Calls to backend servers (dispatcher_servers.cpp).
    void poll_servers();
    void renew(const std::string& id, server_record& server);
    void on_renewal(const std::string& id,
                    std::int64_t incarnation,
                    time_point requested_at,
                    const renewal_reply& reply);
    void apply_renewal(const std::string& id,
                       server_record& server,
                       time_point requested_at,
                       const renewal_reply& reply);
    void on_listed(const std::string& id,
                   server_record& server,
                   const listed_run& listed,
                   std::optional<server_clock> listed_on);
    bool holds_end(server_record& server, const listed_end& end);
    void on_ended(const std::string& id,
                  server_record& server,
                  const listed_end& end);
    void
    record_gang_end(const listed_end& end, bool stopping, std::size_t members);
    placed_runs newer_runs(const job_progress& job, const run_id& ended) const;
    void on_failed_run(const std::string& id, server_record& server);
    void resolve_unlisted(const std::string& id,
                          server_record& server,
                          time_point requested_at,
                          const renewal_reply& reply);
    std::optional<server_clock> lease_for(const server_record& server) const;
    server_target target_of(const server_record& server) const;
    void release_ended_members(const std::string& id, server_record& server);
    void expire_lost_server(const std::string& id, server_record& server);
    void on_lost_runs(const std::string& id,
                      const std::map<run_id, server_run>& runs,
                      bool crashed);
    void record_losses(const std::string& id,
                       const std::map<run_id, server_run>& runs,
                       const std::map<run_id, server_run>& lost,
                       bool crashed);
    void record_loss(const std::string& id,
                     const run_id& run,
                     loss_role role,
                     bool sole_cause);
    void lose_server(const std::string& id,
                     server_record& server,
                     std::string_view reason,
                     bool crashed);
    void on_server_replaced(const std::string& id,
                            server_record& server,
                            std::int64_t incarnation);
    void clear_losses(const task_name& task);
    void give_up(job_progress& job, const task_name& task);
    void on_server_returned(const std::string& id, const server_record& server);
    std::string server_of(const run_id& run) const;
    server_run* find_run(const std::string& server, const run_id& run);

    // Speed of the servers (dispatcher_speeds.cpp).
    std::uint64_t comparison_of(const server_record& server,
                                const run_id& run) const;
    void observe_progress(server_record& server,
                          const run_id& run,
                          server_run& record,
                          int percent,
                          server_clock clock);
    void observe_ends(server_record& server,
                      time_point requested_at,
                      const renewal_reply& reply);
    void observe(server_record& server,
                 const run_id& run,
                 server_run& record,
                 const pace_sample& sample);
    void classify_servers();
    void log_class(const server_record& server, int before) const;

    // Start and stop orders (dispatcher_orders.cpp).
    bool may_start_on(const server_record& server) const;
    server_run* run_of_reply(const std::string& id,
                             std::int64_t incarnation,
                             const run_id& run,
                             const order_reply& reply);
    void start_committed(const placed_runs& placed);
    void send_start(const std::string& id, const run_id& run);
    void log_unconfirmed(std::string_view event,
                         const std::string& id,
                         const run_id& run,
                         const order_reply& reply);
    void on_start(const std::string& id,
                  std::int64_t incarnation,
                  const run_id& run,
                  const order_reply& reply);
    void on_start_refused(const std::string& id,
                          server_record& server,
                          const run_id& run,
                          const order_reply& reply);
    void request_stop(const std::string& id,
                      const run_id& run,
                      std::string_view reason);
    void stop_gang(const run_id& run, std::string_view reason);
    void
    send_stop(const std::string& id, server_record& server, const run_id& run);
    void on_stop(const std::string& id,
                 std::int64_t incarnation,
                 const run_id& run,
                 const order_reply& reply);

    // Limits and shares of customers (dispatcher_limits.cpp).
    void record_rate(const step_job& job);
    void restore_rates();
    void log_limited(const planning_view& view,
                     const std::vector<std::size_t>& steps);

    // Planning (dispatcher_plan.cpp). Precondition of `plan`:
    // `has_recent_state()`.
    void plan();
    void open_due_repetitions();
    void place(const planning_view& view, const planned_placement& decision);
    void preempt(const planning_view& view,
                 const planned_preemption& decision,
                 const placed_runs& victims);
    void report_blocked(std::span<const blocked_step> blocked);

    const dispatcher_settings settings_;
    const dispatcher_hooks hooks_;
    leadership& leader_;
    const deployment_view& deployment_;
    const job_directory& jobs_;
    const std::uint64_t epoch_;
    const boot_time elected_at_;

    row_watcher server_rows_;
    server_registry registry_;
    // Servers that were lost with runs, and the open jobs of these.
    std::map<server_incarnation, std::set<std::string>> lost_servers_;
    // Rows of progress that a new leader has read, by job.
    std::map<std::string, progress_texts> progress_texts_;
    std::string progress_cursor_;
    scan_pace progress_pace_;
    bool progress_in_flight_ = false;
    bool progress_loaded_ = false;
    time_point next_load_{};
    bool ready_ = false;

    std::map<std::string, job_progress> open_jobs_;
    // Ended jobs, which are not opened again. Erased with their rows.
    std::set<std::string> ended_jobs_;
    // Jobs of which no task is started, and none stopped unless the job is
    // cancelled: their progress cannot be decoded or stored.
    std::set<std::string> quarantined_jobs_;
    // Progress rows that may exist, by job.
    std::map<std::string, progress_rows> stored_rows_;
    // State of each job in the table.
    std::map<std::string, step_job_state> stored_states_;
    commit_queue dirty_jobs_;
    // Jobs that have begun, and when that is to be stored at the latest.
    std::map<std::string, time_point> begun_jobs_;
    // Jobs of which no further repetition is open for want of memory.
    std::set<std::string> jobs_without_memory_;
    job_probation probation_;
    // Progress rows of jobs that may not begin and whose rows are not read
    // before: their runs go on, and their ends are not acknowledged.
    std::map<std::string, progress_texts> unread_jobs_;
    // Only after leaders that ended early, and while a quarantined job is begun
    // again.
    std::optional<job_bisection> bisection_;
    // Unset until this leader has planned with all jobs.
    std::optional<time_point> lasting_from_;
    // The job that `bisection_` begins again.
    std::string retried_job_;
    gang_ends gang_ends_;
    step_planner planner_;
    server_speed speeds_;
    time_point next_classification_{};
    // Steps that cannot be placed, with the time of the next report.
    std::map<std::pair<step_id, block_reason>, time_point> blocked_steps_;
    customer_rates rates_;
    // When the limit of its customer is next logged as what a job waits for.
    std::map<std::string, time_point> next_limit_log_;
    run_log run_log_;
    bool plan_due_ = true;
    bool advance_posted_ = false;
    time_point next_plan_{};
    // Delays the next plan, to leave processor time for orders and replies.
    time_point earliest_plan_{};
    time_point next_expiry_{};
};

} // namespace poplarramp

#endif
