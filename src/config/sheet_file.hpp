// The sheet file that capacity planners export: strict JSON with comments,
// completely checked before it is applied.
#ifndef POPLARRAMP_CONFIG_SHEET_FILE_HPP
#define POPLARRAMP_CONFIG_SHEET_FILE_HPP

#include "base/result.hpp"
#include "config/schema.hpp"
#include "model/sheet.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace poplarramp
{

// Keys of the sheet file; the fields fill `target`.
schema sheet_schema(capacity_sheet& target);

// Parses a sheet and checks keys, values, names, shapes and guarantees. On
// failure returns nullopt and fills `why` with `bad_sheet` and one error with
// the file and the path of the key. Thread safe.
std::optional<capacity_sheet>
parse_sheet(std::string_view text, const std::string& file, failure& why);
std::optional<capacity_sheet> read_sheet(const std::string& file, failure& why);

} // namespace poplarramp

#endif
