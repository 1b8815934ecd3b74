// Tasks of one backend server: prepared, running and ended ones, and the events
// of their ends.
#ifndef POPLARRAMP_STANDIN_TASK_REGISTRY_HPP
#define POPLARRAMP_STANDIN_TASK_REGISTRY_HPP

#include "backend/backend_api.hpp"
#include "standin/timers.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace poplarramp::standin
{

struct usage
{
    int accelerators = 0;
    int slots = 0;

    bool operator==(const usage&) const = default;
};

// Start of a task, recorded for tests.
struct start_record
{
    std::string task_id;
    time_point when{};
};

// Not thread safe; used on the control thread.
class task_registry
{
public:
    task_registry(usage capacity,
                  timers& clock,
                  std::function<void()> on_event);

    // Repeated calls for a task do not start it again; they return its state.
    task_reply prepare(const task& item, time_point commit_deadline);
    task_reply commit(const std::string& id);
    task_reply start(const task& item);
    // Stops the task, after its checkpoint time if `checkpoint` is set and the
    // task supports it.
    task_reply stop(const std::string& id, bool checkpoint);
    // Continues the task at a percentage of full speed.
    task_reply throttle(const std::string& id, int percent);

    // Stops all prepared and running tasks that can be stopped.
    void stop_orphans();

    // Removes events up to `sequence` and the tasks that ended with them.
    void acknowledge(std::uint64_t sequence);
    const std::deque<task_event>& events() const
    {
        return events_;
    }
    std::vector<task_status> statuses() const;

    usage in_use() const;
    // Number of runs started, by job; a gang counts once.
    const std::map<std::string, int>& runs() const
    {
        return runs_;
    }
    const std::deque<start_record>& starts() const
    {
        return starts_;
    }

    // Tasks that are started from now on fail at once.
    void set_fail_tasks(bool fail)
    {
        fail_tasks_ = fail;
    }

    // Removes all tasks and events, as a restart does; keeps the counts.
    void clear_tasks();

private:
    struct task_record
    {
        task_status status;
        time_point ends = no_deadline;
        int percent = 100;
        // Changes with each scheduled end, which invalidates earlier timers.
        std::uint64_t timer_id = 0;
        // Sequence of the event of its end.
        std::uint64_t end_sequence = 0;
    };

    // Run time, result and failure of the task, as its payload requests.
    struct task_script
    {
        milliseconds run{50};
        std::string answer;
        bool fail = false;
    };

    static task_script parse_script(const task& item);
    static bool is_active(const task_record& record);
    std::optional<task_reply> recorded_reply(const std::string& id) const;
    failure check_capacity(const task& item) const;
    task_record& add(const task& item, task_state state);
    void run(task_record& record);
    void finish(task_record& record);
    void schedule_end(task_record& record, time_point when);
    void end(task_record& record, task_state state, std::string reason);
    void retain_ended_state(const std::string& id, task_state state);
    std::uint64_t next_timer_id();

    const usage capacity_;
    timers& clock_;
    const std::function<void()> on_event_;
    std::map<std::string, task_record> tasks_;
    // States of acknowledged tasks, so that a delayed start call does not run
    // them again.
    std::map<std::string, task_state> ended_states_;
    std::deque<std::string> ended_order_;
    std::deque<task_event> events_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t last_timer_id_ = 0;
    std::map<std::string, int> runs_;
    std::deque<start_record> starts_;
    bool fail_tasks_ = false;
};

} // namespace poplarramp::standin

#endif
