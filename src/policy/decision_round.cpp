#include "policy/decision_round.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace poplarramp::detail
{

namespace
{

// Bounds the work of one check when many jobs have waited long.
constexpr int max_drain_reservation_tries = 16;

} // namespace

std::vector<decision> decision_round::run()
{
    mark_due_probes();
    refuse_infeasible();
    shed();
    apply_wait_timers();
    if (!zone_.zone_open)
    {
        return std::move(decisions_);
    }
    prepare_blocks();
    place_ready_reservations();
    update_drain_reservations();
    const bool feasible = zone_.registry.refresh(zone_.servers, zone_.limits());
    try_drain_holders();
    try_groups();
    if (!feasible && zone_.registry.refresh(zone_.servers, zone_.limits()))
    {
        // Pinned jobs are not placed beside guarantees that do not fit; the
        // guarantees fit now.
        ++zone_.version;
        try_groups();
    }
    return std::move(decisions_);
}

void decision_round::mark_due_probes()
{
    for (const int server : zone_.health.take_due_probes(now_))
    {
        zone_.servers.set_health(server, true, true);
        ++zone_.version;
    }
}

// Refuses jobs that can no longer meet their deadline. The run time estimate
// may have decreased since the timer was set, so it is checked again.
void decision_round::shed()
{
    const auto past = now_ - milliseconds{1};
    for (const auto number : zone_.latest_start_timers.take_due(past))
    {
        auto& entry = zone_.jobs.at(number);
        const auto latest = entry.item.request.deadline -
                            zone_.shortest_run(entry.item.request);
        if (latest >= now_)
        {
            zone_.latest_start_timers.set(number, latest);
            continue;
        }
        refuse(entry,
               {result_code::shed, "the deadline cannot be met any more"});
    }
}

// Precondition: the job was never placed.
void decision_round::refuse(job_entry& entry, failure why)
{
    decision result;
    result.kind = decision_kind::refuse;
    result.job_id = entry.id;
    result.code = why.code;
    result.reason = std::move(why.reason);
    decisions_.push_back(std::move(result));
    zone_.remove_job(entry);
}

// Refuses queued jobs that can never fit under a changed sheet.
void decision_round::refuse_infeasible()
{
    if (!std::exchange(zone_.recheck_fit, false))
    {
        return;
    }
    std::vector<std::int64_t> numbers;
    numbers.reserve(zone_.queue.items().size());
    for (const auto& [number, item] : zone_.queue.items())
    {
        numbers.push_back(number);
    }
    for (const auto number : numbers)
    {
        auto& entry = zone_.jobs.at(number);
        auto why =
            entry.was_placed ? std::nullopt : zone_.never_fits(entry.item);
        if (why)
        {
            refuse(entry, std::move(*why));
        }
    }
}

void decision_round::apply_wait_timers()
{
    for (const auto number : zone_.near_deadline_timers.take_due(now_))
    {
        zone_.queue.change_class(number, queue_class::near_deadline);
    }
    for (const auto number : zone_.drain_timers.take_due(now_))
    {
        zone_.long_waiting.insert(number);
        zone_.next_drain_check = now_;
    }
}

void decision_round::prepare_blocks()
{
    if (zone_.rebuild_blocks)
    {
        zone_.rebuild();
    }
    const auto customers = std::exchange(zone_.to_promote, {});
    for (const auto& [customer, adopted] : customers)
    {
        zone_.promote(customer, adopted);
    }
}

// Places reserved jobs whose victims have stopped. Drops reservations that can
// no longer be met because a server was lost or an adopted task took the
// capacity.
void decision_round::place_ready_reservations()
{
    const auto waiting = zone_.reservations;
    for (const auto number : waiting)
    {
        auto& entry = zone_.jobs.at(number);
        bool fits = true;
        bool possible = true;
        for (const auto& share : entry.plan.parts)
        {
            const auto& server = zone_.servers.at(share.server);
            const auto later = server.prospective();
            const int left =
                server.info.accelerators - server.used.accelerators;
            fits = fits && left >= share.accelerators &&
                   server.info.slots > server.used.slots;
            possible = possible && server.placeable() &&
                       later.accelerators >= 0 && later.slots >= 0;
        }
        if (!possible)
        {
            zone_.drop_reservation(entry);
        }
        else if (fits)
        {
            decisions_.push_back(zone_.place_reserved(entry, now_));
        }
    }
}

std::vector<drain_reservation> decision_round::choose_drain_reservations()
{
    for (const auto& old : zone_.drain_reservations)
    {
        for (const int server : old.servers)
        {
            zone_.servers.set_drain_reservation(server, 0, no_deadline);
        }
    }
    std::vector<drain_reservation> chosen;
    int tries = 0;
    for (const auto number : zone_.long_waiting)
    {
        if (chosen.size() == max_drain_reservations ||
            tries++ == max_drain_reservation_tries)
        {
            break;
        }
        const auto& entry = zone_.jobs.at(number);
        if (zone_.over_quota(entry))
        {
            continue;
        }
        auto next = choose_drain_reservation(zone_.servers,
                                             zone_.limits(),
                                             number,
                                             entry.accelerators(),
                                             is_pinned(entry.item),
                                             now_);
        if (!next)
        {
            continue;
        }
        for (const int server : next->servers)
        {
            zone_.servers.set_drain_reservation(
                server, number, next->expected_drain_end);
        }
        chosen.push_back(std::move(*next));
    }
    return chosen;
}

void decision_round::update_drain_reservations()
{
    const bool ended =
        std::any_of(zone_.drain_reservations.begin(),
                    zone_.drain_reservations.end(),
                    [this](const drain_reservation& item)
                    { return zone_.long_waiting.count(item.job) == 0; });
    const bool due =
        !zone_.long_waiting.empty() && now_ >= zone_.next_drain_check;
    if (!ended && !due)
    {
        return;
    }
    zone_.next_drain_check = now_ + drain_check_interval;
    auto chosen = choose_drain_reservations();
    const bool same =
        std::equal(chosen.begin(),
                   chosen.end(),
                   zone_.drain_reservations.begin(),
                   zone_.drain_reservations.end(),
                   [](const drain_reservation& a, const drain_reservation& b)
                   {
                       return a.job == b.job && a.servers == b.servers &&
                              a.expected_drain_end == b.expected_drain_end;
                   });
    zone_.drain_reservations = std::move(chosen);
    zone_.version += same ? 0 : 1;
}

void decision_round::renew_filter()
{
    if (!filter_ || filter_version_ != zone_.version)
    {
        filter_.emplace(zone_);
        filter_version_ = zone_.version;
    }
}

// Tried separately: the holder of a drain reservation need not be first in its
// group.
void decision_round::try_drain_holders()
{
    if (zone_.drain_holders_tried_version == zone_.version)
    {
        return;
    }
    zone_.drain_holders_tried_version = zone_.version;
    renew_filter();
    for (const auto& item : zone_.drain_reservations)
    {
        const auto found = zone_.jobs.find(item.job);
        if (found != zone_.jobs.end() &&
            found->second.phase == placement_phase::queued)
        {
            try_job(found->second);
        }
    }
}

// Job groups of one class whose first job may fit, by customer.
decision_round::groups_by_customer
decision_round::candidate_groups(queue_class priority)
{
    groups_by_customer found;
    auto& groups = zone_.queue.groups();
    job_group_key first;
    first.priority = priority;
    customer_groups* candidates = nullptr;
    const std::string* customer = nullptr;
    for (auto entry = groups.lower_bound(first);
         entry != groups.end() && entry->first.priority == priority;
         ++entry)
    {
        const auto& key = entry->first;
        if (entry->second.failed_version == zone_.version)
        {
            continue;
        }
        if (customer == nullptr || *customer != key.customer)
        {
            customer = &key.customer;
            candidates = &found[key.customer];
            candidates->share = zone_.share_of(key.customer);
            candidates->largest_guaranteed_job =
                zone_.registry.largest_guaranteed_job(key.customer);
        }
        if (filter_->infeasible(key, candidates->largest_guaranteed_job))
        {
            mark_failed(entry->second, wait_reason::capacity);
            continue;
        }
        candidates->groups.emplace(*entry->second.jobs.begin(), &*entry);
    }
    std::erase_if(found,
                  [](const auto& item) { return item.second.groups.empty(); });
    return found;
}

void decision_round::mark_failed(job_group& waiting, wait_reason reason)
{
    waiting.failed_version = zone_.version;
    waiting.reason = reason;
}

// Tries the job groups in order of class, share of the guarantee in use,
// deadline and arrival, until each is empty or its first job cannot be placed.
void decision_round::try_groups()
{
    while (!try_class(queue_class::urgent) ||
           !try_class(queue_class::near_deadline) ||
           !try_class(queue_class::patient))
    {
    }
}

// False if reservations were dropped: their jobs are queued again.
bool decision_round::try_class(queue_class priority)
{
    renew_filter();
    const auto version = zone_.version;
    auto customers = candidate_groups(priority);
    const auto before = [](const auto& a, const auto& b)
    {
        const auto& left = a.second;
        const auto& right = b.second;
        if (smaller_share(left.share, right.share) ||
            smaller_share(right.share, left.share))
        {
            return smaller_share(left.share, right.share);
        }
        return left.groups.begin()->first < right.groups.begin()->first;
    };
    while (!customers.empty())
    {
        const auto next =
            std::min_element(customers.begin(), customers.end(), before);
        try_first_group(next->second);
        if (next->second.groups.empty())
        {
            customers.erase(next);
        }
        if (zone_.version != version)
        {
            return false;
        }
    }
    return true;
}

void decision_round::try_first_group(customer_groups& candidates)
{
    const auto [first, entry] = *candidates.groups.begin();
    candidates.groups.erase(candidates.groups.begin());
    const auto customer = entry->first.customer;
    const bool last = entry->second.jobs.size() == 1;
    const auto refused = try_job(zone_.jobs.at(std::get<2>(first)));
    if (refused)
    {
        mark_failed(entry->second, *refused);
        drop_infeasible(candidates);
        return;
    }
    candidates.share = zone_.share_of(customer);
    candidates.largest_guaranteed_job =
        zone_.registry.largest_guaranteed_job(customer);
    if (!last)
    {
        candidates.groups.emplace(*entry->second.jobs.begin(), entry);
    }
}

// Drops the next groups as long as an earlier failure in this round rules them
// out, which is cheaper than selecting and trying each of them.
void decision_round::drop_infeasible(customer_groups& candidates)
{
    while (!candidates.groups.empty())
    {
        const auto [first, entry] = *candidates.groups.begin();
        const auto& next = zone_.jobs.at(std::get<2>(first));
        if (!ruled_out(zone_.need_of(next, now_),
                       candidates.largest_guaranteed_job))
        {
            return;
        }
        mark_failed(entry->second, wait_reason::capacity);
        candidates.groups.erase(candidates.groups.begin());
    }
}

bool decision_round::ruled_out(const job_need& need,
                               int largest_guaranteed_job) const
{
    const bool entitled =
        need.accelerators > 0 && need.accelerators <= largest_guaranteed_job;
    const bool holder = zone_.long_waiting.count(need.number) > 0;
    return !entitled && !holder && filter_->known_to_fail(need);
}

// Places the job or reserves its place; if neither is possible, returns the
// reason.
std::optional<wait_reason> decision_round::try_job(job_entry& entry)
{
    if (zone_.over_quota(entry))
    {
        return wait_reason::quota;
    }
    auto plan = plan_for(entry);
    if (!plan)
    {
        return wait_reason::capacity;
    }
    apply_plan(entry, std::move(*plan));
    return std::nullopt;
}

std::optional<job_plan> decision_round::plan_for(const job_entry& entry)
{
    const auto need = zone_.need_of(entry, now_);
    const int largest_guaranteed_job =
        zone_.registry.largest_guaranteed_job(need.customer);
    if (ruled_out(need, largest_guaranteed_job))
    {
        return std::nullopt;
    }
    planner search(zone_.servers, zone_.registry, zone_.limits(), now_);
    if (auto plan = search.probe(need))
    {
        return plan;
    }
    const bool entitled =
        need.accelerators > 0 && need.accelerators <= largest_guaranteed_job;
    if (auto plan = plan_avoiding_failures(entry, need, entitled, search))
    {
        return plan;
    }
    if (auto plan = plan_free(need, entitled, search))
    {
        return plan;
    }
    if (entitled)
    {
        if (auto plan = plan_reclaiming(need, search))
        {
            return plan;
        }
        if (auto plan = search.borrowed(need))
        {
            return plan;
        }
    }
    auto plan = search.preempted(need);
    if (!plan)
    {
        filter_->record_failure(need);
    }
    return plan;
}

// Free place on servers where the job has not failed. If there is none, the
// other searches may return a server where it failed.
std::optional<job_plan> decision_round::plan_avoiding_failures(
    const job_entry& entry, job_need need, bool entitled, planner& search)
{
    if (entry.failed_on.empty())
    {
        return std::nullopt;
    }
    need.avoided = entry.failed_on;
    if (auto plan = plan_free(need, entitled, search))
    {
        return plan;
    }
    return search.borrowed(need);
}

// A patient job that can checkpoint takes a free place outside its guarantee
// before any task is preempted for it, and prefers the tighter place, so that
// large shapes remain free. It loses little if it is preempted later. Other
// jobs stay in their guarantee.
std::optional<job_plan>
decision_round::plan_free(const job_need& need, bool entitled, planner& search)
{
    if (!entitled)
    {
        return search.borrowed(need);
    }
    const bool movable = !need.urgent && need.can_checkpoint;
    if (!movable)
    {
        return search.in_guarantee(need);
    }
    const auto borrowed = search.borrowed(need);
    auto guaranteed = search.in_guarantee(need);
    const bool tighter =
        guaranteed && borrowed &&
        search.capacity_left(*borrowed) < search.capacity_left(*guaranteed);
    if (guaranteed && !tighter)
    {
        return guaranteed;
    }
    // Searched again, because the candidate packing of the place in the
    // guarantee has to be discarded.
    return search.borrowed(need);
}

std::optional<job_plan> decision_round::plan_reclaiming(const job_need& need,
                                                        planner& search)
{
    if (auto plan = search.reclaimed(need))
    {
        return plan;
    }
    if (!drop_borrowed_reservations())
    {
        return std::nullopt;
    }
    planner retry(zone_.servers, zone_.registry, zone_.limits(), now_);
    if (auto plan = retry.in_guarantee(need))
    {
        return plan;
    }
    return retry.reclaimed(need);
}

// Reservations of urgent jobs outside their guarantee must not delay a
// guarantee. Runs at most once per round, because the jobs reserve again when
// they are tried. True if a reservation was dropped.
bool decision_round::drop_borrowed_reservations()
{
    if (std::exchange(reservations_dropped_, true))
    {
        return false;
    }
    const auto waiting = zone_.reservations;
    bool dropped = false;
    for (const auto number : waiting)
    {
        if (zone_.registry.block_of(number) == 0)
        {
            zone_.drop_reservation(zone_.jobs.at(number));
            dropped = true;
        }
    }
    return dropped;
}

bool decision_round::fits_now(const part_list& parts) const
{
    return std::all_of(
        parts.begin(),
        parts.end(),
        [this](const part& share)
        {
            const auto left = zone_.servers.at(share.server).free();
            return left.slots > 0 && left.accelerators >= share.accelerators;
        });
}

decision decision_round::preemption(std::int64_t victim,
                                    const job_entry& entry,
                                    const job_plan& plan) const
{
    const auto& stopped = zone_.jobs.at(victim);
    decision result;
    result.kind = decision_kind::preempt;
    result.job_id = stopped.id;
    result.parts =
        named_parts(zone_.servers, zone_.servers.find_task(victim)->parts);
    result.checkpoint = stopped.item.can_checkpoint;
    result.deadline = result.checkpoint ? now_ + reclaim_timeout : now_;
    result.for_job = entry.id;
    result.for_guarantee_of = plan.in_guarantee ? entry.customer() : "";
    result.reason = plan.in_guarantee
                        ? "guarantee of " + entry.customer() + " reclaimed"
                        : "urgent job of " + entry.customer();
    return result;
}

void decision_round::apply_plan(job_entry& entry, job_plan plan)
{
    for (const auto victim : plan.victims)
    {
        decisions_.push_back(preemption(victim, entry, plan));
    }
    if (plan.probe || (plan.victims.empty() && fits_now(plan.parts)))
    {
        decisions_.push_back(zone_.place(entry, plan, now_));
        return;
    }
    zone_.reserve(entry, std::move(plan));
}

} // namespace poplarramp::detail
