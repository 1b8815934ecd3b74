// Rules out queued jobs that cannot be placed in this round, without a search.
#ifndef POPLARRAMP_POLICY_ATTEMPT_FILTER_HPP
#define POPLARRAMP_POLICY_ATTEMPT_FILTER_HPP

#include "policy/planner.hpp"
#include "policy/zone_state.hpp"

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace poplarramp::detail
{

// No task ends within a round, so capacity only shrinks: a job that did not fit
// rules out all jobs that need at least as much. A filter is valid for one
// version of the zone state. Not thread safe.
class attempt_filter
{
public:
    explicit attempt_filter(const zone_state& zone);

    // True if a job of the group fits neither in its customer's guarantee,
    // whose blocks hold a job of at most `largest_guaranteed_job` accelerators,
    // nor in the capacity that is free or, for an urgent job, preemptible.
    bool infeasible(const job_group_key& group,
                    int largest_guaranteed_job) const;

    // True if no borrowed place was found for a job that needs at most as much.
    bool known_to_fail(const job_need& need) const;
    void record_failure(const job_need& need);

private:
    enum locality
    {
        slot,
        server,
        rack,
        racks,
        locality_count,
    };

    // Largest number of accelerators available at each locality; for `slot`, 1
    // if any slot is available.
    using capacity_by_locality = std::array<int, locality_count>;

    locality locality_of(int accelerators) const;
    // Key of the properties that decide on a borrowed place, apart from the
    // exact number of accelerators and the expected end.
    int failure_class(const job_need& need) const;
    time_point backfill_end(const job_need& need) const;
    void add(const server_state& state);

    locality_limits limits_;
    bool has_drain_reservations_ = false;
    bool probing_ = false;
    // Indexed by urgent, then pinned.
    std::array<std::array<capacity_by_locality, 2>, 2> max_capacity_{};
    std::array<std::array<std::vector<int>, 2>, 2> rack_totals_;
    // Failed needs by class: number of accelerators and expected end.
    std::map<int, std::vector<std::pair<int, time_point>>> failed_;
};

} // namespace poplarramp::detail

#endif
