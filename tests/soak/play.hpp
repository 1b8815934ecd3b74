// One seeded run of the soak test: entry VMs as processes, simulated callers
// and injected faults. The invariants are checked as callers and backend
// servers see them.
#ifndef POPLARRAMP_SOAK_PLAY_HPP
#define POPLARRAMP_SOAK_PLAY_HPP

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

struct play_settings
{
    std::uint64_t seed = 1;
    // Path of the product's program.
    std::string program;
    // Folder for settings and logs of the processes.
    std::string folder;
    int vms = 3;
    int servers = 6;
    int jobs = 16;
};

class play
{
public:
    explicit play(const play_settings& settings);
    ~play();
    play(const play&) = delete;
    play& operator=(const play&) = delete;

    // Takes about a minute. Returns the violations; empty if there were none.
    std::vector<std::string> run();

    // Number of task starts on the backend servers.
    int starts()
    {
        return site_.world().starts;
    }

private:
    struct caller_job
    {
        std::string id;
        int number = 0;
        bool accepted = false;
        // A call without a reply may have submitted it.
        bool maybe_accepted = false;
        // The caller abandons the job after the first definite refusal.
        bool impatient = false;
        bool given_up = false;
        bool cancels = false;
        bool cancelled = false;
    };

    struct vm_state
    {
        std::unique_ptr<vm_process> process;
        // Affected by faults other than a planned stop until this time.
        std::int64_t harmed_until = 0;
        std::int64_t planned_stop_until = 0;
        bool comes_back = true;
    };

    void tick();
    std::int64_t pick(std::int64_t limit);
    vm_state& some_vm();
    void at(std::int64_t delay_ms, std::function<void()> action);
    void wrong(const std::string& text);

    void hand_in(caller_job& job);
    void on_handed_in(caller_job& job, vm_state& vm, const http_reply& reply);
    void cancel(caller_job& job);
    void ask(caller_job& job);
    void check_cut_off(const vm_state& vm, const http_reply& reply);
    http_request request_for(const caller_job& job, const std::string& method);

    void fault();
    void heal();
    void harm(vm_state& vm, std::int64_t time_ms);
    void kill_vm();
    void stop_vm();
    void pause_vm();
    void reload_vm();
    void harm_store_link();
    void harm_server_link();
    void restart_server();
    void leave_server();
    void store_down();
    void change_config();
    void forget_history();
    void kill_all();

    bool all_ended() const;
    void check_end();
    void stop_all();

    const play_settings settings_;
    std::mt19937_64 random_;
    boost::asio::io_context traffic_;
    boost::asio::io_context control_;
    site site_;
    http_client client_;
    boost::asio::steady_timer timer_;
    std::vector<vm_state> vms_;
    std::vector<caller_job> jobs_;
    std::vector<std::string> wrong_;
    std::int64_t store_harmed_until_ = 0;
    bool restarts_ = true;
};

} // namespace poplarramp::soak

#endif
