#include "control/zone_choice.hpp"

#include <algorithm>
#include <bit>

namespace poplarramp
{

namespace
{

// Volume between regions is paid for. A megabyte is charged like this much
// waiting time, so that waiting a little at home comes first.
constexpr double charge_per_megabyte_ms = 2000;
constexpr double bytes_per_megabyte = 1 << 20U;

// Four one-way trips of 30 ms: enqueue, its answer, and the result.
constexpr double other_region_ms = 120;

int capacity_of(const availability_zone& zone)
{
    int total = 0;
    for (const auto& rack : zone.racks)
    {
        total += rack.servers * rack.accelerators_per_server;
    }
    return total;
}

// Unknown capacity, a sheet without racks, fits everything.
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

milliseconds run_time(const zone_question& question)
{
    const auto* kind =
        find_kind(question.config->sheet, question.request->kind);
    return kind == nullptr ? milliseconds(0) : kind->expected_run;
}

// Expected wait for a place, in milliseconds: none if the shape fits now, else
// one run time for each time that the queue fills the availability zone. It is
// rough; the scheduler's own estimate decides on shedding.
double expected_wait(const zone_question& question, std::string_view zone)
{
    const auto load = question.loads.find(zone);
    if (load == question.loads.end())
    {
        return 0;
    }
    const int shape = shape_of(question.request->accelerators);
    const auto& [largest, accelerators, queued] = load->second;
    if (shape <= largest)
    {
        return 0;
    }
    const double rounds =
        static_cast<double>(queued + shape) / std::max(accelerators, 1);
    return std::max(1.0, rounds) *
           static_cast<double>(run_time(question).count());
}

bool meets_deadline(const zone_question& question, std::string_view zone)
{
    if (question.request->deadline == no_deadline)
    {
        return true;
    }
    const auto slack =
        question.request->deadline - question.now - run_time(question);
    return expected_wait(question, zone) <= static_cast<double>(slack.count());
}

double cost_of(const zone_question& question, std::string_view zone)
{
    const double wait = expected_wait(question, zone);
    const auto& config = *question.config;
    if (region_of(config, zone) == region_of(config, question.own_zone))
    {
        return wait;
    }
    const double megabytes =
        static_cast<double>(question.request->payload.size()) /
        bytes_per_megabyte;
    return wait + other_region_ms + megabytes * charge_per_megabyte_ms;
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

std::vector<std::string> allowed_zones(const zone_question& question,
                                       failure& why)
{
    const auto& sheet = question.config->sheet;
    const auto* kind = find_kind(sheet, question.request->kind);
    if (kind == nullptr)
    {
        why = {result_code::unknown_kind,
               "kind \"" + question.request->kind + "\" is not in the sheet"};
        return {};
    }
    bool any_fits = false;
    std::vector<std::string> result;
    for (const auto& zone : sheet.zones)
    {
        if (!may_run_in(*kind, zone.name) ||
            !fits(zone, question.request->accelerators))
        {
            continue;
        }
        any_fits = true;
        const bool own = zone.name == question.own_zone;
        if (question.is_open(zone.name) &&
            (own || question.is_reachable(zone.name)))
        {
            result.insert(own ? result.begin() : result.end(), zone.name);
        }
    }
    if (!any_fits)
    {
        why = {result_code::never_fits,
               "no availability zone that may run the kind has " +
                   std::to_string(question.request->accelerators) +
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

bool own_zone_suffices(const zone_question& question,
                       const std::vector<std::string>& allowed)
{
    return allowed.front() == question.own_zone &&
           meets_deadline(question, allowed.front());
}

std::string choose_zone(const zone_question& question,
                        const std::vector<std::string>& allowed)
{
    if (own_zone_suffices(question, allowed))
    {
        return allowed.front();
    }
    const std::string* best = nullptr;
    double lowest = 0;
    for (const auto& zone : allowed)
    {
        const double cost = cost_of(question, zone);
        if (meets_deadline(question, zone) &&
            (best == nullptr || cost < lowest))
        {
            best = &zone;
            lowest = cost;
        }
    }
    // No place meets the deadline: the job stays at home, where it costs no
    // volume, and the scheduler decides whether to shed it.
    return best == nullptr ? allowed.front() : *best;
}

} // namespace poplarramp
