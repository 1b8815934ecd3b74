#include "config/sheet_check.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <map>
#include <numeric>
#include <set>
#include <string>

namespace poplarramp
{

namespace
{

// Free accelerators of each backend server of one rack.
using free_servers = std::vector<int>;

int total(const free_servers& servers)
{
    return std::accumulate(servers.begin(), servers.end(), 0);
}

std::vector<free_servers> free_of(const availability_zone& zone)
{
    // Plans with the same name are the same rack.
    std::map<std::string, free_servers> racks;
    for (const auto& plan : zone.racks)
    {
        auto& servers = racks[plan.name];
        servers.insert(
            servers.end(), plan.servers, plan.accelerators_per_server);
    }
    std::vector<free_servers> result;
    result.reserve(racks.size());
    for (auto& rack : racks)
    {
        result.push_back(std::move(rack.second));
    }
    return result;
}

// Takes `wanted` accelerators from the fullest backend servers first, so that
// the others keep room for large shapes.
void take(free_servers& servers, int wanted)
{
    std::sort(servers.begin(), servers.end());
    for (auto& free : servers)
    {
        const int taken = std::min(free, wanted);
        free -= taken;
        wanted -= taken;
    }
}

bool place_in_server(std::vector<free_servers>& racks, int shape)
{
    int* best = nullptr;
    for (auto& rack : racks)
    {
        for (auto& free : rack)
        {
            if (free >= shape && (best == nullptr || free < *best))
            {
                best = &free;
            }
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    *best -= shape;
    return true;
}

bool place_in_rack(std::vector<free_servers>& racks, int shape)
{
    free_servers* best = nullptr;
    for (auto& rack : racks)
    {
        const int free = total(rack);
        if (free >= shape && (best == nullptr || free < total(*best)))
        {
            best = &rack;
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    take(*best, shape);
    return true;
}

// Uses the emptiest racks, which are the fewest.
bool place_over_racks(std::vector<free_servers>& racks, int shape)
{
    std::sort(racks.begin(),
              racks.end(),
              [](const auto& a, const auto& b) { return total(a) > total(b); });
    int available = 0;
    for (const auto& rack : racks)
    {
        available += total(rack);
    }
    if (available < shape)
    {
        return false;
    }
    for (auto& rack : racks)
    {
        const int taken = std::min(shape, total(rack));
        take(rack, taken);
        shape -= taken;
    }
    return true;
}

// Largest backend server and largest rack of an availability zone.
struct spans
{
    int server = 0;
    int rack = 0;
};

spans spans_of(const std::vector<free_servers>& racks)
{
    spans result;
    for (const auto& rack : racks)
    {
        result.rack = std::max(result.rack, total(rack));
        for (const int free : rack)
        {
            result.server = std::max(result.server, free);
        }
    }
    return result;
}

bool place(std::vector<free_servers>& racks, const spans& largest, int shape)
{
    if (shape <= largest.server)
    {
        return place_in_server(racks, shape);
    }
    if (shape <= largest.rack)
    {
        return place_in_rack(racks, shape);
    }
    return place_over_racks(racks, shape);
}

failure found_again(const json_place& at, const std::string& name)
{
    return wrong_value(at, "\"" + name + "\" again", "each name once");
}

template <class Item>
bool check_unique(const std::vector<Item>& items,
                  const json_place& list,
                  failure& why)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        if (!names.insert(items[i].name).second)
        {
            why = found_again(list.element(i).member("name"), items[i].name);
            return false;
        }
    }
    return true;
}

template <class Item>
std::string names_of(const std::vector<Item>& items)
{
    std::string names;
    for (const auto& item : items)
    {
        names += (names.empty() ? "" : ", ") + item.name;
    }
    return names.empty() ? "none" : names;
}

// `known` is the result of a look-up of `name` among `items`.
template <class Item>
bool check_known(const Item* known,
                 const std::vector<Item>& items,
                 const std::string& name,
                 const json_place& at,
                 failure& why)
{
    if (known != nullptr)
    {
        return true;
    }
    why = wrong_value(at, "unknown \"" + name + "\"", names_of(items));
    return false;
}

bool check_names(const sheet& plan, const json_place& top, failure& why)
{
    if (!check_unique(plan.zones, top.member("zones"), why) ||
        !check_unique(plan.customers, top.member("customers"), why) ||
        !check_unique(plan.kinds, top.member("kinds"), why))
    {
        return false;
    }
    for (std::size_t i = 0; i < plan.zones.size(); ++i)
    {
        const auto racks = top.member("zones").element(i).member("racks");
        if (plan.zones[i].racks.empty())
        {
            why = wrong_value(racks, "an empty list", "at least one rack");
            return false;
        }
        if (!check_unique(plan.zones[i].racks, racks, why))
        {
            return false;
        }
    }
    return true;
}

bool check_kinds(const sheet& plan, const json_place& list, failure& why)
{
    for (std::size_t i = 0; i < plan.kinds.size(); ++i)
    {
        const auto zones = list.element(i).member("zones");
        for (std::size_t j = 0; j < plan.kinds[i].zones.size(); ++j)
        {
            const auto& name = plan.kinds[i].zones[j];
            if (!check_known(find_zone(plan, name),
                             plan.zones,
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

bool check_guarantee(const sheet& plan,
                     const guarantee& item,
                     const json_place& at,
                     failure& why)
{
    if (!std::has_single_bit(static_cast<unsigned>(item.shape)))
    {
        why = wrong_value(at.member("shape"),
                          std::to_string(item.shape),
                          "power of two from 1 to 256");
        return false;
    }
    return check_known(find_customer(plan, item.customer),
                       plan.customers,
                       item.customer,
                       at.member("customer"),
                       why) &&
           check_known(find_zone(plan, item.zone),
                       plan.zones,
                       item.zone,
                       at.member("zone"),
                       why);
}

bool check_guarantees(const sheet& plan, const json_place& list, failure& why)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < plan.guarantees.size(); ++i)
    {
        const auto& item = plan.guarantees[i];
        if (!check_guarantee(plan, item, list.element(i), why))
        {
            return false;
        }
        const auto key = item.customer + " in " + item.zone + " shape " +
                         std::to_string(item.shape);
        if (!seen.insert(key).second)
        {
            why = wrong_value(list.element(i),
                              key + " again",
                              "one entry per customer, zone and shape");
            return false;
        }
    }
    return true;
}

bool check_expected(const sheet& plan, const json_place& list, failure& why)
{
    for (std::size_t i = 0; i < plan.expected.size(); ++i)
    {
        const auto& item = plan.expected[i];
        const auto at = list.element(i);
        if (!check_known(find_customer(plan, item.customer),
                         plan.customers,
                         item.customer,
                         at.member("customer"),
                         why) ||
            !check_known(find_kind(plan, item.kind),
                         plan.kinds,
                         item.kind,
                         at.member("kind"),
                         why))
        {
            return false;
        }
    }
    return true;
}

// "16 blocks of shape 8 guaranteed, 4 of them (32 accelerators) do not fit".
std::string shortfall_text(const std::vector<shortfall>& missing)
{
    std::string text;
    for (const auto& item : missing)
    {
        text += text.empty() ? "" : ", ";
        text += std::to_string(item.wanted) + " blocks of shape " +
                std::to_string(item.shape) + " of which " +
                std::to_string(item.missing) + " (" +
                std::to_string(std::int64_t{item.missing} * item.shape) +
                " accelerators) do not fit";
    }
    return text;
}

bool check_capacity(const sheet& plan, const json_place& top, failure& why)
{
    for (const auto& zone : plan.zones)
    {
        const auto missing = find_shortfalls(plan, zone);
        if (!missing.empty())
        {
            why = wrong_value(top.member("guarantees"),
                              shortfall_text(missing) + " in " + zone.name,
                              "guarantees that the racks of " + zone.name +
                                  " can meet together");
            return false;
        }
    }
    return true;
}

} // namespace

std::vector<shortfall> find_shortfalls(const sheet& plan,
                                       const availability_zone& zone)
{
    std::map<int, int, std::greater<>> wanted;
    for (const auto& item : plan.guarantees)
    {
        if (item.zone == zone.name)
        {
            wanted[item.shape] += item.count;
        }
    }
    auto racks = free_of(zone);
    const auto largest = spans_of(racks);
    std::vector<shortfall> result;
    for (const auto& [shape, count] : wanted)
    {
        int placed = 0;
        while (placed < count && place(racks, largest, shape))
        {
            ++placed;
        }
        if (placed < count)
        {
            result.push_back({shape, count, count - placed});
        }
    }
    return result;
}

bool check_sheet(const sheet& plan, const json_place& top, failure& why)
{
    return check_names(plan, top, why) &&
           check_kinds(plan, top.member("kinds"), why) &&
           check_guarantees(plan, top.member("guarantees"), why) &&
           check_expected(plan, top.member("expected"), why) &&
           check_capacity(plan, top, why);
}

} // namespace poplarramp
