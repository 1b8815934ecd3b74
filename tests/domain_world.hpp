// Several entry VMs of one domain, the store and backend servers in simulated
// time, with faults. For tests.
#ifndef POPLARRAMP_TESTS_DOMAIN_WORLD_HPP
#define POPLARRAMP_TESTS_DOMAIN_WORLD_HPP

#include "domain/dispatcher.hpp"
#include "domain/job_api.hpp"
#include "domain/leadership.hpp"
#include "domain/row_watcher.hpp"

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

// How calls of one VM to one place fare.
struct link_faults
{
    // No call arrives, none is answered.
    bool cut = false;
    // Calls arrive; this share of the answers is lost.
    double lose_share = 0;
    // Calls are carried out this much later, without an answer. 0: none.
    milliseconds carried_out_late{0};
    milliseconds delay{2};
    // Writes take this much longer.
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
};

struct fake_end
{
    std::uint64_t number = 0;
    run_id run;
    run_outcome outcome = run_outcome::done;
};

struct domain_world;
struct fake_vm;

// One machine that runs tasks; keeps the rules of a backend server.
struct fake_server
{
    server_entry entry;
    std::int64_t clock_start = 0;
    std::uint64_t epoch = 0;
    server_clock lease_until = 0;
    std::map<run_id, fake_run> active;
    std::vector<fake_end> ended;
    std::uint64_t last_number = 0;
    std::map<task_name, int> highest;
    bool up = true;
    // Runs on, but no call arrives.
    bool cut = false;
    // Cut off together with this VM, which alone reaches it.
    const fake_vm* only_vm = nullptr;
    bool fails_all = false;
    milliseconds task_time{2000};
    // Tasks stop at zero progress.
    bool hangs = false;

    server_clock clock(std::int64_t now) const
    {
        return now - clock_start;
    }
    void end(domain_world& world, const run_id& run, run_outcome outcome);
    void advance(domain_world& world);
    order_reply start(domain_world& world,
                      const server_target& to,
                      const start_order& order);
    order_reply
    stop(domain_world& world, const server_target& to, const run_id& run);
    renewal_reply renew(domain_world& world,
                        const server_target& to,
                        const renew_order& order);
    bool fenced(const server_target& to);
};

// One entry VM.
struct fake_vm
{
    fake_vm(domain_world& owner, std::string vm_name);

    void tick();
    void kill();
    void start();
    bool leads() const
    {
        return leader && leader->leads();
    }

    domain_world& world;
    std::string name;
    bool up = true;
    // The process stands still, and its steady clock with it.
    bool frozen = false;
    milliseconds frozen_for{0};
    link_faults store_link;
    link_faults server_link;
    std::uint64_t vm_incarnation = 0;
    // From the next start on.
    double processor_share = 1;

    deployment_rows rows;
    std::unique_ptr<deployment_view> deployment;
    std::unique_ptr<job_directory> jobs;
    std::unique_ptr<row_watcher> operator_rows;
    std::unique_ptr<row_watcher> job_rows;
    std::unique_ptr<leadership> leader;
    std::unique_ptr<job_api> calls;
    std::shared_ptr<dispatcher> schedule;

private:
    void start_leadership();
    void start_job_api();
    table make_store();
    void add_writes(table& store);
    server_api make_servers();
    row_watcher_hooks watcher_hooks();
    void on_row(const table_row_change& change);
    void on_elected();
};

// What has gone wrong, in words.
using violations = std::vector<std::string>;

struct domain_world
{
    explicit domain_world(std::uint64_t seed = 1, int vm_count = 2);

    // Time in milliseconds since the start.
    std::int64_t now = 1'000'000;
    std::mt19937_64 random;

    // Rows of the store.
    std::map<std::string, table_row> stored;
    std::vector<table_row_change> history;
    std::uint64_t version = 0;
    std::uint64_t oldest_history = 0;
    bool store_down = false;

    std::map<std::string, fake_server> servers;
    std::vector<std::unique_ptr<fake_vm>> vms;
    deployment_config config;
    violations wrong;

    // Runs that ended well and were taken note of, by task.
    std::set<task_name> noted_done;
    int starts = 0;
    std::set<std::string> started_jobs;

    void run(milliseconds time);
    // Runs until the condition holds; false if it does not in time.
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

    // Hands a job in at a VM; calls `done` with the answer.
    void submit(int vm,
                const std::string& id,
                const std::string& queue,
                step_job_spec spec,
                const std::function<void(job_api_reply)>& done = nullptr);
    void cancel(int vm, const std::string& id, const std::string& queue);
    step_job_state state(const std::string& id) const;
    fake_vm* leader();

    // Defers an action; keeps order by time.
    void at(std::int64_t time, std::function<void()> action);

    void on_start(const fake_server& server, const run_id& run);
    void check_capacity(const fake_server& server);

private:
    std::multimap<std::int64_t, std::function<void()>> actions_;
};

// A job of one step.
step_job_spec one_step(int tasks, int accelerators, bool gang = false);

} // namespace poplarramp::fakes

#endif
