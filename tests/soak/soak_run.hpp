// One seeded run of the soak test: entry VMs as processes, simulated callers
// and injected faults. The invariants are checked as callers and backend
// servers see them.
#ifndef POPLARRAMP_SOAK_SOAK_RUN_HPP
#define POPLARRAMP_SOAK_SOAK_RUN_HPP

#include "http/client.hpp"
#include "soak/site.hpp"
#include "soak/vm_process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace poplarramp::soak
{

struct soak_run_settings
{
    std::uint64_t seed = 1;
    // Path of the poplarramp executable.
    std::string program;
    // Folder for settings and logs of the processes.
    std::string folder;
    int vms = 3;
    int servers = 6;
    int jobs = 16;
};

class soak_run
{
public:
    explicit soak_run(const soak_run_settings& settings);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    // Takes about a minute. Returns the violations; empty if there were none.
    std::vector<std::string> run();

    // Number of task starts on the backend servers.
    int starts()
    {
        return site_.sim().starts;
    }

private:
    struct caller_job
    {
        std::string id;
        int number = 0;
        bool accepted = false;
        // A submit call without a definite reply may have been accepted.
        bool maybe_accepted = false;
        // The caller abandons the job after the first definite refusal.
        bool abandons_on_refusal = false;
        bool abandoned = false;
        bool cancels = false;
        bool cancelled = false;
    };

    struct vm_state
    {
        std::unique_ptr<vm_process> process;
        // Affected by faults other than a planned stop until this time.
        std::int64_t affected_until = 0;
        std::int64_t planned_stop_until = 0;
        bool may_restart = true;
    };

    void tick();
    std::int64_t pick(std::int64_t limit);
    vm_state& pick_vm();
    void at(std::int64_t delay_ms, std::function<void()> action);
    void report_violation(const std::string& text);

    void submit(caller_job& job);
    void
    on_submit_reply(caller_job& job, vm_state& vm, const http_reply& reply);
    void cancel(caller_job& job);
    void poll_state(caller_job& job);
    void check_planned_stop(const vm_state& vm, const http_reply& reply);
    http_request request_for(const caller_job& job, const std::string& method);

    void inject_fault();
    void end_faults();
    void mark_affected(vm_state& vm, std::int64_t time_ms);
    void kill_vm();
    void stop_vm();
    void pause_vm();
    void reload_vm();
    void disrupt_store_link();
    void disrupt_server_link();
    void restart_server();
    void drain_and_restart_server();
    void store_down();
    void change_config();
    void compact_history();
    void kill_all_vms();
    void kill_leaders();

    bool all_ended() const;
    void check_end();
    void stop_all();

    const soak_run_settings settings_;
    std::mt19937_64 random_;
    boost::asio::io_context traffic_;
    boost::asio::io_context control_;
    site site_;
    http_client client_;
    boost::asio::steady_timer timer_;
    std::vector<vm_state> vms_;
    std::vector<caller_job> jobs_;
    std::vector<std::string> violations_;
    std::int64_t store_affected_until_ = 0;
    bool restarts_enabled_ = true;
    bool faults_ended_ = false;
};

} // namespace poplarramp::soak

#endif
