#include "policy/decision_round.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace poplarramp::detail
{

namespace
{

// Bounds the work of one reservation check when many jobs wait long.
constexpr int max_reservation_tries = 16;

} // namespace

std::vector<decision> decision_round::run()
{
    ready_probes();
    refuse_unfit();
    shed();
    raise();
    if (!zone_.open)
    {
        return std::move(made_);
    }
    prepare_blocks();
    settle_claims();
    update_reservations();
    const bool feasible = zone_.registry.refresh(zone_.servers, zone_.limits());
    try_holders();
    try_lanes();
    if (!feasible && zone_.registry.refresh(zone_.servers, zone_.limits()))
    {
        // Pinned jobs were held back while the guarantees did not fit.
        ++zone_.version;
        try_lanes();
    }
    return std::move(made_);
}

void decision_round::ready_probes()
{
    for (const int server : zone_.health.take_due_probes(now_))
    {
        zone_.servers.set_health(server, true, true);
        ++zone_.version;
    }
}

// Refuses jobs that cannot end in time any more. The estimate may have become
// shorter since the timer was set.
void decision_round::shed()
{
    const auto past = now_ - milliseconds{1};
    for (const auto number : zone_.latest_starts.take_due(past))
    {
        auto& entry = zone_.jobs.at(number);
        const auto latest = entry.item.request.deadline -
                            zone_.shortest_run(entry.item.request);
        if (latest >= now_)
        {
            zone_.latest_starts.set(number, latest);
            continue;
        }
        refuse(entry,
               {result_code::shed, "the deadline cannot be met any more"});
    }
}

// Precondition: the job was never placed.
void decision_round::refuse(job_entry& entry, failure why)
{
    decision made;
    made.kind = decision_kind::refuse;
    made.job_id = entry.id;
    made.code = why.code;
    made.reason = std::move(why.reason);
    made_.push_back(std::move(made));
    zone_.forget(entry);
}

// Refuses queued jobs for which a new sheet has no room.
void decision_round::refuse_unfit()
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

void decision_round::raise()
{
    for (const auto number : zone_.rises.take_due(now_))
    {
        zone_.queue.change_class(number, queue_class::near_deadline);
    }
    for (const auto number : zone_.patience.take_due(now_))
    {
        zone_.long_waiting.insert(number);
        zone_.next_reservation_check = now_;
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

// Places claimed jobs whose victims have stopped. A claim that can no longer
// be met, because a server went or an adopted task took the room, is dropped.
void decision_round::settle_claims()
{
    const auto waiting = zone_.claims;
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
            zone_.drop_claim(entry);
        }
        else if (fits)
        {
            made_.push_back(zone_.place_claimed(entry, now_));
        }
    }
}

std::vector<reservation> decision_round::choose_reservations()
{
    for (const auto& old : zone_.reservations)
    {
        for (const int server : old.servers)
        {
            zone_.servers.set_reservation(server, 0, no_deadline);
        }
    }
    std::vector<reservation> chosen;
    int tries = 0;
    for (const auto number : zone_.long_waiting)
    {
        if (chosen.size() == max_reservations ||
            tries++ == max_reservation_tries)
        {
            break;
        }
        const auto& entry = zone_.jobs.at(number);
        if (zone_.over_quota(entry))
        {
            continue;
        }
        auto next = choose_reservation(zone_.servers,
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
            zone_.servers.set_reservation(server, number, next->from);
        }
        chosen.push_back(std::move(*next));
    }
    return chosen;
}

void decision_round::update_reservations()
{
    const bool over =
        std::any_of(zone_.reservations.begin(),
                    zone_.reservations.end(),
                    [this](const reservation& item)
                    { return zone_.long_waiting.count(item.job) == 0; });
    const bool due =
        !zone_.long_waiting.empty() && now_ >= zone_.next_reservation_check;
    if (!over && !due)
    {
        return;
    }
    zone_.next_reservation_check = now_ + reservation_check;
    auto chosen = choose_reservations();
    const bool same = std::equal(
        chosen.begin(),
        chosen.end(),
        zone_.reservations.begin(),
        zone_.reservations.end(),
        [](const reservation& a, const reservation& b) {
            return a.job == b.job && a.servers == b.servers && a.from == b.from;
        });
    zone_.reservations = std::move(chosen);
    zone_.version += same ? 0 : 1;
}

void decision_round::renew_filter()
{
    if (!filter_ || filtered_at_ != zone_.version)
    {
        filter_.emplace(zone_);
        filtered_at_ = zone_.version;
    }
}

// Holders of reservations are not necessarily first in their lane.
void decision_round::try_holders()
{
    if (zone_.holders_tried_at == zone_.version)
    {
        return;
    }
    zone_.holders_tried_at = zone_.version;
    renew_filter();
    for (const auto& item : zone_.reservations)
    {
        const auto found = zone_.jobs.find(item.job);
        if (found != zone_.jobs.end() &&
            found->second.phase == job_phase::queued)
        {
            try_job(found->second);
        }
    }
}

// Lanes of one class that may have a job to place, by customer.
decision_round::class_lanes decision_round::open_lanes(queue_class order)
{
    class_lanes found;
    auto& lanes = zone_.queue.lanes();
    lane_key first;
    first.order = order;
    customer_lanes* mine = nullptr;
    const std::string* customer = nullptr;
    for (auto entry = lanes.lower_bound(first);
         entry != lanes.end() && entry->first.order == order;
         ++entry)
    {
        const auto& key = entry->first;
        if (entry->second.failed_at == zone_.version)
        {
            continue;
        }
        if (customer == nullptr || *customer != key.customer)
        {
            customer = &key.customer;
            mine = &found[key.customer];
            mine->share = zone_.share_of(key.customer);
            mine->largest_held = zone_.registry.largest_held(key.customer);
        }
        if (filter_->hopeless(key, mine->largest_held))
        {
            block(entry->second, wait_reason::capacity);
            continue;
        }
        mine->lanes.emplace(*entry->second.jobs.begin(), &*entry);
    }
    std::erase_if(found,
                  [](const auto& item) { return item.second.lanes.empty(); });
    return found;
}

void decision_round::block(lane& waiting, wait_reason reason)
{
    waiting.failed_at = zone_.version;
    waiting.reason = reason;
}

// Tries the lanes in order of class, share of the guarantee in use, deadline
// and arrival, until each is empty or its first job cannot be placed.
void decision_round::try_lanes()
{
    while (!try_class(queue_class::urgent) ||
           !try_class(queue_class::near_deadline) ||
           !try_class(queue_class::patient))
    {
    }
}

// False if claims were dropped, whose jobs are back in the lanes.
bool decision_round::try_class(queue_class order)
{
    renew_filter();
    const auto version = zone_.version;
    auto customers = open_lanes(order);
    const auto before = [](const auto& a, const auto& b)
    {
        const auto& left = a.second;
        const auto& right = b.second;
        if (smaller_share(left.share, right.share) ||
            smaller_share(right.share, left.share))
        {
            return smaller_share(left.share, right.share);
        }
        return left.lanes.begin()->first < right.lanes.begin()->first;
    };
    while (!customers.empty())
    {
        const auto next =
            std::min_element(customers.begin(), customers.end(), before);
        try_first_lane(next->second);
        if (next->second.lanes.empty())
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

void decision_round::try_first_lane(customer_lanes& mine)
{
    const auto [first, entry] = *mine.lanes.begin();
    mine.lanes.erase(mine.lanes.begin());
    const auto customer = entry->first.customer;
    const bool last = entry->second.jobs.size() == 1;
    const auto refused = try_job(zone_.jobs.at(std::get<2>(first)));
    if (refused)
    {
        block(entry->second, *refused);
        drop_hopeless(mine);
        return;
    }
    mine.share = zone_.share_of(customer);
    mine.largest_held = zone_.registry.largest_held(customer);
    if (!last)
    {
        mine.lanes.emplace(*entry->second.jobs.begin(), entry);
    }
}

// Drops the lanes that would be next and that a failure of this round rules
// out. This is cheaper than to choose and try each.
void decision_round::drop_hopeless(customer_lanes& mine)
{
    while (!mine.lanes.empty())
    {
        const auto [first, entry] = *mine.lanes.begin();
        const auto& next = zone_.jobs.at(std::get<2>(first));
        if (!ruled_out(zone_.need_of(next, now_), mine.largest_held))
        {
            return;
        }
        block(entry->second, wait_reason::capacity);
        mine.lanes.erase(mine.lanes.begin());
    }
}

bool decision_round::ruled_out(const job_need& need, int largest_held) const
{
    const bool entitled =
        need.accelerators > 0 && need.accelerators <= largest_held;
    const bool holder = zone_.long_waiting.count(need.number) > 0;
    return !entitled && !holder && filter_->failed_before(need);
}

// Why the job cannot be placed; nothing if it was.
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
    carry_out(entry, std::move(*plan));
    return std::nullopt;
}

std::optional<job_plan> decision_round::plan_for(const job_entry& entry)
{
    const auto need = zone_.need_of(entry, now_);
    const int largest_held = zone_.registry.largest_held(need.customer);
    if (ruled_out(need, largest_held))
    {
        return std::nullopt;
    }
    planner search(zone_.servers, zone_.registry, zone_.limits(), now_);
    if (auto plan = search.probe(need))
    {
        return plan;
    }
    const bool entitled =
        need.accelerators > 0 && need.accelerators <= largest_held;
    if (auto plan = plan_elsewhere(entry, need, entitled, search))
    {
        return plan;
    }
    if (auto plan = free_plan(need, entitled, search))
    {
        return plan;
    }
    if (entitled)
    {
        if (auto plan = reclaiming_plan(need, search))
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
        filter_->note_failure(need);
    }
    return plan;
}

// Free place of a job that has failed, on servers where it has not. There may
// be none, so the job may come back to a server where it failed.
std::optional<job_plan> decision_round::plan_elsewhere(const job_entry& entry,
                                                       job_need need,
                                                       bool entitled,
                                                       planner& search)
{
    if (entry.failed_on.empty())
    {
        return std::nullopt;
    }
    need.avoided = entry.failed_on;
    if (auto plan = free_plan(need, entitled, search))
    {
        return plan;
    }
    return search.borrowed(need);
}

// A patient job that can checkpoint takes a free place outside its guarantee
// before a task is preempted for it, and the tighter of the two places, so that
// large shapes stay open: if it is preempted later, it loses little. Other
// jobs stay in their guarantee.
std::optional<job_plan>
decision_round::free_plan(const job_need& need, bool entitled, planner& search)
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
    const auto other = search.borrowed(need);
    auto mine = search.in_guarantee(need);
    const bool tighter =
        mine && other && search.room_left(*other) < search.room_left(*mine);
    if (mine && !tighter)
    {
        return mine;
    }
    // The book still holds the arrangement of the place in the guarantee; a new
    // search discards it.
    return search.borrowed(need);
}

std::optional<job_plan> decision_round::reclaiming_plan(const job_need& need,
                                                        planner& search)
{
    if (auto plan = search.reclaimed(need))
    {
        return plan;
    }
    if (!drop_borrowed_claims())
    {
        return std::nullopt;
    }
    planner again(zone_.servers, zone_.registry, zone_.limits(), now_);
    if (auto plan = again.in_guarantee(need))
    {
        return plan;
    }
    return again.reclaimed(need);
}

// Capacity that urgent jobs have claimed must not delay a guarantee. Once a
// round, because the jobs claim again when their turn comes. True if a claim
// was dropped.
bool decision_round::drop_borrowed_claims()
{
    if (std::exchange(claims_dropped_, true))
    {
        return false;
    }
    const auto waiting = zone_.claims;
    bool dropped = false;
    for (const auto number : waiting)
    {
        if (zone_.registry.block_of(number) == 0)
        {
            zone_.drop_claim(zone_.jobs.at(number));
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
    decision made;
    made.kind = decision_kind::preempt;
    made.job_id = stopped.id;
    made.parts =
        named_parts(zone_.servers, zone_.servers.find_task(victim)->parts);
    made.checkpoint = stopped.item.can_checkpoint;
    made.deadline = made.checkpoint ? now_ + reclaim_timeout : now_;
    made.for_job = entry.id;
    made.for_guarantee_of = plan.in_guarantee ? entry.customer() : "";
    made.reason = plan.in_guarantee
                      ? "guarantee of " + entry.customer() + " reclaimed"
                      : "urgent job of " + entry.customer();
    return made;
}

void decision_round::carry_out(job_entry& entry, job_plan plan)
{
    for (const auto victim : plan.victims)
    {
        made_.push_back(preemption(victim, entry, plan));
    }
    if (plan.probe || (plan.victims.empty() && fits_now(plan.parts)))
    {
        made_.push_back(zone_.place(entry, plan, now_));
        return;
    }
    zone_.claim(entry, std::move(plan));
}

} // namespace poplarramp::detail
