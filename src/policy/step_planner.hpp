// Plans one scheduling domain: which waiting tasks are placed on which servers,
// and which runs are stopped to make room for them. Knows no network and no
// store.
#ifndef POPLARRAMP_POLICY_STEP_PLANNER_HPP
#define POPLARRAMP_POLICY_STEP_PLANNER_HPP

#include "base/time.hpp"
#include "policy/capacity_search.hpp"
#include "policy/customer_limits.hpp"
#include "policy/customer_shares.hpp"
#include "policy/fit_cache.hpp"
#include "policy/guarantee_claims.hpp"
#include "policy/job_value.hpp"
#include "policy/step_placement.hpp"
#include "policy/urgent_headroom.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace poplarramp
{

struct step_id
{
    std::string job;
    int repetition = 0;
    int step = 0;

    bool operator==(const step_id& other) const = default;
    bool operator<(const step_id& other) const
    {
        return std::tie(job, repetition, step) <
               std::tie(other.job, other.repetition, other.step);
    }
};

// The tasks of one step that can be placed. Those that are isolated wait apart
// from the others, under the same id.
struct waiting_step
{
    step_id id;
    // Its `tasks` is the number of waiting tasks.
    placement_request request;
    // 0 is urgent.
    int priority = 0;
    // Index of the customer.
    std::size_t customer = 0;
    std::int64_t accepted_unix_ms = 0;
    // Soft deadline of the job: completion is worth little afterwards.
    std::int64_t deadline_unix_ms = 0;
    // Of a job beyond the number per second that its customer is entitled to.
    bool beyond_rate = false;
    // When the tasks could first be placed.
    time_point ready_since{};
    // Since when long-running tasks that have run before wait for a restart.
    std::optional<time_point> restart_since;
};

// State of the domain at the time of a plan.
struct planning_input
{
    time_point now{};
    std::int64_t unix_now = 0;
    // Servers that can take tasks, sorted by id.
    std::vector<candidate_server> servers;
    std::vector<run_group> groups;
    std::vector<waiting_step> steps;
    // Guarantees of the customers, and what their urgent runs use.
    std::vector<customer_use> customers;
    // Share of its limit that a customer may exceed it by for a gang that alone
    // is wider.
    double limit_overage = 0;
    // Weigh what callers lose: work whose result is of no more use comes last,
    // and runs are stopped only if more is gained than lost.
    bool weigh_value = false;
    // Share of all accelerators that is in use.
    double utilization = 0;
};

struct planned_placement
{
    // Index and id of the waiting step.
    std::size_t step = 0;
    step_id id;
    placement_result result;
    bool in_guarantee = false;
    bool isolated = false;
};

struct planned_preemption
{
    // Index of the waiting step that gets the capacity.
    std::size_t step = 0;
    // Indices of the groups to stop.
    std::vector<std::size_t> groups;
    double lost_core_seconds = 0;
    bool in_guarantee = false;
};

enum class block_reason
{
    // The servers could not hold it if nothing else ran on them.
    exceeds_fleet,
    // It could run only after runs that take long to end and may not be stopped
    // for it.
    long_runs,
};

std::string_view name_of(block_reason reason);

// A waiting step that takes no capacity from other steps, since it could not
// use it.
struct blocked_step
{
    step_id id;
    block_reason reason = block_reason::exceeds_fleet;
};

// To be carried out in this order: placements, then preemptions.
struct plan_decisions
{
    std::vector<planned_placement> placements;
    std::vector<planned_preemption> preemptions;
    std::vector<blocked_step> blocked;
    // Indices of waiting steps of which tasks wait for their customer's limit.
    std::vector<std::size_t> limited;
    // The plan was cut short and has changed something; another one is due at
    // once.
    bool incomplete = false;
};

// Not thread safe.
class step_planner
{
public:
    plan_decisions plan(planning_input input);

    // Drops the reservations of an ended job.
    void forget_job(const std::string& job);

private:
    // Capacity reserved for a step until runs have ended.
    struct reservation
    {
        // Server ids with the number of tasks on each.
        std::vector<std::pair<std::string, int>> parts;
        // The same with the indices of the servers; valid during one plan.
        std::vector<placed_tasks> places;
        resources need;
        // Of the step that it was made for.
        int level = 0;
        time_point expires{};
        // The search for capacity is repeated after this time.
        time_point next_search{};
        // Stops were requested for the runs that occupy the capacity.
        bool preempted = false;
        // Takes so much of the fleet that other work cannot use the rest.
        bool wide = false;
    };

    // How many tasks of a step its customer's limit lets start now, and once
    // the runs that are being stopped have ended.
    struct limit_room
    {
        int now = 0;
        int after_stops = 0;
    };

    using reservation_map = std::map<step_id, reservation>;

    // Bounds the time for which capacity is kept for one wide step that waits
    // for runs to end, over all its reservations.
    struct wait_limit
    {
        time_point reserve_until{};
        // No reservation from `reserve_until` to this time.
        time_point pause_until{};
    };

    // State of the plan in progress.
    struct round
    {
        planning_input input;
        guarantee_claims claims{{}};
        customer_limits limits;
        // By customer: a gang waits for its room, which later steps of the
        // customer must not take.
        std::vector<bool> room_kept;
        // By waiting step.
        std::vector<bool> in_guarantee;
        // Level of the steps whose result is of no more use.
        int last_level = 0;
        fit_cache free_capacity;
        fit_cache empty_servers;
        // Room beside the runs that take long to end; empty if there are none.
        std::vector<resources> room_beside_long_runs;
        fit_cache beside_long_runs;
        resources fleet;
        // Searches that counted on the end of runs, by priority, whether runs
        // were to be stopped and, within the guarantee, customer.
        std::map<std::tuple<int, bool, std::optional<std::size_t>>, fit_cache>
            occupied_capacity;
        int searches = 0;
        // Urgent steps that can run were planned and still wait.
        bool urgent_waits = false;
        // What restarts may use, by level and whether they are overdue.
        std::map<std::pair<int, bool>, fit_cache> restart_capacity;
        plan_decisions decisions;
    };

    void claim_guarantees();
    std::vector<std::size_t> ranked_steps() const;
    void keep_headroom();
    bool has_preempted_for(std::size_t index) const;
    int tasks_in_reach(std::size_t index);
    void report_blocked(std::size_t index);
    void validate_reservations();
    bool find_places(reservation& reserved) const;
    int level_of(std::size_t index) const;
    void update_reservation_levels();
    void exclude_reservations(int level);
    void exclude(const reservation& reserved, bool add_back);

    void plan_step(std::size_t index);

    // Limits of the customers (step_planner_limits.cpp).
    void start_ledger();
    // Urgent tasks that the limits let run, in accelerators.
    std::int64_t waiting_urgent_accelerators();
    void drop_blocked_reservations();
    limit_room room_under_limit(std::size_t index);
    // A job beyond its customer's rate comes last and stops no runs, except
    // within the guarantee.
    bool yields(std::size_t index) const;
    share_order steps_by_share() const;
    void make_room(std::size_t index);

    void place_or_reserve(std::size_t index, const limit_room& room);
    // Returns the number of tasks that are placed on free resources.
    int place_free(std::size_t index, bool has_reservation);
    int place_restart(std::size_t index);
    void exclude_waiting(std::size_t index, bool is_overdue, bool add_back);
    std::optional<placement_result> search(const placement_request& request,
                                           fit_cache* cache);
    bool fits_empty_servers(const placement_request& request);
    void apply_placement(std::size_t index, const placement_result& result);

    // Reserves capacity for tasks that do not fit now.
    void reserve(std::size_t index, int tasks);
    bool preempt_for(std::size_t index, int tasks);
    void open_reservation(std::size_t index,
                          const capacity_claim& claim,
                          bool preempted);
    void close_reservation(reservation_map::iterator item);
    std::optional<capacity_claim>
    find_occupied(std::size_t index, int tasks, bool preempt);
    std::optional<double> stop_cost(std::size_t index,
                                    std::size_t group,
                                    std::span<const std::size_t> chosen) const;
    std::optional<double> wait_cost(std::size_t group) const;
    void stop_groups(std::size_t index, const capacity_claim& claim);
    bool misses_deadline(const waiting_step& step) const;
    bool is_worth_reserving(const waiting_step& step) const;
    bool may_add_waiting_reservation() const;
    job_prospect prospect_of(const waiting_step& step) const;
    double loss_limit(std::size_t index, int tasks) const;
    double value_lost_by_stop(std::size_t index, const run_group& victim) const;
    double loss_of(const run_group& group) const;
    bool ends_soon(const run_group& group) const;
    bool is_wide(std::size_t index, int tasks) const;
    bool may_wait_reserved(std::size_t index) const;
    void limit_waiting(reservation& reserved, const step_id& id);

    reservation_map reservations_;
    std::map<step_id, wait_limit> wait_limits_;
    urgent_headroom headroom_;
    round round_;
};

} // namespace poplarramp

#endif
