// JSON encoding of the sheet and the configuration.
#include "model/codec.hpp"

#include "model/json_reader.hpp"

namespace poplarramp
{

namespace
{

Json::Value to_json(const rack_spec& rack)
{
    Json::Value json;
    json["name"] = rack.name;
    json["servers"] = rack.servers;
    json["accelerators_per_server"] = rack.accelerators_per_server;
    return json;
}

template <class Item>
Json::Value list_to_json(const std::vector<Item>& items);

Json::Value to_json(const availability_zone& zone)
{
    Json::Value json;
    json["name"] = zone.name;
    json["region"] = zone.region;
    json["racks"] = list_to_json(zone.racks);
    return json;
}

Json::Value to_json(const customer& item)
{
    Json::Value json;
    json["name"] = item.name;
    json["quota_accelerators"] = item.quota_accelerators;
    json["queue_limit"] = item.queue_limit;
    return json;
}

Json::Value to_json(const guarantee& item)
{
    Json::Value json;
    json["customer"] = item.customer;
    json["zone"] = item.zone;
    json["shape"] = item.shape;
    json["count"] = item.count;
    return json;
}

Json::Value to_json(const job_kind& kind)
{
    Json::Value json;
    json["name"] = kind.name;
    json["urgency"] = std::string(name_of(kind.urgency_class));
    json["idempotent"] = kind.idempotent;
    json["can_checkpoint"] = kind.can_checkpoint;
    json["can_stop"] = kind.can_stop;
    json["zones"] = Json::Value(Json::arrayValue);
    for (const auto& zone : kind.zones)
    {
        json["zones"].append(zone);
    }
    json["expected_run_ms"] =
        static_cast<Json::Int64>(kind.expected_run.count());
    json["checkpoint_time_ms"] =
        static_cast<Json::Int64>(kind.checkpoint_time.count());
    json["objective_within_ms"] =
        static_cast<Json::Int64>(kind.objective_within.count());
    json["objective_share"] = kind.objective_share;
    return json;
}

Json::Value to_json(const expected_work& work)
{
    Json::Value json;
    json["customer"] = work.customer;
    json["kind"] = work.kind;
    json["accelerators"] = work.accelerators;
    json["jobs_per_hour"] = work.jobs_per_hour;
    return json;
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

void read_zone(json_reader& reader, availability_zone& zone)
{
    reader.read("name", zone.name)
        .read("region", zone.region)
        .read_each("racks",
                   [&zone](json_reader& item)
                   {
                       auto& rack = zone.racks.emplace_back();
                       item.read("name", rack.name)
                           .read("servers", rack.servers)
                           .read("accelerators_per_server",
                                 rack.accelerators_per_server);
                   });
}

void read_customer(json_reader& reader, customer& item)
{
    reader.read("name", item.name)
        .read("quota_accelerators", item.quota_accelerators)
        .read("queue_limit", item.queue_limit);
}

void read_guarantee(json_reader& reader, guarantee& item)
{
    reader.read("customer", item.customer)
        .read("zone", item.zone)
        .read("shape", item.shape)
        .read("count", item.count);
}

void read_kind(json_reader& reader, job_kind& kind)
{
    reader.read("name", kind.name)
        .read_named("urgency", kind.urgency_class, urgency_of)
        .read("idempotent", kind.idempotent)
        .read("can_checkpoint", kind.can_checkpoint)
        .read("can_stop", kind.can_stop)
        .read("zones", kind.zones)
        .read("expected_run_ms", kind.expected_run)
        .read("checkpoint_time_ms", kind.checkpoint_time)
        .read("objective_within_ms", kind.objective_within)
        .read("objective_share", kind.objective_share);
}

void read_expected(json_reader& reader, expected_work& work)
{
    reader.read("customer", work.customer)
        .read("kind", work.kind)
        .read("accelerators", work.accelerators)
        .read("jobs_per_hour", work.jobs_per_hour);
}

template <class Item>
void read_list(json_reader& reader,
               const char* name,
               std::vector<Item>& items,
               void (*read)(json_reader&, Item&))
{
    reader.read_each(name,
                     [&items, read](json_reader& item)
                     { read(item, items.emplace_back()); });
}

void read_sheet(json_reader& reader, capacity_sheet& sheet)
{
    read_list(reader, "zones", sheet.zones, read_zone);
    read_list(reader, "customers", sheet.customers, read_customer);
    read_list(reader, "guarantees", sheet.guarantees, read_guarantee);
    read_list(reader, "kinds", sheet.kinds, read_kind);
    read_list(reader, "expected", sheet.expected, read_expected);
}

void read_zone_states(json_reader& reader, configuration& config)
{
    for (const auto& name : reader.json().getMemberNames())
    {
        reader.read_name(name.c_str(),
                         [&](std::string_view state)
                         {
                             config.zones[name] = state == "out"
                                                      ? zone_state::out
                                                      : zone_state::open;
                             return state == "out" || state == "open";
                         });
    }
}

} // namespace

Json::Value to_json(const capacity_sheet& sheet)
{
    Json::Value json;
    json["zones"] = list_to_json(sheet.zones);
    json["customers"] = list_to_json(sheet.customers);
    json["guarantees"] = list_to_json(sheet.guarantees);
    json["kinds"] = list_to_json(sheet.kinds);
    json["expected"] = list_to_json(sheet.expected);
    return json;
}

Json::Value to_json(const configuration& config)
{
    Json::Value json;
    json["version"] = static_cast<Json::UInt64>(config.version);
    json["changed_by"] = config.changed_by;
    json["sheet"] = to_json(config.sheet);
    json["zones"] = Json::Value(Json::objectValue);
    for (const auto& [zone, state] : config.zones)
    {
        json["zones"][zone] = state == zone_state::out ? "out" : "open";
    }
    return json;
}

std::optional<capacity_sheet> sheet_from_json(const Json::Value& json,
                                              failure& why)
{
    why = {};
    capacity_sheet sheet;
    json_reader reader(json, "", why);
    read_sheet(reader, sheet);
    return why ? std::nullopt : std::optional(sheet);
}

std::optional<configuration> configuration_from_json(const Json::Value& json,
                                                     failure& why)
{
    why = {};
    configuration config;
    json_reader reader(json, "", why);
    reader.read("version", config.version)
        .read("changed_by", config.changed_by)
        .read_object("sheet",
                     [&config](json_reader& item)
                     { read_sheet(item, config.sheet); })
        .read_object("zones",
                     [&config](json_reader& item)
                     { read_zone_states(item, config); });
    return why ? std::nullopt : std::optional(config);
}

} // namespace poplarramp
