// Several controllers on one manually advanced clock, with a table, an object
// store, links and schedulers into which faults are injected. Single-threaded
// and deterministic.
#ifndef POPLARRAMP_TESTS_CONTROL_FAKES_HPP
#define POPLARRAMP_TESTS_CONTROL_FAKES_HPP

#include "control/controller.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarramp::tests
{

// Fault that is injected into a call.
enum class call_fault
{
    none,
    // Refused before it is sent.
    unreachable,
    // Times out without taking effect.
    request_lost,
    // Takes effect, but the reply is lost.
    reply_lost,
    // The reply of the table comes after 1.5 s. A message between VMs arrives
    // after 1.5 s and its reply is lost.
    slow,
    // Another writer changes the row first.
    conflict,
    // Delivered twice, the second time after 1.5 s.
    twice,
};

const char* name_of(call_fault fault);

// Scheduler of one entry VM: a job starts when it is enqueued and ends after
// `controller_simulation::run_time`.
struct fake_scheduler
{
    zone_scheduler_hooks hooks;
    bool active = false;
    bool open = false;
    std::map<std::string, job> jobs;
    std::map<std::string, int> runs;
    std::vector<std::string> cancelled;
    // Error with which the next enqueue fails.
    failure refusal;
    // Removes the record of a job when it ends.
    bool drops_ended_jobs = false;
};

struct fake_vm
{
    std::string id;
    std::string zone;
    bool killed = false;
    // Neither sends nor receives messages.
    bool isolated = false;
    fake_scheduler scheduler;
    peer_handlers handlers;
    std::unique_ptr<controller> control;
};

struct table_call
{
    std::string zone;
    std::string key;
    bool is_write = false;
    // Counts from 1 the reads, or the writes, of rows with the same key prefix
    // up to '/'.
    int number = 0;
};

class controller_simulation
{
public:
    controller_simulation();
    ~controller_simulation();
    controller_simulation(const controller_simulation&) = delete;
    controller_simulation& operator=(const controller_simulation&) = delete;

    fake_vm& add_vm(const std::string& id, const std::string& zone);
    // Starts `vms` VMs in each of two availability zones and runs for 3 s,
    // until they have exchanged heartbeats and read the configuration.
    void start(int vms);
    void run_for(milliseconds time);
    void kill(fake_vm& vm);
    fake_vm& vm(const std::string& id);
    fake_vm& scheduler_of(const std::string& zone);
    // Ends a job at the scheduler of `vm` and stores its final row.
    void end_job(fake_vm& vm, const std::string& id, job_outcome outcome);
    int runs_of(const std::string& id) const;
    std::optional<job> row_of(const std::string& id) const;
    const configuration& config_in_row();
    void at(milliseconds delay, std::function<void()> action);

    std::function<call_fault(const table_call& call)> table_fault;
    std::function<call_fault(const std::string& to, const std::string& method)>
        peer_fault;
    // Invariant check; runs every 10 ms.
    std::function<void()> monitor;
    // Runs before a write takes effect.
    std::function<void(const std::string& key)> before_write;
    // Makes the write of another writer for `call_fault::conflict`.
    std::function<void()> other_writer;
    bool objects_down = false;
    // True if messages between two availability zones are lost.
    bool zones_partitioned = false;
    bool table_unreachable_from_a = false;
    milliseconds run_time{200};
    time_point now{milliseconds(1'000'000)};
    clock_mapping clock{time_point(milliseconds(0)), 1'700'000'000'000};
    std::map<std::string, table_row> rows;
    std::map<std::string, std::string> objects;
    std::vector<vm_member> members;
    std::vector<std::unique_ptr<fake_vm>> vms;

private:
    controller_hooks hooks_for(fake_vm& vm);
    table table_for(const std::string& zone);
    peer_api peers_for(fake_vm& vm);
    void add_job_calls(peer_api& api, fake_vm& vm);
    local_scheduler scheduler_for(fake_vm& vm, zone_scheduler_hooks hooks);
    call_fault
    next_fault(const std::string& zone, const std::string& key, bool is_write);
    table_write_reply apply_write(const std::vector<table_change>& changes,
                                  call_fault fault);
    table_write_reply write(const std::vector<table_change>& changes);
    void send_reply(call_fault fault,
                    time_point deadline,
                    const std::function<void(failure)>& reply);
    // VM at the address, or null if a message from `from` does not reach it.
    fake_vm* find_reachable(const fake_vm& from, const std::string& address);
    template <class Reply, class Handle>
    void call(fake_vm& from,
              const std::string& address,
              const std::string& method,
              time_point deadline,
              std::function<void(Reply)> done,
              Handle handle);

    std::multimap<time_point, std::function<void()>> events_;
    std::uint64_t random_ = 1;
    std::map<std::string, int> table_calls_;
    std::string decoded_value_;
    configuration decoded_;
};

// Two availability zones "a" and "b" in two regions, customer "umkhonto", kinds
// "check" (urgent), "tint" (urgent, not idempotent) and "glaze" (patient).
capacity_sheet test_sheet();
job_request request_of(const std::string& kind, const std::string& key);

} // namespace poplarramp::tests

#endif
