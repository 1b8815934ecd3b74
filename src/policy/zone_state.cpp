#include "policy/zone_state.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace poplarramp::detail
{

namespace
{

// A patient job goes before other patient ones from this long before its
// latest start, which leaves time for running tasks to end.
constexpr milliseconds near_deadline{10 * 60 * 1000};

// `base + change`, without overflow at `no_deadline`.
time_point shifted(time_point base, milliseconds change)
{
    return base == no_deadline ? base : base + change;
}

std::map<guarantee_key, int> counts_for(const capacity_sheet& sheet,
                                        const std::string& zone)
{
    std::map<guarantee_key, int> counts;
    for (const auto& item : sheet.guarantees)
    {
        if (item.zone == zone && item.count > 0)
        {
            counts[{item.customer, item.shape}] += item.count;
        }
    }
    return counts;
}

} // namespace

job_entry* zone_state::find(std::string_view id)
{
    const auto found = numbers.find(std::string(id));
    return found == numbers.end() ? nullptr : &jobs.at(found->second);
}

const job_entry* zone_state::find(std::string_view id) const
{
    const auto found = numbers.find(std::string(id));
    return found == numbers.end() ? nullptr : &jobs.at(found->second);
}

job_entry& zone_state::add(const job& item)
{
    job_entry entry;
    entry.item = item;
    entry.id = job_id(item.request);
    entry.number = next_number++;
    entry.was_placed = !item.attempts.empty();
    numbers.emplace(entry.id, entry.number);
    return jobs.emplace(entry.number, std::move(entry)).first->second;
}

void zone_state::forget(job_entry& entry)
{
    if (entry.phase == job_phase::placed)
    {
        release(entry);
    }
    if (entry.phase == job_phase::claimed)
    {
        drop_claim(entry);
    }
    dequeue(entry);
    numbers.erase(entry.id);
    jobs.erase(entry.number);
}

void zone_state::set_sheet(const capacity_sheet& next)
{
    sheet = next;
    read_customers();
    read_zone();
    recheck_fit = true;
    if (counts_for(sheet, zone) != registry.counts())
    {
        rebuild();
    }
    registry.invalidate();
    ++version;
}

void zone_state::read_customers()
{
    customers.clear();
    guaranteed.clear();
    for (const auto& item : sheet.customers)
    {
        customers.emplace(item.name, item);
    }
    for (const auto& [owner, count] : counts_for(sheet, zone))
    {
        guaranteed[owner.first] += owner.second * count;
    }
}

// A zone without a plan has no known limit.
void zone_state::read_zone()
{
    planned_limits = {};
    planned_servers.clear();
    fits_beside_guarantees.clear();
    planned_accelerators = std::numeric_limits<int>::max();
    const auto* here = find_zone(sheet, zone);
    if (here == nullptr || here->racks.empty())
    {
        return;
    }
    planned_accelerators = 0;
    std::map<std::string, int> racks;
    for (const auto& rack : here->racks)
    {
        const int size = rack.servers * rack.accelerators_per_server;
        racks[rack.name] += size;
        planned_accelerators += size;
        const capacity one{
            0, 0, {rack.accelerators_per_server, rack.accelerators_per_server}};
        planned_servers.insert(
            planned_servers.end(), static_cast<std::size_t>(rack.servers), one);
        planned_limits.largest_rack =
            std::max(planned_limits.largest_rack, racks[rack.name]);
        if (rack.servers > 0)
        {
            planned_limits.largest_server = std::max(
                planned_limits.largest_server, rack.accelerators_per_server);
        }
    }
}

// Sizes of the plan count too, so that a gang does not spread over servers
// only because a larger server has not been claimed yet.
span_limits zone_state::limits() const
{
    return {std::max(planned_limits.largest_server, servers.largest_server()),
            std::max(planned_limits.largest_rack, servers.largest_rack())};
}

bool zone_state::over_quota(const job_entry& entry) const
{
    const auto owner = customers.find(entry.customer());
    const int quota =
        owner == customers.end() ? 0 : owner->second.quota_accelerators;
    if (quota == 0 || entry.accelerators() == 0)
    {
        return false;
    }
    const auto used = accounts.find(entry.customer());
    if (used == accounts.end())
    {
        return entry.accelerators() > quota;
    }
    return used->second.in_guarantee + used->second.borrowed +
               entry.accelerators() >
           quota;
}

std::optional<failure> zone_state::never_fits(const job& item)
{
    const int wanted = item.request.accelerators;
    if (wanted < 0 || wanted > largest_shape)
    {
        return failure{result_code::never_fits,
                       "accelerators must be from 0 to 256"};
    }
    if (wanted > planned_accelerators)
    {
        return failure{result_code::never_fits,
                       "availability zone " + zone + " has " +
                           std::to_string(planned_accelerators) +
                           " accelerators"};
    }
    const auto owner = customers.find(item.request.customer);
    const int quota =
        owner == customers.end() ? 0 : owner->second.quota_accelerators;
    if (quota > 0 && wanted > quota)
    {
        return failure{result_code::never_fits,
                       "the customer's quota is " + std::to_string(quota) +
                           " accelerators"};
    }
    if (is_pinned(item) &&
        never_beside_guarantees(item.request.customer, wanted))
    {
        return failure{result_code::never_fits,
                       "the job cannot be stopped, and the guarantees of "
                       "others leave no room for it"};
    }
    return std::nullopt;
}

// Only for shapes within one server, where packing is exact.
bool zone_state::never_beside_guarantees(const std::string& customer,
                                         int accelerators)
{
    int largest = accelerators;
    for (const auto& [owner, count] : registry.counts())
    {
        if (owner.first == customer && owner.second >= accelerators)
        {
            return false;
        }
        largest = std::max(largest, owner.second);
    }
    if (planned_servers.empty() || accelerators == 0 ||
        largest > planned_limits.largest_server)
    {
        return false;
    }
    const auto known = fits_beside_guarantees.find(accelerators);
    if (known != fits_beside_guarantees.end())
    {
        return !known->second;
    }
    const bool fits = room_beside_guarantees(accelerators);
    fits_beside_guarantees.emplace(accelerators, fits);
    return !fits;
}

// Tries one planned server of each size.
bool zone_state::room_beside_guarantees(int accelerators) const
{
    shape_counts shapes;
    for (const auto& [owner, count] : registry.counts())
    {
        shapes[owner.second] += count;
    }
    std::set<int> tried;
    for (std::size_t i = 0; i < planned_servers.size(); ++i)
    {
        const int size = planned_servers[i].left.accelerators;
        if (size < accelerators || !tried.insert(size).second)
        {
            continue;
        }
        auto left = planned_servers;
        left[i].left.accelerators -= accelerators;
        if (pack_blocks(std::move(left), shapes, planned_limits).complete)
        {
            return true;
        }
    }
    return false;
}

customer_share zone_state::share_of(const std::string& customer) const
{
    customer_share share;
    const auto total = guaranteed.find(customer);
    if (total != guaranteed.end())
    {
        share.guaranteed = std::max(1, total->second);
    }
    const auto used = accounts.find(customer);
    if (used != accounts.end())
    {
        const auto& mine = used->second;
        share.used = std::int64_t{mine.in_guarantee + mine.borrowed} *
                         slots_per_accelerator +
                     mine.without_accelerators;
    }
    return share;
}

milliseconds zone_state::run_estimate(const job_entry& entry,
                                      double quantile) const
{
    return runs.estimate(entry.customer(),
                         entry.item.request.kind,
                         quantile,
                         entry.item.expected_run);
}

// Declared run times are off by a factor of three in both directions, so only
// learned ones may refuse a job.
milliseconds zone_state::shortest_run(const job_request& request) const
{
    constexpr milliseconds not_learned{0};
    return runs.estimate(
        request.customer, request.kind, short_run, not_learned);
}

job_need zone_state::need_of(const job_entry& entry, time_point now) const
{
    job_need need;
    need.number = entry.number;
    need.customer = entry.customer();
    need.accelerators = entry.accelerators();
    need.pinned = is_pinned(entry.item);
    need.urgent = entry.item.urgency_class == urgency::urgent;
    need.idempotent = entry.item.idempotent;
    need.can_checkpoint = entry.item.can_checkpoint;
    need.expected_end = now + run_estimate(entry, long_run);
    return need;
}

void zone_state::enqueue(job_entry& entry)
{
    queued_job next;
    next.number = entry.number;
    next.deadline = entry.item.request.deadline;
    next.accepted = entry.item.accepted;
    next.lane.order = entry.item.urgency_class == urgency::urgent
                          ? queue_class::urgent
                          : queue_class::patient;
    next.lane.customer = entry.customer();
    next.lane.accelerators = entry.accelerators();
    next.lane.pinned = is_pinned(entry.item);
    next.lane.idempotent = entry.item.idempotent;
    next.lane.kind = entry.item.request.kind;
    queue.add(next);
    entry.phase = job_phase::queued;
    schedule(entry);
}

void zone_state::schedule(job_entry& entry)
{
    const auto deadline = entry.item.request.deadline;
    if (!entry.was_placed)
    {
        latest_starts.set(entry.number,
                          shifted(deadline, -shortest_run(entry.item.request)));
    }
    if (entry.item.urgency_class == urgency::patient)
    {
        rises.set(
            entry.number,
            shifted(deadline, -run_estimate(entry, long_run) - near_deadline));
    }
    if (entry.accelerators() >= min_reserved_accelerators)
    {
        patience.set(entry.number, entry.item.accepted + reservation_wait);
    }
}

void zone_state::dequeue(const job_entry& entry)
{
    queue.remove(entry.number);
    latest_starts.remove(entry.number);
    rises.remove(entry.number);
    patience.remove(entry.number);
    long_waiting.erase(entry.number);
}

void zone_state::account(const job_entry& entry, bool in_guarantee, int sign)
{
    auto& mine = accounts[entry.customer()];
    const int change = sign * entry.accelerators();
    (in_guarantee ? mine.in_guarantee : mine.borrowed) += change;
    mine.without_accelerators += entry.accelerators() == 0 ? sign : 0;
}

// Binds the block or, for a pinned borrowed job, the capacity. True if the job
// runs in guarantee.
bool zone_state::bind(job_entry& entry, const job_plan& next)
{
    const bool was_feasible = registry.refresh(servers, limits());
    if (next.in_guarantee)
    {
        const int target =
            next.block != 0 ? next.block
                            : registry.open(servers, next.owner, next.extent);
        registry.enter(servers, target, entry.number, next.parts);
    }
    else if (is_pinned(entry.item))
    {
        for (const auto& change : firm_of_pinned(next.parts))
        {
            servers.change_firm(
                change.server, change.bound.accelerators, change.bound.slots);
        }
    }
    if (was_feasible)
    {
        registry.accept();
    }
    else
    {
        registry.invalidate();
    }
    account(entry, next.in_guarantee, 1);
    return next.in_guarantee;
}

void zone_state::unbind(job_entry& entry, const part_list& parts)
{
    const bool in_guarantee = registry.block_of(entry.number) != 0;
    if (in_guarantee)
    {
        registry.leave(servers, entry.number);
        to_promote.emplace(entry.customer(), false);
    }
    else if (is_pinned(entry.item))
    {
        for (const auto& change : firm_of_pinned(parts))
        {
            servers.change_firm(
                change.server, -change.bound.accelerators, -change.bound.slots);
        }
    }
    if (!registry.refresh(servers, limits()))
    {
        registry.invalidate();
    }
    account(entry, in_guarantee, -1);
    accounts[entry.customer()].borrowed_tasks.erase(entry.number);
    ++version;
}

void zone_state::claim(job_entry& entry, job_plan next)
{
    bind(entry, next);
    servers.claim(next.parts, 1);
    dequeue(entry);
    for (const auto victim : next.victims)
    {
        servers.mark_stopping(victim);
        jobs.at(victim).stop_asked = true;
    }
    entry.plan = std::move(next);
    entry.phase = job_phase::claimed;
    claims.insert(entry.number);
    ++accounts[entry.customer()].claimed_jobs;
}

void zone_state::drop_claim(job_entry& entry)
{
    servers.claim(entry.plan.parts, -1);
    unbind(entry, entry.plan.parts);
    claims.erase(entry.number);
    --accounts[entry.customer()].claimed_jobs;
    enqueue(entry);
}

placed_task zone_state::task_of(const job_entry& entry,
                                part_list parts,
                                time_point now) const
{
    placed_task task;
    task.number = entry.number;
    task.customer = entry.customer();
    task.parts = std::move(parts);
    task.accelerators = entry.accelerators();
    task.pinned = is_pinned(entry.item);
    task.urgent = entry.item.urgency_class == urgency::urgent;
    task.idempotent = entry.item.idempotent;
    task.can_checkpoint = entry.item.can_checkpoint;
    task.checkpoint_time = entry.item.checkpoint_time;
    task.in_guarantee = registry.block_of(entry.number) != 0;
    task.started = now;
    task.expected_end = now + run_estimate(entry, long_run);
    return task;
}

decision
zone_state::place(job_entry& entry, const job_plan& next, time_point now)
{
    bind(entry, next);
    dequeue(entry);
    if (next.probe)
    {
        const int server = next.parts.front().server;
        health.probe_started(server);
        servers.set_health(server, true, false);
    }
    return start(entry, next.parts, next.probe, now);
}

decision zone_state::place_claimed(job_entry& entry, time_point now)
{
    servers.claim(entry.plan.parts, -1);
    claims.erase(entry.number);
    --accounts[entry.customer()].claimed_jobs;
    return start(entry, entry.plan.parts, false, now);
}

decision zone_state::start(job_entry& entry,
                           const part_list& parts,
                           bool probe,
                           time_point now)
{
    decision made;
    made.job_id = entry.id;
    made.parts = named_parts(servers, parts);
    made.borrowed = registry.block_of(entry.number) == 0;
    servers.add_task(task_of(entry, parts, now));
    if (made.borrowed)
    {
        accounts[entry.customer()].borrowed_tasks.insert(entry.number);
    }
    entry.probe = probe;
    entry.phase = job_phase::placed;
    entry.was_placed = true;
    entry.stop_asked = false;
    entry.running = false;
    entry.start_known = false;
    entry.started = now;
    return made;
}

void zone_state::adopt(job_entry& entry, part_list parts, time_point now)
{
    if (entry.phase == job_phase::claimed)
    {
        drop_claim(entry);
    }
    job_plan found;
    found.parts = std::move(parts);
    registry.discard();
    place(entry, found, now);
    entry.running = true;
    registry.invalidate();
    to_promote[entry.customer()] = true;
    servers_changed();
}

void zone_state::release(job_entry& entry)
{
    const auto parts = servers.find_task(entry.number)->parts;
    servers.remove_task(entry.number);
    unbind(entry, parts);
    if (entry.probe)
    {
        health.probe_ended(parts.front().server);
    }
    entry.probe = false;
    entry.running = false;
    entry.phase = job_phase::queued;
}

// Where the blocks did not fit, servers that are back may make them fit in
// another arrangement.
void zone_state::servers_changed()
{
    registry.invalidate();
    rebuild_blocks = rebuild_blocks || !registry.refresh(servers, limits());
    ++version;
}

void zone_state::demote_all()
{
    for (const auto& [number, task] : servers.tasks())
    {
        if (!task.in_guarantee)
        {
            continue;
        }
        auto& entry = jobs.at(number);
        registry.leave(servers, number);
        account(entry, true, -1);
        account(entry, false, 1);
        accounts[entry.customer()].borrowed_tasks.insert(number);
        servers.set_in_guarantee(number, false);
        const auto changes = task.pinned ? firm_of_pinned(task.parts)
                                         : std::vector<firm_change>{};
        for (const auto& change : changes)
        {
            servers.change_firm(
                change.server, change.bound.accelerators, change.bound.slots);
        }
    }
}

void zone_state::rebuild()
{
    const auto waiting = claims;
    for (const auto number : waiting)
    {
        drop_claim(jobs.at(number));
    }
    demote_all();
    registry.set_counts(counts_for(sheet, zone));
    for (const auto& [customer, mine] : accounts)
    {
        promote(customer, true);
    }
    to_promote.clear();
    rebuild_blocks = false;
    ++version;
}

// Pinned tasks first, which hold their capacity in any case, then those with
// the most of their customer beside them, who can share a block, then the
// largest.
std::vector<const placed_task*>
zone_state::promotion_order(const std::string& customer)
{
    std::vector<const placed_task*> order;
    std::map<int, int> on_server;
    for (const auto number : accounts[customer].borrowed_tasks)
    {
        const auto* task = servers.find_task(number);
        if (task->accelerators > 0 && !task->stopping)
        {
            order.push_back(task);
            on_server[task->parts.front().server] += task->accelerators;
        }
    }
    const auto key = [&](const placed_task* task)
    {
        return std::tuple(!task->pinned,
                          -on_server[task->parts.front().server],
                          -task->accelerators,
                          task->number);
    };
    std::sort(order.begin(),
              order.end(),
              [&](const placed_task* a, const placed_task* b)
              { return key(a) < key(b); });
    return order;
}

void zone_state::promote(const std::string& customer, bool adopted)
{
    if (!registry.has_blocks(customer))
    {
        return;
    }
    for (const auto* task : promotion_order(customer))
    {
        promote_task(task->number, adopted);
    }
}

bool zone_state::promote_task(std::int64_t number, bool adopted)
{
    const auto& task = *servers.find_task(number);
    for (const int block_number : registry.blocks_of(task.customer))
    {
        if (registry.blocks().at(block_number).unused >= task.accelerators &&
            promote_into(task, block_number))
        {
            return true;
        }
    }
    for (const auto& [owner, count] : registry.counts())
    {
        const bool fills = owner.second == shape_of(task.accelerators);
        if (owner.first != task.customer || owner.second < task.accelerators ||
            registry.floating(owner) <= 0 || (!fills && !adopted))
        {
            continue;
        }
        const auto extent = extent_for(task, owner.second);
        if (extent && promote_at(task, owner, *extent))
        {
            return true;
        }
    }
    return false;
}

bool zone_state::change_allowed(const placed_task& task,
                                std::vector<firm_change> changes,
                                int opened_shape)
{
    if (task.pinned)
    {
        for (const auto& held : firm_of_pinned(task.parts))
        {
            const auto same =
                std::find_if(changes.begin(),
                             changes.end(),
                             [&](const firm_change& change)
                             { return change.server == held.server; });
            if (same == changes.end())
            {
                changes.push_back(
                    {held.server,
                     {-held.bound.accelerators, -held.bound.slots}});
                continue;
            }
            same->bound.accelerators -= held.bound.accelerators;
            same->bound.slots -= held.bound.slots;
        }
    }
    if (registry.refresh(servers, limits()))
    {
        return registry.keeps(servers, limits(), changes, opened_shape);
    }
    registry.discard();
    return changes_fit(servers, changes);
}

bool zone_state::promote_into(const placed_task& task, int block_number)
{
    const auto& target = registry.blocks().at(block_number);
    for (const auto& taken : task.parts)
    {
        const bool inside = std::any_of(
            target.shares.begin(),
            target.shares.end(),
            [&](const block_share& share)
            {
                return share.server == taken.server &&
                       share.size - share.used >= taken.accelerators;
            });
        if (!inside)
        {
            return false;
        }
    }
    if (!change_allowed(task, firm_of_entry(target, task.parts), 0))
    {
        return false;
    }
    enter_promoted(task, block_number);
    return true;
}

// A block of the shape around the parts of the task.
std::optional<part_list> zone_state::extent_for(const placed_task& task,
                                                int shape)
{
    if (shape <= limits().largest_server)
    {
        if (task.parts.size() != 1)
        {
            return std::nullopt;
        }
        return part_list{{task.parts.front().server, shape}};
    }
    std::set<int> racks;
    for (const auto& taken : task.parts)
    {
        racks.insert(servers.at(taken.server).rack);
    }
    const bool one_rack = shape <= limits().largest_rack;
    if (one_rack && racks.size() != 1)
    {
        return std::nullopt;
    }
    std::vector<int> indexes;
    for (const int rack : racks)
    {
        const auto& members = servers.racks()[static_cast<std::size_t>(rack)];
        indexes.insert(indexes.end(), members.begin(), members.end());
    }
    int missing = shape;
    for (const auto& taken : task.parts)
    {
        missing -= taken.accelerators;
    }
    auto extent = widen(servers, indexes, task.parts, task.pinned, missing);
    if (!extent && !one_rack)
    {
        extent = widen(servers,
                       servers.accelerator_servers(),
                       task.parts,
                       task.pinned,
                       missing);
    }
    return extent;
}

bool zone_state::promote_at(const placed_task& task,
                            const guarantee_key& owner,
                            const part_list& extent)
{
    const auto changes = firm_of_extent(extent, task.parts);
    if (!change_allowed(task, changes, owner.second))
    {
        return false;
    }
    enter_promoted(task, registry.open(servers, owner, extent));
    return true;
}

void zone_state::enter_promoted(const placed_task& task, int block_number)
{
    if (task.pinned)
    {
        for (const auto& held : firm_of_pinned(task.parts))
        {
            servers.change_firm(
                held.server, -held.bound.accelerators, -held.bound.slots);
        }
    }
    registry.enter(servers, block_number, task.number, task.parts);
    if (registry.refresh(servers, limits()))
    {
        registry.accept();
    }
    else
    {
        registry.invalidate();
    }
    auto& entry = jobs.at(task.number);
    account(entry, false, -1);
    account(entry, true, 1);
    accounts[entry.customer()].borrowed_tasks.erase(task.number);
    servers.set_in_guarantee(task.number, true);
}

} // namespace poplarramp::detail
