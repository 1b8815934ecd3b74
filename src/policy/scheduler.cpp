#include "policy/scheduler.hpp"

#include "policy/decision_round.hpp"
#include "policy/zone_state.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

using detail::job_entry;
using detail::placement_phase;

std::string qualified_kind(const job_entry& entry)
{
    return entry.customer() + "/" + entry.item.request.kind;
}

std::string_view text_of(wait_reason reason)
{
    switch (reason)
    {
    case wait_reason::quota:
        return "the customer's quota is in use";
    case wait_reason::capacity:
        return "no place is free or may be reclaimed";
    case wait_reason::not_tried:
        break;
    }
    return "other jobs go first";
}

} // namespace

struct scheduler::state : detail::zone_state
{
    using zone_state::zone_state;

    std::optional<failure> refusal(const job& item, time_point now);
    void
    record_server_failure(int server, const job_entry& entry, time_point now);
    void
    add_adopted_parts(job_entry& entry, const part_list& parts, time_point now);
    void record_end(const job_entry& entry, bool succeeded, time_point now);
    std::string place_text(const job_entry& entry) const;
    std::string wait_text(const job_entry& entry) const;
};

std::optional<failure> scheduler::state::refusal(const job& item,
                                                 time_point now)
{
    if (!item.attempts.empty())
    {
        // The job may have run, for instance before a failover, so it must not
        // be reported as not run.
        return std::nullopt;
    }
    if (auto refused = never_fits(item))
    {
        return refused;
    }
    const auto shortest = shortest_run(item.request);
    const bool late = item.request.deadline != no_deadline &&
                      item.request.deadline - shortest < now;
    if (late)
    {
        return failure{result_code::shed,
                       "the deadline cannot be met: the run takes " +
                           std::to_string(shortest.count()) + " ms"};
    }
    const auto owner = customers.find(item.request.customer);
    const int limit = owner == customers.end() ? customer{}.queue_limit
                                               : owner->second.queue_limit;
    if (queue.waiting(item.request.customer) >= limit)
    {
        return failure{result_code::queue_full,
                       "the customer's queue holds " + std::to_string(limit) +
                           " jobs"};
    }
    return std::nullopt;
}

void scheduler::state::record_server_failure(int server,
                                             const job_entry& entry,
                                             time_point now)
{
    if (health.record_failure(server, entry.id, qualified_kind(entry), now))
    {
        servers.set_health(server, true, false);
        servers_changed();
    }
}

// The tasks of a gang can be reported one after the other.
void scheduler::state::add_adopted_parts(job_entry& entry,
                                         const part_list& parts,
                                         time_point now)
{
    auto all = servers.find_task(entry.number)->parts;
    const auto previous_size = all.size();
    for (const auto& next : parts)
    {
        const bool listed = std::any_of(
            all.begin(),
            all.end(),
            [&](const part& share) { return share.server == next.server; });
        if (!listed)
        {
            all.push_back(next);
        }
    }
    if (all.size() > previous_size)
    {
        release(entry);
        adopt(entry, std::move(all), now);
    }
}

// Updates the run time estimates and server health at the end of a job. The
// server on which a gang failed is not known here; the control plane names it
// when it requeues the gang.
void scheduler::state::record_end(const job_entry& entry,
                                  bool succeeded,
                                  time_point now)
{
    const auto parts = servers.find_task(entry.number)->parts;
    if (succeeded)
    {
        if (entry.run_start_known)
        {
            run_times.add(
                entry.customer(), entry.item.request.kind, now - entry.started);
        }
        for (const auto& share : parts)
        {
            if (health.record_success(share.server, qualified_kind(entry)))
            {
                servers.set_health(share.server, false, false);
                servers_changed();
            }
        }
        return;
    }
    if (!entry.stop_requested && parts.size() == 1)
    {
        record_server_failure(parts.front().server, entry, now);
    }
}

std::string scheduler::state::place_text(const job_entry& entry) const
{
    const auto* task = servers.find_task(entry.number);
    std::string text = entry.running ? "runs" : "starts";
    text += task->stopping ? ", is being preempted" : "";
    text += task->in_guarantee ? ", in guarantee, on" : ", borrowed, on";
    for (const auto& share : named_parts(servers, task->parts))
    {
        text += " " + share.server + ":" + std::to_string(share.accelerators);
    }
    return text;
}

std::string scheduler::state::wait_text(const job_entry& entry) const
{
    if (!zone_open)
    {
        return "the availability zone is out of service";
    }
    if (entry.phase == placement_phase::reserved)
    {
        return "preempted tasks are stopping";
    }
    const auto& waiting = queue.group_of(entry.number);
    const auto first = std::get<2>(*waiting.jobs.begin());
    std::string text(text_of(waiting.reason));
    if (first != entry.number)
    {
        text += "; behind " + jobs.at(first).id;
    }
    return text;
}

scheduler::scheduler(std::string zone)
    : state_(std::make_unique<state>(std::move(zone)))
{
    state_->set_sheet({});
}

scheduler::~scheduler() = default;

void scheduler::set_sheet(const capacity_sheet& sheet)
{
    state_->set_sheet(sheet);
}

void scheduler::set_zone_open(bool zone_open)
{
    state_->zone_open = zone_open;
}

void scheduler::add_server(const server_info& server)
{
    auto& zone = *state_;
    const int index = zone.servers.find(server.id);
    if (index >= 0 && !zone.servers.at(index).present)
    {
        zone.health.reset_server(index);
        zone.servers.set_health(index, false, false);
    }
    zone.servers.add_server(server);
    zone.servers_changed();
}

void scheduler::set_schedulable(std::string_view server, bool schedulable)
{
    const int index = state_->servers.find(server);
    if (index >= 0 && state_->servers.at(index).schedulable != schedulable)
    {
        state_->servers.set_schedulable(index, schedulable);
        state_->servers_changed();
    }
}

std::vector<std::string> scheduler::remove_server(std::string_view server)
{
    std::vector<std::string> affected;
    const int index = state_->servers.find(server);
    if (index < 0)
    {
        return affected;
    }
    for (const auto number : state_->servers.remove_server(index))
    {
        affected.push_back(state_->jobs.at(number).id);
    }
    state_->servers_changed();
    return affected;
}

std::optional<failure> scheduler::submit(const job& item, time_point now)
{
    if (state_->find(job_id(item.request)) != nullptr)
    {
        return std::nullopt;
    }
    if (auto refused = state_->refusal(item, now))
    {
        return refused;
    }
    state_->enqueue(state_->add(item));
    return std::nullopt;
}

void scheduler::adopt(const job& item,
                      std::span<const placement_part> parts,
                      time_point now)
{
    auto indexed = indexed_parts(state_->servers, parts);
    if (indexed.empty())
    {
        return;
    }
    auto* existing = state_->find(job_id(item.request));
    if (existing != nullptr && existing->phase == placement_phase::placed)
    {
        state_->add_adopted_parts(*existing, indexed, now);
        return;
    }
    auto& entry = existing == nullptr ? state_->add(item) : *existing;
    state_->adopt(entry, std::move(indexed), now);
}

bool scheduler::cancel(std::string_view job_id)
{
    auto* entry = state_->find(job_id);
    if (entry == nullptr)
    {
        return false;
    }
    if (entry->phase == placement_phase::placed)
    {
        entry->stop_requested = true;
        return false;
    }
    state_->remove_job(*entry);
    return true;
}

void scheduler::on_started(std::string_view job_id, time_point now)
{
    auto* entry = state_->find(job_id);
    if (entry == nullptr || entry->phase != placement_phase::placed ||
        entry->running)
    {
        return;
    }
    entry->running = true;
    entry->run_start_known = true;
    entry->started = now;
    state_->servers.mark_started(
        entry->number,
        now,
        now + state_->run_estimate(*entry, long_run_quantile));
}

void scheduler::on_ended(std::string_view job_id,
                         bool succeeded,
                         time_point now)
{
    auto* entry = state_->find(job_id);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase == placement_phase::placed)
    {
        state_->record_end(*entry, succeeded, now);
    }
    state_->remove_job(*entry);
}

void scheduler::requeue(std::string_view job_id,
                        std::string_view server_at_fault,
                        time_point now)
{
    auto* entry = state_->find(job_id);
    if (entry == nullptr || entry->phase != placement_phase::placed)
    {
        return;
    }
    const int server = state_->servers.find(server_at_fault);
    if (server >= 0)
    {
        state_->record_server_failure(server, *entry, now);
        entry->failed_on.insert(server);
    }
    state_->release(*entry);
    state_->enqueue(*entry);
}

std::vector<decision> scheduler::decide(time_point now)
{
    detail::decision_round round(*state_, now);
    return round.run();
}

time_point scheduler::next_wake() const
{
    const auto& zone = *state_;
    auto next = std::min({zone.near_deadline_timers.next(),
                          zone.drain_timers.next(),
                          zone.health.next_probe()});
    if (zone.latest_start_timers.next() != no_deadline)
    {
        next =
            std::min(next, zone.latest_start_timers.next() + milliseconds{1});
    }
    if (zone.zone_open && !zone.long_waiting.empty())
    {
        next = std::min(next, zone.next_drain_check);
    }
    return next;
}

std::vector<customer_usage> scheduler::usage() const
{
    auto& zone = *state_;
    zone.registry.refresh(zone.servers, zone.limits());
    std::vector<customer_usage> result;
    for (const auto& owner : zone.sheet.customers)
    {
        customer_usage row;
        row.customer = owner.name;
        row.queued = zone.queue.waiting(owner.name);
        row.reclaimable = zone.registry.reclaimable(owner.name);
        if (const auto total = zone.guaranteed.find(owner.name);
            total != zone.guaranteed.end())
        {
            row.guaranteed = total->second;
        }
        if (const auto account = zone.accounts.find(owner.name);
            account != zone.accounts.end())
        {
            row.in_guarantee = account->second.in_guarantee;
            row.borrowed = account->second.borrowed;
            row.queued += account->second.reserved_jobs;
        }
        result.push_back(std::move(row));
    }
    return result;
}

int scheduler::queued() const
{
    return state_->queue.size() + static_cast<int>(state_->reservations.size());
}

int scheduler::running() const
{
    return static_cast<int>(state_->servers.tasks().size());
}

int scheduler::free_accelerators() const
{
    int sum = 0;
    for (const int index : state_->servers.accelerator_servers())
    {
        const auto& server = state_->servers.at(index);
        sum += server.placeable() ? server.free().accelerators : 0;
    }
    return sum;
}

int scheduler::largest_open_shape() const
{
    const auto& servers = state_->servers;
    const auto available = [&](int index)
    {
        return free_capacity(servers.at(index));
    };
    int largest = 0;
    for (int shape = 1; shape <= largest_shape; shape *= 2)
    {
        const bool fits =
            find_place(servers, shape, state_->limits(), available).has_value();
        largest = fits ? shape : largest;
    }
    return largest;
}

std::string scheduler::explain(std::string_view job_id) const
{
    const auto* entry = std::as_const(*state_).find(job_id);
    if (entry == nullptr)
    {
        return {};
    }
    if (entry->phase == placement_phase::placed)
    {
        return state_->place_text(*entry);
    }
    return "waits: " + state_->wait_text(*entry);
}

bool scheduler::guarantees_reclaimable() const
{
    return state_->registry.refresh(state_->servers, state_->limits());
}

} // namespace poplarramp
