// One pass over everything that can be decided at a time.
#ifndef POPLARRAMP_POLICY_DECISION_ROUND_HPP
#define POPLARRAMP_POLICY_DECISION_ROUND_HPP

#include "policy/scheduler.hpp"
#include "policy/zone_state.hpp"

#include <vector>

namespace poplarramp::detail
{

// Not thread safe. Use each object for one call of `run`.
class decision_round
{
public:
    decision_round(zone_state& zone, time_point now) : zone_(zone), now_(now)
    {
    }

    std::vector<decision> run();

private:
    struct open_lane
    {
        const lane_key* key = nullptr;
        lane* waiting = nullptr;
        customer_share share;
    };

    void ready_probes();
    void shed();
    void raise();
    void prepare_blocks();
    void settle_claims();
    void update_reservations();
    std::vector<reservation> choose_reservations();
    void try_holders();
    void try_lanes();
    std::vector<open_lane> open_lanes();
    bool try_job(job_entry& entry);
    std::optional<job_plan> plan_for(const job_entry& entry);
    bool drop_borrowed_claims();
    bool fits_now(const part_list& parts) const;
    void carry_out(job_entry& entry, job_plan plan);
    decision preemption(std::int64_t victim,
                        const job_entry& entry,
                        const job_plan& plan) const;

    zone_state& zone_;
    time_point now_;
    std::vector<decision> made_;
    bool claims_dropped_ = false;
};

} // namespace poplarramp::detail

#endif
