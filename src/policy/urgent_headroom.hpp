// Keeps servers for urgent steps, sized by the urgent load of the last seconds.
// Answers the pattern of short urgent gangs that come and go: less urgent tasks
// that are placed into the gaps between them are stopped again for the next
// one.
#ifndef POPLARRAMP_POLICY_URGENT_HEADROOM_HPP
#define POPLARRAMP_POLICY_URGENT_HEADROOM_HPP

#include "base/time.hpp"
#include "policy/capacity_search.hpp"
#include "policy/step_placement.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace poplarramp
{

// Not thread safe.
class urgent_headroom
{
public:
    // Records the accelerators that urgent steps use or wait for at `now`.
    // Precondition: `now` does not decrease.
    void record(time_point now, std::int64_t accelerators);

    // Accelerators to keep: the average of the recorded load plus a margin for
    // its deviations.
    std::int64_t target() const;

    // Sets `reserved_for_urgent` on servers with enough accelerators for the
    // target: in as few racks as possible, in those that run the least work
    // that is not urgent. Racks that were kept before are preferred.
    void keep(std::span<candidate_server> servers,
              std::span<const run_group> groups);

private:
    std::optional<time_point> recorded_at_;
    double average_ = 0;
    double variance_ = 0;
    // Racks with servers that were kept last.
    std::set<std::string> kept_racks_;
};

} // namespace poplarramp

#endif
