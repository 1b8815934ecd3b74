#include "policy/attempt_filter.hpp"

#include <algorithm>

namespace poplarramp::detail
{

attempt_filter::attempt_filter(const zone_state& zone)
    : limits_(zone.limits()), reserved_(!zone.reservations.empty())
{
    for (auto& by_pinned : rack_sums_)
    {
        for (auto& sums : by_pinned)
        {
            sums.assign(zone.servers.racks().size(), 0);
        }
    }
    for (const auto& here : zone.servers.servers())
    {
        add(here);
    }
}

void attempt_filter::add(const server_state& here)
{
    const bool probe = here.known && here.allowed && here.probing;
    probing_ = probing_ || probe;
    if (!here.placeable() && !probe)
    {
        return;
    }
    const auto free = here.free();
    const auto later = here.prospective();
    const auto& more = here.preemptible;
    const std::array<amount, 2> left{
        free,
        amount{later.accelerators + more.accelerators,
               later.slots + more.slots}};
    for (std::size_t urgent = 0; urgent < left.size(); ++urgent)
    {
        if (left[urgent].slots <= 0)
        {
            continue;
        }
        const int all = std::max(0, left[urgent].accelerators);
        const int unbound = std::max(0, here.unbound().accelerators);
        const std::array<int, 2> rooms{all, std::min(all, unbound)};
        for (std::size_t pinned = 0; pinned < rooms.size(); ++pinned)
        {
            auto& most = most_[urgent][pinned];
            int& sum =
                rack_sums_[urgent][pinned][static_cast<std::size_t>(here.rack)];
            sum += rooms[pinned];
            most[slot] = 1;
            most[server] = std::max(most[server], rooms[pinned]);
            most[rack] = std::max(most[rack], sum);
            most[racks] += rooms[pinned];
        }
    }
}

attempt_filter::span attempt_filter::span_of(int accelerators) const
{
    if (accelerators == 0)
    {
        return slot;
    }
    if (accelerators <= limits_.largest_server)
    {
        return server;
    }
    return accelerators <= limits_.largest_rack ? rack : racks;
}

bool attempt_filter::hopeless(const lane_key& lane, int largest_held) const
{
    if (lane.accelerators > 0 && lane.accelerators <= largest_held)
    {
        return false;
    }
    const auto urgent = lane.order == queue_class::urgent ? 1U : 0U;
    const auto& most = most_[urgent][lane.pinned ? 1U : 0U];
    return most[span_of(lane.accelerators)] < std::max(1, lane.accelerators);
}

int attempt_filter::class_of(const job_need& need) const
{
    const int probes = probing_ && need.idempotent && !need.pinned ? 1 : 0;
    return (((need.urgent ? 1 : 0) * 2 + (need.pinned ? 1 : 0)) * 2 + probes) *
               span_count +
           span_of(need.accelerators);
}

// The expected end matters only for backfill; urgent jobs do not need backfill.
time_point attempt_filter::end_of(const job_need& need) const
{
    return reserved_ && !need.urgent ? need.expected_end : time_point::min();
}

bool attempt_filter::failed_before(const job_need& need) const
{
    const auto found = failed_.find(class_of(need));
    if (found == failed_.end())
    {
        return false;
    }
    const auto end = end_of(need);
    return std::any_of(found->second.begin(),
                       found->second.end(),
                       [&](const auto& failed) {
                           return failed.first <= need.accelerators &&
                                  failed.second <= end;
                       });
}

void attempt_filter::note_failure(const job_need& need)
{
    failed_[class_of(need)].emplace_back(need.accelerators, end_of(need));
}

} // namespace poplarramp::detail
