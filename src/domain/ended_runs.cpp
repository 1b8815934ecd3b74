#include "domain/ended_runs.hpp"

#include "model/codec.hpp"

#include <charconv>
#include <optional>
#include <string_view>

namespace poplarramp
{

namespace
{

// Elements of a stored task, as `job_progress` writes them.
constexpr Json::ArrayIndex index_element = 0;
constexpr Json::ArrayIndex attempt_element = 1;
constexpr Json::ArrayIndex server_element = 3;
constexpr Json::ArrayIndex incarnation_element = 4;

std::optional<int> number_in(std::string_view text)
{
    int number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end && number >= 0
               ? std::optional(number)
               : std::nullopt;
}

bool is_placed_task(const Json::Value& fields)
{
    return fields.isArray() && fields.size() > incarnation_element &&
           fields[index_element].isInt() && fields[attempt_element].isInt() &&
           fields[server_element].isString() &&
           !fields[server_element].asString().empty() &&
           fields[incarnation_element].isInt64();
}

} // namespace

std::vector<std::pair<run_id, server_incarnation>>
runs_in_row(const std::string& job, const std::string& progress_row)
{
    std::vector<std::pair<run_id, server_incarnation>> result;
    failure why;
    const auto json = parse_json(progress_row, why);
    if (!json || !json->isObject() || !(*json)["open"].isObject())
    {
        return result;
    }
    const auto& open = (*json)["open"];
    for (const auto& key : open.getMemberNames())
    {
        const auto repetition = number_in(key);
        if (!repetition || !open[key].isArray())
        {
            continue;
        }
        int number = 0;
        for (const auto& step : open[key])
        {
            const task_name name{job, *repetition, number++, 0};
            if (!step.isObject() || !step["tasks"].isArray())
            {
                continue;
            }
            for (const auto& fields : step["tasks"])
            {
                if (!is_placed_task(fields))
                {
                    continue;
                }
                run_id run{name, fields[attempt_element].asInt()};
                run.task.index = fields[index_element].asInt();
                result.emplace_back(
                    run,
                    server_incarnation{fields[server_element].asString(),
                                       fields[incarnation_element].asInt64()});
            }
        }
    }
    return result;
}

} // namespace poplarramp
