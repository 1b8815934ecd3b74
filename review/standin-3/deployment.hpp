// A small deployment: the store, the workers, the project's own processes and
// their clients.
#ifndef POPLARRAMP_REVIEW_3_DEPLOYMENT_HPP
#define POPLARRAMP_REVIEW_3_DEPLOYMENT_HPP

#include "fleet.hpp"
#include "store.hpp"

#include <json/value.h>

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review
{

struct deployment_paths
{
    std::string program;
    // For settings and logs; private to this run.
    std::string folder;
    std::string record;
};

// One process of the project.
struct vm
{
    std::string name;
    std::string zone;
    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
    pid_t pid = -1;
};

// Ends all processes that it has started. Public functions are thread safe,
// but those that
// start, end or look at a process.
class deployment
{
public:
    explicit deployment(const deployment_paths& paths);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    store& platform()
    {
        return platform_;
    }
    fleet& workers()
    {
        return workers_;
    }
    std::vector<vm>& vms()
    {
        return vms_;
    }

    void record(const std::string& text);

    // Writes the desired state with one queue of each priority (0, 1 and 2).
    void configure();
    // Starts a process in each zone. Returns false unless all report ready and
    // one leads.
    bool start();
    void end(vm& item, int signal);
    // Starts a process that has ended again, with its settings.
    void restart(vm& item);
    // True if the process has ended by itself since the last call.
    bool has_ended(vm& item);

    // Name of the process that leads, from the row that it writes.
    std::string leader();
    std::uint64_t epoch();

    // A call of a consumer on the queue of a priority; status 0 if it got no
    // answer.
    http_response consume(const vm& at,
                          const std::string& method,
                          int priority,
                          const std::string& job,
                          const Json::Value& body = {},
                          int timeout_ms = 3000);
    // Submits as a consumer does, with retries at other processes. Returns the
    // last status.
    int submit(int priority, const std::string& job, const Json::Value& body);
    std::string state_of(int priority, const std::string& job);

    // True if the condition holds before the time is over.
    static bool wait_until(const std::function<bool()>& condition,
                           std::int64_t timeout_ms);

private:
    void write_settings(const vm& item,
                        std::uint16_t metrics,
                        std::uint16_t inner) const;
    void spawn(vm& item) const;
    Json::Value leader_row();

    const deployment_paths paths_;
    std::mutex record_mutex_;
    std::ofstream record_;
    const std::int64_t began_ms_;
    store platform_;
    fleet workers_;
    std::vector<vm> vms_;
};

// A job with one step.
Json::Value one_step_job(int tasks, int cpu, int gpus, int estimate_ms);

} // namespace review

#endif
