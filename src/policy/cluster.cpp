#include "policy/cluster.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

void change(resource_amount& target, int accelerators, int slots)
{
    target.accelerators += accelerators;
    target.slots += slots;
}

} // namespace

bool loses_job(const placed_task& task)
{
    return !task.idempotent && !task.can_checkpoint;
}

bool preemptible_by_urgent(const placed_task& task)
{
    return !task.pinned && !task.in_guarantee && !task.urgent &&
           !task.stopping && !loses_job(task);
}

int cluster::add_server(const server_info& server)
{
    const int existing = find(server.id);
    if (existing >= 0)
    {
        update(existing,
               [&](server_state& found)
               {
                   found.present = true;
                   found.schedulable = true;
                   found.info.accelerators = server.accelerators;
                   found.info.slots = server.slots;
               });
        update_server_index();
        return existing;
    }
    const int index = static_cast<int>(servers_.size());
    const int new_rack = static_cast<int>(racks_.size());
    const auto [rack, added] = rack_by_name_.emplace(server.rack, new_rack);
    if (added)
    {
        racks_.emplace_back();
    }
    server_state fresh;
    fresh.info = server;
    fresh.rack = rack->second;
    fresh.present = false;
    servers_.push_back(std::move(fresh));
    by_id_.emplace(server.id, index);
    update(index, [](server_state& found) { found.present = true; });
    update_server_index();
    return index;
}

int cluster::find(std::string_view id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? -1 : found->second;
}

void cluster::set_schedulable(int server, bool schedulable)
{
    update(server,
           [&](server_state& found) { found.schedulable = schedulable; });
}

void cluster::set_health(int server, bool unhealthy, bool probing)
{
    update(server,
           [&](server_state& found)
           {
               found.unhealthy = unhealthy;
               found.probing = probing;
           });
    if (probing)
    {
        probing_servers_.insert(server);
    }
    else
    {
        probing_servers_.erase(server);
    }
}

void cluster::set_drain_reservation(int server,
                                    std::int64_t job,
                                    time_point expected_drain_end)
{
    state(server).draining_for = job;
    state(server).expected_drain_end = expected_drain_end;
}

std::vector<std::int64_t> cluster::remove_server(int server)
{
    update(server, [](server_state& found) { found.present = false; });
    update_server_index();
    std::vector<std::int64_t> numbers;
    for (const auto* task : at(server).tasks)
    {
        numbers.push_back(task->number);
    }
    return numbers;
}

void cluster::add_task(placed_task task)
{
    const auto number = task.number;
    const auto& added = tasks_.emplace(number, std::move(task)).first->second;
    for (const auto& share : added.parts)
    {
        state(share.server).tasks.push_back(&added);
    }
    update_usage(added, 1);
}

void cluster::remove_task(std::int64_t number)
{
    const auto found = tasks_.find(number);
    update_usage(found->second, -1);
    for (const auto& share : found->second.parts)
    {
        auto& list = state(share.server).tasks;
        list.erase(std::find(list.begin(), list.end(), &found->second));
    }
    tasks_.erase(found);
}

const placed_task* cluster::find_task(std::int64_t number) const
{
    const auto found = tasks_.find(number);
    return found == tasks_.end() ? nullptr : &found->second;
}

void cluster::mark_stopping(std::int64_t number)
{
    auto& task = tasks_.at(number);
    if (task.stopping)
    {
        return;
    }
    update_usage(task, -1);
    task.stopping = true;
    update_usage(task, 1);
}

void cluster::mark_started(std::int64_t number,
                           time_point started,
                           time_point expected_end)
{
    auto& task = tasks_.at(number);
    task.started = started;
    task.expected_end = expected_end;
}

void cluster::set_in_guarantee(std::int64_t number, bool in_guarantee)
{
    auto& task = tasks_.at(number);
    update_usage(task, -1);
    task.in_guarantee = in_guarantee;
    update_usage(task, 1);
}

void cluster::reserve(std::span<const part> parts, int sign)
{
    for (const auto& share : parts)
    {
        update(share.server,
               [&](server_state& found)
               { change(found.reserved, sign * share.accelerators, sign); });
    }
}

void cluster::add_committed(int server, int accelerators, int slots)
{
    change(state(server).committed, accelerators, slots);
}

void cluster::change_lendable(int server, int accelerators)
{
    state(server).lendable += accelerators;
}

int cluster::find_slot_server(const std::function<bool(int)>& accepts) const
{
    for (const auto& key : by_free_slots_)
    {
        if (accepts(std::get<2>(key)))
        {
            return std::get<2>(key);
        }
    }
    return -1;
}

void cluster::update(int server,
                     const std::function<void(server_state&)>& change)
{
    auto& found = state(server);
    const auto key = [&]
    {
        return slot_key(
            found.info.accelerators > 0, found.free().slots, server);
    };
    by_free_slots_.erase(key());
    change(found);
    if (found.placeable() && found.free().slots > 0)
    {
        by_free_slots_.insert(key());
    }
}

void cluster::update_usage(const placed_task& task, int sign)
{
    for (const auto& share : task.parts)
    {
        update(share.server,
               [&](server_state& found)
               {
                   const int accelerators = sign * share.accelerators;
                   change(found.used, accelerators, sign);
                   if (preemptible_by_urgent(task))
                   {
                       change(found.preemptible, accelerators, sign);
                   }
                   if (task.stopping)
                   {
                       change(found.stopping, accelerators, sign);
                   }
               });
    }
}

void cluster::update_server_index()
{
    accelerator_servers_.clear();
    std::fill(racks_.begin(), racks_.end(), std::vector<int>{});
    largest_server_ = 0;
    largest_rack_ = 0;
    std::vector<int> rack_size(racks_.size(), 0);
    for (std::size_t i = 0; i < servers_.size(); ++i)
    {
        const auto& server = servers_[i];
        if (!server.present || server.info.accelerators == 0)
        {
            continue;
        }
        const auto rack = static_cast<std::size_t>(server.rack);
        accelerator_servers_.push_back(static_cast<int>(i));
        racks_[rack].push_back(static_cast<int>(i));
        rack_size[rack] += server.info.accelerators;
        largest_server_ = std::max(largest_server_, server.info.accelerators);
        largest_rack_ = std::max(largest_rack_, rack_size[rack]);
    }
}

std::vector<placement_part> named_parts(const cluster& servers,
                                        std::span<const part> parts)
{
    std::vector<placement_part> named;
    for (const auto& share : parts)
    {
        named.push_back({servers.at(share.server).info.id, share.accelerators});
    }
    return named;
}

part_list indexed_parts(const cluster& servers,
                        std::span<const placement_part> parts)
{
    part_list indexed;
    for (const auto& share : parts)
    {
        const int server = servers.find(share.server);
        if (server >= 0)
        {
            indexed.push_back({server, share.accelerators});
        }
    }
    return indexed;
}

} // namespace poplarramp
