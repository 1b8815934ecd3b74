// Fakes for the interfaces of the zone scheduler: a manually advanced clock, a
// table, backend servers with leases, epochs and events, and faults injected
// into single calls.
#ifndef POPLARRAMP_TESTS_ZONE_FAKES_HPP
#define POPLARRAMP_TESTS_ZONE_FAKES_HPP

#include "control/zone_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplarramp::fakes
{

enum class call_fault
{
    none,
    // Times out without taking effect.
    request_lost,
    // Takes effect, but the reply is lost.
    reply_lost,
    // Times out and takes effect after the deadline.
    effect_after_deadline,
    // Fails at once without taking effect.
    unreachable,
    // Replies `server_full` without taking effect.
    refused,
    // Takes effect after 1.5 s.
    slow,
};

struct call_info
{
    std::string process_name;
    // Name of the call, such as "write" or "start".
    std::string kind;
    // Id of the server, or key of the first row.
    std::string target;
    // Id of the task, or value of the first row.
    std::string value{};
    bool checkpoint = false;
    // Number of rows in a write.
    std::size_t changes = 0;
    time_point when{};
};

// One run of a task, from its start to its end.
struct execution
{
    std::string server;
    std::string task;
    std::string job;
    int attempt = 0;
    int member = 0;
    int members = 1;
    time_point start{};
    std::optional<task_state> end_state;
    bool killed = false;
    time_point ended = no_deadline;
};

class zone_simulation;

// Process of an entry VM. Messages that arrive while it is frozen are delivered
// when it is thawed.
struct scheduler_process
{
    std::string name;
    bool suspended = false;
    bool killed = false;
    bool active = false;
    std::vector<std::function<void()>> deferred_actions;
    std::unique_ptr<zone_scheduler> zone;
};

struct fake_task
{
    task_status status;
    time_point commit_deadline{};
    // Index in `zone_simulation::executions`.
    std::size_t execution = 0;
    // Sequence of the event of its end; 0 before.
    std::uint64_t final_event = 0;
};

struct fake_backend_server
{
    std::string id;
    std::string rack;
    int accelerators = 8;
    bool up = true;
    // Cannot be restarted.
    bool removed = false;
    // In the member list.
    bool listed = true;
    bool leaving = false;
    bool fails_tasks = false;
    int incarnation = 1;
    std::uint64_t epoch = 0;
    std::string lease_owner;
    time_point lease_end{};
    std::map<std::string, fake_task> tasks;
    std::vector<task_event> events;
    std::uint64_t next_event = 1;
    // Completes the pending renew call; null if there is none.
    std::function<void()> reply_to_renewal;
    int renewal_number = 0;
};

class zone_simulation
{
public:
    explicit zone_simulation(int server_count);

    time_point now() const;
    void after(milliseconds delay, std::function<void()> action);
    // Advances the clock: runs due timers, and ticks all processes every 50 ms.
    void run_for(milliseconds duration);

    scheduler_process& add_process(const std::string& name);
    // Sends the list of backend servers to all processes.
    void publish_members();
    void activate(scheduler_process& target);
    void deactivate(scheduler_process& target);
    void resume(scheduler_process& target);
    // Stores the job as an entry VM does: job row and index row in one write.
    void store_job(const job& item);
    // Opens or closes the availability zone in the configuration of every
    // process.
    void set_zone_open(bool is_open);

    void kill(fake_backend_server& server);
    void restart(fake_backend_server& server);

    std::optional<job> stored_job(const std::string& id);
    bool has_open_row(const std::string& id) const;
    int executions_of(const std::string& id) const;

    std::vector<fake_backend_server> servers;
    std::vector<execution> executions;
    std::vector<std::pair<std::string, job_outcome>> reported_outcomes;
    // Runs when a call is sent.
    std::function<void(const call_info&)> on_call;
    std::function<void(const fake_backend_server&, const task_event&)> on_event;
    std::function<call_fault(const call_info&)> fault_of;
    bool table_down = false;
    // The configuration is no longer confirmed.
    bool config_updates_withheld = false;
    // Time of the last confirmation of the configuration.
    time_point config_confirmed_at{};
    // All calls in the order in which they were sent.
    std::vector<call_info> calls;
    configuration config;
    bool zone_open = true;
    clock_mapping mapping{time_point{}, 1'000'000'000};

private:
    template <class Reply>
    void call(scheduler_process& from,
              call_info info,
              time_point deadline,
              std::function<void(Reply)> done,
              std::function<Reply()> handle_call);
    zone_scheduler_hooks hooks_for(scheduler_process& from);
    table table_for(scheduler_process& from);
    backend_api backend_for(scheduler_process& from);
    void add_task_calls(backend_api& api, scheduler_process& from);
    void deliver(scheduler_process& to, std::function<void()> action);
    fake_backend_server& server_by_id(const std::string& address);
    failure check_lease_token(const fake_backend_server& server,
                              const lease_token& token) const;
    failure release(fake_backend_server& server, const lease_token& token);
    claim_reply claim(fake_backend_server& server, const std::string& owner);
    void send_renew(scheduler_process& from,
                    const std::string& to,
                    const renew_request& request,
                    time_point deadline,
                    const std::function<void(renew_reply)>& done);
    void renew(scheduler_process& from,
               fake_backend_server& server,
               const renew_request& request,
               const std::function<void(renew_reply)>& done);
    task_reply prepare(fake_backend_server& server,
                       const lease_token& token,
                       const task& item,
                       time_point commit_deadline);
    task_reply commit(fake_backend_server& server,
                      const lease_token& token,
                      const std::string& id);
    task_reply start(fake_backend_server& server,
                     const lease_token& token,
                     const task& item);
    task_reply stop(fake_backend_server& server,
                    const lease_token& token,
                    const std::string& id,
                    bool checkpoint);
    void start_execution(fake_backend_server& server, fake_task& entry);
    void end_execution(fake_backend_server& server,
                       int incarnation,
                       const std::string& id,
                       task_state end_state,
                       bool checkpoint);
    void append_event(fake_backend_server& server, fake_task& entry);
    table_scan_reply
    scan(const std::string& prefix, const std::string& last, int limit) const;
    table_write_reply write(const std::vector<table_change>& changes);

    time_point now_{milliseconds(10'000)};
    std::multimap<time_point, std::function<void()>> timers_;
    std::map<std::string, table_row> rows_;
    std::uint64_t next_version_ = 1;
    std::vector<std::unique_ptr<scheduler_process>> processes_;
};

job make_job(const std::string& key, int accelerators, bool idempotent);

} // namespace poplarramp::fakes

#endif
