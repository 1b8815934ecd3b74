#include "inner/message_codec.hpp"

#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <string_view>

namespace poplarramp
{

namespace
{

Json::Value to_json(std::uint64_t value)
{
    return {static_cast<Json::UInt64>(value)};
}

template <class Item>
Json::Value list_to_json(const std::vector<Item>& items)
{
    Json::Value json(Json::arrayValue);
    for (const auto& item : items)
    {
        json.append(to_json(item));
    }
    return json;
}

void read_row(json_reader& reader, server_row& row)
{
    reader.read("id", row.id)
        .read("rack", row.rack)
        .read("zone", row.zone)
        .read("state", row.state)
        .read("accelerators", row.accelerators)
        .read("used_accelerators", row.used_accelerators)
        .read("used_slots", row.used_slots)
        .read("epoch", row.epoch);
}

void read_row(json_reader& reader, customer_row& row)
{
    reader.read("customer", row.customer)
        .read("zone", row.zone)
        .read("guaranteed", row.guaranteed)
        .read("in_guarantee", row.in_guarantee)
        .read("borrowed", row.borrowed)
        .read("queued", row.queued)
        .read("reclaimable", row.reclaimable);
}

void read_row(json_reader& reader, job_row& row)
{
    reader.read("customer", row.customer)
        .read("key", row.key)
        .read("kind", row.kind)
        .read("zone", row.zone)
        .read("state", row.state)
        .read("accelerators", row.accelerators)
        .read("servers", row.servers)
        .read("explanation", row.explanation);
}

void read_row(json_reader& reader, provisional_closing& closing)
{
    reader.read("zone", closing.zone)
        .read("changed_by", closing.changed_by)
        .read("base_version", closing.base_version)
        .read("pending", closing.pending);
}

template <class Row>
void read_rows(json_reader& reader, const char* name, std::vector<Row>& rows)
{
    reader.read_each(name,
                     [&rows](json_reader& item)
                     { read_row(item, rows.emplace_back()); });
}

// Rejects an empty value of a mandatory member.
bool require(const std::string& value, std::string_view name, failure& why)
{
    if (!why && value.empty())
    {
        why = {result_code::bad_request, std::string(name) + " is empty"};
    }
    return !why;
}

} // namespace

Json::Value to_json(const server_row& row)
{
    Json::Value json;
    json["id"] = row.id;
    json["rack"] = row.rack;
    json["zone"] = row.zone;
    json["state"] = row.state;
    json["accelerators"] = row.accelerators;
    json["used_accelerators"] = row.used_accelerators;
    json["used_slots"] = row.used_slots;
    json["epoch"] = to_json(row.epoch);
    return json;
}

Json::Value to_json(const customer_row& row)
{
    Json::Value json;
    json["customer"] = row.customer;
    json["zone"] = row.zone;
    json["guaranteed"] = row.guaranteed;
    json["in_guarantee"] = row.in_guarantee;
    json["borrowed"] = row.borrowed;
    json["queued"] = row.queued;
    json["reclaimable"] = row.reclaimable;
    return json;
}

Json::Value to_json(const job_row& row)
{
    Json::Value json;
    json["customer"] = row.customer;
    json["key"] = row.key;
    json["kind"] = row.kind;
    json["zone"] = row.zone;
    json["state"] = row.state;
    json["accelerators"] = row.accelerators;
    json["servers"] = row.servers;
    json["explanation"] = row.explanation;
    return json;
}

void write_failure(Json::Value& json, const failure& error)
{
    json["code"] = static_cast<int>(error.code);
    json["reason"] = error.reason;
}

bool read_failure(const Json::Value& json, failure& error, failure& why)
{
    int number = 0;
    json_reader reader(json, "", why);
    reader.read("code", number).read("reason", error.reason);
    const auto code = static_cast<result_code>(number);
    const bool known = static_cast<int>(code_of(name_of(code))) == number;
    error.code = known ? code : result_code::internal_error;
    return reader.good();
}

Json::Value to_json(const provisional_closing& closing)
{
    Json::Value json;
    json["zone"] = closing.zone;
    json["changed_by"] = closing.changed_by;
    json["base_version"] = to_json(closing.base_version);
    json["pending"] = closing.pending;
    return json;
}

Json::Value to_json(const heartbeat& message)
{
    Json::Value json;
    json["vm"] = message.vm;
    json["incarnation"] = message.incarnation;
    json["zone"] = message.zone;
    json["address"] = message.address;
    json["sequence"] = to_json(message.sequence);
    json["leaving"] = message.leaving;
    json["config_version"] = to_json(message.config_version);
    json["closings"] = list_to_json(message.closings);
    json["scheduler"] = message.scheduler;
    json["scheduler_address"] = message.scheduler_address;
    return json;
}

Json::Value to_json(const job_status_reply& reply)
{
    Json::Value json;
    write_failure(json, reply.error);
    json["outcome"] = to_json(reply.outcome);
    json["explanation"] = reply.explanation;
    return json;
}

Json::Value to_json(const zone_status& status)
{
    Json::Value json;
    write_failure(json, status.error);
    json["zone"] = status.zone;
    json["scheduler"] = status.scheduler;
    json["open"] = status.open;
    json["free_accelerators"] = status.free_accelerators;
    json["largest_open_shape"] = status.largest_open_shape;
    json["servers"] = list_to_json(status.servers);
    json["customers"] = list_to_json(status.customers);
    json["jobs"] = list_to_json(status.jobs);
    return json;
}

std::optional<provisional_closing>
provisional_closing_from_json(const Json::Value& json, failure& why)
{
    provisional_closing closing;
    json_reader reader(json, "", why);
    read_row(reader, closing);
    if (!require(closing.zone, "zone", why))
    {
        return std::nullopt;
    }
    return closing;
}

std::optional<heartbeat> heartbeat_from_json(const Json::Value& json,
                                             failure& why)
{
    heartbeat message;
    json_reader reader(json, "", why);
    reader.read("vm", message.vm)
        .read("incarnation", message.incarnation)
        .read("zone", message.zone)
        .read("address", message.address)
        .read("sequence", message.sequence)
        .read("leaving", message.leaving)
        .read("config_version", message.config_version)
        .read("scheduler", message.scheduler)
        .read("scheduler_address", message.scheduler_address);
    read_rows(reader, "closings", message.closings);
    if (!require(message.vm, "vm", why) ||
        !require(message.incarnation, "incarnation", why))
    {
        return std::nullopt;
    }
    return message;
}

std::optional<job_status_reply>
job_status_reply_from_json(const Json::Value& json, failure& why)
{
    job_status_reply reply;
    if (!read_failure(json, reply.error, why))
    {
        return std::nullopt;
    }
    json_reader reader(json, "", why);
    reader.read("explanation", reply.explanation);
    if (reader.good() && json.isMember("outcome"))
    {
        const auto outcome = job_outcome_from_json(json["outcome"], why);
        reply.outcome = outcome.value_or(job_outcome{});
    }
    return why ? std::nullopt : std::optional(reply);
}

std::optional<zone_status> zone_status_from_json(const Json::Value& json,
                                                 failure& why)
{
    zone_status status;
    if (!read_failure(json, status.error, why))
    {
        return std::nullopt;
    }
    json_reader reader(json, "", why);
    reader.read("zone", status.zone)
        .read("scheduler", status.scheduler)
        .read("open", status.open)
        .read("free_accelerators", status.free_accelerators)
        .read("largest_open_shape", status.largest_open_shape);
    read_rows(reader, "servers", status.servers);
    read_rows(reader, "customers", status.customers);
    read_rows(reader, "jobs", status.jobs);
    return why ? std::nullopt : std::optional(status);
}

} // namespace poplarramp
