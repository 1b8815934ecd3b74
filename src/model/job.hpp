// A customer's job and its row in the platform's table.
#ifndef POPLARRAMP_MODEL_JOB_HPP
#define POPLARRAMP_MODEL_JOB_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "model/sheet.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

enum class job_state
{
    queued,
    starting,
    running,
    stopping,
    done,
    failed,
    cancelled,
    not_run,
    unknown,
};

std::string_view name_of(job_state state);
job_state job_state_of(std::string_view name);

// A final state never changes.
bool is_final(job_state state);

// Request of a caller. The pair (customer, key) identifies the job globally.
struct job_request
{
    std::string customer;
    std::string key;
    std::string kind;
    int accelerators = 0;
    std::string payload;
    // Time by which the complete result is needed.
    time_point deadline = no_deadline;
};

// How a job ended.
struct job_outcome
{
    job_state state = job_state::queued;
    result_code code = result_code::ok;
    std::string reason;
    // Complete result of the task; if `answer_object` is set, the result is in
    // the object store under that key instead.
    std::string answer;
    std::string answer_object;
};

// One attempt to run the job on a set of backend servers.
struct attempt_record
{
    int number = 0;
    std::string server;
    std::string incarnation;
    std::uint64_t epoch = 0;
    // "not_run" once it is certain that the attempt did not run, else empty.
    std::string note;
};

struct job
{
    job_request request;
    // Copied from the sheet on acceptance, so that a later sheet does not
    // affect accepted jobs.
    urgency urgency_class = urgency::patient;
    bool idempotent = true;
    bool can_checkpoint = false;
    bool can_stop = true;
    milliseconds expected_run{0};
    milliseconds checkpoint_time{0};

    std::string zone;
    // Entry VM that holds the caller's connection.
    std::string origin_vm;
    // Random. If the reply to the insert is lost, shows whether the row found
    // is from this insert or from another caller's.
    std::string token;
    // False if the job was accepted without a row while the table was
    // unavailable.
    bool durable = true;
    time_point accepted = time_point{};
    std::vector<attempt_record> attempts;
    job_outcome outcome;
};

// "customer/key".
std::string job_id(const job_request& request);

// True if the task can be neither checkpointed nor stopped.
bool is_pinned(const job& item);

} // namespace poplarramp

#endif
