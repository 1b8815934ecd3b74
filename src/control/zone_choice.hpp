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

// Last known load of an availability zone.
struct zone_load
{
    int largest_open_shape = 0;
    int accelerators = 0;
    // Accelerators requested by queued jobs.
    int queued_accelerators = 0;
};

// Computes the load from the status of a scheduler. Thread safe.
zone_load load_of(const zone_status& status);

struct zone_choice_input
{
    const configuration* config = nullptr;
    const job_request* request = nullptr;
    std::string_view own_zone;
    time_point now;
    // True if the zone is in service and not known to be provisionally closed.
    std::function<bool(std::string_view zone)> is_open;
    // True if a scheduler of the zone is known.
    std::function<bool(std::string_view zone)> is_reachable;
    // By availability zone; absent if not known.
    std::map<std::string, zone_load, std::less<>> loads;
};

// Availability zones that may run the job now, the own one first if it is among
// them. If there are none, `why` is `zone_closed`, `unknown_kind` or
// `never_fits`. Thread safe while the argument does not change.
std::vector<std::string> allowed_zones(const zone_choice_input& input,
                                       failure& why);

// True if the job may run in the own availability zone and, by the known loads,
// meets its deadline there, so that the loads of other zones are not needed.
// Precondition: `allowed` is not empty.
bool own_zone_suffices(const zone_choice_input& input,
                       const std::vector<std::string>& allowed);

// The own availability zone if it is allowed and the job meets its deadline
// there. Otherwise, of the zones that meet the deadline, the one with the least
// cost in waiting time and traffic between regions; if none does, the first
// allowed one. Precondition: `allowed` is not empty.
std::string choose_zone(const zone_choice_input& input,
                        const std::vector<std::string>& allowed);

} // namespace poplarramp

#endif
