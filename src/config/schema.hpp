// Reads a JSON object into plain data by a schema, which gives for each key the
// allowed values and the target variable. Unknown keys and missing required
// keys are errors.
#ifndef POPLARRAMP_CONFIG_SCHEMA_HPP
#define POPLARRAMP_CONFIG_SCHEMA_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarramp
{

// Location of a value, for errors.
struct json_location
{
    std::string file;
    // Such as "limits.max_waiting"; empty at the top level.
    std::string path;
    result_code code = result_code::bad_request;

    json_location member(const std::string& key) const;
    json_location element(std::size_t index) const;
};

// Path of a key relative to its object and the allowed values, as the
// documentation lists them; "[]" stands for the elements of a list.
struct key_description
{
    std::string path;
    std::string allowed;
    // "required", "-" for an object, else the default value.
    std::string fallback;
};

// One key of an object.
struct field
{
    std::string key;
    std::string allowed;
    // Default value as text.
    std::string fallback = "-";
    bool required = false;
    // Keys of the object, or of the elements of the list.
    std::vector<key_description> nested;
    // Stores the value, or fills the failure.
    std::function<void(const Json::Value&, const json_location&, failure&)>
        read;
};

using schema = std::vector<field>;

// True for 1 to 64 letters, digits, '-', '_' and '.'; such names need no
// escaping in table keys and URL paths.
bool is_name(std::string_view text);

// A field keeps a reference to `target`, which must outlive the schema and has
// the default value.
field name_field(std::string key, std::string& target);
field text_field(std::string key, std::string& target);
// Unix milliseconds.
field time_field(std::string key, std::int64_t& target);
field integer_field(std::string key, int& target, int min, int max);
field number_field(std::string key, double& target, double min, double max);
// Milliseconds as an integer.
field duration_field(std::string key, milliseconds& target, int min, int max);
field flag_field(std::string key, bool& target);
field name_list_field(std::string key, std::vector<std::string>& target);

// Text for which `store` returns true. `allowed` describes it in errors.
field checked_field(std::string key,
                    std::string allowed,
                    std::function<bool(const std::string&)> store);
// Like `checked_field`, but errors show only the length of the text.
field secret_field(std::string key,
                   std::string allowed,
                   std::function<bool(const std::string&)> store);

// One of the names in `choices`.
template <class Enum>
field choice_field(std::string key,
                   Enum& target,
                   std::vector<std::pair<std::string, Enum>> choices)
{
    std::string allowed;
    std::string fallback;
    for (const auto& choice : choices)
    {
        allowed += (allowed.empty() ? "" : ", ") + choice.first;
        fallback = choice.second == target ? choice.first : fallback;
    }
    auto result = checked_field(std::move(key),
                                std::move(allowed),
                                [&target, choices](const std::string& word)
                                {
                                    for (const auto& choice : choices)
                                    {
                                        if (choice.first == word)
                                        {
                                            target = choice.second;
                                            return true;
                                        }
                                    }
                                    return false;
                                });
    result.fallback = std::move(fallback);
    return result;
}

field object_field(std::string key, schema members);

field required(field base);

// All keys of a schema with their paths, including nested ones.
std::vector<key_description> describe_keys(const schema& members);

// Reads `json` by `members`. At the first error returns false and fills `why`
// with the file, the path of the key, the value found and the allowed values.
bool read_object(const Json::Value& json,
                 const json_location& at,
                 const schema& members,
                 failure& why);

// Error for a value that is not allowed.
failure invalid_value(const json_location& at,
                      const std::string& found,
                      const std::string& allowed);

namespace detail
{

field list_field(
    const std::string& key,
    std::vector<key_description> nested,
    std::function<void(const Json::Value&, const json_location&, failure&)>
        read_element);

} // namespace detail

// List of objects; `make_schema` returns the schema that fills one
// element.
template <class Element>
field list_field(const std::string& key,
                 std::vector<Element>& target,
                 schema (*make_schema)(Element&))
{
    Element sample;
    return detail::list_field(
        key,
        describe_keys(make_schema(sample)),
        [&target, make_schema](
            const Json::Value& json, const json_location& at, failure& why)
        {
            target.emplace_back();
            read_object(json, at, make_schema(target.back()), why);
        });
}

} // namespace poplarramp

#endif
