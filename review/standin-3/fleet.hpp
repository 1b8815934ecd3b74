// Stand-in for the workers: each keeps a fence number, a lease, runs and ends,
// as the pages describe them. Members of a gang find each other also while the
// scheduler cannot reach some of them.
#ifndef POPLARRAMP_REVIEW_3_FLEET_HPP
#define POPLARRAMP_REVIEW_3_FLEET_HPP

#include "http.hpp"
#include "store.hpp"

#include <json/value.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

// What the program of a job does.
struct job_behaviour
{
    std::int64_t work_ms = 1000;
    // Number of tasks that work together; 1: no gang.
    int gang = 1;
    // The task with this index fails after `fails_after_ms` of work; -1: none.
    int failing_index = -1;
    std::int64_t fails_after_ms = 0;
};

// One observed event of a run.
struct run_event
{
    enum class event_kind
    {
        started,
        // Work begins, of a gang when all members are there.
        working,
        ended,
        // The scheduler has acknowledged the end.
        noted,
    };

    std::int64_t at_ms = 0;
    event_kind kind = event_kind::started;
    std::string worker;
    std::string task;
    int attempt = 0;
    // How it ended.
    std::string how;
};

struct worker_settings
{
    std::string id;
    std::string zone;
    std::string rack;
    int cpu = 64000;
    int mem_mb = 262144;
    int gpus = 8;
};

// Public functions are thread safe.
class fleet
{
public:
    fleet(store& platform, std::function<void(const std::string&)> record);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void add(const worker_settings& settings);
    // `name` is the id of a job, or ID.K.STEP for one of its steps.
    void define(const std::string& name, const job_behaviour& behaviour);

    // While a worker is cut off, no call to it arrives and no reply leaves it;
    // it works on, and reaches the platform.
    void cut(const std::string& worker, bool is_cut);
    // These workers lose the answers of this share of the calls that they have
    // carried out.
    void lose_answers(const std::set<std::string>& workers, double share);
    // The worker crashes and does not come back.
    void lose(const std::string& worker);

    // The entry that a worker writes.
    Json::Value entry_of(const std::string& worker);

    std::vector<run_event> events();
    // Worker on which the task works or waits; empty if there is none.
    std::string worker_of(const std::string& task);
    // End of the lease of a worker, from now.
    std::int64_t lease_left_ms(const std::string& worker);

private:
    struct run
    {
        int attempt = 0;
        std::int64_t started_ms = 0;
        std::int64_t working_since_ms = -1;
    };

    struct end
    {
        std::uint64_t number = 0;
        std::string task;
        int attempt = 0;
        std::string how;
        std::int64_t at_ms = 0;
        bool lapsed_since = false;
    };

    struct worker
    {
        worker_settings settings;
        std::int64_t born = 0;
        std::int64_t clock_zero = 0;
        std::uint64_t fence = 0;
        std::int64_t until_ms = 0;
        bool lease_live = false;
        bool cut = false;
        bool lost = false;
        int missed_heartbeats = 0;
        std::uint64_t seq = 0;
        std::uint64_t next_end = 1;
        std::map<std::string, run> runs;
        std::vector<end> ends;
        std::map<std::string, int> highest_gone;
        std::unique_ptr<http_listener> listener;
    };

    std::optional<http_response> handle(worker& at,
                                        const http_request& request);
    bool wait_for_path(const worker& at,
                       const http_request& request,
                       std::unique_lock<std::mutex>& lock);
    http_response start(worker& at, const Json::Value& body);
    http_response stop(worker& at, const Json::Value& body);
    http_response hold(worker& at,
                       const Json::Value& body,
                       std::unique_lock<std::mutex>& lock);
    http_response refuse(const worker& at, const std::string& reason) const;
    std::int64_t clock_of(const worker& at) const;
    void extend(worker& at, const Json::Value& body);
    void forget_ends(worker& at, std::uint64_t last_seen);
    void end_run(worker& at, const std::string& task, const std::string& how);
    void end_gang(const std::string& task,
                  int attempt,
                  const std::string& first,
                  const std::string& others);
    const job_behaviour& behaviour_of(const std::string& task) const;
    void advance();
    void advance_run(worker& at, const std::string& task);
    void begin_gang(const std::string& task, int attempt);
    Json::Value make_entry(worker& at) const;
    void register_worker(worker& at);
    void note(run_event event);
    void work();

    store& platform_;
    const std::function<void(const std::string&)> record_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::map<std::string, std::unique_ptr<worker>> workers_;
    std::map<std::string, job_behaviour> jobs_;
    std::set<std::string> losing_;
    double lost_share_ = 0;
    std::mt19937 random_{1};
    std::vector<run_event> events_;
    std::atomic<bool> closing_{false};
    std::thread thread_;
};

} // namespace review

#endif
