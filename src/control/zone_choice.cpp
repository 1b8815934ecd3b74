#include "control/zone_choice.hpp"

#include <algorithm>
#include <bit>

namespace poplarramp
{

namespace
{

// Traffic between regions is charged for. A megabyte counts as much as this
// waiting time, so that a short wait in the own region is preferred.
constexpr double traffic_cost_per_megabyte_ms = 2000;
constexpr double bytes_per_megabyte = 1 << 20U;

// The estimate counts four one-way trips of 30 ms between the regions.
constexpr double other_region_latency_ms = 120;

int capacity_of(const availability_zone& zone)
{
    int total = 0;
    for (const auto& rack : zone.racks)
    {
        total += rack.servers * rack.accelerators_per_server;
    }
    return total;
}

// The capacity is not known if the sheet lists no racks; every job then fits.
bool fits(const availability_zone& zone, int accelerators)
{
    return zone.racks.empty() || accelerators <= capacity_of(zone);
}

std::string_view region_of(const configuration& config, std::string_view zone)
{
    const auto* found = find_zone(config.sheet, zone);
    return found == nullptr ? std::string_view() : found->region;
}

int shape_of(int accelerators)
{
    return accelerators <= 0 ? 0
                             : static_cast<int>(std::bit_ceil(
                                   static_cast<unsigned>(accelerators)));
}

milliseconds run_time(const zone_choice_input& input)
{
    const auto* kind = find_kind(input.config->sheet, input.request->kind);
    return kind == nullptr ? milliseconds(0) : kind->expected_run;
}

// Expected wait for a placement in milliseconds: 0 if the shape fits now, else
// one run time for each time that the queue fills the availability zone. A
// rough figure; the scheduler's own estimate decides on load shedding.
double expected_wait(const zone_choice_input& input, std::string_view zone)
{
    const auto load = input.loads.find(zone);
    if (load == input.loads.end())
    {
        return 0;
    }
    const int shape = shape_of(input.request->accelerators);
    const auto& [largest, accelerators, queued] = load->second;
    if (shape <= largest)
    {
        return 0;
    }
    const double rounds =
        static_cast<double>(queued + shape) / std::max(accelerators, 1);
    return std::max(1.0, rounds) * static_cast<double>(run_time(input).count());
}

bool meets_deadline(const zone_choice_input& input, std::string_view zone)
{
    if (input.request->deadline == no_deadline)
    {
        return true;
    }
    const auto slack = input.request->deadline - input.now - run_time(input);
    return expected_wait(input, zone) <= static_cast<double>(slack.count());
}

double cost_of(const zone_choice_input& input, std::string_view zone)
{
    const double wait = expected_wait(input, zone);
    const auto& config = *input.config;
    if (region_of(config, zone) == region_of(config, input.own_zone))
    {
        return wait;
    }
    const double megabytes =
        static_cast<double>(input.request->payload.size()) / bytes_per_megabyte;
    return wait + other_region_latency_ms +
           megabytes * traffic_cost_per_megabyte_ms;
}

} // namespace

zone_load load_of(const zone_status& status)
{
    zone_load load;
    load.largest_open_shape = status.largest_open_shape;
    for (const auto& server : status.servers)
    {
        load.accelerators += server.accelerators;
    }
    for (const auto& item : status.jobs)
    {
        if (item.state == name_of(job_state::queued))
        {
            load.queued_accelerators += item.accelerators;
        }
    }
    return load;
}

std::vector<std::string> allowed_zones(const zone_choice_input& input,
                                       failure& why)
{
    const auto& sheet = input.config->sheet;
    const auto* kind = find_kind(sheet, input.request->kind);
    if (kind == nullptr)
    {
        why = {result_code::unknown_kind,
               "kind \"" + input.request->kind + "\" is not in the sheet"};
        return {};
    }
    bool any_fits = false;
    std::vector<std::string> result;
    for (const auto& zone : sheet.zones)
    {
        if (!may_run_in(*kind, zone.name) ||
            !fits(zone, input.request->accelerators))
        {
            continue;
        }
        any_fits = true;
        const bool own = zone.name == input.own_zone;
        if (input.is_open(zone.name) && (own || input.is_reachable(zone.name)))
        {
            result.insert(own ? result.begin() : result.end(), zone.name);
        }
    }
    if (!any_fits)
    {
        why = {result_code::never_fits,
               "no availability zone that may run the kind has " +
                   std::to_string(input.request->accelerators) +
                   " accelerators"};
    }
    else if (result.empty())
    {
        why = {result_code::zone_closed,
               "every availability zone that may run the kind is out of "
               "service or not reachable"};
    }
    return result;
}

bool own_zone_suffices(const zone_choice_input& input,
                       const std::vector<std::string>& allowed)
{
    return allowed.front() == input.own_zone &&
           meets_deadline(input, allowed.front());
}

std::string choose_zone(const zone_choice_input& input,
                        const std::vector<std::string>& allowed)
{
    if (own_zone_suffices(input, allowed))
    {
        return allowed.front();
    }
    const std::string* best = nullptr;
    double lowest = 0;
    for (const auto& zone : allowed)
    {
        const double cost = cost_of(input, zone);
        if (meets_deadline(input, zone) && (best == nullptr || cost < lowest))
        {
            best = &zone;
            lowest = cost;
        }
    }
    // No zone meets the deadline: the job goes to the own zone if allowed,
    // which causes no traffic between regions, and the scheduler decides
    // whether to shed it.
    return best == nullptr ? allowed.front() : *best;
}

} // namespace poplarramp
