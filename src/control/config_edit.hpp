// What an operator's change does to the configuration.
#ifndef POPLARRAMP_CONTROL_CONFIG_EDIT_HPP
#define POPLARRAMP_CONTROL_CONFIG_EDIT_HPP

#include "base/result.hpp"
#include "inner/peer_api.hpp"
#include "model/config.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace poplarramp
{

struct config_edit
{
    // Changes the configuration that is in force, or says why it cannot.
    std::function<failure(configuration&)> apply;
    std::string changed_by;
    // Availability zone that is closed at the reachable entry VMs before the
    // write; empty: none.
    std::string closed_zone;
    // Availability zone that the change opens; provisional closings of it end.
    std::string opened_zone;
    // Written on behalf of an operator who was answered before: asks and
    // answers nobody.
    bool background = false;
};

// Replaces the sheet: `conflict` unless the version is `expected_version` (0:
// any). A new availability zone is in service; the others keep their state.
config_edit sheet_edit(capacity_sheet sheet,
                       std::uint64_t expected_version,
                       std::string changed_by);

// Takes an availability zone out of service or brings it back: `unknown_zone`
// if it is not in the sheet.
config_edit
zone_edit(const std::string& zone, zone_state target, std::string changed_by);

// Makes provisional closings durable on behalf of the operator of `closing`.
config_edit closings_edit(const provisional_closing& closing);

// Reasons that a reply gives.
failure unknown_zone(const std::string& zone);
failure lost_to(const configuration& winner);

} // namespace poplarramp

#endif
