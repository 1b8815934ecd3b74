// A task: the part of one attempt of a job that runs on one backend server.
#ifndef POPLARRAMP_MODEL_TASK_HPP
#define POPLARRAMP_MODEL_TASK_HPP

#include "model/job.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace poplarramp
{

enum class task_state
{
    prepared,
    running,
    finished,
    failed,
    // Stopped on request; `checkpoint` tells whether work was saved.
    stopped,
    // Prepared, but not committed by its deadline: it never ran.
    expired,
};

std::string_view name_of(task_state state);
task_state task_state_of(std::string_view name);

// Sent to a backend server. The backend server keeps it and returns it to
// whoever claims the server next, so it carries all a new scheduler needs.
struct task
{
    // "customer/key#attempt.member"; a repeated start with the same id does
    // nothing.
    std::string id;
    int attempt = 1;
    // Position in the gang and size of the gang in backend servers.
    int member = 0;
    int members = 1;
    int accelerators = 0;
    job owner;
};

// What a backend server says about a task it knows.
struct task_status
{
    task item;
    task_state state = task_state::prepared;
    bool checkpoint = false;
    std::string reason;
    std::string answer;
    std::string answer_object;
};

// A change of a task's state. Sent until acknowledged, in order of `sequence`.
struct task_event
{
    std::uint64_t sequence = 0;
    std::string task_id;
    task_state state = task_state::running;
    bool checkpoint = false;
    std::string reason;
    std::string answer;
    std::string answer_object;
};

std::string task_id(std::string_view job_id, int attempt, int member);

} // namespace poplarramp

#endif
