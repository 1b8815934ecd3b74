#include "config/schema.hpp"

#include <json/writer.h>

#include <algorithm>
#include <cctype>

namespace poplarramp
{

namespace
{

// Errors quote at most this many characters of a value.
constexpr std::size_t max_quoted_length = 60;

constexpr std::size_t max_name_length = 64;

// End of the year 9999; later times could overflow in clock conversions.
constexpr std::int64_t max_unix_ms = 253402300799000;

std::string describe_value(const Json::Value& json)
{
    if (json.isObject())
    {
        return "an object";
    }
    if (json.isArray())
    {
        return "a list";
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = 10;
    auto text = Json::writeString(builder, json);
    if (text.size() > max_quoted_length)
    {
        text = text.substr(0, max_quoted_length) + "...";
    }
    return text;
}

// JsonCpp's `isInt` would also accept 5.0.
bool is_integer(const Json::Value& json)
{
    return json.type() == Json::intValue || json.type() == Json::uintValue;
}

bool is_between(const Json::Value& json, int min, int max)
{
    return is_integer(json) && json.isInt64() && json.asInt64() >= min &&
           json.asInt64() <= max;
}

std::string range_text(const std::string& kind, int min, int max)
{
    return kind + " from " + std::to_string(min) + " to " + std::to_string(max);
}

field make_field(std::string key,
                 std::string allowed,
                 std::function<bool(const Json::Value&)> store)
{
    field result;
    result.key = std::move(key);
    result.allowed = allowed;
    result.read =
        [allowed = std::move(allowed), store = std::move(store)](
            const Json::Value& json, const json_location& at, failure& why)
    {
        if (!store(json))
        {
            why = invalid_value(at, describe_value(json), allowed);
        }
    };
    return result;
}

std::string list_keys(const schema& members)
{
    std::string text;
    for (const auto& member : members)
    {
        text += (text.empty() ? "" : ", ") + member.key;
    }
    return text;
}

bool check_keys(const Json::Value& json,
                const json_location& at,
                const schema& members,
                failure& why)
{
    for (const auto& key : json.getMemberNames())
    {
        const bool known =
            std::any_of(members.begin(),
                        members.end(),
                        [&](const field& member) { return member.key == key; });
        if (!known)
        {
            why = invalid_value(
                at.member(key), "unknown key", list_keys(members));
            return false;
        }
    }
    return true;
}

} // namespace

json_location json_location::member(const std::string& key) const
{
    return {file, path.empty() ? key : path + "." + key, code};
}

json_location json_location::element(std::size_t index) const
{
    return {file, path + "[" + std::to_string(index) + "]", code};
}

failure invalid_value(const json_location& at,
                      const std::string& found,
                      const std::string& allowed)
{
    const auto path = at.path.empty() ? "" : at.path + ": ";
    return {at.code,
            at.file + ": " + path + "found " + found + "; allowed: " + allowed};
}

bool is_name(std::string_view text)
{
    const auto allowed = [](unsigned char c)
    {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

field name_field(std::string key, std::string& target)
{
    return checked_field(
        std::move(key),
        "letters, digits, '-', '_' and '.', 1 to 64 characters",
        [&target](const std::string& text)
        {
            target = text;
            return is_name(text);
        });
}

field text_field(std::string key, std::string& target)
{
    auto result = checked_field(std::move(key),
                                "text",
                                [&target](const std::string& text)
                                {
                                    target = text;
                                    return true;
                                });
    result.fallback = target.empty() ? "empty" : target;
    return result;
}

field time_field(std::string key, std::int64_t& target)
{
    auto result =
        make_field(std::move(key),
                   "Unix time in milliseconds",
                   [&target](const Json::Value& json)
                   {
                       if (!is_integer(json) || !json.isInt64() ||
                           json.asInt64() < 0 || json.asInt64() > max_unix_ms)
                       {
                           return false;
                       }
                       target = json.asInt64();
                       return true;
                   });
    result.fallback = std::to_string(target);
    return result;
}

field integer_field(std::string key, int& target, int min, int max)
{
    auto result = make_field(std::move(key),
                             range_text("integer", min, max),
                             [&target, min, max](const Json::Value& json)
                             {
                                 if (!is_between(json, min, max))
                                 {
                                     return false;
                                 }
                                 target = json.asInt();
                                 return true;
                             });
    result.fallback = std::to_string(target);
    return result;
}

field number_field(std::string key, double& target, double min, double max)
{
    std::string allowed = "number from " + describe_value(Json::Value(min)) +
                          " to " + describe_value(Json::Value(max));
    auto result =
        make_field(std::move(key),
                   std::move(allowed),
                   [&target, min, max](const Json::Value& json)
                   {
                       if (!json.isNumeric() || json.asDouble() < min ||
                           json.asDouble() > max)
                       {
                           return false;
                       }
                       target = json.asDouble();
                       return true;
                   });
    result.fallback = describe_value(Json::Value(target));
    return result;
}

field duration_field(std::string key, milliseconds& target, int min, int max)
{
    auto result = make_field(std::move(key),
                             range_text("milliseconds", min, max),
                             [&target, min, max](const Json::Value& json)
                             {
                                 if (!is_between(json, min, max))
                                 {
                                     return false;
                                 }
                                 target = milliseconds(json.asInt64());
                                 return true;
                             });
    result.fallback = std::to_string(target.count());
    return result;
}

field flag_field(std::string key, bool& target)
{
    auto result = make_field(std::move(key),
                             "true, false",
                             [&target](const Json::Value& json)
                             {
                                 target = json.isBool() && json.asBool();
                                 return json.isBool();
                             });
    result.fallback = target ? "true" : "false";
    return result;
}

field name_list_field(std::string key, std::vector<std::string>& target)
{
    auto result =
        make_field(std::move(key),
                   "list of names",
                   [&target](const Json::Value& json)
                   {
                       target.clear();
                       if (!json.isArray())
                       {
                           return false;
                       }
                       for (const auto& item : json)
                       {
                           if (!item.isString() || !is_name(item.asString()))
                           {
                               return false;
                           }
                           target.push_back(item.asString());
                       }
                       return true;
                   });
    result.fallback = "empty";
    return result;
}

field checked_field(std::string key,
                    std::string allowed,
                    std::function<bool(const std::string&)> store)
{
    return make_field(std::move(key),
                      std::move(allowed),
                      [store = std::move(store)](const Json::Value& json)
                      { return json.isString() && store(json.asString()); });
}

field secret_field(std::string key,
                   std::string allowed,
                   std::function<bool(const std::string&)> store)
{
    auto result = checked_field(std::move(key), allowed, store);
    result.read =
        [allowed = std::move(allowed), store = std::move(store)](
            const Json::Value& json, const json_location& at, failure& why)
    {
        if (!json.isString())
        {
            why = invalid_value(at, "no text", allowed);
            return;
        }
        if (!store(json.asString()))
        {
            const auto size = std::to_string(json.asString().size());
            why =
                invalid_value(at, "a text of " + size + " characters", allowed);
        }
    };
    return result;
}

field object_field(std::string key, schema members)
{
    field result;
    result.key = std::move(key);
    result.allowed = "object";
    result.nested = describe_keys(members);
    result.read = [members = std::move(members)](const Json::Value& json,
                                                 const json_location& at,
                                                 failure& why)
    {
        read_object(json, at, members, why);
    };
    return result;
}

field required(field base)
{
    base.required = true;
    return base;
}

field detail::list_field(
    const std::string& key,
    std::vector<key_description> nested,
    std::function<void(const Json::Value&, const json_location&, failure&)>
        read_element)
{
    field result;
    result.key = key;
    result.allowed = "list of objects";
    result.fallback = "empty";
    for (auto& item : nested)
    {
        item.path = "[]." + item.path;
    }
    result.nested = std::move(nested);
    result.read =
        [read_element = std::move(read_element)](
            const Json::Value& json, const json_location& at, failure& why)
    {
        if (!json.isArray())
        {
            why = invalid_value(at, describe_value(json), "list of objects");
            return;
        }
        for (Json::ArrayIndex i = 0; i < json.size() && !why; ++i)
        {
            read_element(json[i], at.element(i), why);
        }
    };
    return result;
}

std::vector<key_description> describe_keys(const schema& members)
{
    std::vector<key_description> result;
    for (const auto& member : members)
    {
        result.push_back({member.key,
                          member.allowed,
                          member.required ? "required" : member.fallback});
        for (const auto& nested : member.nested)
        {
            const bool in_list = nested.path.starts_with("[]");
            result.push_back({member.key + (in_list ? "" : ".") + nested.path,
                              nested.allowed,
                              nested.fallback});
        }
    }
    return result;
}

bool read_object(const Json::Value& json,
                 const json_location& at,
                 const schema& members,
                 failure& why)
{
    if (!json.isObject())
    {
        why = invalid_value(at, describe_value(json), "object");
        return false;
    }
    if (!check_keys(json, at, members, why))
    {
        return false;
    }
    for (const auto& member : members)
    {
        const auto place = at.member(member.key);
        if (json.isMember(member.key))
        {
            member.read(json[member.key], place, why);
        }
        else if (member.required)
        {
            why = invalid_value(place, "nothing", member.allowed);
        }
        if (why)
        {
            return false;
        }
    }
    return true;
}

} // namespace poplarramp
