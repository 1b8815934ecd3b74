// Simulates the entry VMs of one domain, the store and the backend servers in
// virtual time, with fault injection. For tests.
#ifndef POPLARRAMP_TESTS_DOMAIN_SIMULATION_HPP
#define POPLARRAMP_TESTS_DOMAIN_SIMULATION_HPP

#include "domain/dispatcher.hpp"
#include "domain/job_api.hpp"
#include "domain/leadership.hpp"
#include "domain/row_watcher.hpp"
#include "domain_budget_check.hpp"
#include "domain_phase_check.hpp"
#include "relay/relay_http.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplarramp::fakes
{

// Faults of the calls from one VM to the store or to the servers.
struct link_faults
{
    // No call arrives.
    bool partitioned = false;
    // Calls are executed, but this share of the replies is lost.
    double reply_loss_rate = 0;
    // Calls are executed after this delay and get no reply. 0: off.
    milliseconds execution_delay{0};
    milliseconds delay{2};
    // Extra delay before a write is sent.
    milliseconds write_delay{0};
};

// A run on a fake server.
struct fake_run
{
    run_id run;
    std::int64_t ends_at = 0;
    std::int64_t started_at = 0;
    std::string checkpoint;
    std::optional<std::int64_t> stops_at;
    std::int64_t accelerators = 0;
    resources need = {};
    std::string customer = {};
};

struct fake_run_end
{
    std::uint64_t number = 0;
    run_id run;
    run_outcome outcome = run_outcome::done;
    // The lease of the server has run out since.
    bool lapsed = false;
};

struct domain_simulation;
struct fake_vm;

// A backend server that enforces fencing, leases and attempt numbers.
struct fake_server
{
    server_registration entry;
    // Virtual time at which the clock of the server was 0.
    std::int64_t clock_start = 0;
    std::uint64_t epoch = 0;
    server_clock lease_until = 0;
    std::map<run_id, fake_run> active;
    std::vector<fake_run_end> ended;
    std::uint64_t last_end_number = 0;
    // Highest attempt of each task that has ended or was stopped; start orders
    // up to it are refused.
    std::map<task_name, int> highest_attempt;
    bool up = true;
    // Tasks continue, but no call arrives.
    bool partitioned = false;
    // Calls are executed, but no reply arrives.
    bool mute = false;
    // On the same side of a partition as this VM; no other VM reaches it.
    const fake_vm* only_reachable_from = nullptr;
    bool fails_all = false;
    milliseconds task_time{2000};
    // Capacity before it shrank, which counts until this time.
    std::optional<resources> earlier_capacity;
    std::int64_t earlier_capacity_until = 0;
    // Tasks never finish.
    bool hangs = false;

    server_clock clock(std::int64_t now) const
    {
        return now - clock_start;
    }
    void end(domain_simulation& sim, const run_id& run, run_outcome outcome);
    // Takes effect at once if it is more than before, else after a delay.
    void resize(domain_simulation& sim, const resources& capacity);
    const resources& capacity_limit(std::int64_t now) const;
    // Forgets all runs, as a new incarnation.
    void restart(std::int64_t now);
    void advance(domain_simulation& sim);
    order_reply start(domain_simulation& sim,
                      const server_target& to,
                      const start_order& order);
    order_reply
    stop(domain_simulation& sim, const server_target& to, const run_id& run);
    renewal_reply renew(domain_simulation& sim,
                        const server_target& to,
                        const renew_order& order);
    // True if a call with a higher epoch was received before; otherwise records
    // the epoch of the call.
    bool fenced(const server_target& to);
    void extend_lease(server_clock until, server_clock at);
};

// One entry VM.
struct fake_vm
{
    fake_vm(domain_simulation& owner, std::string vm_name);

    void tick();
    void kill();
    void start();
    bool leads() const
    {
        return leader && leader->leads();
    }

    domain_simulation& sim;
    std::string name;
    bool up = true;
    // The process and its steady clock are suspended.
    bool frozen = false;
    milliseconds frozen_for{0};
    link_faults store_link;
    link_faults server_link;
    // Calls to other VMs.
    link_faults inner_link;
    // Changes with each kill; calls of earlier incarnations are dropped.
    std::uint64_t vm_incarnation = 0;
    // Takes effect at the next start.
    double processor_share = 1;
    // Time that passes on the VM while it sends a start order.
    milliseconds time_per_start{0};

    deployment_rows rows;
    std::unique_ptr<deployment_view> deployment;
    std::unique_ptr<job_directory> jobs;
    std::unique_ptr<row_watcher> operator_rows;
    std::unique_ptr<row_watcher> job_rows;
    std::unique_ptr<leadership> leader;
    std::unique_ptr<job_api> api;
    std::shared_ptr<call_relay> relay;
    std::shared_ptr<relayed_servers> relayed;
    std::shared_ptr<dispatcher> scheduler;

private:
    void start_leadership();
    void start_job_api();
    table make_store();
    void add_writes(table& store);
    server_api make_servers();
    void start_relay();
    server_api make_relayed_servers();
    row_watcher_hooks watcher_hooks();
    void on_row(const table_row_change& change);
    void on_elected();
};

// Descriptions of violated invariants.
using violation_list = std::vector<std::string>;

struct domain_simulation
{
    explicit domain_simulation(std::uint64_t seed = 1, int vm_count = 2);

    // Virtual time in milliseconds.
    std::int64_t now = 1'000'000;
    std::mt19937_64 random;

    // Rows of the store.
    std::map<std::string, table_row> stored_rows;
    std::vector<table_row_change> history;
    std::uint64_t version = 0;
    // The history up to this version is dropped; watches from an older version
    // fail.
    std::uint64_t compacted_version = 0;
    bool store_down = false;
    // The store refuses each write of this row permanently; empty: none.
    std::string refused_key;
    int refused_writes = 0;

    std::map<std::string, fake_server> servers;
    // Run time of the tasks of a job, instead of that of the server.
    std::map<std::string, milliseconds> task_times;
    std::vector<std::unique_ptr<fake_vm>> vms;
    deployment_config config;
    // The leader makes calls to servers through the other VMs.
    bool use_relays = false;
    bool learn_speeds = false;
    // Tasks that crash each server that starts them, this long after the start.
    std::map<task_name, milliseconds> crashing_tasks;
    // Tasks of which each run fails, this long after its start. The other
    // members of their gangs end with them.
    std::map<task_name, milliseconds> failing_tasks;
    // A server that has crashed is back after this time, under another id at
    // the same address, or as a new incarnation of its own id.
    milliseconds crash_downtime{3200};
    bool crashed_servers_change_id = true;
    // The most that customers may run over all servers; checked at each start.
    std::map<std::string, resources> checked_limits;
    violation_list violations;
    budget_check budget;

    // Tasks with a successful end that a scheduler has acknowledged.
    std::set<task_name> acknowledged_done;
    int starts = 0;
    // Start orders that servers received, with repeated and refused ones.
    int start_orders = 0;
    // Servers that crashed under each of the crashing tasks, and starts of the
    // task after the third of these crashes.
    std::map<task_name, int> crashes;
    std::map<task_name, int> starts_after_crashes;
    // Crashes of a server on which tasks of several jobs had just started.
    int crashes_of_new_neighbours = 0;
    std::set<std::string> started_jobs;
    // Runs that were stopped, and those of them that were stopped before a
    // tenth of their work.
    int stopped_runs = 0;
    // Stop orders that a server refused, since it has seen a higher epoch.
    int fenced_stops = 0;
    int stopped_early = 0;
    // Accelerator milliseconds of the runs that were successful.
    std::int64_t completed_work = 0;

    void run(milliseconds time);
    // Runs until the condition holds; false on a timeout.
    bool run_until(milliseconds time, const std::function<bool()>& condition);

    void add_server(const std::string& id,
                    const std::string& rack = "r1",
                    const std::string& zone = "zone-a");
    void put_config();
    table_transact_reply apply(const table_transaction& change);
    table_watch_reply changes_after(const std::string& prefix,
                                    std::uint64_t after) const;
    void write(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void put_server(const fake_server& server);

    // Submits a job at a VM; calls `done` with the reply.
    void submit(int vm,
                const std::string& id,
                const std::string& queue,
                step_job_spec spec,
                const std::function<void(job_api_reply)>& done = nullptr,
                const std::string& key = "bead-key");
    void cancel(int vm, const std::string& id, const std::string& queue);
    step_job_state state(const std::string& id) const;
    fake_vm* leader();

    // Schedules an action for a virtual time, or for now if that has passed.
    void at(std::int64_t time, std::function<void()> action);

    void on_start(const fake_server& server, const run_id& run);
    void on_end(const fake_run& run, run_outcome outcome);
    // Ends the other members of the gangs that had these runs.
    void break_gangs(const std::vector<run_id>& lost);
    void check_capacity(fake_server& server);
    // Resources that a customer's runs really use.
    resources running(const std::string& customer) const;
    void check_limit(const fake_run& started);
    // Ends all that runs on the server. Its entry expires unless it is back
    // before.
    void crash_server(const std::string& id);
    // Crashes the server after the start of a run if its task does that.
    void crash_if_due(const fake_server& server, const run_id& run);

private:
    void revive_server(const std::string& id);

    std::multimap<std::int64_t, std::function<void()>> actions_;
    phase_check phases_;
    int revived_servers_ = 0;
};

step_job_spec one_step(int tasks, int accelerators, bool gang = false);

} // namespace poplarramp::fakes

#endif
