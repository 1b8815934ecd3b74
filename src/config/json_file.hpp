// Strict JSON with comments: no duplicate keys, no trailing commas, nothing
// after the value. Errors name the file and the path of the key.
#ifndef POPLARRAMP_CONFIG_JSON_FILE_HPP
#define POPLARRAMP_CONFIG_JSON_FILE_HPP

#include "base/result.hpp"

#include <json/value.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace poplarramp
{

// Reads a whole file. On failure returns nullopt and fills `why` with `code`
// and the error of the operating system. Thread safe.
std::optional<std::string>
read_file(const std::string& file, result_code code, failure& why);

// Parses `text`, with at most 32 levels of nesting. Errors have the code `code`
// and name `file`. Thread safe.
std::optional<Json::Value> parse_commented_json(std::string_view text,
                                                const std::string& file,
                                                result_code code,
                                                failure& why);

// Path of the key or element that contains the byte at `offset`, such as
// "zones[2].name"; empty at the top level. Thread safe.
std::string path_at(std::string_view text, std::size_t offset);

} // namespace poplarramp

#endif
