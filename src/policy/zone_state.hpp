// State of the scheduler of one availability zone, with the operations that
// keep servers, blocks and customer accounts consistent.
#ifndef POPLARRAMP_POLICY_ZONE_STATE_HPP
#define POPLARRAMP_POLICY_ZONE_STATE_HPP

#include "model/job.hpp"
#include "model/sheet.hpp"
#include "policy/cluster.hpp"
#include "policy/drain_reservation.hpp"
#include "policy/estimate.hpp"
#include "policy/guarantee.hpp"
#include "policy/health.hpp"
#include "policy/placement.hpp"
#include "policy/planner.hpp"
#include "policy/queue.hpp"
#include "policy/timer_set.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarramp::detail
{

enum class placement_phase
{
    queued,
    // Has a place and waits for the victims there to stop.
    reserved,
    placed,
};

struct job_entry
{
    job item;
    std::string id;
    std::int64_t number = 0;
    placement_phase phase = placement_phase::queued;
    bool running = false;
    // `started` is the start of the run, not the time of placement or adoption.
    bool run_start_known = false;
    // A stop was requested, so that a failure does not count against the
    // server.
    bool stop_requested = false;
    bool probe = false;
    // Was placed before, so it must not be reported as not run.
    bool was_placed = false;
    time_point started{};
    // Servers on which the job failed; others are preferred.
    std::set<int> failed_on;
    // Place of a reserved job.
    job_plan plan;

    int accelerators() const
    {
        return item.request.accelerators;
    }
    const std::string& customer() const
    {
        return item.request.customer;
    }
};

// Resources that a customer uses, including reserved places.
struct customer_account
{
    int in_guarantee = 0;
    int borrowed = 0;
    int slot_only_tasks = 0;
    int reserved_jobs = 0;
    std::set<std::int64_t> borrowed_tasks;
};

// Not thread safe.
struct zone_state
{
    explicit zone_state(std::string name) : zone(std::move(name))
    {
    }

    std::string zone;
    capacity_sheet sheet;
    std::map<std::string, customer> customers;
    // Guaranteed accelerators by customer.
    std::map<std::string, int> guaranteed;
    locality_limits configured_limits;
    int configured_accelerators = 0;
    // Servers of the zone in the sheet, and cached results of
    // `pinned_job_fits` by number of accelerators.
    std::vector<server_capacity> configured_servers;
    std::map<int, bool> pinned_fit_cache;
    bool zone_open = true;
    // The sheet has changed; queued jobs have to be checked again.
    bool recheck_fit = false;

    cluster servers;
    guarantee_registry registry;
    server_health health;
    run_time_estimator run_times;
    job_queue queue;
    std::map<std::string, customer_account> accounts;
    std::unordered_map<std::string, std::int64_t> numbers_by_id;
    std::map<std::int64_t, job_entry> jobs;
    // Jobs in the phase `reserved`.
    std::set<std::int64_t> reservations;
    std::int64_t next_number = 1;
    // Incremented whenever a job that could not be placed might fit now.
    std::uint64_t version = 1;

    // Latest start of jobs that were never placed; time at which patient jobs
    // move to the near-deadline class; end of the wait before a drain
    // reservation.
    timer_set latest_start_timers;
    timer_set near_deadline_timers;
    timer_set drain_timers;
    // Queued jobs that have waited long enough for a drain reservation.
    std::set<std::int64_t> long_waiting;
    std::vector<drain_reservation> drain_reservations;
    // Version in which the jobs with drain reservations were last tried.
    std::uint64_t drain_holders_tried_version = 0;
    time_point next_drain_check{};

    // Customers whose borrowed tasks may now fit in their own blocks; true if
    // tasks were adopted.
    std::map<std::string, bool> to_promote;
    // All blocks are to be assigned again in the next round.
    bool rebuild_blocks = false;

    job_entry* find(std::string_view id);
    const job_entry* find(std::string_view id) const;
    job_entry& add(const job& item);
    // Removes a job in any phase and frees what it holds.
    void remove_job(job_entry& entry);

    // Sheet.
    void set_sheet(const capacity_sheet& next);
    locality_limits limits() const;
    bool over_quota(const job_entry& entry) const;
    // Why the job can never run under the sheet; nullopt if it can.
    std::optional<failure> never_fits(const job& item);
    // True if the guarantees never leave enough capacity for a pinned job of
    // the customer.
    bool pinned_job_never_fits(const std::string& customer, int accelerators);
    customer_share share_of(const std::string& customer) const;

    // Queue. Precondition of `enqueue`: the job is not queued.
    void enqueue(job_entry& entry);
    void dequeue(const job_entry& entry);
    milliseconds run_estimate(const job_entry& entry, double quantile) const;
    // Run time that nearly every job of the kind exceeds; 0 while there are too
    // few runs to tell.
    milliseconds shortest_run(const job_request& request) const;
    job_need need_of(const job_entry& entry, time_point now) const;

    // Places. `reserve` applies a plan whose parts are not yet free, `place`
    // one whose parts are; both commit its block and update the account.
    void reserve(job_entry& entry, job_plan next);
    void drop_reservation(job_entry& entry);
    decision place(job_entry& entry, const job_plan& next, time_point now);
    decision place_reserved(job_entry& entry, time_point now);
    void adopt(job_entry& entry, part_list parts, time_point now);
    // Frees the place of a placed job.
    void release(job_entry& entry);

    // Blocks.
    // Moves borrowed tasks into blocks of their customer. Opens a block that is
    // larger than the shape of the task only if `adopted`: otherwise a small
    // borrowed task would take a block that a waiting job needs, while an
    // adopted task may have been in guarantee before.
    void promote(const std::string& customer, bool adopted);
    void rebuild();
    void servers_changed();

private:
    void index_customers();
    void index_zone();
    void set_timers(job_entry& entry);
    bool pinned_job_fits(int accelerators) const;
    bool commit_place(job_entry& entry, const job_plan& next);
    void release_place(job_entry& entry, const part_list& parts);
    decision
    start(job_entry& entry, const part_list& parts, bool probe, time_point now);
    placed_task
    make_task(const job_entry& entry, part_list parts, time_point now) const;
    void update_account(const job_entry& entry, bool in_guarantee, int sign);
    std::vector<const placed_task*>
    promotion_order(const std::string& customer);
    bool promote_task(std::int64_t number, bool adopted);
    bool promote_into(const placed_task& task, int block_number);
    bool promote_at(const placed_task& task,
                    const guarantee_key& owner,
                    const part_list& extent);
    bool is_feasible_change(const placed_task& task,
                            std::vector<commitment> changes,
                            int opened_shape);
    void enter_promoted(const placed_task& task, int block_number);
    std::optional<part_list> extent_for(const placed_task& task, int shape);
    void demote_all();
};

} // namespace poplarramp::detail

#endif
