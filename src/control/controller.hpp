// Control state of one entry VM: membership, configuration, accepted jobs and
// the callers that wait for them. One instance per process.
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
    // Inner address of this entry VM, "ip:port".
    std::string address;
    // Inner addresses that are tried while the membership list is empty.
    std::vector<std::string> seeds;
    // Planned stop: what is in flight may take this long.
    milliseconds stop_timeout{30000};
    // Most callers that wait at a time.
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
    // A job ended while this entry VM was its scheduler; may be empty.
    std::function<void(const job& item)> on_job_ended;
    // Deadlines in the table and between VMs are Unix time.
    clock_mapping clock = clock_mapping::of_this_process();
    // Makes the scheduler of the own availability zone; empty: a
    // `zone_scheduler`.
    std::function<local_scheduler(zone_scheduler_hooks)> make_scheduler;
};

// Reply to a caller about one job.
struct job_reply
{
    failure error;
    job item;
    std::string explanation;
};

// Reply to an operator's change. `pending` in `error.code`: in force only where
// `unconfirmed` does not name the entry VM.
struct change_reply
{
    failure error;
    std::uint64_t version = 0;
    std::vector<std::string> confirmed;
    std::vector<std::string> unconfirmed;
};

// Entry VM as this one sees it.
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

    // Accepts a job and answers when it has ended or at `wait_until`, whichever
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

    // Replaces the sheet if its version is still `expected_version` (0 takes
    // the current one). The sheet was checked by the caller.
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
    // Status of every availability zone, asked from its scheduler.
    void zone_statuses(std::function<void(std::vector<zone_status>)> done);

    // Handlers of the inner protocol, valid as long as the controller is.
    peer_handlers handlers();

    // Advances all deadlines. Call at least every 50 ms.
    void tick();

    // Planned stop: refuses new jobs, hands over, lets what is in flight end.
    // `stopped` is called at the end of that or at the stop limit.
    void begin_stop(std::function<void()> stopped);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
