#include "policy/scheduler.hpp"

#include "policy/cluster.hpp"
#include "policy/placement.hpp"
#include "policy/queue.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <unordered_map>
#include <utility>

namespace poplarramp
{

namespace
{

// A job that is queued or placed.
struct job_entry
{
    job item;
    std::string id;
    std::int64_t number = 0;
    bool placed = false;
    bool running = false;
    // It was placed once, so "not run" can no longer be promised.
    bool was_placed = false;
    std::string waits_for;
};

} // namespace

struct scheduler::state
{
    explicit state(std::string name) : zone(std::move(name))
    {
    }

    std::string zone;
    sheet plan;
    bool open = true;
    cluster servers;
    job_queue queue;
    std::unordered_map<std::string, std::int64_t> numbers;
    std::map<std::int64_t, job_entry> jobs;
    std::int64_t next_number = 1;
    // Changes whenever a job that could not be placed might fit now.
    std::uint64_t version = 1;

    job_entry* find(std::string_view id);
    job_entry& add(const job& item);
    void forget(const job_entry& entry);
    void enqueue(const job_entry& entry);
    span_limits limits() const;
    int planned_accelerators() const;
    std::optional<failure> refusal(const job& item, time_point now) const;
    lane* next_lane(lane_key& key);
    std::optional<part_list> place(const job_entry& entry) const;
    decision start(job_entry& entry, part_list parts, time_point now);
    void give_back(job_entry& entry);
};

job_entry* scheduler::state::find(std::string_view id)
{
    const auto found = numbers.find(std::string(id));
    return found == numbers.end() ? nullptr : &jobs.at(found->second);
}

job_entry& scheduler::state::add(const job& item)
{
    job_entry entry;
    entry.item = item;
    entry.id = job_id(item.request);
    entry.number = next_number++;
    entry.was_placed = !item.attempts.empty();
    numbers.emplace(entry.id, entry.number);
    return jobs.emplace(entry.number, std::move(entry)).first->second;
}

void scheduler::state::forget(const job_entry& entry)
{
    numbers.erase(entry.id);
    jobs.erase(entry.number);
}

void scheduler::state::enqueue(const job_entry& entry)
{
    queued_job item;
    item.number = entry.number;
    item.deadline = entry.item.request.deadline;
    item.accepted = entry.item.accepted;
    item.lane.order = entry.item.urgency_class == urgency::urgent
                          ? queue_class::urgent
                          : queue_class::patient;
    item.lane.customer = entry.item.request.customer;
    item.lane.accelerators = entry.item.request.accelerators;
    item.lane.pinned = is_pinned(entry.item);
    item.lane.idempotent = entry.item.idempotent;
    item.lane.kind = entry.item.request.kind;
    queue.add(item);
}

// Sizes of the plan count too, so that a gang does not spread over servers
// only because a larger server is not seen yet.
span_limits scheduler::state::limits() const
{
    span_limits found{servers.largest_server(), servers.largest_rack()};
    const auto* here = find_zone(plan, zone);
    if (here == nullptr)
    {
        return found;
    }
    std::map<std::string, int> racks;
    for (const auto& rack : here->racks)
    {
        found.largest_server =
            std::max(found.largest_server, rack.accelerators_per_server);
        int& size = racks[rack.name];
        size += rack.servers * rack.accelerators_per_server;
        found.largest_rack = std::max(found.largest_rack, size);
    }
    return found;
}

// Accelerators that the sheet plans for the availability zone; no limit if it
// has no plan.
int scheduler::state::planned_accelerators() const
{
    const auto* here = find_zone(plan, zone);
    if (here == nullptr || here->racks.empty())
    {
        return std::numeric_limits<int>::max();
    }
    return std::accumulate(
        here->racks.begin(),
        here->racks.end(),
        0,
        [](int sum, const rack_plan& rack)
        { return sum + rack.servers * rack.accelerators_per_server; });
}

std::optional<failure> scheduler::state::refusal(const job& item,
                                                 time_point now) const
{
    const int wanted = item.request.accelerators;
    if (wanted < 0 || wanted > largest_shape)
    {
        return failure{result_code::never_fits,
                       "accelerators must be from 0 to 256"};
    }
    if (wanted > planned_accelerators())
    {
        return failure{result_code::never_fits,
                       "the availability zone has fewer accelerators"};
    }
    if (item.request.deadline <= now)
    {
        return failure{result_code::shed, "the deadline has passed"};
    }
    const auto* owner = find_customer(plan, item.request.customer);
    const int limit =
        owner == nullptr ? customer{}.queue_limit : owner->queue_limit;
    if (queue.waiting(item.request.customer) >= limit)
    {
        return failure{result_code::queue_full,
                       "the customer's queue holds " + std::to_string(limit) +
                           " jobs"};
    }
    return std::nullopt;
}

// The lane whose first job is next, among those that may succeed now.
lane* scheduler::state::next_lane(lane_key& key)
{
    lane* best = nullptr;
    for (auto& [candidate, waiting] : queue.lanes())
    {
        if (waiting.failed_at == version)
        {
            continue;
        }
        const bool earlier = best == nullptr || candidate.order < key.order ||
                             (candidate.order == key.order &&
                              *waiting.jobs.begin() < *best->jobs.begin());
        if (earlier)
        {
            best = &waiting;
            key = candidate;
        }
    }
    return best;
}

std::optional<part_list> scheduler::state::place(const job_entry& entry) const
{
    const int wanted = entry.item.request.accelerators;
    if (wanted == 0)
    {
        const int server = servers.slot_server([](int) { return true; });
        return server < 0 ? std::nullopt
                          : std::optional<part_list>(part_list{{server, 0}});
    }
    const auto room = [this](int index)
    {
        const auto& server = servers.at(index);
        const bool usable = server.placeable() && server.free().slots > 0;
        return usable ? server.free().accelerators : 0;
    };
    return find_place(servers, wanted, limits(), room);
}

decision
scheduler::state::start(job_entry& entry, part_list parts, time_point now)
{
    decision made;
    made.job_id = entry.id;
    made.parts = named_parts(servers, parts);
    made.borrowed = true;
    placed_task task;
    task.number = entry.number;
    task.customer = entry.item.request.customer;
    task.parts = std::move(parts);
    task.accelerators = entry.item.request.accelerators;
    task.pinned = is_pinned(entry.item);
    task.started = now;
    servers.add_task(std::move(task));
    queue.remove(entry.number);
    entry.placed = true;
    entry.was_placed = true;
    return made;
}

void scheduler::state::give_back(job_entry& entry)
{
    if (entry.placed)
    {
        servers.remove_task(entry.number);
    }
    queue.remove(entry.number);
    entry.placed = false;
    entry.running = false;
    ++version;
}

scheduler::scheduler(std::string zone)
    : state_(std::make_unique<state>(std::move(zone)))
{
}

scheduler::~scheduler() = default;

void scheduler::set_sheet(const sheet& plan)
{
    state_->plan = plan;
    ++state_->version;
}

void scheduler::set_open(bool open)
{
    state_->open = open;
}

void scheduler::add_server(const server_info& server)
{
    state_->servers.add_server(server);
    ++state_->version;
}

void scheduler::set_placeable(std::string_view server, bool placeable)
{
    const int index = state_->servers.find(server);
    if (index >= 0)
    {
        state_->servers.set_allowed(index, placeable);
        ++state_->version;
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
    auto* known = state_->find(job_id(item.request));
    if (known != nullptr && known->placed)
    {
        return;
    }
    auto& entry = known == nullptr ? state_->add(item) : *known;
    state_->start(entry, indexed_parts(state_->servers, parts), now);
    entry.running = true;
}

bool scheduler::cancel(std::string_view job_id)
{
    auto* entry = state_->find(job_id);
    if (entry == nullptr || entry->placed)
    {
        return false;
    }
    state_->queue.remove(entry->number);
    state_->forget(*entry);
    return true;
}

void scheduler::on_started(std::string_view job_id, time_point)
{
    auto* entry = state_->find(job_id);
    if (entry != nullptr && entry->placed)
    {
        entry->running = true;
    }
}

void scheduler::on_ended(std::string_view job_id, bool, time_point)
{
    auto* entry = state_->find(job_id);
    if (entry != nullptr)
    {
        state_->give_back(*entry);
        state_->forget(*entry);
    }
}

void scheduler::requeue(std::string_view job_id, std::string_view, time_point)
{
    auto* entry = state_->find(job_id);
    if (entry != nullptr && entry->placed)
    {
        state_->give_back(*entry);
        state_->enqueue(*entry);
    }
}

std::vector<decision> scheduler::decide(time_point now)
{
    std::vector<decision> made;
    lane_key key;
    while (state_->open)
    {
        auto* next = state_->next_lane(key);
        if (next == nullptr)
        {
            break;
        }
        const auto number = std::get<2>(*next->jobs.begin());
        auto& entry = state_->jobs.at(number);
        auto parts = state_->place(entry);
        if (!parts)
        {
            next->failed_at = state_->version;
            continue;
        }
        made.push_back(state_->start(entry, std::move(*parts), now));
    }
    return made;
}

time_point scheduler::next_wake() const
{
    return no_deadline;
}

std::vector<customer_usage> scheduler::usage() const
{
    std::vector<customer_usage> result;
    for (const auto& owner : state_->plan.customers)
    {
        customer_usage row;
        row.customer = owner.name;
        row.queued = state_->queue.waiting(owner.name);
        result.push_back(std::move(row));
    }
    return result;
}

int scheduler::queued() const
{
    return state_->queue.size();
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
    job_entry probe;
    int largest = 0;
    for (int shape = 1; shape <= largest_shape; shape *= 2)
    {
        probe.item.request.accelerators = shape;
        largest = state_->place(probe) ? shape : largest;
    }
    return largest;
}

std::string scheduler::explain(std::string_view job_id) const
{
    const auto* entry = state_->find(job_id);
    if (entry == nullptr)
    {
        return {};
    }
    return entry->placed ? "placed" : "waits for free accelerators";
}

bool scheduler::guarantees_reclaimable() const
{
    return true;
}

} // namespace poplarramp
