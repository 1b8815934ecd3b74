// Tells which queued jobs cannot be placed in this round without trying them.
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

// Capacity only shrinks within a round, because nothing ends in it, so that a
// job that did not fit rules out all that need as much or more. Make a new
// filter when the version of the zone changes. Not thread safe.
class attempt_filter
{
public:
    explicit attempt_filter(const zone_state& zone);

    // True if a job of the lane finds neither a block of its customer, of which
    // the largest that may hold a job is `largest_held`, nor enough capacity
    // that is free or, for an urgent job, may be preempted.
    bool hopeless(const lane_key& lane, int largest_held) const;

    // True if a job that needs no more found no borrowed place.
    bool failed_before(const job_need& need) const;
    void note_failure(const job_need& need);

private:
    enum span
    {
        slot,
        server,
        rack,
        racks,
        span_count,
    };

    // Largest number of accelerators within each span; for `slot`, whether
    // there is any.
    using bounds = std::array<int, span_count>;

    span span_of(int accelerators) const;
    // Number for what makes a difference to a borrowed place.
    int class_of(const job_need& need) const;
    time_point end_of(const job_need& need) const;
    void add(const server_state& here);

    span_limits limits_;
    bool reserved_ = false;
    bool probing_ = false;
    // By (urgent, pinned).
    std::array<std::array<bounds, 2>, 2> most_{};
    std::array<std::array<std::vector<int>, 2>, 2> rack_sums_;
    // Needs that failed, by class: the count and the expected end of the job.
    std::map<int, std::vector<std::pair<int, time_point>>> failed_;
};

} // namespace poplarramp::detail

#endif
