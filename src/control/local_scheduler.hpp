// Scheduler of this VM's own availability zone, as used by the controller. A
// set of hooks, so that tests of the controller need no backend servers.
#ifndef POPLARRAMP_CONTROL_LOCAL_SCHEDULER_HPP
#define POPLARRAMP_CONTROL_LOCAL_SCHEDULER_HPP

#include "base/result.hpp"
#include "control/zone_scheduler.hpp"
#include "inner/peer_api.hpp"
#include "model/config.hpp"
#include "model/job.hpp"
#include "services/member_list.hpp"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace poplarramp
{

// The members of `zone_scheduler`, with the same meaning.
struct local_scheduler
{
    std::function<void()> activate;
    std::function<void(std::function<void()> released)> deactivate;
    std::function<bool()> active;
    std::function<void(const configuration& config, bool zone_open)>
        set_configuration;
    std::function<void(std::span<const vm_member> servers)> set_backend_servers;
    std::function<failure(const job& item)> enqueue;
    std::function<failure(std::string_view job_id)> cancel;
    std::function<job_status_reply(std::string_view job_id)> status_of;
    std::function<zone_status()> status;
    std::function<void()> tick;
};

// Creates a `zone_scheduler` that the returned hooks own.
local_scheduler make_local_scheduler(const std::string& vm,
                                     const std::string& zone,
                                     zone_scheduler_hooks hooks);

} // namespace poplarramp

#endif
