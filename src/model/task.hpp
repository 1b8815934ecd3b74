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
    // Stopped on request; `checkpoint` is true if it has saved a checkpoint.
    stopped,
    // Prepared, but not committed by its deadline; it never ran.
    expired,
};

std::string_view name_of(task_state state);
task_state task_state_of(std::string_view name);

// Sent to a backend server, which returns it to the next scheduler that claims
// the server; it has everything that scheduler needs to adopt the task.
struct task
{
    // "customer/key#attempt.member"; starts are idempotent per id.
    std::string id;
    int attempt = 1;
    // Index in the gang, and the number of backend servers of the gang.
    int member = 0;
    int members = 1;
    int accelerators = 0;
    job parent_job;
};

// State of a task as its backend server reports it.
struct task_status
{
    task item;
    task_state state = task_state::prepared;
    bool checkpoint = false;
    std::string reason;
    std::string answer;
    std::string answer_object;
};

// A state change of a task. Sent in order of `sequence` until acknowledged.
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
