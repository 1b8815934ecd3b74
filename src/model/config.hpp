// The configuration: the sheet and which availability zones are in service.
#ifndef POPLARRAMP_MODEL_CONFIG_HPP
#define POPLARRAMP_MODEL_CONFIG_HPP

#include "model/sheet.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace poplarramp
{

enum class zone_state
{
    open,
    out,
};

// Stored as one row of the platform's table. The version never decreases; 0: no
// configuration has been applied yet.
struct configuration
{
    std::uint64_t version = 0;
    // Operator who made the last change; named in the error of a conflict.
    std::string changed_by;
    capacity_sheet sheet;
    std::map<std::string, zone_state> zones;
};

} // namespace poplarramp

#endif
