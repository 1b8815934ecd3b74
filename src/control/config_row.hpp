// The table row that holds the configuration.
#ifndef POPLARRAMP_CONTROL_CONFIG_ROW_HPP
#define POPLARRAMP_CONTROL_CONFIG_ROW_HPP

#include "base/result.hpp"
#include "model/config.hpp"
#include "services/table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarramp
{

constexpr auto config_row_key = "config";

// Record of one change, kept in the row for some time: a writer whose reply was
// lost finds its token here even if the row has been changed since.
struct config_change_record
{
    std::uint64_t version = 0;
    std::string changed_by;
    std::string token;
};

struct config_row
{
    configuration config;
    // Oldest first.
    std::vector<config_change_record> recent;
    // Version of the table row for compare-and-swap; 0: the row is absent.
    std::uint64_t row_version = 0;
};

// Thread safe. Sets `why` to `bad_request` if the row cannot be decoded. An
// absent row is an empty configuration of version 0.
std::optional<config_row> decode_config_row(const table_row& row, failure& why);

// Returns the value of the row. Adds the change to `recent` and drops the
// oldest record above the limit. Thread safe.
std::string encode_config_row(const configuration& config,
                              std::vector<config_change_record> recent,
                              const std::string& token);

// True if a recent change of the row was written with the token. Thread safe.
bool was_written_with(const config_row& row, const std::string& token);

} // namespace poplarramp

#endif
