#include "config/sheet_check.hpp"

#include "policy/guarantee.hpp"
#include "policy/scheduler.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <set>
#include <string>

namespace poplarramp
{

namespace
{

// Capacity of the empty racks of an availability zone.
struct zone_capacity
{
    std::vector<server_capacity> servers;
    locality_limits limits;
};

zone_capacity capacity_of(const availability_zone& zone)
{
    zone_capacity result;
    int rack = 0;
    for (const auto& spec : zone.racks)
    {
        server_capacity server;
        server.rack = rack++;
        server.left = {spec.accelerators_per_server, server_info().slots};
        for (int i = 0; i < spec.servers; ++i)
        {
            server.server = static_cast<int>(result.servers.size());
            result.servers.push_back(server);
        }
        auto& limits = result.limits;
        limits.largest_server =
            std::max(limits.largest_server, spec.accelerators_per_server);
        limits.largest_rack = std::max(
            limits.largest_rack, spec.servers * spec.accelerators_per_server);
    }
    return result;
}

failure duplicate_name(const json_location& at, const std::string& name)
{
    return invalid_value(at, "\"" + name + "\" again", "each name once");
}

template <class Item>
bool check_unique(const std::vector<Item>& items,
                  const json_location& list,
                  failure& why)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        if (!names.insert(items[i].name).second)
        {
            why = duplicate_name(list.element(i).member("name"), items[i].name);
            return false;
        }
    }
    return true;
}

template <class Item>
std::string list_names(const std::vector<Item>& items)
{
    std::string names;
    for (const auto& item : items)
    {
        names += (names.empty() ? "" : ", ") + item.name;
    }
    return names.empty() ? "none" : names;
}

// Checks a reference by name. `found` is the element of `items` with that name,
// or null.
template <class Item>
bool check_reference(const Item* found,
                     const std::vector<Item>& items,
                     const std::string& name,
                     const json_location& at,
                     failure& why)
{
    if (found != nullptr)
    {
        return true;
    }
    why = invalid_value(at, "unknown \"" + name + "\"", list_names(items));
    return false;
}

bool check_names(const capacity_sheet& sheet,
                 const json_location& top,
                 failure& why)
{
    if (!check_unique(sheet.zones, top.member("zones"), why) ||
        !check_unique(sheet.customers, top.member("customers"), why) ||
        !check_unique(sheet.kinds, top.member("kinds"), why))
    {
        return false;
    }
    for (std::size_t i = 0; i < sheet.zones.size(); ++i)
    {
        const auto racks = top.member("zones").element(i).member("racks");
        if (sheet.zones[i].racks.empty())
        {
            why = invalid_value(racks, "an empty list", "at least one rack");
            return false;
        }
        if (!check_unique(sheet.zones[i].racks, racks, why))
        {
            return false;
        }
    }
    return true;
}

bool check_kinds(const capacity_sheet& sheet,
                 const json_location& list,
                 failure& why)
{
    for (std::size_t i = 0; i < sheet.kinds.size(); ++i)
    {
        const auto zones = list.element(i).member("zones");
        for (std::size_t j = 0; j < sheet.kinds[i].zones.size(); ++j)
        {
            const auto& name = sheet.kinds[i].zones[j];
            if (!check_reference(find_zone(sheet, name),
                                 sheet.zones,
                                 name,
                                 zones.element(j),
                                 why))
            {
                return false;
            }
        }
    }
    return true;
}

bool check_guarantee(const capacity_sheet& sheet,
                     const guarantee& item,
                     const json_location& at,
                     failure& why)
{
    if (!std::has_single_bit(static_cast<unsigned>(item.shape)))
    {
        why = invalid_value(at.member("shape"),
                            std::to_string(item.shape),
                            "power of two from 1 to 256");
        return false;
    }
    return check_reference(find_customer(sheet, item.customer),
                           sheet.customers,
                           item.customer,
                           at.member("customer"),
                           why) &&
           check_reference(find_zone(sheet, item.zone),
                           sheet.zones,
                           item.zone,
                           at.member("zone"),
                           why);
}

bool check_guarantees(const capacity_sheet& sheet,
                      const json_location& list,
                      failure& why)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < sheet.guarantees.size(); ++i)
    {
        const auto& item = sheet.guarantees[i];
        if (!check_guarantee(sheet, item, list.element(i), why))
        {
            return false;
        }
        const auto key = item.customer + " in " + item.zone + " shape " +
                         std::to_string(item.shape);
        if (!seen.insert(key).second)
        {
            why = invalid_value(list.element(i),
                                key + " again",
                                "one entry per customer, zone and shape");
            return false;
        }
    }
    return true;
}

bool check_expected(const capacity_sheet& sheet,
                    const json_location& list,
                    failure& why)
{
    for (std::size_t i = 0; i < sheet.expected.size(); ++i)
    {
        const auto& item = sheet.expected[i];
        const auto at = list.element(i);
        if (!check_reference(find_customer(sheet, item.customer),
                             sheet.customers,
                             item.customer,
                             at.member("customer"),
                             why) ||
            !check_reference(find_kind(sheet, item.kind),
                             sheet.kinds,
                             item.kind,
                             at.member("kind"),
                             why))
        {
            return false;
        }
    }
    return true;
}

// Such as "16 blocks of shape 8 of which 4 (32 accelerators) do not fit".
std::string shortfall_text(const std::vector<shortfall>& missing)
{
    std::string text;
    for (const auto& item : missing)
    {
        text += text.empty() ? "" : ", ";
        text += std::to_string(item.guaranteed) + " blocks of shape " +
                std::to_string(item.shape) + " of which " +
                std::to_string(item.missing) + " (" +
                std::to_string(std::int64_t{item.missing} * item.shape) +
                " accelerators) do not fit";
    }
    return text;
}

bool check_capacity(const capacity_sheet& sheet,
                    const json_location& top,
                    failure& why)
{
    for (const auto& zone : sheet.zones)
    {
        const auto missing = find_shortfalls(sheet, zone);
        if (!missing.empty())
        {
            why = invalid_value(top.member("guarantees"),
                                shortfall_text(missing) + " in " + zone.name,
                                "guarantees that the racks of " + zone.name +
                                    " can meet together");
            return false;
        }
    }
    return true;
}

} // namespace

std::vector<shortfall> find_shortfalls(const capacity_sheet& sheet,
                                       const availability_zone& zone)
{
    shape_counts guaranteed;
    for (const auto& item : sheet.guarantees)
    {
        if (item.zone == zone.name)
        {
            guaranteed[item.shape] += item.count;
        }
    }
    const auto zone_servers = capacity_of(zone);
    const auto packed =
        pack_blocks(zone_servers.servers, guaranteed, zone_servers.limits);
    auto missing = guaranteed;
    for (const auto& place : packed.places)
    {
        --missing[place.shape];
    }
    std::vector<shortfall> result;
    for (const auto& [shape, count] : guaranteed)
    {
        if (missing[shape] > 0)
        {
            result.push_back({shape, count, missing[shape]});
        }
    }
    return result;
}

bool check_sheet(const capacity_sheet& sheet,
                 const json_location& top,
                 failure& why)
{
    return check_names(sheet, top, why) &&
           check_kinds(sheet, top.member("kinds"), why) &&
           check_guarantees(sheet, top.member("guarantees"), why) &&
           check_expected(sheet, top.member("expected"), why) &&
           check_capacity(sheet, top, why);
}

} // namespace poplarramp
