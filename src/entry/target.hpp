// Path and query of a request.
#ifndef POPLARRAMP_ENTRY_TARGET_HPP
#define POPLARRAMP_ENTRY_TARGET_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

struct request_target
{
    // "/v1/jobs/a/b" as "v1", "jobs", "a", "b".
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;
};

// Splits "/path?key=value&...". Does not percent-decode: names in the API need
// no escaping. Thread safe.
request_target parse_target(std::string_view target);

// Matches the path against a pattern such as "/v1/jobs/{}/{}". Returns the
// segments that match "{}", or nullopt. Thread safe.
std::optional<std::vector<std::string>>
match_path(std::string_view pattern, const request_target& target);

// Unsigned integer in a query parameter; `fallback` if it is absent, nullopt if
// it is not a number. Thread safe.
std::optional<std::uint64_t> query_number(const request_target& target,
                                          const std::string& key,
                                          std::uint64_t fallback);

} // namespace poplarramp

#endif
