#include "model/step_job.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr double millis_per_core = 1000;

// Limits of a job, so that the progress of one repetition fits into one
// transaction of the table.
constexpr int max_tasks = 1000;
constexpr int max_steps = 64;
constexpr std::size_t max_payload_bytes = 16384;

constexpr std::array<std::pair<step_job_state, std::string_view>, 5>
    state_names{{
        {step_job_state::queued, "queued"},
        {step_job_state::running, "running"},
        {step_job_state::completed, "completed"},
        {step_job_state::failed, "failed"},
        {step_job_state::cancelled, "cancelled"},
    }};

// Removes the last dot and the number after it from `text`; returns the number.
std::optional<int> pop_number(std::string_view& text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
    {
        return std::nullopt;
    }
    int number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + dot + 1, end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end || number < 0)
    {
        return std::nullopt;
    }
    text = text.substr(0, dot);
    return number;
}

bool reject_step(failure& why, std::size_t step, std::string_view what)
{
    why = {result_code::bad_request,
           "step " + std::to_string(step) + ": " + std::string(what)};
    return false;
}

bool check_step(const step_job_spec& spec, std::size_t number, failure& why)
{
    const auto& step = spec.steps[number];
    if (step.tasks < 1 || step.tasks > max_tasks)
    {
        return reject_step(why, number, "number of tasks is out of range");
    }
    if (step.need.cpu_millis < 0 || step.need.memory_mb < 0 ||
        step.need.accelerators < 0 || step.estimate.count() < 0 ||
        step.max_per_server < 0 || step.max_unavailable < 0)
    {
        return reject_step(why, number, "a size is negative");
    }
    // A step may depend only on earlier ones, so that there is no cycle.
    const bool ordered = std::all_of(
        step.after.begin(),
        step.after.end(),
        [number](int earlier)
        { return earlier >= 0 && static_cast<std::size_t>(earlier) < number; });
    return ordered ||
           reject_step(why, number, "depends on a step that is not before it");
}

} // namespace

resources& resources::operator+=(const resources& other)
{
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other)
{
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

bool resources::covers(const resources& part) const
{
    return cpu_millis >= part.cpu_millis && memory_mb >= part.memory_mb &&
           accelerators >= part.accelerators;
}

int resources::count_fitting(const resources& part, int max_count) const
{
    // Most servers are full, and a comparison is cheaper than a division.
    if (!covers(part))
    {
        return 0;
    }
    std::int64_t count = max_count;
    const auto limit = [&count](std::int64_t available, std::int64_t needed)
    {
        if (needed > 0)
        {
            count = std::min(count, available / needed);
        }
    };
    limit(cpu_millis, part.cpu_millis);
    limit(memory_mb, part.memory_mb);
    limit(accelerators, part.accelerators);
    return static_cast<int>(std::max<std::int64_t>(count, 0));
}

double resources::equivalent_cores() const
{
    return static_cast<double>(cpu_millis) / millis_per_core +
           static_cast<double>(accelerators) * cores_per_accelerator;
}

std::string_view name_of(step_job_state state)
{
    for (const auto& [value, name] : state_names)
    {
        if (value == state)
        {
            return name;
        }
    }
    return "queued";
}

std::optional<step_job_state> step_job_state_of(std::string_view name)
{
    for (const auto& [value, text] : state_names)
    {
        if (text == name)
        {
            return value;
        }
    }
    return std::nullopt;
}

bool is_final(step_job_state state)
{
    return state != step_job_state::queued && state != step_job_state::running;
}

std::string text_of(const task_name& task)
{
    return task.job + "." + std::to_string(task.repetition) + "." +
           std::to_string(task.step) + "." + std::to_string(task.index);
}

std::optional<task_name> parse_task_name(std::string_view text)
{
    task_name task;
    const auto index = pop_number(text);
    const auto step = pop_number(text);
    const auto repetition = pop_number(text);
    if (!index || !step || !repetition || text.empty())
    {
        return std::nullopt;
    }
    return task_name{std::string(text), *repetition, *step, *index};
}

milliseconds critical_path(const step_job_spec& spec)
{
    std::vector<milliseconds> ends;
    milliseconds longest{0};
    for (const auto& step : spec.steps)
    {
        milliseconds start{0};
        for (const int earlier : step.after)
        {
            start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
        }
        ends.push_back(start + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

bool check(const step_job_spec& spec, failure& why)
{
    if (spec.steps.empty() || spec.steps.size() > max_steps)
    {
        why = {result_code::bad_request, "number of steps is out of range"};
        return false;
    }
    if (spec.payload.size() > max_payload_bytes)
    {
        why = {result_code::bad_request, "the payload is too long"};
        return false;
    }
    if (spec.repetitions < 0 || spec.repetitions > max_repetitions ||
        spec.interval.count() < 0)
    {
        why = {result_code::bad_request, "the repetitions are out of range"};
        return false;
    }
    int tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        if (!check_step(spec, i, why))
        {
            return false;
        }
        tasks += spec.steps[i].tasks;
    }
    if (tasks > max_tasks)
    {
        why = {result_code::bad_request, "the job has too many tasks"};
        return false;
    }
    return true;
}

} // namespace poplarramp
