#include "config/settings.hpp"

#include "config/json_file.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <functional>
#include <set>

namespace poplarramp
{

namespace
{

constexpr int max_port = 65535;
// Shorter tokens could be guessed over the network.
constexpr std::size_t min_token_length = 16;
constexpr std::size_t max_token_length = 256;
constexpr int max_traffic_threads = 64;
constexpr int max_waiting_limit = 1000000;
constexpr int min_body_bytes = 1024;
constexpr int max_body_bytes_limit = 16777216;
constexpr int min_stop_timeout_ms = 100;
constexpr int max_stop_timeout_ms = 600000;

bool is_port(std::string_view text)
{
    int port = 0;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, port);
    return read.ec == std::errc() && read.ptr == end && port > 0 &&
           port <= max_port;
}

bool is_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
    return !error && ip.is_v4() &&
           is_port(std::string_view(text).substr(colon + 1));
}

const std::string address_format = "IPv4 address and port, such as "
                                   "127.0.0.1:7100";

const std::string seeds_format = "list of IPv4 addresses with port";

field seeds_field(std::vector<std::string>& target)
{
    field result;
    result.key = "seeds";
    result.allowed = seeds_format;
    result.fallback = "empty";
    result.read = [&target](const Json::Value& json,
                            const json_location& at,
                            failure& why)
    {
        if (!json.isArray())
        {
            why = invalid_value(at, "no list", seeds_format);
            return;
        }
        for (Json::ArrayIndex i = 0; i < json.size() && !why; ++i)
        {
            target.emplace_back();
            address_field("", target.back()).read(json[i], at.element(i), why);
        }
    };
    return result;
}

schema operator_schema(operator_account& target)
{
    const auto store = [&target](const std::string& text)
    {
        target.token = text;
        return text.size() >= min_token_length &&
               text.size() <= max_token_length;
    };
    return {
        required(name_field("name", target.name)),
        required(secret_field("token", "text of 16 to 256 characters", store))};
}

schema limit_schema(limit_settings& target)
{
    return {
        integer_field("max_waiting", target.max_waiting, 1, max_waiting_limit),
        integer_field("max_body_bytes",
                      target.max_body_bytes,
                      min_body_bytes,
                      max_body_bytes_limit),
        duration_field("stop_limit_ms",
                       target.stop_timeout,
                       min_stop_timeout_ms,
                       max_stop_timeout_ms),
    };
}

// Checks the rules that involve several keys.
bool check_consistency(const settings& item,
                       const json_location& top,
                       failure& why)
{
    if (item.listen.callers == item.listen.inner)
    {
        why = invalid_value(top.member("listen.inner"),
                            "the address of listen.callers",
                            "another address");
        return false;
    }
    std::set<std::string> names;
    std::set<std::string> tokens;
    for (std::size_t i = 0; i < item.operators.size(); ++i)
    {
        const auto place = top.member("operators").element(i);
        if (!names.insert(item.operators[i].name).second)
        {
            why = invalid_value(place.member("name"),
                                "\"" + item.operators[i].name + "\" again",
                                "each name once");
            return false;
        }
        if (!tokens.insert(item.operators[i].token).second)
        {
            why = invalid_value(place.member("token"),
                                "the token of another operator",
                                "a token of its own");
            return false;
        }
    }
    return true;
}

} // namespace

field address_field(std::string key, std::string& target)
{
    return checked_field(std::move(key),
                         address_format,
                         [&target](const std::string& text)
                         {
                             target = text;
                             return is_address(text);
                         });
}

schema log_schema(log_settings& target)
{
    const auto store = [&target](const std::string& text)
    {
        target.destination = text;
        return !text.empty();
    };
    auto destination =
        checked_field("destination", "stderr, stdout, path of a file", store);
    destination.fallback = target.destination;
    return {choice_field<log_level>("level",
                                    target.level,
                                    {{"debug", log_level::debug},
                                     {"info", log_level::info},
                                     {"warning", log_level::warning},
                                     {"error", log_level::error}}),
            destination};
}

schema settings_schema(settings& target)
{
    return {
        required(name_field("vm", target.vm)),
        required(name_field("zone", target.zone)),
        required(object_field(
            "listen",
            {required(address_field("callers", target.listen.callers)),
             required(address_field("inner", target.listen.inner))})),
        required(address_field("platform", target.platform)),
        seeds_field(target.seeds),
        list_field("operators", target.operators, operator_schema),
        object_field("log", log_schema(target.log)),
        integer_field(
            "traffic_threads", target.traffic_threads, 1, max_traffic_threads),
        object_field("limits", limit_schema(target.limits)),
    };
}

std::optional<settings>
parse_settings(std::string_view text, const std::string& file, failure& why)
{
    const json_location top{file, "", result_code::bad_settings};
    const auto json = parse_commented_json(text, file, top.code, why);
    if (!json)
    {
        return std::nullopt;
    }
    settings result;
    if (!read_object(*json, top, settings_schema(result), why) ||
        !check_consistency(result, top, why))
    {
        return std::nullopt;
    }
    return result;
}

std::optional<settings> read_settings(const std::string& file, failure& why)
{
    const auto text = read_file(file, result_code::bad_settings, why);
    if (!text)
    {
        return std::nullopt;
    }
    return parse_settings(*text, file, why);
}

std::vector<std::string> keys_needing_restart(const settings& running,
                                              const settings& reloaded)
{
    std::vector<std::string> keys;
    const auto compare = [&keys](const auto& a, const auto& b, const char* key)
    {
        if (a != b)
        {
            keys.emplace_back(key);
        }
    };
    compare(running.vm, reloaded.vm, "vm");
    compare(running.zone, reloaded.zone, "zone");
    compare(running.listen.callers, reloaded.listen.callers, "listen.callers");
    compare(running.listen.inner, reloaded.listen.inner, "listen.inner");
    compare(running.platform, reloaded.platform, "platform");
    compare(running.seeds, reloaded.seeds, "seeds");
    compare(
        running.log.destination, reloaded.log.destination, "log.destination");
    compare(
        running.traffic_threads, reloaded.traffic_threads, "traffic_threads");
    compare(running.limits.max_waiting,
            reloaded.limits.max_waiting,
            "limits.max_waiting");
    compare(running.limits.max_body_bytes,
            reloaded.limits.max_body_bytes,
            "limits.max_body_bytes");
    compare(running.limits.stop_timeout,
            reloaded.limits.stop_timeout,
            "limits.stop_limit_ms");
    return keys;
}

} // namespace poplarramp
