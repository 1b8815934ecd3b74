// Control state of one entry VM: membership, configuration, accepted jobs and
// the callers waiting for them. One instance per process.
#ifndef POPLARRAMP_CONTROL_CONTROLLER_HPP
#define POPLARRAMP_CONTROL_CONTROLLER_HPP

#include "backend/backend_api.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
#include "control/local_scheduler.hpp"
#include "inner/peer_api.hpp"
#include "model/config.hpp"
#include "model/job.hpp"
#include "services/member_list.hpp"
#include "services/object_store.hpp"
#include "services/table.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

struct controller_settings
{
    std::string vm;
    std::string zone;
    // Address of this entry VM in the inner protocol, "ip:port".
    std::string address;
    // Addresses of the same kind; used for heartbeats while no peer is known.
    std::vector<std::string> seeds;
    // Graceful stop: maximum time to finish what is in flight.
    milliseconds stop_timeout{30000};
    // Maximum number of waiting callers.
    int max_waiting = 10000;
};

struct controller_hooks
{
    table store;
    object_store objects;
    member_list members;
    backend_api backend;
    peer_api peers;
    std::function<time_point()> now;
    std::function<std::uint64_t()> random;
    // Called when a job ends while this entry VM is its scheduler; may be
    // empty.
    std::function<void(const job& item)> on_job_ended;
    // Deadlines in the table and between VMs are in Unix time.
    clock_mapping clock = clock_mapping::of_this_process();
    // Factory for the scheduler of this VM's availability zone; empty: a
    // `zone_scheduler` is created.
    std::function<local_scheduler(zone_scheduler_hooks)> make_scheduler;
};

// Reply to a caller about one job.
struct job_reply
{
    failure error;
    job item;
    std::string explanation;
};

// Reply to a configuration change by an operator. If `error.code` is `pending`,
// the change is not yet effective at the entry VMs in `unconfirmed`.
struct change_reply
{
    failure error;
    std::uint64_t version = 0;
    std::vector<std::string> confirmed;
    std::vector<std::string> unconfirmed;
};

// An entry VM as known to this one.
struct vm_row
{
    std::string id;
    std::string zone;
    std::string address;
    std::string state;
    std::uint64_t config_version = 0;
};

// Not thread safe; used on the control thread only. Every `done` is called
// exactly once, on the control thread, possibly before the call returns.
class controller
{
public:
    controller(const controller_settings& settings,
               const controller_hooks& hooks);
    ~controller();
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;

    // Accepts a job and replies when it has ended or at `wait_until`, whichever
    // is first. Precondition: customer and key are not empty.
    void submit(const job_request& request,
                time_point wait_until,
                std::function<void(job_reply)> done);
    void get_job(const std::string& customer,
                 const std::string& key,
                 time_point wait_until,
                 std::function<void(job_reply)> done);
    void cancel_job(const std::string& customer,
                    const std::string& key,
                    std::function<void(job_reply)> done);

    // Replaces the sheet if the configuration version is `expected_version` (0:
    // any). Precondition: the sheet is valid.
    void apply_sheet(capacity_sheet sheet,
                     std::uint64_t expected_version,
                     std::string changed_by,
                     std::function<void(change_reply)> done);
    void set_zone(const std::string& zone,
                  zone_state target,
                  std::string changed_by,
                  std::function<void(change_reply)> done);

    const configuration& config() const;
    std::vector<vm_row> vms() const;
    // Queries the scheduler of every availability zone for its status.
    void zone_statuses(std::function<void(std::vector<zone_status>)> done);

    // Handlers of the inner protocol. They must not outlive the controller.
    peer_handlers handlers();

    // Processes all deadlines. Must be called at least every 50 ms.
    void tick();

    // Graceful stop: rejects new jobs, hands the scheduler role over and waits
    // for what is in flight. `stopped` is called when that is done or after
    // `stop_timeout`.
    void begin_stop(std::function<void()> stopped);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
