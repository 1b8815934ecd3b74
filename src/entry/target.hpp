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

// Splits "/path?key=value&...". No percent-decoding: every name in the API
// consists of characters that need none. Thread safe.
request_target parse_target(std::string_view target);

// Matches segments with a pattern such as "/v1/jobs/{}/{}" and returns the
// segments at the places of "{}". Thread safe.
std::optional<std::vector<std::string>>
match_path(std::string_view pattern, const request_target& target);

// Whole number of a query parameter; `fallback` if it is absent, nothing if it
// is no number. Thread safe.
std::optional<std::uint64_t> query_number(const request_target& target,
                                          const std::string& key,
                                          std::uint64_t fallback);

} // namespace poplarramp

#endif
