#include "entry/replies.hpp"

#include "http/json_reply.hpp"
#include "inner/message_codec.hpp"
#include "model/codec.hpp"

namespace poplarramp
{

namespace
{

// Status of every reply about an ended job.
constexpr int http_ok = 200;

Json::Value to_json(std::uint64_t value)
{
    return {static_cast<Json::UInt64>(value)};
}

Json::Value to_json(const std::vector<std::string>& names)
{
    Json::Value json(Json::arrayValue);
    for (const auto& name : names)
    {
        json.append(name);
    }
    return json;
}

Json::Value job_json(const job_reply& reply, const clock_mapping& clock)
{
    const auto& item = reply.item;
    Json::Value json;
    json["customer"] = item.request.customer;
    json["key"] = item.request.key;
    json["kind"] = item.request.kind;
    json["accelerators"] = item.request.accelerators;
    json["zone"] = item.zone;
    json["state"] = std::string(name_of(item.outcome.state));
    json["durable"] = item.durable;
    json["accepted"] = static_cast<Json::Int64>(clock.to_unix(item.accepted));
    json["deadline"] =
        static_cast<Json::Int64>(clock.to_unix(item.request.deadline));
    json["answer"] = item.outcome.answer;
    json["answer_object"] = item.outcome.answer_object;
    json["explanation"] = reply.explanation;
    return json;
}

Json::Value to_json(const vm_row& row)
{
    Json::Value json;
    json["id"] = row.id;
    json["zone"] = row.zone;
    json["address"] = row.address;
    json["state"] = row.state;
    json["config_version"] = to_json(row.config_version);
    return json;
}

Json::Value incomplete_zones(std::span<const zone_status> zones)
{
    Json::Value json(Json::arrayValue);
    for (const auto& zone : zones)
    {
        if (!zone.error)
        {
            continue;
        }
        Json::Value row;
        row["zone"] = zone.zone;
        row["result"] = std::string(name_of(zone.error.code));
        row["reason"] = zone.error.reason;
        json.append(row);
    }
    return json;
}

// Concatenates the rows of all availability zones; `rows_of` selects the list.
template <class Row>
http_response list_response(std::span<const zone_status> zones,
                            const char* name,
                            std::vector<Row> zone_status::*rows_of)
{
    Json::Value body;
    body[name] = Json::Value(Json::arrayValue);
    for (const auto& zone : zones)
    {
        for (const auto& row : zone.*rows_of)
        {
            body[name].append(to_json(row));
        }
    }
    body["incomplete"] = incomplete_zones(zones);
    return json_response({}, std::move(body));
}

Json::Value zone_json(const zone_status& zone, const configuration& config)
{
    const auto configured = config.zones.find(zone.zone);
    const bool out = configured != config.zones.end() &&
                     configured->second == zone_state::out;
    Json::Value json;
    json["zone"] = zone.zone;
    json["configured"] = out ? "out" : "open";
    json["scheduler"] = zone.scheduler;
    if (zone.error)
    {
        json["state"] = std::string(name_of(zone.error.code));
        return json;
    }
    json["state"] = zone.open ? "open" : "closed";
    json["backend_servers"] = to_json(zone.servers.size());
    json["free_accelerators"] = zone.free_accelerators;
    json["largest_open_shape"] = zone.largest_open_shape;
    json["jobs"] = to_json(zone.jobs.size());
    return json;
}

} // namespace

failure result_of_job(const job_reply& reply)
{
    if (reply.error)
    {
        return reply.error;
    }
    const auto& outcome = reply.item.outcome;
    if (!is_final(outcome.state))
    {
        return {result_code::pending, "the job has not ended"};
    }
    return {outcome.code, outcome.reason};
}

http_response job_response(const job_reply& reply, const clock_mapping& clock)
{
    const auto result = result_of_job(reply);
    const bool known = !reply.item.request.key.empty();
    if (!known)
    {
        return json_response(result);
    }
    Json::Value body;
    body["job"] = job_json(reply, clock);
    auto response = json_response(result, std::move(body));
    if (is_final(reply.item.outcome.state))
    {
        response.status = http_ok;
    }
    return response;
}

http_response change_response(const change_reply& reply)
{
    Json::Value body;
    body["version"] = to_json(reply.version);
    body["confirmed"] = to_json(reply.confirmed);
    body["unconfirmed"] = to_json(reply.unconfirmed);
    return json_response(reply.error, std::move(body));
}

http_response zones_response(std::span<const zone_status> zones,
                             const configuration& config)
{
    Json::Value body;
    body["zones"] = Json::Value(Json::arrayValue);
    for (const auto& zone : zones)
    {
        body["zones"].append(zone_json(zone, config));
    }
    body["incomplete"] = incomplete_zones(zones);
    return json_response({}, std::move(body));
}

http_response servers_response(std::span<const zone_status> zones)
{
    return list_response(zones, "backend_servers", &zone_status::servers);
}

http_response customers_response(std::span<const zone_status> zones)
{
    return list_response(zones, "customers", &zone_status::customers);
}

http_response jobs_response(std::span<const zone_status> zones)
{
    return list_response(zones, "jobs", &zone_status::jobs);
}

http_response vms_response(std::span<const vm_row> vms)
{
    Json::Value body;
    body["vms"] = Json::Value(Json::arrayValue);
    for (const auto& row : vms)
    {
        body["vms"].append(to_json(row));
    }
    return json_response({}, std::move(body));
}

} // namespace poplarramp
