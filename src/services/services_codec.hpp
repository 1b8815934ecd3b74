// JSON encoding of the platform's messages.
#ifndef POPLARRAMP_SERVICES_SERVICES_CODEC_HPP
#define POPLARRAMP_SERVICES_SERVICES_CODEC_HPP

#include "services/member_list.hpp"
#include "services/table.hpp"

#include <json/value.h>

#include <optional>
#include <vector>

namespace poplarramp
{

// All functions are thread safe. A decoder returns nothing and fills `why` with
// `bad_request` and the path of the first invalid member.

Json::Value to_json(const table_row& row);
Json::Value to_json(const std::vector<table_change>& changes);
Json::Value to_json(const vm_member& member);

// From {"row": {...}}.
std::optional<table_row> table_row_from_json(const Json::Value& json,
                                             failure& why);
// From {"changes": [...]}.
std::optional<std::vector<table_change>>
table_changes_from_json(const Json::Value& json, failure& why);
// From {"versions": [...]}.
std::optional<std::vector<std::uint64_t>>
versions_from_json(const Json::Value& json, failure& why);
// From {"rows": [...], "next": "..."}.
std::optional<table_scan_reply> scan_from_json(const Json::Value& json,
                                               failure& why);
// From {"members": [...]}.
std::optional<std::vector<vm_member>> members_from_json(const Json::Value& json,
                                                        failure& why);

} // namespace poplarramp

#endif
