#include "model/sheet.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

template <class Item>
const Item* find_by_name(const std::vector<Item>& items, std::string_view name)
{
    const auto found =
        std::find_if(items.begin(),
                     items.end(),
                     [name](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

std::string_view name_of(urgency value)
{
    return value == urgency::urgent ? "urgent" : "patient";
}

std::optional<urgency> urgency_of(std::string_view name)
{
    if (name == "urgent")
    {
        return urgency::urgent;
    }
    if (name == "patient")
    {
        return urgency::patient;
    }
    return std::nullopt;
}

const customer* find_customer(const capacity_sheet& sheet,
                              std::string_view name)
{
    return find_by_name(sheet.customers, name);
}

const job_kind* find_kind(const capacity_sheet& sheet, std::string_view name)
{
    return find_by_name(sheet.kinds, name);
}

const availability_zone* find_zone(const capacity_sheet& sheet,
                                   std::string_view name)
{
    return find_by_name(sheet.zones, name);
}

bool may_run_in(const job_kind& kind, std::string_view zone)
{
    return kind.zones.empty() ||
           std::find(kind.zones.begin(), kind.zones.end(), zone) !=
               kind.zones.end();
}

} // namespace poplarramp
