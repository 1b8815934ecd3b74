#include "config/site_settings.hpp"

#include "config/json_file.hpp"

namespace poplarramp
{

namespace
{

constexpr int min_bound_ms = 1;
constexpr int max_bound_ms = 3'600'000;
constexpr double max_bound_s = 3600;
constexpr double max_remote_slowdown = 1000;
constexpr double max_limit_overage = 10;
constexpr double ms_per_s = 1000;
constexpr double min_processor_share = 0.01;
constexpr double max_processor_share = 1024;
constexpr int max_servers_for_relays = 1'000'000;
constexpr int min_memory_mb = 32;
constexpr int max_memory_mb = 1'048'576;
// 200 descriptors are for files and for calls that the process makes.
constexpr int min_descriptors = 300;
constexpr int max_descriptors = 1'048'576;

const std::string regions_format = "object with the region of each zone";

// Seconds, with fractions.
field seconds_field(std::string key, milliseconds& target)
{
    double seconds = static_cast<double>(target.count()) / ms_per_s;
    auto result = number_field(std::move(key), seconds, 0, max_bound_s);
    result.read = [&target, rule = result.allowed](const Json::Value& json,
                                                   const json_location& at,
                                                   failure& why)
    {
        if (!json.isNumeric() || json.asDouble() < 0 ||
            json.asDouble() > max_bound_s)
        {
            why = invalid_value(at, json.asString(), rule);
            return;
        }
        target =
            milliseconds(static_cast<std::int64_t>(json.asDouble() * ms_per_s));
    };
    return result;
}

field regions_field(std::map<std::string, std::string>& target)
{
    field result;
    result.key = "regions";
    result.allowed = regions_format;
    result.read = [&target](const Json::Value& json,
                            const json_location& at,
                            failure& why)
    {
        if (!json.isObject())
        {
            why = invalid_value(at, "no object", regions_format);
            return;
        }
        for (const auto& zone : json.getMemberNames())
        {
            if (!json[zone].isString())
            {
                why = invalid_value(at.member(zone), "no text", "text");
                return;
            }
            target[zone] = json[zone].asString();
        }
    };
    return result;
}

schema bound_schema(site_bound_settings& target)
{
    return {
        duration_field(
            "longest_lease_ms", target.max_lease, min_bound_ms, max_bound_ms),
        duration_field("key_revocation_ms",
                       target.max_key_revocation_delay,
                       min_bound_ms,
                       max_bound_ms),
        seconds_field("stop_limit_s", target.stop_timeout),
        seconds_field("status_time_s", target.status_retention),
        number_field(
            "far_factor", target.remote_slowdown, 1, max_remote_slowdown),
        number_field(
            "limit_overage", target.limit_overage, 0, max_limit_overage),
    };
}

} // namespace

schema site_settings_schema(site_settings& target)
{
    return {
        required(name_field("vm", target.vm)),
        required(name_field("zone", target.zone)),
        required(object_field(
            "listen",
            {required(address_field("callers", target.listen.callers)),
             required(address_field("ready", target.listen.ready)),
             required(address_field("metrics", target.listen.metrics)),
             required(address_field("inner", target.listen.inner))})),
        required(address_field("store", target.store)),
        required(regions_field(target.regions)),
        number_field("processor_share",
                     target.processor_share,
                     min_processor_share,
                     max_processor_share),
        object_field("relays",
                     {integer_field("min_servers",
                                    target.min_servers_for_relays,
                                    1,
                                    max_servers_for_relays)}),
        object_field("scheduling",
                     {flag_field("learn_speeds", target.learn_speeds),
                      flag_field("weigh_value", target.weigh_value)}),
        object_field("limits",
                     {integer_field("memory_mb",
                                    target.limits.memory_mb,
                                    min_memory_mb,
                                    max_memory_mb),
                      integer_field("descriptors",
                                    target.limits.descriptors,
                                    min_descriptors,
                                    max_descriptors),
                      integer_field("connections_per_address",
                                    target.limits.connections_per_address,
                                    0,
                                    max_descriptors)}),
        object_field("bounds", bound_schema(target.bounds)),
        object_field("log", log_schema(target.log)),
    };
}

std::optional<site_settings> parse_site_settings(std::string_view text,
                                                 const std::string& file,
                                                 failure& why)
{
    const json_location top{file, "", result_code::bad_settings};
    const auto json = parse_commented_json(text, file, top.code, why);
    if (!json)
    {
        return std::nullopt;
    }
    site_settings result;
    if (!read_object(*json, top, site_settings_schema(result), why))
    {
        return std::nullopt;
    }
    return result;
}

std::optional<site_settings> read_site_settings(const std::string& file,
                                                failure& why)
{
    const auto text = read_file(file, result_code::bad_settings, why);
    return text ? parse_site_settings(*text, file, why) : std::nullopt;
}

} // namespace poplarramp
