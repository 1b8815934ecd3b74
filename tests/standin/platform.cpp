#include "standin/platform.hpp"

#include "http/json_reply.hpp"
#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace poplarramp::standin
{

namespace
{

constexpr int max_scan_rows = 1000;
constexpr std::string_view object_prefix = "/v1/objects/";

http_response unknown_call(const http_request& request)
{
    return json_response(
        {result_code::not_found,
         "the platform has no " + request.method + " " + request.target});
}

} // namespace

platform::platform(platform_settings settings, timers& clock)
    : clock_(clock), settings_(std::move(settings)), members_(settings_.members)
{
}

void platform::handle(const http_request& request,
                      const std::function<void(http_response)>& respond)
{
    const bool is_object = request.target.starts_with(object_prefix);
    ++counts_[request.method + " " +
              (is_object ? std::string(object_prefix) : request.target)];
    respond(route(request));
}

http_response platform::route(const http_request& request)
{
    if (request.target.starts_with(object_prefix))
    {
        return object(request);
    }
    if (request.method == "GET" && request.target == "/v1/members")
    {
        return members();
    }
    if (request.method == "GET" && request.target == "/v1/counts")
    {
        return counts();
    }
    return request.method == "POST" ? post(request) : unknown_call(request);
}

http_response platform::post(const http_request& request)
{
    failure why;
    const auto body = parse_json(request.body, why);
    if (!body)
    {
        return json_response(why);
    }
    if (request.target == "/v1/table/read")
    {
        return read(*body);
    }
    if (request.target == "/v1/table/write")
    {
        return write(*body);
    }
    if (request.target == "/v1/table/scan")
    {
        return scan(*body);
    }
    if (request.target == "/v1/members")
    {
        return set_members(*body);
    }
    return unknown_call(request);
}

http_response platform::read(const Json::Value& body)
{
    failure why;
    std::string key;
    json_reader reader(body, "", why);
    reader.read("key", key);
    if (why)
    {
        return json_response(why);
    }
    const auto found = rows_.find(key);
    const auto row =
        found == rows_.end() ? table_row{key, "", 0} : found->second;
    Json::Value fields;
    fields["row"] = poplarramp::to_json(row);
    return json_response({}, fields);
}

http_response platform::write(const Json::Value& body)
{
    failure why;
    const auto changes = table_changes_from_json(body, why);
    if (!changes)
    {
        return json_response(why);
    }
    for (const auto& change : *changes)
    {
        const auto found = rows_.find(change.key);
        const auto version = found == rows_.end() ? 0 : found->second.version;
        if (version != change.expected_version)
        {
            return json_response({result_code::conflict,
                                  "row " + change.key + " has version " +
                                      std::to_string(version)});
        }
    }
    Json::Value fields;
    fields["versions"] = Json::Value(Json::arrayValue);
    for (const auto& change : *changes)
    {
        if (change.remove)
        {
            rows_.erase(change.key);
            fields["versions"].append(0U);
            continue;
        }
        rows_[change.key] = {change.key, change.value, ++last_version_};
        fields["versions"].append(static_cast<Json::UInt64>(last_version_));
    }
    return json_response({}, fields);
}

http_response platform::scan(const Json::Value& body)
{
    failure why;
    std::string prefix;
    std::string after;
    int limit = max_scan_rows;
    json_reader reader(body, "", why);
    reader.read("prefix", prefix).read("after", after).read("limit", limit);
    if (why)
    {
        return json_response(why);
    }
    limit = std::clamp(limit, 1, max_scan_rows);
    Json::Value fields;
    fields["rows"] = Json::Value(Json::arrayValue);
    fields["next"] = "";
    auto row =
        after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    std::string last;
    for (; row != rows_.end() && row->first.starts_with(prefix); ++row)
    {
        if (limit-- == 0)
        {
            fields["next"] = last;
            break;
        }
        last = row->first;
        fields["rows"].append(poplarramp::to_json(row->second));
    }
    return json_response({}, fields);
}

http_response platform::set_members(const Json::Value& body)
{
    failure why;
    auto members = members_from_json(body, why);
    if (!members)
    {
        return json_response(why);
    }
    clock_.after(settings_.members_lag,
                 [this, members = std::move(*members)] { members_ = members; });
    return json_response({});
}

http_response platform::object(const http_request& request)
{
    const auto key = request.target.substr(object_prefix.size());
    if (request.method == "PUT")
    {
        objects_[key] = request.body;
        return json_response({});
    }
    const auto found = objects_.find(key);
    if (request.method != "GET" || found == objects_.end())
    {
        return json_response({result_code::not_found, "no object " + key});
    }
    return {200, found->second, "application/octet-stream"};
}

http_response platform::members() const
{
    Json::Value fields;
    fields["members"] = Json::Value(Json::arrayValue);
    for (const auto& member : members_)
    {
        fields["members"].append(poplarramp::to_json(member));
    }
    return json_response({}, fields);
}

http_response platform::counts() const
{
    Json::Value fields;
    for (const auto& [call, count] : counts_)
    {
        fields["counts"][call] = static_cast<Json::UInt64>(count);
    }
    return json_response({}, fields);
}

} // namespace poplarramp::standin
