#include "services/services_codec.hpp"

#include "model/json_reader.hpp"

#include <string_view>

namespace poplarramp
{

namespace
{

void read_row(json_reader& reader, table_row& row)
{
    reader.read("key", row.key)
        .read("value", row.value)
        .read("version", row.version);
}

void read_change(json_reader& reader, table_change& change)
{
    reader.read("key", change.key)
        .read("value", change.value)
        .read("expected_version", change.expected_version)
        .read("remove", change.remove);
}

void read_member(json_reader& reader, vm_member& member)
{
    reader.read("id", member.id)
        .read("zone", member.zone)
        .read("rack", member.rack)
        .read("address", member.address)
        .read("leaving", member.leaving)
        .read_name("role",
                   [&member](std::string_view name)
                   {
                       member.role = name == "entry" ? vm_role::entry
                                                     : vm_role::backend_server;
                       return name == "entry" || name == "backend_server";
                   });
}

// Requires the member: a default would hide a reply of the wrong type.
bool require_member(const Json::Value& json, const char* name, failure& why)
{
    if (json.isObject() && json.isMember(name))
    {
        return true;
    }
    why = {result_code::bad_request, std::string(name) + " is missing"};
    return false;
}

template <class Item, class Read>
std::optional<std::vector<Item>> read_list(const Json::Value& json,
                                           const char* name,
                                           failure& why,
                                           const Read& read)
{
    if (!require_member(json, name, why))
    {
        return std::nullopt;
    }
    std::vector<Item> items;
    json_reader reader(json, "", why);
    reader.read_each(
        name, [&](json_reader& item) { read(item, items.emplace_back()); });
    if (!reader.good())
    {
        return std::nullopt;
    }
    return items;
}

} // namespace

Json::Value to_json(const table_row& row)
{
    Json::Value json;
    json["key"] = row.key;
    json["value"] = row.value;
    json["version"] = static_cast<Json::UInt64>(row.version);
    return json;
}

Json::Value to_json(const std::vector<table_change>& changes)
{
    Json::Value list(Json::arrayValue);
    for (const auto& change : changes)
    {
        Json::Value json;
        json["key"] = change.key;
        json["value"] = change.value;
        json["expected_version"] =
            static_cast<Json::UInt64>(change.expected_version);
        json["remove"] = change.remove;
        list.append(json);
    }
    return list;
}

Json::Value to_json(const vm_member& member)
{
    Json::Value json;
    json["id"] = member.id;
    json["role"] = member.role == vm_role::entry ? "entry" : "backend_server";
    json["zone"] = member.zone;
    json["rack"] = member.rack;
    json["address"] = member.address;
    json["leaving"] = member.leaving;
    return json;
}

std::optional<table_row> table_row_from_json(const Json::Value& json,
                                             failure& why)
{
    if (!require_member(json, "row", why))
    {
        return std::nullopt;
    }
    table_row row;
    json_reader reader(json, "", why);
    reader.read_object("row",
                       [&row](json_reader& item) { read_row(item, row); });
    if (!reader.good())
    {
        return std::nullopt;
    }
    return row;
}

std::optional<std::vector<table_change>>
table_changes_from_json(const Json::Value& json, failure& why)
{
    return read_list<table_change>(json, "changes", why, read_change);
}

std::optional<std::vector<std::uint64_t>>
versions_from_json(const Json::Value& json, failure& why)
{
    std::vector<std::uint64_t> versions;
    if (!require_member(json, "versions", why))
    {
        return std::nullopt;
    }
    for (const auto& version : json["versions"])
    {
        if (!version.isUInt64())
        {
            why = {result_code::bad_request,
                   "versions is not a list of whole numbers"};
            return std::nullopt;
        }
        versions.push_back(version.asUInt64());
    }
    return versions;
}

std::optional<table_scan_reply> scan_from_json(const Json::Value& json,
                                               failure& why)
{
    auto rows = read_list<table_row>(json, "rows", why, read_row);
    if (!rows)
    {
        return std::nullopt;
    }
    table_scan_reply reply;
    reply.rows = std::move(*rows);
    json_reader reader(json, "", why);
    reader.read("next", reply.next);
    if (!reader.good())
    {
        return std::nullopt;
    }
    return reply;
}

std::optional<std::vector<vm_member>> members_from_json(const Json::Value& json,
                                                        failure& why)
{
    return read_list<vm_member>(json, "members", why, read_member);
}

} // namespace poplarramp
