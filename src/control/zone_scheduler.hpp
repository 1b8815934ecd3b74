// Scheduler of one availability zone: holds server leases, executes the
// decisions of the policy on backend servers, and maintains the job rows.
#ifndef POPLARRAMP_CONTROL_ZONE_SCHEDULER_HPP
#define POPLARRAMP_CONTROL_ZONE_SCHEDULER_HPP

#include "backend/backend_api.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
#include "inner/peer_api.hpp"
#include "model/config.hpp"
#include "model/job.hpp"
#include "services/member_list.hpp"
#include "services/table.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace poplarramp
{

// External interfaces and callbacks of the scheduler.
struct zone_scheduler_hooks
{
    table store;
    backend_api backend;
    std::function<time_point()> now;
    // Time at which the table or a peer last confirmed the configuration. No
    // task starts on a configuration confirmed longer than `max_config_age`
    // ago, except in isolation (see `config_freshness_check`).
    std::function<time_point()> config_confirmed_at;
    // Called once when a job has ended: after its row is written, or at once
    // while the table is unavailable.
    std::function<void(const job& item)> on_job_ended;
    // Converts between `now` and the times in rows.
    clock_mapping clock = clock_mapping::of_this_process();
};

// Not thread safe; used on the control thread only.
class zone_scheduler
{
public:
    zone_scheduler(std::string vm,
                   std::string zone,
                   zone_scheduler_hooks hooks);
    ~zone_scheduler();
    zone_scheduler(const zone_scheduler&) = delete;
    zone_scheduler& operator=(const zone_scheduler&) = delete;

    // Starts scheduling: claims backend servers as their leases expire, adopts
    // their tasks and scans the index of open jobs. No effect if active.
    void activate();

    // Stops scheduling: starts no more tasks and releases every server lease.
    // `released` is called when all leases are released or have expired.
    void deactivate(std::function<void()> released);

    bool active() const;

    // Sets the current configuration. An availability zone that is out of
    // service or provisionally closed (`zone_open` false) starts no task after
    // this call.
    void set_configuration(const configuration& config, bool zone_open);

    // Sets the backend servers of the availability zone, as listed in the
    // membership.
    void set_backend_servers(std::span<const vm_member> servers);

    // Queues an accepted job; repeated calls with the same job have no effect.
    // Returns `conflict` if not active, else the refusal of the policy, if any.
    failure enqueue(const job& item);

    // Cancels a queued job at once and stops a running one. Returns `not_found`
    // for an unknown job, whose cancellation is remembered for 10 s.
    failure cancel(std::string_view job_id);

    job_status_reply status_of(std::string_view job_id) const;
    zone_status status() const;

    // Handles what is due: lease renewals, takeover, retries, decisions. Call
    // at least every 50 ms.
    void tick();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
