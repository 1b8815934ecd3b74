#include "relay/relay_messages.hpp"

#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <json/value.h>

#include <utility>

namespace poplarramp
{

namespace
{

// Calls and results are arrays, because there are thousands a second.
enum class call_element : Json::ArrayIndex
{
    id,
    kind,
    address,
    server,
    task,
    attempt,
    checkpoint,
    lease_until,
    acknowledged_end,
    wait,
    time_left,
    count,
};

enum class result_element : Json::ArrayIndex
{
    id,
    outcome,
    reason,
    clock,
    incarnation,
    active,
    ended,
    count,
};

template <class Element>
const Json::Value& at(const Json::Value& row, Element element)
{
    return row[static_cast<Json::ArrayIndex>(element)];
}

template <class Element>
bool has_size(const Json::Value& row)
{
    return row.isArray() &&
           row.size() == static_cast<Json::ArrayIndex>(Element::count);
}

failure malformed(const char* what)
{
    return {result_code::bad_request, std::string(what) + " is malformed"};
}

Json::Value to_json(const std::optional<server_clock>& clock)
{
    return clock ? Json::Value(static_cast<Json::Int64>(*clock))
                 : Json::Value();
}

std::optional<server_clock> clock_in(const Json::Value& json)
{
    return json.isInt64() ? std::optional<server_clock>(json.asInt64())
                          : std::nullopt;
}

Json::Value to_json(const relay_call& call)
{
    Json::Value row(Json::arrayValue);
    const bool has_run = call.kind != relay_call_kind::renew;
    row.append(static_cast<Json::UInt64>(call.id));
    row.append(static_cast<int>(call.kind));
    row.append(call.address);
    row.append(call.server);
    row.append(has_run ? text_of(call.run.task) : "");
    row.append(call.run.attempt);
    row.append(call.checkpoint);
    row.append(to_json(call.lease_until));
    row.append(static_cast<Json::UInt64>(call.acknowledged_end));
    row.append(static_cast<Json::Int64>(call.wait.count()));
    row.append(static_cast<Json::Int64>(call.time_left.count()));
    return row;
}

std::optional<relay_call> call_in(const Json::Value& row)
{
    if (!has_size<call_element>(row) || !at(row, call_element::id).isUInt64() ||
        !at(row, call_element::kind).isInt() ||
        !at(row, call_element::address).isString() ||
        !at(row, call_element::server).isString() ||
        !at(row, call_element::task).isString() ||
        !at(row, call_element::attempt).isInt() ||
        !at(row, call_element::checkpoint).isString() ||
        !at(row, call_element::acknowledged_end).isUInt64() ||
        !at(row, call_element::wait).isInt64() ||
        !at(row, call_element::time_left).isInt64())
    {
        return std::nullopt;
    }
    relay_call call;
    const int kind = at(row, call_element::kind).asInt();
    if (kind < 0 || kind > static_cast<int>(relay_call_kind::renew))
    {
        return std::nullopt;
    }
    call.id = at(row, call_element::id).asUInt64();
    call.kind = static_cast<relay_call_kind>(kind);
    call.address = at(row, call_element::address).asString();
    call.server = at(row, call_element::server).asString();
    call.checkpoint = at(row, call_element::checkpoint).asString();
    call.lease_until = clock_in(at(row, call_element::lease_until));
    call.acknowledged_end = at(row, call_element::acknowledged_end).asUInt64();
    call.wait = milliseconds(at(row, call_element::wait).asInt64());
    call.time_left = milliseconds(at(row, call_element::time_left).asInt64());
    if (call.kind == relay_call_kind::renew)
    {
        return call;
    }
    auto task = parse_task_name(at(row, call_element::task).asString());
    if (!task)
    {
        return std::nullopt;
    }
    call.run = {std::move(*task), at(row, call_element::attempt).asInt()};
    return call.kind == relay_call_kind::start && !call.lease_until
               ? std::nullopt
               : std::optional(std::move(call));
}

Json::Value to_json(const listed_run& item)
{
    Json::Value row(Json::arrayValue);
    row.append(text_of(item.run.task));
    row.append(item.run.attempt);
    row.append(item.checkpoint);
    row.append(item.percent);
    return row;
}

Json::Value to_json(const listed_end& item)
{
    Json::Value row(Json::arrayValue);
    row.append(text_of(item.run.task));
    row.append(item.run.attempt);
    row.append(item.checkpoint);
    row.append(static_cast<int>(item.outcome));
    row.append(static_cast<Json::UInt64>(item.number));
    return row;
}

// Run and checkpoint at the start of a row of either list.
std::optional<listed_run> listed_in(const Json::Value& row,
                                    Json::ArrayIndex size)
{
    if (!row.isArray() || row.size() != size || !row[0].isString() ||
        !row[1].isInt() || !row[2].isString() || !row[3].isInt())
    {
        return std::nullopt;
    }
    auto task = parse_task_name(row[0].asString());
    if (!task)
    {
        return std::nullopt;
    }
    return listed_run{
        {std::move(*task), row[1].asInt()}, row[2].asString(), row[3].asInt()};
}

constexpr Json::ArrayIndex active_size = 4;
constexpr Json::ArrayIndex ended_size = 5;

std::optional<listed_end> end_in(const Json::Value& row)
{
    auto run = listed_in(row, ended_size);
    if (!run || !row[4].isUInt64() || run->percent < 0 ||
        run->percent > static_cast<int>(run_outcome::gang_incomplete))
    {
        return std::nullopt;
    }
    return listed_end{row[4].asUInt64(),
                      std::move(run->run),
                      static_cast<run_outcome>(run->percent),
                      std::move(run->checkpoint)};
}

Json::Value to_json(const relay_result& result)
{
    Json::Value row(Json::arrayValue);
    row.append(static_cast<Json::UInt64>(result.id));
    row.append(static_cast<int>(result.reply.order.outcome));
    row.append(result.reply.order.reason);
    row.append(to_json(result.reply.order.clock));
    row.append(static_cast<Json::Int64>(result.reply.incarnation));
    Json::Value active(Json::arrayValue);
    for (const auto& item : result.reply.active)
    {
        active.append(to_json(item));
    }
    Json::Value ended(Json::arrayValue);
    for (const auto& item : result.reply.ended)
    {
        ended.append(to_json(item));
    }
    row.append(std::move(active));
    row.append(std::move(ended));
    return row;
}

std::optional<relay_result> result_in(const Json::Value& row)
{
    if (!has_size<result_element>(row) ||
        !at(row, result_element::id).isUInt64() ||
        !at(row, result_element::outcome).isInt() ||
        !at(row, result_element::reason).isString() ||
        !at(row, result_element::incarnation).isInt64() ||
        !at(row, result_element::active).isArray() ||
        !at(row, result_element::ended).isArray())
    {
        return std::nullopt;
    }
    const int outcome = at(row, result_element::outcome).asInt();
    if (outcome < 0 || outcome > static_cast<int>(order_outcome::unknown))
    {
        return std::nullopt;
    }
    relay_result result;
    result.id = at(row, result_element::id).asUInt64();
    result.reply.order.outcome = static_cast<order_outcome>(outcome);
    result.reply.order.reason = at(row, result_element::reason).asString();
    result.reply.order.clock = clock_in(at(row, result_element::clock));
    result.reply.incarnation = at(row, result_element::incarnation).asInt64();
    for (const auto& item : at(row, result_element::active))
    {
        auto run = listed_in(item, active_size);
        if (!run)
        {
            return std::nullopt;
        }
        result.reply.active.push_back(std::move(*run));
    }
    for (const auto& item : at(row, result_element::ended))
    {
        auto end = end_in(item);
        if (!end)
        {
            return std::nullopt;
        }
        result.reply.ended.push_back(std::move(*end));
    }
    return result;
}

} // namespace

std::string to_text(const relay_batch& batch)
{
    Json::Value json(Json::objectValue);
    json["epoch"] = static_cast<Json::UInt64>(batch.epoch);
    json["leader"] = batch.leader_address;
    json["sent"] = static_cast<Json::Int64>(batch.sent_unix_ms);
    for (const auto& [job, payload] : batch.payloads)
    {
        json["payloads"][job] = payload;
    }
    auto& calls = json["calls"] = Json::Value(Json::arrayValue);
    for (const auto& call : batch.calls)
    {
        calls.append(to_json(call));
    }
    return json_text(json);
}

std::optional<relay_batch> parse_relay_batch(std::string_view text,
                                             failure& why)
{
    const auto json = parse_json(text, why);
    if (!json)
    {
        return std::nullopt;
    }
    if (!json->isObject())
    {
        why = malformed("the batch");
        return std::nullopt;
    }
    relay_batch batch;
    json_reader reader(*json, "batch", why);
    reader.read("epoch", batch.epoch)
        .read("leader", batch.leader_address)
        .read("sent", batch.sent_unix_ms);
    if (!reader.good())
    {
        return std::nullopt;
    }
    const auto& payloads = (*json)["payloads"];
    for (const auto& job : payloads.isObject() ? payloads.getMemberNames()
                                               : Json::Value::Members{})
    {
        if (!payloads[job].isString())
        {
            why = malformed("a payload");
            return std::nullopt;
        }
        batch.payloads[job] = payloads[job].asString();
    }
    for (const auto& row : (*json)["calls"])
    {
        auto call = call_in(row);
        if (!call)
        {
            why = malformed("a call");
            return std::nullopt;
        }
        batch.calls.push_back(std::move(*call));
    }
    return batch;
}

std::string to_text(const relay_report& report)
{
    Json::Value json(Json::objectValue);
    json["epoch"] = static_cast<Json::UInt64>(report.epoch);
    json["relay"] = report.relay;
    auto& results = json["results"] = Json::Value(Json::arrayValue);
    for (const auto& result : report.results)
    {
        results.append(to_json(result));
    }
    return json_text(json);
}

std::optional<relay_report> parse_relay_report(std::string_view text,
                                               failure& why)
{
    const auto json = parse_json(text, why);
    if (!json)
    {
        return std::nullopt;
    }
    if (!json->isObject())
    {
        why = malformed("the report");
        return std::nullopt;
    }
    relay_report report;
    json_reader reader(*json, "report", why);
    reader.read("epoch", report.epoch).read("relay", report.relay);
    if (!reader.good())
    {
        return std::nullopt;
    }
    for (const auto& row : (*json)["results"])
    {
        auto result = result_in(row);
        if (!result)
        {
            why = malformed("a result");
            return std::nullopt;
        }
        report.results.push_back(std::move(*result));
    }
    return report;
}

std::string to_text(const relay_member& member)
{
    Json::Value json(Json::objectValue);
    json["vm"] = member.vm;
    json["address"] = member.address;
    json["zone"] = member.zone;
    json["processor_share"] = member.processor_share;
    return json_text(json);
}

std::optional<relay_member> parse_relay_member(std::string_view text,
                                               failure& why)
{
    const auto json = parse_json(text, why);
    if (!json)
    {
        return std::nullopt;
    }
    if (!json->isObject())
    {
        why = malformed("the member");
        return std::nullopt;
    }
    relay_member member;
    json_reader reader(*json, "member", why);
    reader.read("vm", member.vm)
        .read("address", member.address)
        .read("zone", member.zone)
        .read("processor_share", member.processor_share);
    if (!reader.good() || member.vm.empty() || member.address.empty())
    {
        why = reader.good() ? malformed("the member") : why;
        return std::nullopt;
    }
    return member;
}

} // namespace poplarramp
