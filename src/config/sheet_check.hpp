// Checks the rules that involve several parts of a sheet.
#ifndef POPLARRAMP_CONFIG_SHEET_CHECK_HPP
#define POPLARRAMP_CONFIG_SHEET_CHECK_HPP

#include "base/result.hpp"
#include "config/schema.hpp"
#include "model/sheet.hpp"

#include <vector>

namespace poplarramp
{

// Guaranteed blocks of one shape that do not fit into an availability zone.
struct shortfall
{
    int shape = 0;
    int guaranteed = 0;
    int missing = 0;
};

// Packs the guaranteed blocks of the availability zone into its empty racks
// with the scheduler's algorithm, so that a sheet is accepted only if the
// scheduler can meet its guarantees. Returns the blocks that do not fit,
// largest shape first. May report a shortfall that another packing would avoid
// (see `pack_blocks`). Thread safe.
std::vector<shortfall> find_shortfalls(const capacity_sheet& sheet,
                                       const availability_zone& zone);

// Checks that names are unique and known, shapes are powers of two, and the
// guarantees of each availability zone can be met together. Returns false and
// fills `why` with the first error. Thread safe.
bool check_sheet(const capacity_sheet& sheet,
                 const json_location& top,
                 failure& why);

} // namespace poplarramp

#endif
