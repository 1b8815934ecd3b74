#include "control/config_edit.hpp"

#include <map>
#include <utility>

namespace poplarramp
{

config_edit sheet_edit(capacity_sheet sheet,
                       std::uint64_t expected_version,
                       std::string changed_by)
{
    config_edit edit;
    edit.changed_by = std::move(changed_by);
    edit.apply =
        [sheet = std::move(sheet), expected_version](configuration& config)
    {
        if (expected_version != 0 && config.version != expected_version)
        {
            return conflict_with(config);
        }
        std::map<std::string, zone_state> states;
        for (const auto& zone : sheet.zones)
        {
            const auto known = config.zones.find(zone.name);
            states[zone.name] =
                known == config.zones.end() ? zone_state::open : known->second;
        }
        config.sheet = sheet;
        config.zones = std::move(states);
        return failure{};
    };
    return edit;
}

config_edit
zone_edit(const std::string& zone, zone_state target, std::string changed_by)
{
    config_edit edit;
    edit.changed_by = std::move(changed_by);
    (target == zone_state::out ? edit.closed_zone : edit.opened_zone) = zone;
    edit.apply = [zone, target](configuration& config)
    {
        if (find_zone(config.sheet, zone) == nullptr)
        {
            return unknown_zone(zone);
        }
        config.zones[zone] = target;
        return failure{};
    };
    return edit;
}

config_edit closings_edit(const provisional_closing& closing)
{
    config_edit edit;
    // `config_change` adds the known closings to every change; this edit makes
    // no other change.
    edit.apply = [](configuration&)
    {
        return failure{};
    };
    edit.changed_by = closing.changed_by;
    edit.closed_zone = closing.zone;
    edit.background = true;
    return edit;
}

failure unknown_zone(const std::string& zone)
{
    return {result_code::unknown_zone,
            "availability zone \"" + zone + "\" is not in the sheet"};
}

failure conflict_with(const configuration& winner)
{
    const auto who =
        winner.changed_by.empty() ? "somebody else" : winner.changed_by;
    return {result_code::conflict,
            "changed by " + who + " to version " +
                std::to_string(winner.version)};
}

} // namespace poplarramp
