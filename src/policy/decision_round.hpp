// One scheduling pass over a zone: refuses, preempts and places jobs.
#ifndef POPLARRAMP_POLICY_DECISION_ROUND_HPP
#define POPLARRAMP_POLICY_DECISION_ROUND_HPP

#include "policy/attempt_filter.hpp"
#include "policy/scheduler.hpp"
#include "policy/zone_state.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplarramp::detail
{

// Not thread safe. `run` may be called once per object.
class decision_round
{
public:
    decision_round(zone_state& zone, time_point now) : zone_(zone), now_(now)
    {
    }

    std::vector<decision> run();

private:
    using group_entry = std::pair<const job_group_key, job_group>;

    // Job groups of one customer and class, ordered by their first job.
    struct customer_groups
    {
        customer_share share;
        int largest_guaranteed_job = 0;
        std::map<job_order, group_entry*> groups;
    };

    using groups_by_customer = std::map<std::string, customer_groups>;

    void mark_due_probes();
    void refuse(job_entry& entry, failure why);
    void refuse_infeasible();
    void shed();
    void apply_wait_timers();
    void prepare_blocks();
    void place_ready_reservations();
    void update_drain_reservations();
    std::vector<drain_reservation> choose_drain_reservations();
    void renew_filter();
    void try_drain_holders();
    void try_groups();
    bool try_class(queue_class priority);
    groups_by_customer candidate_groups(queue_class priority);
    void try_first_group(customer_groups& candidates);
    void drop_infeasible(customer_groups& candidates);
    bool ruled_out(const job_need& need, int largest_guaranteed_job) const;
    void mark_failed(job_group& waiting, wait_reason reason);
    std::optional<wait_reason> try_job(job_entry& entry);
    std::optional<job_plan> plan_for(const job_entry& entry);
    std::optional<job_plan> plan_avoiding_failures(const job_entry& entry,
                                                   job_need need,
                                                   bool entitled,
                                                   planner& search);
    std::optional<job_plan>
    plan_free(const job_need& need, bool entitled, planner& search);
    std::optional<job_plan> plan_reclaiming(const job_need& need,
                                            planner& search);
    bool drop_borrowed_reservations();
    bool fits_now(const part_list& parts) const;
    void apply_plan(job_entry& entry, job_plan plan);
    decision preemption(std::int64_t victim,
                        const job_entry& entry,
                        const job_plan& plan) const;

    zone_state& zone_;
    time_point now_;
    std::vector<decision> decisions_;
    std::optional<attempt_filter> filter_;
    std::uint64_t filter_version_ = 0;
    bool reservations_dropped_ = false;
};

} // namespace poplarramp::detail

#endif
