// Edits that operators make to the configuration.
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
    // Applies the edit to a configuration, or returns why it cannot.
    std::function<failure(configuration&)> apply;
    std::string changed_by;
    // Availability zone that is provisionally closed at the reachable entry VMs
    // before the write; empty: none.
    std::string closed_zone;
    // Availability zone that the change returns to service, which ends its
    // provisional closings; empty: none.
    std::string opened_zone;
    // The operator has already got a reply: no closing is sent to the entry VMs
    // and no reply is expected.
    bool background = false;
};

// Replaces the sheet: `conflict` unless the version is `expected_version` (0:
// any). New availability zones are in service; the others keep their state.
config_edit sheet_edit(capacity_sheet sheet,
                       std::uint64_t expected_version,
                       std::string changed_by);

// Takes an availability zone out of service or returns it to service:
// `unknown_zone` if it is not in the sheet.
config_edit
zone_edit(const std::string& zone, zone_state target, std::string changed_by);

// Makes provisional closings durable on behalf of the operator of `closing`.
config_edit closings_edit(const provisional_closing& closing);

// Errors for replies to operators.
failure unknown_zone(const std::string& zone);
failure conflict_with(const configuration& winner);

} // namespace poplarramp

#endif
