// Stand-in for one backend server: server lease, tasks, events and usage.
#ifndef POPLARRAMP_STANDIN_BACKEND_HPP
#define POPLARRAMP_STANDIN_BACKEND_HPP

#include "http/message.hpp"
#include "standin/faults.hpp"
#include "standin/server_lease.hpp"
#include "standin/task_registry.hpp"
#include "standin/timers.hpp"

#include <json/value.h>

#include <deque>
#include <functional>
#include <string>

namespace poplarramp::standin
{

struct backend_settings
{
    std::string rack;
    int accelerators = 8;
    int slots = 8;
    milliseconds usage_lag{1000};
    // Time without a server lease after which stoppable tasks are stopped.
    milliseconds orphan_timeout{120000};
};

// Not thread safe; used on the control thread.
class backend
{
public:
    backend(backend_settings settings,
            const clock_mapping& wall,
            timers& clock);

    // Handles the calls of `backend_api` and /v1/throttle; for tests also
    // GET /v1/runs, GET /v1/usage and POST /v1/restart, which starts a new
    // incarnation and drops all tasks.
    void handle(const http_request& request,
                const std::function<void(http_response)>& respond);

    faults& fault_state()
    {
        return faults_;
    }

    // Call after each change of the fault state.
    void on_faults_changed();

private:
    using respond_function = std::function<void(http_response)>;

    // Pending long poll of the scheduler; `number` identifies it to its
    // timeout.
    struct poll
    {
        respond_function respond;
        std::uint64_t number = 0;
    };

    // Usage from `since` on.
    struct usage_sample
    {
        time_point since;
        usage value;
    };

    http_response handle_get(const http_request& request);
    http_response claim(const Json::Value& body);
    void renew(const Json::Value& body, const respond_function& respond);
    http_response handle_fenced_call(const std::string& target,
                                     const Json::Value& body);
    task_reply handle_task_call(const std::string& target,
                                const Json::Value& body,
                                failure& why);
    http_response release(const lease_token& token);
    http_response restart();
    http_response runs() const;
    http_response usage_report();
    void complete_poll(const failure& error);
    bool has_updates() const;
    http_response make_poll_reply();
    void schedule_orphan_stop();
    void record_usage();

    backend_settings settings_;
    clock_mapping wall_;
    timers& clock_;
    faults faults_;
    server_lease lease_;
    task_registry tasks_;
    poll poll_;
    std::uint64_t last_poll_ = 0;
    // Highest event sequence sent to the holder of the lease.
    std::uint64_t delivered_sequence_ = 0;
    bool reported_leaving_ = false;
    std::deque<usage_sample> samples_;
    int restarts_ = 0;
};

} // namespace poplarramp::standin

#endif
