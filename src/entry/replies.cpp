#include "entry/replies.hpp"

#include "model/codec.hpp"

namespace poplarramp
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_accepted = 202;

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

Json::Value incomplete(std::span<const zone_status> zones)
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

// One list over all availability zones; `rows_of` is a member of zone_status.
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
    body["incomplete"] = incomplete(zones);
    return make_reply({}, std::move(body));
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

int http_status(result_code code)
{
    switch (code)
    {
    case result_code::ok:
    case result_code::job_failed:
    case result_code::cancelled:
    case result_code::outcome_unknown:
        return http_ok;
    case result_code::pending:
        return http_accepted;
    case result_code::bad_request:
    case result_code::bad_settings:
    case result_code::bad_sheet:
    case result_code::unknown_customer:
    case result_code::unknown_kind:
    case result_code::unknown_zone:
        return 400;
    case result_code::unauthorized:
        return 401;
    case result_code::not_found:
    case result_code::unknown_task:
        return 404;
    case result_code::method_not_allowed:
        return 405;
    case result_code::key_reused:
    case result_code::conflict:
    case result_code::stale_epoch:
    case result_code::lease_held:
    case result_code::wrong_state:
        return 409;
    case result_code::body_too_large:
        return 413;
    case result_code::never_fits:
        return 422;
    case result_code::queue_full:
        return 429;
    case result_code::internal_error:
        return 500;
    case result_code::unreachable:
        return 502;
    case result_code::shed:
    case result_code::store_unavailable:
    case result_code::zone_closed:
    case result_code::vm_stopping:
    case result_code::retries_exhausted:
    case result_code::server_full:
    case result_code::circuit_open:
        return 503;
    case result_code::timeout:
    case result_code::answer_lost:
        return 504;
    }
    return 500;
}

result_code code_of_job(const job& item)
{
    return is_final(item.outcome.state) ? item.outcome.code
                                        : result_code::pending;
}

http_response make_reply(const failure& result, Json::Value body)
{
    body["code"] = static_cast<int>(result.code);
    body["result"] = std::string(name_of(result.code));
    if (!result.reason.empty())
    {
        body["reason"] = result.reason;
    }
    http_response response;
    response.status = http_status(result.code);
    response.body = json_text(body);
    return response;
}

http_response job_response(const job_reply& reply, const clock_mapping& clock)
{
    if (reply.error)
    {
        return make_reply(reply.error);
    }
    const auto code = code_of_job(reply.item);
    Json::Value body;
    body["job"] = job_json(reply, clock);
    auto response =
        make_reply({code, reply.item.outcome.reason}, std::move(body));
    response.status = code == result_code::pending ? http_accepted : http_ok;
    return response;
}

http_response change_response(const change_reply& reply)
{
    Json::Value body;
    body["version"] = to_json(reply.version);
    body["confirmed"] = to_json(reply.confirmed);
    body["unconfirmed"] = to_json(reply.unconfirmed);
    return make_reply(reply.error, std::move(body));
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
    body["incomplete"] = incomplete(zones);
    return make_reply({}, std::move(body));
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
    return make_reply({}, std::move(body));
}

} // namespace poplarramp
