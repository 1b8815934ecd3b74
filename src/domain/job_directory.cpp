#include "domain/job_directory.hpp"

#include "base/log.hpp"
#include "model/codec.hpp"
#include "model/json_reader.hpp"
#include "model/step_job_codec.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr std::array<std::pair<job_row_kind, std::string_view>, 3> suffixes{{
    {job_row_kind::accepted, "/a"},
    {job_row_kind::cancelled, "/c"},
    {job_row_kind::state, "/s"},
}};

void clear_row(job_record& target, job_row_kind kind)
{
    switch (kind)
    {
    case job_row_kind::accepted:
        target.job.reset();
        break;
    case job_row_kind::cancelled:
        target.cancel_requested = false;
        break;
    case job_row_kind::state:
        target.state.reset();
        break;
    }
}

} // namespace

std::string job_row_key(std::string_view job, job_row_kind kind)
{
    auto key = job_rows_prefix + std::string(job);
    for (const auto& [value, suffix] : suffixes)
    {
        if (value == kind)
        {
            key += suffix;
        }
    }
    return key;
}

std::optional<job_row_name> parse_job_row_key(std::string_view key)
{
    if (!key.starts_with(job_rows_prefix))
    {
        return std::nullopt;
    }
    key.remove_prefix(job_rows_prefix.size());
    for (const auto& [kind, suffix] : suffixes)
    {
        if (key.ends_with(suffix) && key.size() > suffix.size())
        {
            key.remove_suffix(suffix.size());
            return job_row_name{std::string(key), kind};
        }
    }
    return std::nullopt;
}

std::string to_text(const job_state_row& row)
{
    Json::Value json;
    json["state"] = std::string(name_of(row.state));
    json["since"] = static_cast<Json::Int64>(row.since_unix_ms);
    return json_text(json);
}

std::optional<job_state_row> parse_job_state(std::string_view text)
{
    failure why;
    const auto json = parse_json(text, why);
    if (!json)
    {
        return std::nullopt;
    }
    job_state_row row;
    json_reader(*json, "", why)
        .read_named("state", row.state, step_job_state_of)
        .read("since", row.since_unix_ms);
    return why ? std::nullopt : std::optional(row);
}

step_job_state job_record::reported_state() const
{
    const auto written = state ? state->state : step_job_state::queued;
    return cancel_requested && !is_final(written) ? step_job_state::cancelled
                                                  : written;
}

resources job_directory::largest_need(const step_job_spec& spec)
{
    resources result;
    for (const auto& step : spec.steps)
    {
        const auto& need = step.need;
        result = {std::max(result.cpu_millis, need.cpu_millis),
                  std::max(result.memory_mb, need.memory_mb),
                  std::max(result.accelerators, need.accelerators)};
    }
    return result;
}

void job_directory::load(const std::vector<table_row>& rows)
{
    jobs_.clear();
    for (const auto& row : rows)
    {
        apply({row, false});
    }
}

std::optional<std::string> job_directory::apply(const table_row_change& change)
{
    const auto name = parse_job_row_key(change.row.key);
    if (!name)
    {
        log_line(log_level::warning,
                 "jobs",
                 "The key of a job row is invalid.",
                 {{"key", change.row.key}});
        return std::nullopt;
    }
    auto& target = jobs_[name->job];
    if (change.removed)
    {
        clear_row(target, name->kind);
    }
    else if (!apply_value(target, name->kind, change.row.value))
    {
        log_line(log_level::error,
                 "jobs",
                 "A job row cannot be decoded.",
                 {{"job", name->job},
                  {"key", change.row.key},
                  {"version", std::to_string(change.row.version)}});
        return std::nullopt;
    }
    if (target.state && is_final(target.state->state) && target.job)
    {
        if (!target.job->spec.steps.empty())
        {
            target.largest_need = largest_need(target.job->spec);
        }
        target.job->spec = {};
    }
    if (!target.job && !target.cancel_requested && !target.state)
    {
        jobs_.erase(name->job);
    }
    return name->job;
}

bool job_directory::apply_value(job_record& target,
                                job_row_kind kind,
                                const std::string& value)
{
    if (kind == job_row_kind::cancelled)
    {
        target.cancel_requested = true;
        return true;
    }
    if (kind == job_row_kind::state)
    {
        const auto state = parse_job_state(value);
        target.state = state ? state : target.state;
        return state.has_value();
    }
    failure why;
    const auto json = parse_json(value, why);
    auto job = json ? step_job_from_json(*json, why) : std::nullopt;
    target.job = job ? std::move(job) : std::move(target.job);
    return !why;
}

const job_record* job_directory::find(const std::string& id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

std::size_t job_directory::pending(const std::string& queue) const
{
    return static_cast<std::size_t>(std::count_if(
        jobs_.begin(),
        jobs_.end(),
        [&queue](const auto& entry)
        {
            const auto& item = entry.second;
            return item.job && item.job->queue == queue &&
                   item.reported_state() == step_job_state::queued;
        }));
}

} // namespace poplarramp
