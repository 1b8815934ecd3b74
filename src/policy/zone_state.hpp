// Everything that the scheduler of an availability zone knows, and the changes
// to it that keep servers, blocks and accounts in step.
#ifndef POPLARRAMP_POLICY_ZONE_STATE_HPP
#define POPLARRAMP_POLICY_ZONE_STATE_HPP

#include "model/job.hpp"
#include "model/sheet.hpp"
#include "policy/cluster.hpp"
#include "policy/estimate.hpp"
#include "policy/guarantee.hpp"
#include "policy/health.hpp"
#include "policy/placement.hpp"
#include "policy/planner.hpp"
#include "policy/queue.hpp"
#include "policy/reservation.hpp"
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

enum class job_phase
{
    queued,
    // Waits for the victims of its place to stop.
    claimed,
    placed,
};

struct job_entry
{
    job item;
    std::string id;
    std::int64_t number = 0;
    job_phase phase = job_phase::queued;
    bool running = false;
    // `started` is the start of the run, not of its adoption.
    bool start_known = false;
    // Its end says nothing about the health of its servers.
    bool stop_asked = false;
    bool probe = false;
    // It was placed once, so "not run" can no longer be promised.
    bool was_placed = false;
    time_point started{};
    // Servers on which it failed; others are preferred.
    std::set<int> failed_on;
    // Place of a claimed job.
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

// What a customer has in use, including places that are claimed.
struct customer_account
{
    int in_guarantee = 0;
    int borrowed = 0;
    int without_accelerators = 0;
    int claimed_jobs = 0;
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
    std::map<std::string, int> guaranteed;
    span_limits planned_limits;
    int planned_accelerators = 0;
    // Servers of the plan, and for a number of accelerators whether a pinned
    // borrowed job fits beside all guarantees.
    std::vector<capacity> planned_servers;
    std::map<int, bool> fits_beside_guarantees;
    bool open = true;
    // The sheet has changed; queued jobs may never fit now.
    bool recheck_fit = false;

    cluster servers;
    guarantee_registry registry;
    server_health health;
    run_times runs;
    job_queue queue;
    std::map<std::string, customer_account> accounts;
    std::unordered_map<std::string, std::int64_t> numbers;
    std::map<std::int64_t, job_entry> jobs;
    std::set<std::int64_t> claims;
    std::int64_t next_number = 1;
    // Rises whenever a job that could not be placed might fit now.
    std::uint64_t version = 1;

    // Latest start of jobs that were never placed; rise of patient jobs; end
    // of the wait before a reservation.
    timer_set latest_starts;
    timer_set rises;
    timer_set patience;
    std::set<std::int64_t> long_waiting;
    std::vector<reservation> reservations;
    std::uint64_t holders_tried_at = 0;
    time_point next_reservation_check{};

    // Customers whose borrowed tasks may fit in blocks of their own now, and
    // whether because tasks were adopted.
    std::map<std::string, bool> to_promote;
    bool rebuild_blocks = false;

    job_entry* find(std::string_view id);
    const job_entry* find(std::string_view id) const;
    job_entry& add(const job& item);
    // Removes a job in any phase and frees what it holds.
    void forget(job_entry& entry);

    // Sheet.
    void set_sheet(const capacity_sheet& next);
    span_limits limits() const;
    bool over_quota(const job_entry& entry) const;
    // Why the job can never run under the sheet; nothing if it may.
    std::optional<failure> never_fits(const job& item);
    // True if the sheet leaves no room, ever, for a pinned job of the customer.
    bool never_beside_guarantees(const std::string& customer, int accelerators);
    customer_share share_of(const std::string& customer) const;

    // Queue. Precondition of `enqueue`: the job is not queued.
    void enqueue(job_entry& entry);
    void dequeue(const job_entry& entry);
    milliseconds run_estimate(const job_entry& entry, double quantile) const;
    // Time that nearly every run of the kind takes; 0 while none is learned.
    milliseconds shortest_run(const job_request& request) const;
    job_need need_of(const job_entry& entry, time_point now) const;

    // Places. `claim` takes a plan whose parts are not yet free, `place` one
    // whose parts are; both bind its block and its account.
    void claim(job_entry& entry, job_plan next);
    void drop_claim(job_entry& entry);
    decision place(job_entry& entry, const job_plan& next, time_point now);
    decision place_claimed(job_entry& entry, time_point now);
    void adopt(job_entry& entry, part_list parts, time_point now);
    // Frees the place of a placed job.
    void release(job_entry& entry);

    // Blocks.
    // Moves borrowed tasks into blocks of their customer. Opens a block for a
    // task that needs less than half of it only if `adopted`: otherwise a
    // small guest would take the block that a waiting job needs, while an
    // adopted task may have been in guarantee before.
    void promote(const std::string& customer, bool adopted);
    void rebuild();
    void servers_changed();

private:
    void read_customers();
    void read_zone();
    void schedule(job_entry& entry);
    bool room_beside_guarantees(int accelerators) const;
    bool bind(job_entry& entry, const job_plan& next);
    void unbind(job_entry& entry, const part_list& parts);
    decision
    start(job_entry& entry, const part_list& parts, bool probe, time_point now);
    placed_task
    task_of(const job_entry& entry, part_list parts, time_point now) const;
    void account(const job_entry& entry, bool in_guarantee, int sign);
    std::vector<const placed_task*>
    promotion_order(const std::string& customer);
    bool promote_task(std::int64_t number, bool adopted);
    bool promote_into(const placed_task& task, int block_number);
    bool promote_at(const placed_task& task,
                    const guarantee_key& owner,
                    const part_list& extent);
    bool change_allowed(const placed_task& task,
                        std::vector<firm_change> changes,
                        int opened_shape);
    void enter_promoted(const placed_task& task, int block_number);
    std::optional<part_list> extent_for(const placed_task& task, int shape);
    void demote_all();
};

} // namespace poplarramp::detail

#endif
