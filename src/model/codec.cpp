#include "model/codec.hpp"

#include "model/json_reader.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace poplarramp
{

namespace
{

// More than any message needs. With JsonCpp's default of 1000 a malicious body
// could exhaust the stack.
constexpr int max_nesting = 32;

Json::Value to_json(milliseconds value)
{
    return {static_cast<Json::Int64>(value.count())};
}

Json::Value to_json(std::uint64_t value)
{
    return {static_cast<Json::UInt64>(value)};
}

Json::Value to_json(const attempt_record& attempt)
{
    Json::Value json;
    json["number"] = attempt.number;
    json["server"] = attempt.server;
    json["incarnation"] = attempt.incarnation;
    json["epoch"] = to_json(attempt.epoch);
    json["note"] = attempt.note;
    return json;
}

// Members that `task_status` and `task_event` share.
template <class Item>
void write_task_result(Json::Value& json, const Item& item)
{
    json["state"] = std::string(name_of(item.state));
    json["checkpoint"] = item.checkpoint;
    json["reason"] = item.reason;
    json["answer"] = item.answer;
    json["answer_object"] = item.answer_object;
}

template <class Item>
void read_task_result(json_reader& reader, Item& item)
{
    reader
        .read_name("state",
                   [&item](std::string_view name)
                   {
                       item.state = task_state_of(name);
                       return name_of(item.state) == name;
                   })
        .read("checkpoint", item.checkpoint)
        .read("reason", item.reason)
        .read("answer", item.answer)
        .read("answer_object", item.answer_object);
}

void read_request(json_reader& reader,
                  job_request& request,
                  const clock_mapping& clock)
{
    reader.read("customer", request.customer)
        .read("key", request.key)
        .read("kind", request.kind)
        .read("accelerators", request.accelerators)
        .read("payload", request.payload)
        .read("deadline", request.deadline, clock);
}

void read_outcome(json_reader& reader, job_outcome& outcome)
{
    reader
        .read_name("state",
                   [&outcome](std::string_view name)
                   {
                       outcome.state = job_state_of(name);
                       return name_of(outcome.state) == name;
                   })
        .read_name("result",
                   [&outcome](std::string_view name)
                   {
                       outcome.code = code_of(name);
                       return name_of(outcome.code) == name;
                   })
        .read("reason", outcome.reason)
        .read("answer", outcome.answer)
        .read("answer_object", outcome.answer_object);
}

void read_attempt(json_reader& reader, attempt_record& attempt)
{
    reader.read("number", attempt.number)
        .read("server", attempt.server)
        .read("incarnation", attempt.incarnation)
        .read("epoch", attempt.epoch)
        .read("note", attempt.note);
}

void read_job(json_reader& reader, job& item, const clock_mapping& clock)
{
    reader.read_object("request",
                       [&](json_reader& request)
                       { read_request(request, item.request, clock); });
    reader.read_named("urgency", item.urgency_class, urgency_of)
        .read("idempotent", item.idempotent)
        .read("can_checkpoint", item.can_checkpoint)
        .read("can_stop", item.can_stop)
        .read("expected_run_ms", item.expected_run)
        .read("checkpoint_time_ms", item.checkpoint_time)
        .read("zone", item.zone)
        .read("origin_vm", item.origin_vm)
        .read("token", item.token)
        .read("durable", item.durable)
        .read("accepted", item.accepted, clock)
        .read_each("attempts",
                   [&item](json_reader& attempt)
                   { read_attempt(attempt, item.attempts.emplace_back()); })
        .read_object("outcome",
                     [&item](json_reader& outcome)
                     { read_outcome(outcome, item.outcome); });
}

void read_task(json_reader& reader, task& item, const clock_mapping& clock)
{
    reader.read("id", item.id)
        .read("attempt", item.attempt)
        .read("member", item.member)
        .read("members", item.members)
        .read("accelerators", item.accelerators)
        .read_object("job",
                     [&](json_reader& nested)
                     { read_job(nested, item.parent_job, clock); });
}

// Decodes a document with the reader function `read`.
template <class Item, class Read>
std::optional<Item>
decode(const Json::Value& json, failure& why, const Read& read)
{
    why = {};
    Item item;
    json_reader reader(json, "", why);
    if (reader.good())
    {
        read(reader, item);
    }
    if (why)
    {
        return std::nullopt;
    }
    return item;
}

} // namespace

Json::Value to_json(const job_request& request, const clock_mapping& clock)
{
    Json::Value json;
    json["customer"] = request.customer;
    json["key"] = request.key;
    json["kind"] = request.kind;
    json["accelerators"] = request.accelerators;
    json["payload"] = request.payload;
    json["deadline"] =
        static_cast<Json::Int64>(clock.to_unix(request.deadline));
    return json;
}

Json::Value to_json(const job_outcome& outcome)
{
    Json::Value json;
    json["state"] = std::string(name_of(outcome.state));
    json["result"] = std::string(name_of(outcome.code));
    json["reason"] = outcome.reason;
    json["answer"] = outcome.answer;
    json["answer_object"] = outcome.answer_object;
    return json;
}

Json::Value to_json(const job& item, const clock_mapping& clock)
{
    Json::Value json;
    json["request"] = to_json(item.request, clock);
    json["urgency"] = std::string(name_of(item.urgency_class));
    json["idempotent"] = item.idempotent;
    json["can_checkpoint"] = item.can_checkpoint;
    json["can_stop"] = item.can_stop;
    json["expected_run_ms"] = to_json(item.expected_run);
    json["checkpoint_time_ms"] = to_json(item.checkpoint_time);
    json["zone"] = item.zone;
    json["origin_vm"] = item.origin_vm;
    json["token"] = item.token;
    json["durable"] = item.durable;
    json["accepted"] = static_cast<Json::Int64>(clock.to_unix(item.accepted));
    json["attempts"] = Json::Value(Json::arrayValue);
    for (const auto& attempt : item.attempts)
    {
        json["attempts"].append(to_json(attempt));
    }
    json["outcome"] = to_json(item.outcome);
    return json;
}

Json::Value to_json(const task& item, const clock_mapping& clock)
{
    Json::Value json;
    json["id"] = item.id;
    json["attempt"] = item.attempt;
    json["member"] = item.member;
    json["members"] = item.members;
    json["accelerators"] = item.accelerators;
    json["job"] = to_json(item.parent_job, clock);
    return json;
}

Json::Value to_json(const task_status& status, const clock_mapping& clock)
{
    Json::Value json;
    json["task"] = to_json(status.item, clock);
    write_task_result(json, status);
    return json;
}

Json::Value to_json(const task_event& event)
{
    Json::Value json;
    json["sequence"] = to_json(event.sequence);
    json["task_id"] = event.task_id;
    write_task_result(json, event);
    return json;
}

std::optional<job_request> job_request_from_json(const Json::Value& json,
                                                 const clock_mapping& clock,
                                                 failure& why)
{
    return decode<job_request>(json,
                               why,
                               [&clock](json_reader& reader, job_request& item)
                               { read_request(reader, item, clock); });
}

std::optional<job_outcome> job_outcome_from_json(const Json::Value& json,
                                                 failure& why)
{
    return decode<job_outcome>(json, why, read_outcome);
}

std::optional<job>
job_from_json(const Json::Value& json, const clock_mapping& clock, failure& why)
{
    return decode<job>(json,
                       why,
                       [&clock](json_reader& reader, job& item)
                       { read_job(reader, item, clock); });
}

std::optional<task> task_from_json(const Json::Value& json,
                                   const clock_mapping& clock,
                                   failure& why)
{
    return decode<task>(json,
                        why,
                        [&clock](json_reader& reader, task& item)
                        { read_task(reader, item, clock); });
}

std::optional<task_status> task_status_from_json(const Json::Value& json,
                                                 const clock_mapping& clock,
                                                 failure& why)
{
    return decode<task_status>(
        json,
        why,
        [&clock](json_reader& reader, task_status& status)
        {
            reader.read_object("task",
                               [&](json_reader& item)
                               { read_task(item, status.item, clock); });
            read_task_result(reader, status);
        });
}

std::optional<task_event> task_event_from_json(const Json::Value& json,
                                               failure& why)
{
    return decode<task_event>(json,
                              why,
                              [](json_reader& reader, task_event& event)
                              {
                                  reader.read("sequence", event.sequence)
                                      .read("task_id", event.task_id);
                                  read_task_result(reader, event);
                              });
}

std::string json_text(const Json::Value& json)
{
    static const Json::StreamWriterBuilder builder = []
    {
        Json::StreamWriterBuilder result;
        result["indentation"] = "";
        result["emitUTF8"] = true;
        return result;
    }();
    return Json::writeString(builder, json);
}

std::optional<Json::Value> parse_json(std::string_view text, failure& why)
{
    static const Json::CharReaderBuilder builder = []
    {
        Json::CharReaderBuilder result;
        Json::CharReaderBuilder::strictMode(&result.settings_);
        result["stackLimit"] = max_nesting;
        // Strict mode rejects a scalar as the top-level value.
        result["strictRoot"] = false;
        return result;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    std::string errors;
    try
    {
        if (reader->parse(
                text.data(), text.data() + text.size(), &json, &errors))
        {
            return json;
        }
    }
    catch (const Json::Exception& error)
    {
        // JsonCpp throws if the nesting exceeds the stack limit.
        errors = error.what();
    }
    why = {result_code::bad_request, "not valid JSON: " + errors};
    return std::nullopt;
}

} // namespace poplarramp
