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

// One row of the platform's table. The version only rises; 0 means none yet.
struct configuration
{
    std::uint64_t version = 0;
    // Who made the last change; the loser of a race is told.
    std::string changed_by;
    capacity_sheet sheet;
    std::map<std::string, zone_state> zones;
};

} // namespace poplarramp

#endif
