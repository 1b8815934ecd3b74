#include "control/config_row.hpp"

#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

// A writer reads back for 5 s. Its record is lost only after more than three
// changes per second in that time; the target load is 7,400 changes a day.
constexpr std::size_t max_recent_changes = 16;

} // namespace

std::optional<config_row> decode_config_row(const table_row& row, failure& why)
{
    config_row result;
    result.row_version = row.version;
    if (row.version == 0)
    {
        return result;
    }
    const auto json = parse_json(row.value, why);
    if (!json)
    {
        return std::nullopt;
    }
    const auto config = configuration_from_json(*json, why);
    json_reader reader(*json, "", why);
    reader.read_each("recent",
                     [&result](json_reader& item)
                     {
                         auto& record = result.recent.emplace_back();
                         item.read("version", record.version)
                             .read("changed_by", record.changed_by)
                             .read("token", record.token);
                     });
    if (!config || !reader.good())
    {
        return std::nullopt;
    }
    result.config = *config;
    return result;
}

std::string encode_config_row(const configuration& config,
                              std::vector<config_change_record> recent,
                              const std::string& token)
{
    recent.push_back({config.version, config.changed_by, token});
    if (recent.size() > max_recent_changes)
    {
        recent.erase(recent.begin());
    }
    auto json = to_json(config);
    auto& list = json["recent"] = Json::Value(Json::arrayValue);
    for (const auto& record : recent)
    {
        Json::Value item;
        item["version"] = static_cast<Json::UInt64>(record.version);
        item["changed_by"] = record.changed_by;
        item["token"] = record.token;
        list.append(item);
    }
    return json_text(json);
}

bool was_written_with(const config_row& row, const std::string& token)
{
    return std::any_of(row.recent.begin(),
                       row.recent.end(),
                       [&token](const config_change_record& record)
                       { return record.token == token; });
}

} // namespace poplarramp
