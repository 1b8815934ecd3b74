#include "policy/zone_state.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace poplarramp::detail
{

namespace
{

// A patient job gets priority over other patient jobs this long before its
// latest start, which leaves time for running tasks to end.
constexpr milliseconds near_deadline_margin{10 * 60 * 1000};

// `base + change`, without overflow at `no_deadline`.
time_point saturating_add(time_point base, milliseconds change)
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
    const auto found = numbers_by_id.find(std::string(id));
    return found == numbers_by_id.end() ? nullptr : &jobs.at(found->second);
}

const job_entry* zone_state::find(std::string_view id) const
{
    const auto found = numbers_by_id.find(std::string(id));
    return found == numbers_by_id.end() ? nullptr : &jobs.at(found->second);
}

job_entry& zone_state::add(const job& item)
{
    job_entry entry;
    entry.item = item;
    entry.id = job_id(item.request);
    entry.number = next_number++;
    entry.was_placed = !item.attempts.empty();
    numbers_by_id.emplace(entry.id, entry.number);
    return jobs.emplace(entry.number, std::move(entry)).first->second;
}

void zone_state::remove_job(job_entry& entry)
{
    if (entry.phase == placement_phase::placed)
    {
        release(entry);
    }
    if (entry.phase == placement_phase::reserved)
    {
        drop_reservation(entry);
    }
    dequeue(entry);
    numbers_by_id.erase(entry.id);
    jobs.erase(entry.number);
}

void zone_state::set_sheet(const capacity_sheet& next)
{
    sheet = next;
    index_customers();
    index_zone();
    recheck_fit = true;
    if (counts_for(sheet, zone) != registry.counts())
    {
        rebuild();
    }
    registry.invalidate();
    ++version;
}

void zone_state::index_customers()
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

// A zone without racks in the sheet has no limit of accelerators.
void zone_state::index_zone()
{
    configured_limits = {};
    configured_servers.clear();
    pinned_fit_cache.clear();
    configured_accelerators = std::numeric_limits<int>::max();
    const auto* configured_zone = find_zone(sheet, zone);
    if (configured_zone == nullptr || configured_zone->racks.empty())
    {
        return;
    }
    configured_accelerators = 0;
    std::map<std::string, int> racks;
    for (const auto& rack : configured_zone->racks)
    {
        const int size = rack.servers * rack.accelerators_per_server;
        racks[rack.name] += size;
        configured_accelerators += size;
        const server_capacity one{
            0, 0, {rack.accelerators_per_server, rack.accelerators_per_server}};
        configured_servers.insert(configured_servers.end(),
                                  static_cast<std::size_t>(rack.servers),
                                  one);
        configured_limits.largest_rack =
            std::max(configured_limits.largest_rack, racks[rack.name]);
        if (rack.servers > 0)
        {
            configured_limits.largest_server = std::max(
                configured_limits.largest_server, rack.accelerators_per_server);
        }
    }
}

// Includes the servers of the sheet, so that a gang is not split over servers
// only because a larger server has not been added yet.
locality_limits zone_state::limits() const
{
    return {
        std::max(configured_limits.largest_server, servers.largest_server()),
        std::max(configured_limits.largest_rack, servers.largest_rack())};
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
    const int accelerators = item.request.accelerators;
    if (accelerators < 0 || accelerators > largest_shape)
    {
        return failure{result_code::never_fits,
                       "accelerators must be from 0 to 256"};
    }
    if (accelerators > configured_accelerators)
    {
        return failure{result_code::never_fits,
                       "availability zone " + zone + " has " +
                           std::to_string(configured_accelerators) +
                           " accelerators"};
    }
    const auto owner = customers.find(item.request.customer);
    const int quota =
        owner == customers.end() ? 0 : owner->second.quota_accelerators;
    if (quota > 0 && accelerators > quota)
    {
        return failure{result_code::never_fits,
                       "the customer's quota is " + std::to_string(quota) +
                           " accelerators"};
    }
    if (is_pinned(item) &&
        pinned_job_never_fits(item.request.customer, accelerators))
    {
        return failure{result_code::never_fits,
                       "the job cannot be stopped, and the guarantees of "
                       "others leave no room for it"};
    }
    return std::nullopt;
}

// Decides only for shapes within one server, for which packing is exact.
bool zone_state::pinned_job_never_fits(const std::string& customer,
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
    if (configured_servers.empty() || accelerators == 0 ||
        largest > configured_limits.largest_server)
    {
        return false;
    }
    const auto known = pinned_fit_cache.find(accelerators);
    if (known != pinned_fit_cache.end())
    {
        return !known->second;
    }
    const bool fits = pinned_job_fits(accelerators);
    pinned_fit_cache.emplace(accelerators, fits);
    return !fits;
}

// Tries one configured server of each size.
bool zone_state::pinned_job_fits(int accelerators) const
{
    shape_counts shapes;
    for (const auto& [owner, count] : registry.counts())
    {
        shapes[owner.second] += count;
    }
    std::set<int> tried;
    for (std::size_t i = 0; i < configured_servers.size(); ++i)
    {
        const int size = configured_servers[i].left.accelerators;
        if (size < accelerators || !tried.insert(size).second)
        {
            continue;
        }
        auto left = configured_servers;
        left[i].left.accelerators -= accelerators;
        if (pack_blocks(std::move(left), shapes, configured_limits).complete)
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
        const auto& account = used->second;
        share.used = std::int64_t{account.in_guarantee + account.borrowed} *
                         slots_per_accelerator +
                     account.slot_only_tasks;
    }
    return share;
}

milliseconds zone_state::run_estimate(const job_entry& entry,
                                      double quantile) const
{
    return run_times.estimate(entry.customer(),
                              entry.item.request.kind,
                              quantile,
                              entry.item.expected_run);
}

// A declared run time may be wrong by a factor of three either way, so only
// learned ones are used to refuse a job.
milliseconds zone_state::shortest_run(const job_request& request) const
{
    constexpr milliseconds not_learned{0};
    return run_times.estimate(
        request.customer, request.kind, short_run_quantile, not_learned);
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
    need.expected_end = now + run_estimate(entry, long_run_quantile);
    return need;
}

void zone_state::enqueue(job_entry& entry)
{
    queued_job next;
    next.number = entry.number;
    next.deadline = entry.item.request.deadline;
    next.accepted = entry.item.accepted;
    next.group.priority = entry.item.urgency_class == urgency::urgent
                              ? queue_class::urgent
                              : queue_class::patient;
    next.group.customer = entry.customer();
    next.group.accelerators = entry.accelerators();
    next.group.pinned = is_pinned(entry.item);
    next.group.idempotent = entry.item.idempotent;
    next.group.kind = entry.item.request.kind;
    queue.add(next);
    entry.phase = placement_phase::queued;
    set_timers(entry);
}

void zone_state::set_timers(job_entry& entry)
{
    const auto deadline = entry.item.request.deadline;
    if (!entry.was_placed)
    {
        latest_start_timers.set(
            entry.number,
            saturating_add(deadline, -shortest_run(entry.item.request)));
    }
    if (entry.item.urgency_class == urgency::patient)
    {
        near_deadline_timers.set(
            entry.number,
            saturating_add(deadline,
                           -run_estimate(entry, long_run_quantile) -
                               near_deadline_margin));
    }
    if (entry.accelerators() >= min_drain_accelerators)
    {
        drain_timers.set(entry.number,
                         entry.item.accepted + drain_reservation_delay);
    }
}

void zone_state::dequeue(const job_entry& entry)
{
    queue.remove(entry.number);
    latest_start_timers.remove(entry.number);
    near_deadline_timers.remove(entry.number);
    drain_timers.remove(entry.number);
    long_waiting.erase(entry.number);
}

void zone_state::update_account(const job_entry& entry,
                                bool in_guarantee,
                                int sign)
{
    auto& account = accounts[entry.customer()];
    const int change = sign * entry.accelerators();
    (in_guarantee ? account.in_guarantee : account.borrowed) += change;
    account.slot_only_tasks += entry.accelerators() == 0 ? sign : 0;
}

// Commits the block of the plan or, for a pinned borrowed job, the capacity of
// its parts. True if the job runs in guarantee.
bool zone_state::commit_place(job_entry& entry, const job_plan& next)
{
    const bool was_feasible = registry.refresh(servers, limits());
    if (next.in_guarantee)
    {
        const int target =
            next.block != 0
                ? next.block
                : registry.open_block(servers, next.owner, next.extent);
        registry.add_task(servers, target, entry.number, next.parts);
    }
    else if (is_pinned(entry.item))
    {
        for (const auto& change : pinned_commitments(next.parts))
        {
            servers.add_committed(
                change.server, change.amount.accelerators, change.amount.slots);
        }
    }
    if (was_feasible)
    {
        registry.accept_packing();
    }
    else
    {
        registry.invalidate();
    }
    update_account(entry, next.in_guarantee, 1);
    return next.in_guarantee;
}

void zone_state::release_place(job_entry& entry, const part_list& parts)
{
    const bool in_guarantee = registry.block_of(entry.number) != 0;
    if (in_guarantee)
    {
        registry.remove_task(servers, entry.number);
        to_promote.emplace(entry.customer(), false);
    }
    else if (is_pinned(entry.item))
    {
        for (const auto& change : pinned_commitments(parts))
        {
            servers.add_committed(change.server,
                                  -change.amount.accelerators,
                                  -change.amount.slots);
        }
    }
    if (!registry.refresh(servers, limits()))
    {
        registry.invalidate();
    }
    update_account(entry, in_guarantee, -1);
    accounts[entry.customer()].borrowed_tasks.erase(entry.number);
    ++version;
}

void zone_state::reserve(job_entry& entry, job_plan next)
{
    commit_place(entry, next);
    servers.reserve(next.parts, 1);
    dequeue(entry);
    for (const auto victim : next.victims)
    {
        servers.mark_stopping(victim);
        jobs.at(victim).stop_requested = true;
    }
    entry.plan = std::move(next);
    entry.phase = placement_phase::reserved;
    reservations.insert(entry.number);
    ++accounts[entry.customer()].reserved_jobs;
}

void zone_state::drop_reservation(job_entry& entry)
{
    servers.reserve(entry.plan.parts, -1);
    release_place(entry, entry.plan.parts);
    reservations.erase(entry.number);
    --accounts[entry.customer()].reserved_jobs;
    enqueue(entry);
}

placed_task zone_state::make_task(const job_entry& entry,
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
    task.expected_end = now + run_estimate(entry, long_run_quantile);
    return task;
}

decision
zone_state::place(job_entry& entry, const job_plan& next, time_point now)
{
    commit_place(entry, next);
    dequeue(entry);
    if (next.probe)
    {
        const int server = next.parts.front().server;
        health.probe_started(server);
        servers.set_health(server, true, false);
    }
    return start(entry, next.parts, next.probe, now);
}

decision zone_state::place_reserved(job_entry& entry, time_point now)
{
    servers.reserve(entry.plan.parts, -1);
    reservations.erase(entry.number);
    --accounts[entry.customer()].reserved_jobs;
    return start(entry, entry.plan.parts, false, now);
}

decision zone_state::start(job_entry& entry,
                           const part_list& parts,
                           bool probe,
                           time_point now)
{
    decision result;
    result.job_id = entry.id;
    result.parts = named_parts(servers, parts);
    result.borrowed = registry.block_of(entry.number) == 0;
    servers.add_task(make_task(entry, parts, now));
    if (result.borrowed)
    {
        accounts[entry.customer()].borrowed_tasks.insert(entry.number);
    }
    entry.probe = probe;
    entry.phase = placement_phase::placed;
    entry.was_placed = true;
    entry.stop_requested = false;
    entry.running = false;
    entry.run_start_known = false;
    entry.started = now;
    return result;
}

void zone_state::adopt(job_entry& entry, part_list parts, time_point now)
{
    if (entry.phase == placement_phase::reserved)
    {
        drop_reservation(entry);
    }
    job_plan found;
    found.parts = std::move(parts);
    registry.discard_packing();
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
    release_place(entry, parts);
    if (entry.probe)
    {
        health.probe_ended(parts.front().server);
    }
    entry.probe = false;
    entry.running = false;
    entry.phase = placement_phase::queued;
}

// If the blocks do not fit, they are assigned again: with the changed servers
// another arrangement may fit.
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
        registry.remove_task(servers, number);
        update_account(entry, true, -1);
        update_account(entry, false, 1);
        accounts[entry.customer()].borrowed_tasks.insert(number);
        servers.set_in_guarantee(number, false);
        const auto changes = task.pinned ? pinned_commitments(task.parts)
                                         : std::vector<commitment>{};
        for (const auto& change : changes)
        {
            servers.add_committed(
                change.server, change.amount.accelerators, change.amount.slots);
        }
    }
}

void zone_state::rebuild()
{
    const auto waiting = reservations;
    for (const auto number : waiting)
    {
        drop_reservation(jobs.at(number));
    }
    demote_all();
    registry.set_counts(counts_for(sheet, zone));
    for (const auto& [customer, account] : accounts)
    {
        promote(customer, true);
    }
    to_promote.clear();
    rebuild_blocks = false;
    ++version;
}

// Pinned tasks first, because their capacity is committed in any case; then
// tasks on the servers where the customer uses the most, because they can share
// a block; then the largest.
std::vector<const placed_task*>
zone_state::promotion_order(const std::string& customer)
{
    std::vector<const placed_task*> sorted;
    std::map<int, int> on_server;
    for (const auto number : accounts[customer].borrowed_tasks)
    {
        const auto* task = servers.find_task(number);
        if (task->accelerators > 0 && !task->stopping)
        {
            sorted.push_back(task);
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
    std::sort(sorted.begin(),
              sorted.end(),
              [&](const placed_task* a, const placed_task* b)
              { return key(a) < key(b); });
    return sorted;
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
        const bool exact_shape = owner.second == shape_of(task.accelerators);
        if (owner.first != task.customer || owner.second < task.accelerators ||
            registry.unassigned_blocks(owner) <= 0 ||
            (!exact_shape && !adopted))
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

bool zone_state::is_feasible_change(const placed_task& task,
                                    std::vector<commitment> changes,
                                    int opened_shape)
{
    if (task.pinned)
    {
        for (const auto& committed : pinned_commitments(task.parts))
        {
            const auto same =
                std::find_if(changes.begin(),
                             changes.end(),
                             [&](const commitment& change)
                             { return change.server == committed.server; });
            if (same == changes.end())
            {
                changes.push_back({committed.server,
                                   {-committed.amount.accelerators,
                                    -committed.amount.slots}});
                continue;
            }
            same->amount.accelerators -= committed.amount.accelerators;
            same->amount.slots -= committed.amount.slots;
        }
    }
    if (registry.refresh(servers, limits()))
    {
        return registry.remains_feasible(
            servers, limits(), changes, opened_shape);
    }
    registry.discard_packing();
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
    if (!is_feasible_change(task, entry_commitments(target, task.parts), 0))
    {
        return false;
    }
    enter_promoted(task, block_number);
    return true;
}

// Extent of a block of the shape that contains the parts of the task.
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
    const auto changes = extent_commitments(extent, task.parts);
    if (!is_feasible_change(task, changes, owner.second))
    {
        return false;
    }
    enter_promoted(task, registry.open_block(servers, owner, extent));
    return true;
}

void zone_state::enter_promoted(const placed_task& task, int block_number)
{
    if (task.pinned)
    {
        for (const auto& committed : pinned_commitments(task.parts))
        {
            servers.add_committed(committed.server,
                                  -committed.amount.accelerators,
                                  -committed.amount.slots);
        }
    }
    registry.add_task(servers, block_number, task.number, task.parts);
    if (registry.refresh(servers, limits()))
    {
        registry.accept_packing();
    }
    else
    {
        registry.invalidate();
    }
    auto& entry = jobs.at(task.number);
    update_account(entry, false, -1);
    update_account(entry, true, 1);
    accounts[entry.customer()].borrowed_tasks.erase(task.number);
    servers.set_in_guarantee(task.number, true);
}

} // namespace poplarramp::detail
