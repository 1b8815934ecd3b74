// Jobs of several steps, each of many tasks with processors, memory and
// accelerators. Plain data.
#ifndef POPLARRAMP_MODEL_STEP_JOB_HPP
#define POPLARRAMP_MODEL_STEP_JOB_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace poplarramp
{

struct resources
{
    // Thousandths of a core.
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    bool operator==(const resources& other) const = default;

    // True if `part` fits into these resources.
    bool covers(const resources& part) const;
    // How often `part` fits; at most `most`.
    int times(const resources& part, int most) const;
    // Processor time of one second on these resources, in core seconds.
    double core_weight() const;
};

// What a core second of one accelerator counts for, in core seconds.
constexpr double cores_per_accelerator = 8;

// Tasks that are alike.
struct step_spec
{
    int tasks = 1;
    resources need;
    // Rough run time of one task.
    milliseconds estimate{0};
    // Steps that must have ended before.
    std::vector<int> after;
    // The tasks hand out checkpoints and can resume from them.
    bool checkpoints = false;
    // The tasks start together, end together, and share their checkpoints.
    bool gang = false;
    // The tasks take several times as long unless they share one rack.
    bool same_rack = false;
    // Label that a backend server must have; empty: none.
    std::string label;
    // Rack where the data is; a task takes several times as long elsewhere.
    std::string data_rack;
    // Most tasks of the step on one backend server; 0: no limit.
    int max_per_server = 0;
    // Copies may run in parallel.
    bool speculative = false;
    // The tasks run until the job is cancelled.
    bool long_running = false;
    std::string image;
    // Tail latency below which a long-running task has to serve its users.
    milliseconds target_latency{0};
    // The tasks use what others leave idle; their processors are not reserved.
    bool best_effort = false;
    // Long-running tasks that the scheduler may take down at the same time.
    int max_unavailable = 0;
};

// What a caller hands in.
struct step_job_spec
{
    std::string payload;
    std::vector<step_spec> steps;
    // Scheduled jobs run all steps this many times; 0: once, at once.
    int repetitions = 0;
    std::int64_t first_due_unix_ms = 0;
    milliseconds interval{0};
};

// How the queue of a job treats it.
struct queue_policy
{
    // 0 comes first and may preempt all others.
    int priority = 0;
    // Failed runs of one task, or gang, after which the job has failed.
    int max_attempts = 1;
    // The latency objective is `stretch` times the longest chain of estimated
    // run times, and `latency_slack` more.
    double stretch = 1;
    milliseconds latency_slack{0};
};

struct step_job
{
    std::string id;
    std::string customer;
    std::string queue;
    // Service whose backend servers run the job.
    std::string service;
    queue_policy policy;
    std::int64_t accepted_unix_ms = 0;
    step_job_spec spec;
};

enum class step_job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

// All functions are thread safe.

std::string_view name_of(step_job_state state);
std::optional<step_job_state> step_job_state_of(std::string_view name);
bool is_final(step_job_state state);

// One task of one repetition.
struct task_name
{
    std::string job;
    int repetition = 0;
    int step = 0;
    int index = 0;

    bool operator==(const task_name& other) const = default;
    bool operator<(const task_name& other) const
    {
        return std::tie(job, repetition, step, index) <
               std::tie(other.job, other.repetition, other.step, other.index);
    }
};

// "job.repetition.step.index", and the reverse.
std::string text_of(const task_name& task);
std::optional<task_name> task_name_of(std::string_view text);

// Longest chain of estimated run times through the steps.
milliseconds critical_path(const step_job_spec& spec);

// Checks sizes and the dependency graph. False and `bad_request` with the first
// error if the job cannot be understood.
bool check(const step_job_spec& spec, failure& why);

} // namespace poplarramp

#endif
