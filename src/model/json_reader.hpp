// Reads members of a JSON object into plain data and records the first error.
#ifndef POPLARRAMP_MODEL_JSON_READER_HPP
#define POPLARRAMP_MODEL_JSON_READER_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

// Reads one object. An absent member leaves its target unchanged. A member of
// the wrong type sets `why` to `bad_request` with its path; later reads do
// nothing. Not thread safe.
class json_reader
{
public:
    // Precondition: `json` and `why` outlive the reader.
    json_reader(const Json::Value& json, std::string path, failure& why);

    json_reader& read(const char* name, std::string& target);
    json_reader& read(const char* name, bool& target);
    json_reader& read(const char* name, int& target);
    json_reader& read(const char* name, std::int64_t& target);
    json_reader& read(const char* name, std::uint64_t& target);
    json_reader& read(const char* name, double& target);
    // Milliseconds.
    json_reader& read(const char* name, milliseconds& target);
    json_reader& read(const char* name, std::vector<std::string>& target);
    json_reader& read(const char* name, std::vector<int>& target);
    // Unix milliseconds.
    json_reader&
    read(const char* name, time_point& target, const clock_mapping& clock);

    // Calls `convert` with a string member; it returns false for an invalid
    // value.
    json_reader&
    read_name(const char* name,
              const std::function<bool(std::string_view)>& convert);

    // Reads the name of an enumerator; `parse` returns nullopt for an unknown
    // name.
    template <class Value>
    json_reader& read_named(const char* name,
                            Value& target,
                            std::optional<Value> (*parse)(std::string_view))
    {
        return read_name(name,
                         [&target, parse](std::string_view text)
                         {
                             const auto value = parse(text);
                             target = value.value_or(target);
                             return value.has_value();
                         });
    }

    // Calls `read_item` with a reader for each object of an array member.
    json_reader&
    read_each(const char* name,
              const std::function<void(json_reader& item)>& read_item);

    // Calls `read_item` with a reader for an object member.
    json_reader&
    read_object(const char* name,
                const std::function<void(json_reader& item)>& read_item);

    // False if an error has been found, also by another reader with this `why`.
    bool good() const;

    const Json::Value& json() const
    {
        return json_;
    }

private:
    // Returns nullptr if the member is absent or an error has been found.
    const Json::Value* member(const char* name) const;
    void fail(const std::string& name, std::string_view expected);

    const Json::Value& json_;
    std::string path_;
    failure& why_;
};

} // namespace poplarramp

#endif
