// Rules of a sheet that concern several of its parts.
#ifndef POPLARRAMP_CONFIG_SHEET_CHECK_HPP
#define POPLARRAMP_CONFIG_SHEET_CHECK_HPP

#include "base/result.hpp"
#include "config/schema.hpp"
#include "model/sheet.hpp"

#include <vector>

namespace poplarramp
{

// Blocks of one shape that an availability zone lacks for its guarantees.
struct shortfall
{
    int shape = 0;
    int wanted = 0;
    int missing = 0;
};

// Packs the blocks of all guarantees of the availability zone into its empty
// racks as the scheduler does, so that a sheet is accepted only if the
// scheduler can keep it. Returns the blocks that found no place, largest shape
// first. May report a shortfall that another packing would avoid (see
// `pack_blocks`). Thread safe.
std::vector<shortfall> find_shortfalls(const capacity_sheet& sheet,
                                       const availability_zone& zone);

// Checks that names are unique and known, shapes are powers of two, and the
// guarantees of each availability zone can be met together. Returns false and
// fills `why` with the first error. Thread safe.
bool check_sheet(const capacity_sheet& sheet,
                 const json_place& top,
                 failure& why);

} // namespace poplarramp

#endif
