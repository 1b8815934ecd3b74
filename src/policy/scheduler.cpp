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
using detail::job_phase;

std::string kind_of(const job_entry& entry)
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
    void server_failed(int server, const job_entry& entry, time_point now);
    void
    widen_adopted(job_entry& entry, const part_list& parts, time_point now);
    void count_end(const job_entry& entry, bool succeeded, time_point now);
    std::string place_text(const job_entry& entry) const;
    std::string wait_text(const job_entry& entry) const;
};

std::optional<failure> scheduler::state::refusal(const job& item,
                                                 time_point now)
{
    if (!item.attempts.empty())
    {
        // It may have run, for instance before a failover; "not run" would be
        // wrong.
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

void scheduler::state::server_failed(int server,
                                     const job_entry& entry,
                                     time_point now)
{
    if (health.failed(server, entry.id, kind_of(entry), now))
    {
        servers.set_health(server, true, false);
        servers_changed();
    }
}

// The members of a gang can be reported one after the other.
void scheduler::state::widen_adopted(job_entry& entry,
                                     const part_list& parts,
                                     time_point now)
{
    auto all = servers.find_task(entry.number)->parts;
    const auto known = all.size();
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
    if (all.size() > known)
    {
        release(entry);
        adopt(entry, std::move(all), now);
    }
}

// Learns from the end of a task. The server of a failed gang member is not
// known here; control names it when it requeues the gang.
void scheduler::state::count_end(const job_entry& entry,
                                 bool succeeded,
                                 time_point now)
{
    const auto parts = servers.find_task(entry.number)->parts;
    if (succeeded)
    {
        if (entry.start_known)
        {
            runs.add(
                entry.customer(), entry.item.request.kind, now - entry.started);
        }
        for (const auto& share : parts)
        {
            if (health.succeeded(share.server, kind_of(entry)))
            {
                servers.set_health(share.server, false, false);
                servers_changed();
            }
        }
        return;
    }
    if (!entry.stop_asked && parts.size() == 1)
    {
        server_failed(parts.front().server, entry, now);
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
    if (!open)
    {
        return "the availability zone is out of service";
    }
    if (entry.phase == job_phase::claimed)
    {
        return "preempted tasks are stopping";
    }
    const auto& waiting = queue.lane_of(entry.number);
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

void scheduler::set_open(bool open)
{
    state_->open = open;
}

void scheduler::add_server(const server_info& server)
{
    auto& zone = *state_;
    const int known = zone.servers.find(server.id);
    if (known >= 0 && !zone.servers.at(known).known)
    {
        zone.health.forget(known);
        zone.servers.set_health(known, false, false);
    }
    zone.servers.add_server(server);
    zone.servers_changed();
}

void scheduler::set_placeable(std::string_view server, bool placeable)
{
    const int index = state_->servers.find(server);
    if (index >= 0 && state_->servers.at(index).allowed != placeable)
    {
        state_->servers.set_allowed(index, placeable);
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
    auto* known = state_->find(job_id(item.request));
    if (known != nullptr && known->phase == job_phase::placed)
    {
        state_->widen_adopted(*known, indexed, now);
        return;
    }
    auto& entry = known == nullptr ? state_->add(item) : *known;
    state_->adopt(entry, std::move(indexed), now);
}

bool scheduler::cancel(std::string_view job_id)
{
    auto* entry = state_->find(job_id);
    if (entry == nullptr)
    {
        return false;
    }
    if (entry->phase == job_phase::placed)
    {
        entry->stop_asked = true;
        return false;
    }
    state_->forget(*entry);
    return true;
}

void scheduler::on_started(std::string_view job_id, time_point now)
{
    auto* entry = state_->find(job_id);
    if (entry == nullptr || entry->phase != job_phase::placed || entry->running)
    {
        return;
    }
    entry->running = true;
    entry->start_known = true;
    entry->started = now;
    state_->servers.mark_started(
        entry->number, now, now + state_->run_estimate(*entry, long_run));
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
    if (entry->phase == job_phase::placed)
    {
        state_->count_end(*entry, succeeded, now);
    }
    state_->forget(*entry);
}

void scheduler::requeue(std::string_view job_id,
                        std::string_view server_at_fault,
                        time_point now)
{
    auto* entry = state_->find(job_id);
    if (entry == nullptr || entry->phase != job_phase::placed)
    {
        return;
    }
    const int server = state_->servers.find(server_at_fault);
    if (server >= 0)
    {
        state_->server_failed(server, *entry, now);
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
    auto next = std::min(
        {zone.rises.next(), zone.patience.next(), zone.health.next_probe()});
    if (zone.latest_starts.next() != no_deadline)
    {
        next = std::min(next, zone.latest_starts.next() + milliseconds{1});
    }
    if (zone.open && !zone.long_waiting.empty())
    {
        next = std::min(next, zone.next_reservation_check);
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
        if (const auto mine = zone.accounts.find(owner.name);
            mine != zone.accounts.end())
        {
            row.in_guarantee = mine->second.in_guarantee;
            row.borrowed = mine->second.borrowed;
            row.queued += mine->second.claimed_jobs;
        }
        result.push_back(std::move(row));
    }
    return result;
}

int scheduler::queued() const
{
    return state_->queue.size() + static_cast<int>(state_->claims.size());
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
    const auto room = [&](int index)
    {
        return free_room(servers.at(index));
    };
    int largest = 0;
    for (int shape = 1; shape <= largest_shape; shape *= 2)
    {
        const bool fits =
            find_place(servers, shape, state_->limits(), room).has_value();
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
    if (entry->phase == job_phase::placed)
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
