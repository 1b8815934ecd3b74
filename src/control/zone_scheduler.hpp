// Scheduler of one availability zone: holds server leases, carries the policy's
// decisions out on backend servers, and keeps the job rows.
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

// What the scheduler reaches and whom it tells.
struct zone_scheduler_hooks
{
    table store;
    backend_api backend;
    std::function<time_point()> now;
    // Age of the view of the configuration: when it was last confirmed by the
    // table or a peer. No task starts on a view older than `max_config_age`.
    std::function<time_point()> config_confirmed_at;
    // The job has ended; called once the row is written, or at once while the
    // table is down.
    std::function<void(const job& item)> on_job_ended;
    // Relates `now` to the times in rows.
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

    // Becomes scheduler: claims backend servers as their leases end, adopts
    // their tasks, scans the open jobs. Does nothing if active.
    void activate();

    // Stops being scheduler: starts nothing more and releases every server
    // lease. `released` is called when all are given back or have ended.
    void deactivate(std::function<void()> released);

    bool active() const;

    // Configuration in force. An availability zone that is out, or has a
    // provisional closing (`open` false), starts nothing from this call on.
    void set_configuration(const configuration& config, bool open);

    // Backend servers of the availability zone, from the membership view.
    void set_backend_servers(std::span<const vm_member> servers);

    // Queues an accepted job; repeated calls with the same job do nothing.
    // `conflict` if not active, else the policy's refusal.
    failure enqueue(const job& item);

    // Cancels a queued job at once, stops a running one. `not_found` for an
    // unknown job, whose cancellation is remembered for 10 s.
    failure cancel(std::string_view job_id);

    job_status_reply status_of(std::string_view job_id) const;
    zone_status status() const;

    // Advances deadlines: lease renewals, takeover, retries, decisions. Call
    // at least every 50 ms.
    void tick();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
