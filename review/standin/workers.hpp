// Stand-in for the workers: runs of tasks under fence numbers and leases, as
// PROTOCOL.md says. Everything that happens is written to the record.
#ifndef POPLARRAMP_REVIEW_WORKERS_HPP
#define POPLARRAMP_REVIEW_WORKERS_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "http/server.hpp"
#include "model/step_job.hpp"
#include "review/standin/record.hpp"
#include "review/standin/store.hpp"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplarramp::review
{

// What one worker has, and what a task needs.
struct room
{
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t gpus = 0;
};

struct fleet_settings
{
    int workers = 48;
    std::vector<std::string> zones;
    room capacity{64000, 262144, 8};
    milliseconds longest_lease{10000};
    milliseconds stop_time{200};
    milliseconds checkpoint_interval{1000};
    milliseconds restore_time{100};
};

// How long a task works; part of the payload of its job.
struct task_work
{
    milliseconds time{0};
    bool saves = false;
    // Works until it is stopped or fails.
    bool lasts = false;
};

// Used on the control thread only.
class fleet
{
public:
    // Registers all workers in the store. Throws std::runtime_error if a port
    // cannot be opened.
    fleet(boost::asio::io_context& traffic,
          boost::asio::io_context& control,
          const fleet_settings& settings,
          store& rows,
          record& log);

    // Ends runs and answers long polls. To be called every few milliseconds.
    void tick();

    // The first workers of the first rack lose power for good: they answer
    // nothing any more, and their entries are removed after three beats.
    void lose_power(std::size_t count);

    // All runs of the job fail now.
    void fail(const std::string& job);

    // Tells what the tasks of a job need, for the share in use.
    void expect(const std::string& job, const room& need);

    // Number of runs of the job that are on a worker now.
    int running(const std::string& job) const;
    // Number of runs of the job that have begun.
    int starts(const std::string& job) const;
    // Number of tasks with these needs that would fit now.
    int free_places(const room& need) const;
    // Share of the capacity that is in use; an accelerator counts as 8 cores,
    // as in the prices of RULES.md.
    double share_in_use() const;

private:
    using respond_hook = std::function<void(http_response)>;
    // Task and attempt.
    using run_key = std::pair<std::string, int>;

    struct active_run
    {
        task_work work;
        time_point since{};
        milliseconds done_before{0};
        std::string saved;
        std::optional<time_point> stops_at;
    };

    struct ended_run
    {
        std::uint64_t number = 0;
        run_key run;
        std::string how;
        std::string saved;
    };

    struct worker
    {
        std::string id;
        std::string zone;
        std::string rack;
        std::int64_t born = 0;
        time_point clock_start{};
        std::uint64_t fence = 0;
        std::int64_t lease_until = 0;
        std::map<run_key, active_run> active;
        std::vector<ended_run> ended;
        std::map<std::string, int> highest_attempt;
        std::uint64_t last_end = 0;
        std::int64_t beats = 0;
        std::optional<time_point> dark_since;
        bool registered = true;
        std::unique_ptr<http_server> server;
    };

    struct waiting_hold
    {
        worker* at = nullptr;
        time_point deadline{};
        respond_hook respond;
    };

    void announce(worker& item);
    void serve(worker& item, const http_request& request, respond_hook respond);
    http_response start(worker& item, const Json::Value& call);
    http_response stop(worker& item, const Json::Value& call);
    void hold(worker& item, const Json::Value& call, respond_hook respond);
    http_response lists(const worker& item) const;
    http_response reply(const worker& item,
                        int status,
                        Json::Value body = Json::objectValue) const;
    bool fenced(worker& item, const Json::Value& call);
    void extend_lease(worker& item, const Json::Value& call);
    std::int64_t clock_of(const worker& item) const;
    void advance(worker& item);
    void end(worker& item, const run_key& run, const std::string& how);
    std::string save(milliseconds progress);
    room used_on(const worker& item) const;

    const fleet_settings settings_;
    store& rows_;
    record& log_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::list<waiting_hold> waiting_;
    std::map<std::string, room> needs_;
    std::map<std::string, int> starts_;
    // Progress that each checkpoint stands for.
    std::map<std::string, milliseconds> checkpoints_;
    std::uint64_t next_checkpoint_ = 0;
    time_point next_beat_{};
};

} // namespace poplarramp::review

#endif
