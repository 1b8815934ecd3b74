// Backend servers of one availability zone, their tasks, and their accelerators
// and slots in use.
#ifndef POPLARRAMP_POLICY_CLUSTER_HPP
#define POPLARRAMP_POLICY_CLUSTER_HPP

#include "base/time.hpp"
#include "policy/scheduler.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace poplarramp
{

// Accelerators of a task or block on the server with index `server`.
struct part
{
    int server = 0;
    int accelerators = 0;
};

using part_list = std::vector<part>;

// A placed job. Numbers are unique and increase over time.
struct placed_task
{
    std::int64_t number = 0;
    std::string customer;
    part_list parts;
    int accelerators = 0;
    bool pinned = false;
    bool urgent = false;
    bool idempotent = true;
    bool can_checkpoint = false;
    milliseconds checkpoint_time{0};
    // Runs in a guaranteed block of its customer.
    bool in_guarantee = false;
    // Is being preempted; still uses its parts.
    bool stopping = false;
    time_point started{};
    time_point expected_end{};
};

// True if the job is lost when the task is stopped: it can neither checkpoint
// nor run again.
bool loses_job(const placed_task& task);

// True if an urgent job may preempt the task: it is borrowed, patient, not
// pinned and not stopping, and its job is not lost.
bool preemptible_by_urgent(const placed_task& task);

// Accelerators and slots of one server.
struct resource_amount
{
    int accelerators = 0;
    int slots = 0;
};

struct server_state
{
    server_info info;
    int rack = 0;
    // False once the server was removed.
    bool present = true;
    // The control plane allows new tasks on the server.
    bool schedulable = true;
    // Excluded by the health checks; if `probing`, one probe task may start.
    bool unhealthy = false;
    bool probing = false;
    // In use by tasks, including stopping ones.
    resource_amount used;
    // Part of `used` whose tasks are stopping.
    resource_amount stopping;
    // Part of `used` that urgent jobs may preempt.
    resource_amount preemptible;
    // Reserved by jobs that wait for tasks to stop.
    resource_amount reserved;
    // Not available to other guarantees: occupied blocks in full size and
    // pinned borrowed tasks.
    resource_amount committed;
    // Unused accelerators of occupied blocks. Other customers may borrow them
    // until the owner reclaims them.
    int lendable = 0;
    // Job for which this server drains; 0: none. `expected_drain_end`: when it
    // is expected to have drained.
    std::int64_t draining_for = 0;
    time_point expected_drain_end = no_deadline;
    std::vector<const placed_task*> tasks;

    bool placeable() const
    {
        return present && schedulable && !unhealthy;
    }
    // Usable now, without waiting for a task to stop.
    resource_amount free() const
    {
        return {
            remaining(info.accelerators,
                      used.accelerators,
                      reserved.accelerators,
                      stopping.accelerators),
            remaining(info.slots, used.slots, reserved.slots, stopping.slots)};
    }
    // Accelerators of `free` that are in no occupied block.
    int free_outside_blocks() const
    {
        return std::max(0, free().accelerators - lendable);
    }
    // Usable once the stopping tasks have ended, less what is reserved.
    resource_amount prospective() const
    {
        return {info.accelerators - used.accelerators + stopping.accelerators -
                    reserved.accelerators,
                info.slots - used.slots + stopping.slots - reserved.slots};
    }
    // Capacity left for unassigned blocks and pinned borrowed tasks.
    resource_amount uncommitted() const
    {
        return {info.accelerators - committed.accelerators,
                info.slots - committed.slots};
    }

private:
    // Stopping tasks cover the reservations; only the excess over them is
    // subtracted.
    static int remaining(int total, int used, int reserved, int stopping)
    {
        return std::max(0, total - used - std::max(0, reserved - stopping));
    }
};

// Not thread safe. Server indexes stay valid for the lifetime of the object.
class cluster
{
public:
    // Adds a server, or re-adds a known one with its current size. Returns its
    // index.
    int add_server(const server_info& server);
    // -1 if the server was never added.
    int find(std::string_view id) const;
    void set_schedulable(int server, bool schedulable);
    void set_health(int server, bool unhealthy, bool probing);
    void set_drain_reservation(int server,
                               std::int64_t job,
                               time_point expected_drain_end);
    // Marks the server as removed; its tasks keep their parts. Returns the
    // numbers of these tasks.
    std::vector<std::int64_t> remove_server(int server);

    void add_task(placed_task task);
    // Precondition: the task exists.
    void remove_task(std::int64_t number);
    const placed_task* find_task(std::int64_t number) const;
    void mark_stopping(std::int64_t number);
    void mark_started(std::int64_t number,
                      time_point started,
                      time_point expected_end);
    void set_in_guarantee(std::int64_t number, bool in_guarantee);

    // Sign +1 reserves, -1 releases. Every part takes one slot.
    void reserve(std::span<const part> parts, int sign);
    void add_committed(int server, int accelerators, int slots);
    void change_lendable(int server, int accelerators);

    const std::vector<server_state>& servers() const
    {
        return servers_;
    }
    const server_state& at(int server) const
    {
        return servers_[static_cast<std::size_t>(server)];
    }
    // Indexes of the servers that have accelerators, in order of addition.
    const std::vector<int>& accelerator_servers() const
    {
        return accelerator_servers_;
    }
    // The same servers, by rack.
    const std::vector<std::vector<int>>& racks() const
    {
        return racks_;
    }
    const std::map<std::int64_t, placed_task>& tasks() const
    {
        return tasks_;
    }
    // Servers that may start a probe task.
    const std::set<int>& probing_servers() const
    {
        return probing_servers_;
    }
    // Best server for a job without accelerators: servers without accelerators
    // first, then those with the fewest free slots. -1 if `accepts` rejects
    // all.
    int find_slot_server(const std::function<bool(int)>& accepts) const;

    // Accelerators of the largest server and the largest rack, without removed
    // servers.
    int largest_server() const
    {
        return largest_server_;
    }
    int largest_rack() const
    {
        return largest_rack_;
    }

private:
    // (has accelerators, free slots, index) of placeable servers with a free
    // slot.
    using slot_key = std::tuple<bool, int, int>;

    server_state& state(int server)
    {
        return servers_[static_cast<std::size_t>(server)];
    }
    // Applies `change` to the server and updates the index of free slots.
    void update(int server, const std::function<void(server_state&)>& change);
    void update_usage(const placed_task& task, int sign);
    void update_server_index();

    std::vector<server_state> servers_;
    std::map<std::string, int, std::less<>> by_id_;
    std::map<std::string, int> rack_by_name_;
    std::vector<std::vector<int>> racks_;
    std::vector<int> accelerator_servers_;
    std::set<slot_key> by_free_slots_;
    std::set<int> probing_servers_;
    std::map<std::int64_t, placed_task> tasks_;
    int largest_server_ = 0;
    int largest_rack_ = 0;
};

// Conversion between server indexes and ids. Unknown servers are left out.
std::vector<placement_part> named_parts(const cluster& servers,
                                        std::span<const part> parts);
part_list indexed_parts(const cluster& servers,
                        std::span<const placement_part> parts);

} // namespace poplarramp

#endif
