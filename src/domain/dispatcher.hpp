// Scheduler of one domain: places the tasks of accepted jobs on the backend
// servers of all zones, stores what it decides, gives the orders, and follows
// what becomes of them. Exists on the leader only, for one epoch.
#ifndef POPLARRAMP_DOMAIN_DISPATCHER_HPP
#define POPLARRAMP_DOMAIN_DISPATCHER_HPP

#include "domain/deployment_view.hpp"
#include "domain/job_directory.hpp"
#include "domain/job_progress.hpp"
#include "domain/leadership.hpp"
#include "domain/row_watcher.hpp"
#include "domain/server_api.hpp"
#include "domain/server_registry.hpp"
#include "policy/shape_memo.hpp"
#include "policy/step_placement.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
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
    // Factor on run times away from the data, or over several racks.
    double remote_slowdown = 3;
    // How long the rows of an ended job are kept.
    milliseconds retention{300000};
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
    // When the copies of the orders and of the jobs were last complete.
    std::function<std::optional<boot_time>()> deployment_confirmed;
    std::function<std::optional<boot_time>()> jobs_confirmed;
    // A row that this leader has written.
    std::function<void(const table_row_change& change)> on_written;
    // Adds to a counter of the metrics page.
    std::function<void(const std::string& counter, double amount)> count;
    // Adds to a histogram of the metrics page.
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

    // Does what is due. To be called every few milliseconds.
    void tick();

    // The rows of a job have changed.
    void on_job_changed(const std::string& id);
    void on_jobs_loaded();

    // The configuration or an evacuation has changed.
    void on_deployment_changed();

    const server_registry& servers() const
    {
        return registry_;
    }

private:
    // Tasks of one step that wait together.
    struct waiting_step
    {
        job_progress* job = nullptr;
        int repetition = 0;
        int step = 0;
        std::vector<int> tasks;
        bool in_guarantee = false;
        // When the job should be complete; later it is worth little.
        std::int64_t due_unix_ms = 0;
        // It cannot be complete in time any more.
        bool late = false;
    };

    // Room that is kept for a step while runs end, or are stopped, for it.
    struct claim
    {
        // Servers and tasks on each.
        std::vector<std::pair<std::string, int>> parts;
        resources need;
        int priority = 0;
        time_point expires{};
        // All runs in the way were told to stop.
        bool stopped = false;
    };

    // Runs with their servers.
    using placed_runs = std::vector<std::pair<std::string, run_id>>;

    using step_key = std::tuple<std::string, int, int>;

    // What one plan has found out so far.
    struct plan_findings
    {
        shape_memo free_room;
        shape_memo empty_servers;
        // Room that could be had by stopping runs, by who asks: priority,
        // within the guarantee, customer.
        std::map<std::tuple<int, bool, std::string>, shape_memo> reclaimable;
        double share_in_use = 0;
    };

    // What one commit holds.
    struct snapshot
    {
        std::vector<std::string> jobs;
        std::map<std::string, step_job_state> states;
        placed_runs placed;
        std::map<server_incarnation, std::uint64_t> ends;
        std::vector<table_row_change> written;
        std::vector<std::string> removed_jobs;
    };

    // Start-up of a new leader (dispatcher.cpp).
    void load_progress();
    void on_progress_page(table_scan_reply reply);
    void build_jobs();
    void adopt_job(const step_job& job, const std::string* text);
    void on_server_row(const table_row_change& change);
    void on_server_rows(const std::vector<table_row>& rows);
    bool fresh() const;

    // Jobs (dispatcher.cpp).
    void add_job(const known_job& known);
    void cancel_job(job_progress& job);
    void stop_runs_of(job_progress& job);
    void drop_run(const std::string& server,
                  const run_id& run,
                  const std::string& checkpoint,
                  std::string_view reason);
    void mark(const std::string& job);
    void wake();
    void step();
    void expire_jobs();

    // Commits (dispatcher.cpp).
    void commit();
    void
    add_to_batch(const std::string& id, leader_batch& batch, snapshot& held);
    void on_committed(const snapshot& held);
    void on_not_committed(const snapshot& held);

    // Contact with servers (dispatcher_servers.cpp).
    void tend_servers();
    void renew(const std::string& id, server_record& server);
    void on_renewal(const std::string& id,
                    std::int64_t incarnation,
                    time_point asked,
                    const renewal_reply& reply);
    void on_contact(const std::string& id,
                    server_record& server,
                    time_point asked,
                    const renewal_reply& reply);
    void on_listed(const std::string& id,
                   server_record& server,
                   const listed_run& listed);
    void on_ended(const std::string& id,
                  server_record& server,
                  const listed_end& end);
    placed_runs newer_runs(const job_progress& job, const run_id& ended) const;
    void on_failed_run(const std::string& id, server_record& server);
    void settle_unlisted(const std::string& id,
                         server_record& server,
                         time_point asked,
                         const renewal_reply& reply);
    std::optional<server_clock> lease_for(const server_record& server) const;
    server_target target_of(const server_record& server) const;
    void give_up_lost(const std::string& id, server_record& server);
    std::string server_of(const run_id& run) const;
    server_run* find_run(const std::string& server, const run_id& run);

    // Orders (dispatcher_orders.cpp).
    bool may_start_on(const server_record& server) const;
    server_run* answered_run(const std::string& id,
                             std::int64_t incarnation,
                             const run_id& run,
                             const order_reply& reply);
    void
    start_placed(const std::vector<std::pair<std::string, run_id>>& placed);
    void send_start(const std::string& id, const run_id& run);
    void on_start(const std::string& id,
                  std::int64_t incarnation,
                  const run_id& run,
                  const order_reply& reply);
    void on_start_refused(const std::string& id,
                          server_record& server,
                          const run_id& run,
                          const order_reply& reply);
    void want_stop(const std::string& id,
                   const run_id& run,
                   std::string_view reason);
    void stop_gang(const run_id& run, std::string_view reason);
    void
    send_stop(const std::string& id, server_record& server, const run_id& run);
    void on_stop(const std::string& id,
                 std::int64_t incarnation,
                 const run_id& run,
                 const order_reply& reply);

    // Placement (dispatcher_plan.cpp).
    void plan();
    std::vector<waiting_step> waiting_steps();
    void add_waiting(job_progress& job, std::vector<waiting_step>& steps);
    std::vector<candidate_server> candidates() const;
    std::map<std::string, std::int64_t> urgent_use() const;
    placement_request request_for(const waiting_step& item) const;
    bool place_waiting(const waiting_step& item,
                       std::vector<candidate_server>& servers);
    // Searches only if it is not known that the shape does not fit. Steps with
    // room kept for them see more room than others, so that `memo` is null.
    static std::optional<placement_result>
    search(const placement_request& request,
           const std::vector<candidate_server>& servers,
           shape_memo* memo);
    bool fits_on_empty(const placement_request& request,
                       const std::vector<candidate_server>& servers);
    void place(const waiting_step& item,
               const placement_result& result,
               std::vector<candidate_server>& servers);
    // Marks the emptiest server of each rack as kept for urgent jobs.
    void keep_headroom(std::vector<candidate_server>& servers) const;
    double share_in_use() const;

    // Room that is kept for steps (dispatcher_claims.cpp).
    void make_room(const waiting_step& item,
                   std::vector<candidate_server>& servers);
    bool open_claim(const waiting_step& item,
                    std::vector<candidate_server>& servers);
    bool may_stop_all_for(const waiting_step& item, double lost) const;
    std::size_t open_claims() const;
    // Runs in the way of a claim, with their servers.
    placed_runs victims_for(const waiting_step& item,
                            const claim& kept,
                            const std::vector<candidate_server>& servers) const;
    void add_reclaimable(const waiting_step& item,
                         std::vector<candidate_server>& servers) const;
    bool may_stop_for(const waiting_step& item, const run_id& run) const;
    double lost_work(const run_id& run, const server_run& held) const;
    // Takes the room of claims of other steps that are at least as urgent away
    // from the servers, or gives it back.
    void withhold_claims(const waiting_step& item,
                         std::vector<candidate_server>& servers,
                         bool give_back) const;

    const dispatcher_settings settings_;
    const dispatcher_hooks hooks_;
    leadership& leader_;
    const deployment_view& deployment_;
    const job_directory& jobs_;
    const std::uint64_t epoch_;
    const boot_time elected_at_;

    row_watcher server_rows_;
    server_registry registry_;
    std::map<std::string, std::string> progress_rows_;
    std::string progress_after_;
    bool progress_in_flight_ = false;
    bool progress_loaded_ = false;
    time_point next_load_{};
    bool ready_ = false;

    std::map<std::string, job_progress> open_;
    // Jobs that have ended in this epoch.
    std::set<std::string> finished_;
    // State that the table holds.
    std::map<std::string, step_job_state> stored_states_;
    std::set<std::string> dirty_;
    std::map<step_key, claim> claims_;
    // Accelerators in use by urgent jobs, by customer; of the current plan.
    std::map<std::string, std::int64_t> urgent_;
    plan_findings findings_;
    bool plan_due_ = true;
    bool woken_ = false;
    // When the newest urgent job arrived.
    std::optional<time_point> urgent_arrival_;
    time_point next_plan_{};
    // Planning leaves processor time to the orders.
    time_point earliest_plan_{};
    time_point next_expiry_{};
};

} // namespace poplarramp

#endif
