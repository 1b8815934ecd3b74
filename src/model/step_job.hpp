// Jobs of several steps, each of tasks that need processors, memory and
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
    // How many times `part` fits; at most `max_count`.
    int count_fitting(const resources& part, int max_count) const;
    // Number of cores, with accelerators converted to cores.
    double equivalent_cores() const;
};

// One accelerator counts as this many cores.
constexpr double cores_per_accelerator = 8;

// A step: `tasks` tasks with the same requirements.
struct step_spec
{
    int tasks = 1;
    // Resources that one task needs.
    resources need;
    // Estimated run time of one task.
    milliseconds estimate{0};
    // Indices of the steps that must end before this one starts.
    std::vector<int> after;
    // The tasks write checkpoints and can resume from them.
    bool checkpoints = false;
    // The tasks start and end together and share their checkpoints.
    bool gang = false;
    // The tasks take several times as long unless they share one rack.
    bool same_rack = false;
    // Label that a backend server must have; empty: any server.
    std::string label;
    // Rack that holds the input data; a task takes several times as long
    // elsewhere.
    std::string data_rack;
    // Limit of tasks of this step per backend server; 0: no limit.
    int max_per_server = 0;
    // The scheduler may run copies of a task in parallel.
    bool speculative = false;
    // The tasks run until the job is cancelled.
    bool long_running = false;
    std::string image;
    // Tail latency that a long-running task must not exceed.
    milliseconds target_latency{0};
    // The tasks use idle processors only; no processors are reserved for them.
    bool best_effort = false;
    // Limit of long-running tasks that the scheduler may stop at the same time.
    int max_unavailable = 0;
};

// Limit of the repetitions of a job.
constexpr int max_repetitions = 10000;

// A job as the customer submits it.
struct step_job_spec
{
    std::string payload;
    std::vector<step_spec> steps;
    // A recurring job runs all steps this many times; 0: runs once,
    // immediately.
    int repetitions = 0;
    // When the first repetition is due; each later one is due `interval` after
    // the previous one.
    std::int64_t first_due_unix_ms = 0;
    milliseconds interval{0};
};

// Scheduling policy of a queue.
struct queue_policy
{
    // 0 is the highest priority and may preempt all others.
    int priority = 0;
    // The job fails after this many failed runs of one task or gang.
    int max_attempts = 1;
    // Latency objective: `stretch` x critical path + `latency_slack`.
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

// The functions below are thread safe.

std::string_view name_of(step_job_state state);
std::optional<step_job_state> step_job_state_of(std::string_view name);
bool is_final(step_job_state state);

// Identifies one task of one repetition of a job.
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

// Formats and parses "job.repetition.step.index".
std::string text_of(const task_name& task);
std::optional<task_name> parse_task_name(std::string_view text);

// Length of the longest chain of dependent steps, in estimated run time.
milliseconds critical_path(const step_job_spec& spec);

// Checks sizes and dependencies. If the job is invalid, returns false and fills
// `why` with `bad_request` and the first error.
bool check(const step_job_spec& spec, failure& why);

} // namespace poplarramp

#endif
