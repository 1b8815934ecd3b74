#include "policy/attempt_filter.hpp"

#include <algorithm>

namespace poplarramp::detail
{

attempt_filter::attempt_filter(const zone_state& zone)
    : limits_(zone.limits()),
      has_drain_reservations_(!zone.drain_reservations.empty())
{
    for (auto& by_pinned : rack_totals_)
    {
        for (auto& totals : by_pinned)
        {
            totals.assign(zone.servers.racks().size(), 0);
        }
    }
    for (const auto& state : zone.servers.servers())
    {
        add(state);
    }
}

void attempt_filter::add(const server_state& state)
{
    const bool probe = state.present && state.schedulable && state.probing;
    probing_ = probing_ || probe;
    if (!state.placeable() && !probe)
    {
        return;
    }
    const auto free = state.free();
    const auto prospective = state.prospective();
    const auto& preemptible = state.preemptible;
    const std::array<resource_amount, 2> left{
        free,
        resource_amount{prospective.accelerators + preemptible.accelerators,
                        prospective.slots + preemptible.slots}};
    for (std::size_t urgent = 0; urgent < left.size(); ++urgent)
    {
        if (left[urgent].slots <= 0)
        {
            continue;
        }
        const int all = std::max(0, left[urgent].accelerators);
        const int uncommitted = std::max(0, state.uncommitted().accelerators);
        const std::array<int, 2> available{all, std::min(all, uncommitted)};
        for (std::size_t pinned = 0; pinned < available.size(); ++pinned)
        {
            auto& max_capacity = max_capacity_[urgent][pinned];
            int& sum = rack_totals_[urgent][pinned]
                                   [static_cast<std::size_t>(state.rack)];
            sum += available[pinned];
            max_capacity[slot] = 1;
            max_capacity[server] =
                std::max(max_capacity[server], available[pinned]);
            max_capacity[rack] = std::max(max_capacity[rack], sum);
            max_capacity[racks] += available[pinned];
        }
    }
}

attempt_filter::locality attempt_filter::locality_of(int accelerators) const
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

bool attempt_filter::infeasible(const job_group_key& group,
                                int largest_guaranteed_job) const
{
    if (group.accelerators > 0 && group.accelerators <= largest_guaranteed_job)
    {
        return false;
    }
    const auto urgent = group.priority == queue_class::urgent ? 1U : 0U;
    const auto& max_capacity = max_capacity_[urgent][group.pinned ? 1U : 0U];
    return max_capacity[locality_of(group.accelerators)] <
           std::max(1, group.accelerators);
}

int attempt_filter::failure_class(const job_need& need) const
{
    const int probes = probing_ && need.idempotent && !need.pinned ? 1 : 0;
    return (((need.urgent ? 1 : 0) * 2 + (need.pinned ? 1 : 0)) * 2 + probes) *
               locality_count +
           locality_of(need.accelerators);
}

// The expected end matters only for backfill; urgent jobs do not need backfill.
time_point attempt_filter::backfill_end(const job_need& need) const
{
    return has_drain_reservations_ && !need.urgent ? need.expected_end
                                                   : time_point::min();
}

bool attempt_filter::known_to_fail(const job_need& need) const
{
    const auto found = failed_.find(failure_class(need));
    if (found == failed_.end())
    {
        return false;
    }
    const auto end = backfill_end(need);
    return std::any_of(found->second.begin(),
                       found->second.end(),
                       [&](const auto& failed) {
                           return failed.first <= need.accelerators &&
                                  failed.second <= end;
                       });
}

void attempt_filter::record_failure(const job_need& need)
{
    failed_[failure_class(need)].emplace_back(need.accelerators,
                                              backfill_end(need));
}

} // namespace poplarramp::detail
