#include "baseline.hpp"

#include <algorithm>

namespace poplarramp
{

first_fit_queue::first_fit_queue(const std::string& /*zone*/)
{
}

void first_fit_queue::set_sheet(const capacity_sheet& /*sheet*/)
{
}

void first_fit_queue::set_zone_open(bool /*zone_open*/)
{
}

void first_fit_queue::add_server(const server_info& server)
{
    server_index_[server.id] = servers_.size();
    servers_.push_back({server, server.accelerators, server.slots});
    if (std::find(racks_.begin(), racks_.end(), server.rack) == racks_.end())
    {
        racks_.push_back(server.rack);
    }
}

std::optional<failure> first_fit_queue::submit(const job& item,
                                               time_point /*now*/)
{
    const std::string id = job_id(item.request);
    jobs_[id] = item;
    queue_.insert({static_cast<int>(item.urgency_class), arrivals_++, id});
    return std::nullopt;
}

void first_fit_queue::on_started(std::string_view /*job_id*/,
                                 time_point /*now*/)
{
}

void first_fit_queue::on_ended(std::string_view id,
                               bool /*succeeded*/,
                               time_point /*now*/)
{
    const auto found = running_.find(id);
    if (found == running_.end())
    {
        return;
    }
    take(found->second, -1);
    running_.erase(found);
    jobs_.erase(jobs_.find(id));
}

void first_fit_queue::requeue(std::string_view id,
                              std::string_view /*server_at_fault*/,
                              time_point now)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
    {
        return;
    }
    const job item = found->second;
    on_ended(id, false, now);
    submit(item, now);
}

std::vector<decision> first_fit_queue::decide(time_point /*now*/)
{
    std::vector<decision> decisions;
    int smallest_refused = no_refusal;
    for (auto next = queue_.begin(); next != queue_.end();)
    {
        const std::string id = std::get<2>(*next);
        const int accelerators = jobs_[id].request.accelerators;
        if (accelerators >= smallest_refused)
        {
            ++next;
            continue;
        }
        auto parts = find_place(accelerators);
        if (parts.empty())
        {
            smallest_refused = accelerators;
            ++next;
            continue;
        }
        take(parts, 1);
        running_[id] = parts;
        decision placement;
        placement.job_id = id;
        placement.parts = std::move(parts);
        decisions.push_back(std::move(placement));
        next = queue_.erase(next);
    }
    return decisions;
}

time_point first_fit_queue::next_wake() const
{
    return no_deadline;
}

int first_fit_queue::queued() const
{
    return static_cast<int>(queue_.size());
}

int first_fit_queue::free_accelerators() const
{
    int free = 0;
    for (const auto& server : servers_)
    {
        free += server.free_accelerators;
    }
    return free;
}

int first_fit_queue::largest_open_shape() const
{
    int largest = 0;
    for (int shape = 1; shape <= 256; shape *= 2)
    {
        largest = find_place(shape).empty() ? largest : shape;
    }
    return largest;
}

std::vector<placement_part> first_fit_queue::find_place(int accelerators) const
{
    int largest_server = 0;
    for (const auto& server : servers_)
    {
        largest_server = std::max(largest_server, server.info.accelerators);
    }
    if (accelerators <= largest_server)
    {
        return first_server(accelerators);
    }
    for (const auto& rack : racks_)
    {
        auto parts = spread(rack, accelerators);
        if (!parts.empty())
        {
            return parts;
        }
    }
    return spread("", accelerators);
}

std::vector<placement_part>
first_fit_queue::first_server(int accelerators) const
{
    for (const auto& server : servers_)
    {
        if (server.free_slots > 0 && server.free_accelerators >= accelerators)
        {
            return {{server.info.id, accelerators}};
        }
    }
    return {};
}

std::vector<placement_part> first_fit_queue::spread(std::string_view rack,
                                                    int accelerators) const
{
    std::vector<placement_part> parts;
    int missing = accelerators;
    for (const auto& server : servers_)
    {
        const bool usable = rack.empty() || server.info.rack == rack;
        if (!usable || server.free_slots == 0 || server.free_accelerators == 0)
        {
            continue;
        }
        const int taken = std::min(missing, server.free_accelerators);
        parts.push_back({server.info.id, taken});
        missing -= taken;
        if (missing == 0)
        {
            return parts;
        }
    }
    return {};
}

void first_fit_queue::take(const std::vector<placement_part>& parts, int sign)
{
    for (const auto& part : parts)
    {
        auto& server = servers_[server_index_.find(part.server)->second];
        server.free_accelerators -= sign * part.accelerators;
        server.free_slots -= sign;
    }
}

} // namespace poplarramp
