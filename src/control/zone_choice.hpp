// Chooses the availability zone in which a job runs.
#ifndef POPLARRAMP_CONTROL_ZONE_CHOICE_HPP
#define POPLARRAMP_CONTROL_ZONE_CHOICE_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "inner/peer_api.hpp"
#include "model/config.hpp"
#include "model/job.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace poplarramp
{

// What is known of the load of an availability zone.
struct zone_load
{
    int largest_open_shape = 0;
    int accelerators = 0;
    // Requested by jobs that wait.
    int queued_accelerators = 0;
};

// Load as a scheduler's status shows it. Thread safe.
zone_load load_of(const zone_status& status);

struct zone_question
{
    const configuration* config = nullptr;
    const job_request* request = nullptr;
    std::string_view own_zone;
    time_point now;
    // In service, and no provisional closing is known.
    std::function<bool(std::string_view zone)> is_open;
    // A scheduler of it is known.
    std::function<bool(std::string_view zone)> is_reachable;
    // By availability zone; absent: not known.
    std::map<std::string, zone_load, std::less<>> loads;
};

// Availability zones that may run the job now, the own one first if it is among
// them. Empty: `why` says `zone_closed`, `unknown_kind` or `never_fits`.
// Thread safe for a constant question.
std::vector<std::string> allowed_zones(const zone_question& question,
                                       failure& why);

// True if the job runs in the own availability zone as far as `loads` tells, so
// that other ones need not be asked. Precondition: `allowed` is not empty.
bool own_zone_suffices(const zone_question& question,
                       const std::vector<std::string>& allowed);

// The own availability zone, unless it is not allowed or the job would miss its
// deadline there; then the one that costs least in waiting and in volume over
// regions among those that meet the deadline. Precondition: `allowed` is not
// empty.
std::string choose_zone(const zone_question& question,
                        const std::vector<std::string>& allowed);

} // namespace poplarramp

#endif
