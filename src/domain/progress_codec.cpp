#include "domain/progress_codec.hpp"

#include "model/json_reader.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

// Elements of the JSON array that stores a task, in order. An empty server with
// incarnation 0 means that the task is not placed.
enum class task_element : Json::ArrayIndex
{
    index,
    attempt,
    failures,
    server,
    incarnation,
    checkpoint,
    // Not stored.
    field_count,
};

const Json::Value& element(const Json::Value& fields, task_element position)
{
    return fields[static_cast<Json::ArrayIndex>(position)];
}

Json::Value task_to_json(int index, const task_progress& task)
{
    Json::Value fields(Json::arrayValue);
    fields.append(index);
    fields.append(task.attempt);
    fields.append(task.failures.count());
    fields.append(task.server ? task.server->id : "");
    fields.append(
        static_cast<Json::Int64>(task.server ? task.server->incarnation : 0));
    fields.append(task.checkpoint);
    return fields;
}

bool is_stored_task(const Json::Value& fields, std::size_t task_count)
{
    return fields.isArray() &&
           fields.size() ==
               static_cast<Json::ArrayIndex>(task_element::field_count) &&
           element(fields, task_element::index).isUInt() &&
           element(fields, task_element::index).asUInt() < task_count &&
           element(fields, task_element::attempt).isInt() &&
           element(fields, task_element::failures).isInt() &&
           element(fields, task_element::server).isString() &&
           element(fields, task_element::incarnation).isInt64() &&
           element(fields, task_element::checkpoint).isString();
}

// Elements of the JSON array that stores a loss, in order.
enum class loss_element : Json::ArrayIndex
{
    task,
    server,
    incarnation,
    role,
    alone,
    // Not stored.
    field_count,
};

const Json::Value& element(const Json::Value& fields, loss_element position)
{
    return fields[static_cast<Json::ArrayIndex>(position)];
}

Json::Value loss_to_json(int task, const server_loss& loss)
{
    Json::Value fields(Json::arrayValue);
    fields.append(task);
    fields.append(loss.server.id);
    fields.append(static_cast<Json::Int64>(loss.server.incarnation));
    fields.append(static_cast<int>(loss.role));
    fields.append(loss.alone);
    return fields;
}

// `last` is the value with the highest number; the lowest is 0.
template <class Enum>
bool is_stored_enum(const Json::Value& number, Enum last)
{
    return number.isInt() && number.asInt() >= 0 &&
           number.asInt() <= static_cast<int>(last);
}

bool is_stored_loss(const Json::Value& fields, std::size_t task_count)
{
    return fields.isArray() &&
           fields.size() ==
               static_cast<Json::ArrayIndex>(loss_element::field_count) &&
           element(fields, loss_element::task).isUInt() &&
           element(fields, loss_element::task).asUInt() < task_count &&
           element(fields, loss_element::server).isString() &&
           element(fields, loss_element::incarnation).isInt64() &&
           is_stored_enum(element(fields, loss_element::role),
                          loss_role::at_start) &&
           element(fields, loss_element::alone).isBool();
}

// A row [task, use] for each run that keeps others off its server.
bool is_stored_use(const Json::Value& fields, std::size_t task_count)
{
    return fields.isArray() && fields.size() == 2 && fields[0].isUInt() &&
           fields[0].asUInt() < task_count &&
           is_stored_enum(fields[1], server_use::exclusive);
}

Json::Value numbers_to_json(std::span<const int> numbers)
{
    Json::Value json(Json::arrayValue);
    for (const int number : numbers)
    {
        json.append(number);
    }
    return json;
}

// Restores the failures of a task or gang. The row of an earlier program has
// their number only: all attempts up to `newest`, which has ended, then count
// as looked at. Returns nothing if the numbers cannot be decoded.
std::optional<failed_attempts>
read_failures(int count, int newest, const Json::Value& json)
{
    std::vector<int> named;
    for (const auto& number : json)
    {
        if (!number.isInt() || number.asInt() < 1 ||
            (!named.empty() && number.asInt() <= named.back()))
        {
            return std::nullopt;
        }
        named.push_back(number.asInt());
    }
    const int unnamed = count - static_cast<int>(named.size());
    if (unnamed < 0)
    {
        return std::nullopt;
    }
    const int unnamed_until = unnamed == 0    ? 0
                              : named.empty() ? newest
                                              : named.front() - 1;
    return failed_attempts(unnamed, unnamed_until, std::move(named));
}

// Elements of the JSON array that stores an end that is not listed, in order.
enum class end_element : Json::ArrayIndex
{
    task,
    attempt,
    server,
    incarnation,
    // Not stored.
    field_count,
};

const Json::Value& element(const Json::Value& fields, end_element position)
{
    return fields[static_cast<Json::ArrayIndex>(position)];
}

Json::Value end_to_json(const unlisted_end& end)
{
    Json::Value fields(Json::arrayValue);
    fields.append(end.task);
    fields.append(end.attempt);
    fields.append(end.server.id);
    fields.append(static_cast<Json::Int64>(end.server.incarnation));
    return fields;
}

bool is_stored_end(const Json::Value& fields, std::size_t task_count)
{
    return fields.isArray() &&
           fields.size() ==
               static_cast<Json::ArrayIndex>(end_element::field_count) &&
           element(fields, end_element::task).isUInt() &&
           element(fields, end_element::task).asUInt() < task_count &&
           element(fields, end_element::attempt).isInt() &&
           element(fields, end_element::server).isString() &&
           element(fields, end_element::incarnation).isInt64();
}

// A row [task, numbers] for each task with failures.
bool is_stored_failures(const Json::Value& fields, std::size_t task_count)
{
    return fields.isArray() && fields.size() == 2 && fields[0].isUInt() &&
           fields[0].asUInt() < task_count && fields[1].isArray();
}

// Done tasks are stored in a string with one character per task. The list of
// tasks leaves out these and the tasks without an attempt.
constexpr char done_mark = 'x';
constexpr char open_mark = '.';

bool read_gang_failures(const Json::Value& json, step_progress& step)
{
    failure why;
    int count = 0;
    int newest = 0;
    json_reader reader(json, "", why);
    reader.read("gang_failures", count).read("failed_attempt", newest);
    const auto failures = read_failures(count, newest, json["failed_attempts"]);
    if (!reader.good() || !failures)
    {
        return false;
    }
    step.gang_failures = *failures;
    for (const auto& fields : json["unlisted"])
    {
        if (!is_stored_end(fields, step.tasks.size()))
        {
            return false;
        }
        step.unlisted.add(
            {element(fields, end_element::task).asInt(),
             element(fields, end_element::attempt).asInt(),
             {element(fields, end_element::server).asString(),
              element(fields, end_element::incarnation).asInt64()}});
    }
    return true;
}

bool read_tasks(const Json::Value& json, step_progress& step)
{
    std::map<Json::ArrayIndex, Json::Value> failed;
    for (const auto& fields : json["failed_runs"])
    {
        if (!is_stored_failures(fields, step.tasks.size()))
        {
            return false;
        }
        failed[fields[0].asUInt()] = fields[1];
    }
    for (const auto& fields : json["tasks"])
    {
        if (!is_stored_task(fields, step.tasks.size()))
        {
            return false;
        }
        const auto index = element(fields, task_element::index).asUInt();
        auto& task = step.tasks[index];
        task.attempt = element(fields, task_element::attempt).asInt();
        task.checkpoint = element(fields, task_element::checkpoint).asString();
        const auto server = element(fields, task_element::server).asString();
        if (!server.empty())
        {
            task.server = server_incarnation{
                server, element(fields, task_element::incarnation).asInt64()};
        }
        const auto failures =
            read_failures(element(fields, task_element::failures).asInt(),
                          task.server ? task.attempt - 1 : task.attempt,
                          failed[index]);
        if (!failures)
        {
            return false;
        }
        task.failures = *failures;
    }
    return true;
}

bool read_losses(const Json::Value& json, step_progress& step)
{
    for (const auto& fields : json["losses"])
    {
        if (!is_stored_loss(fields, step.tasks.size()))
        {
            return false;
        }
        step.tasks[element(fields, loss_element::task).asUInt()].crashes.add(
            {{element(fields, loss_element::server).asString(),
              element(fields, loss_element::incarnation).asInt64()},
             static_cast<loss_role>(
                 element(fields, loss_element::role).asInt()),
             element(fields, loss_element::alone).asBool()});
    }
    return true;
}

bool read_uses(const Json::Value& json, step_progress& step)
{
    for (const auto& fields : json["uses"])
    {
        if (!is_stored_use(fields, step.tasks.size()))
        {
            return false;
        }
        step.tasks[fields[0].asUInt()].use =
            static_cast<server_use>(fields[1].asInt());
    }
    return true;
}

} // namespace

Json::Value to_json(const step_progress& step)
{
    Json::Value json(Json::objectValue);
    std::string done;
    bool any_done = false;
    for (std::size_t i = 0; i < step.tasks.size(); ++i)
    {
        const auto& task = step.tasks[i];
        done += task.done ? done_mark : open_mark;
        any_done = any_done || task.done;
        if (!task.done && task.attempt > 0)
        {
            const auto index = static_cast<int>(i);
            json["tasks"].append(task_to_json(index, task));
            if (!task.failures.named().empty())
            {
                Json::Value row(Json::arrayValue);
                row.append(index);
                row.append(numbers_to_json(task.failures.named()));
                json["failed_runs"].append(row);
            }
            for (const auto& loss : task.crashes.losses())
            {
                json["losses"].append(loss_to_json(index, loss));
            }
            if (task.server && task.use != server_use::shared)
            {
                Json::Value use(Json::arrayValue);
                use.append(index);
                use.append(static_cast<int>(task.use));
                json["uses"].append(use);
            }
        }
    }
    if (any_done)
    {
        json["done"] = done;
    }
    if (step.gang_failures.count() > 0)
    {
        // The number and the newest attempt are what earlier programs read.
        json["gang_failures"] = step.gang_failures.count();
        json["failed_attempt"] = step.gang_failures.newest();
        json["failed_attempts"] = numbers_to_json(step.gang_failures.named());
    }
    for (const auto& end : step.unlisted.all())
    {
        json["unlisted"].append(end_to_json(end));
    }
    return json;
}

bool has_losses(const Json::Value& json)
{
    return !json["losses"].empty();
}

bool read_step(const Json::Value& json, step_progress& step)
{
    failure why;
    std::string done;
    json_reader reader(json, "", why);
    reader.read("done", done);
    if (!reader.good() || (!done.empty() && done.size() != step.tasks.size()))
    {
        return false;
    }
    for (std::size_t i = 0; i < done.size(); ++i)
    {
        step.tasks[i].done = done[i] == done_mark;
    }
    return read_gang_failures(json, step) && read_tasks(json, step) &&
           read_losses(json, step) && read_uses(json, step);
}

} // namespace poplarramp
