#include "control/zone_scheduler.hpp"

#include "control/zone_core.hpp"

#include <map>
#include <utility>

namespace poplarramp
{

namespace
{

using detail::job_phase;
using detail::zone_core;
using detail::zone_job;

job_state state_of(const zone_job& entry)
{
    switch (entry.phase)
    {
    case job_phase::checking:
    case job_phase::recording:
    case job_phase::awaiting_config:
        return job_state::starting;
    case job_phase::running:
        if (entry.run->stopping())
        {
            return job_state::stopping;
        }
        return entry.started ? job_state::running : job_state::starting;
    case job_phase::finishing:
        return entry.end_reported ? entry.item.outcome.state
                                  : job_state::stopping;
    case job_phase::ended:
        return entry.item.outcome.state;
    default:
        return job_state::queued;
    }
}

std::string explanation_of(const zone_core& core, const zone_job& entry)
{
    switch (entry.phase)
    {
    case job_phase::awaiting_recovery:
        return "waits until no earlier attempt can be running";
    case job_phase::recording:
        return "waits for its attempt record";
    case job_phase::awaiting_config:
        return "waits for a recent configuration";
    case job_phase::withheld:
        return "waits until no other scheduler can start it";
    case job_phase::finishing:
        return "waits for its final row";
    default:
        return core.policy->explain(entry.id);
    }
}

job_row row_of(const zone_core& core, const zone_job& entry)
{
    job_row row;
    row.customer = entry.item.request.customer;
    row.key = entry.item.request.key;
    row.kind = entry.item.request.kind;
    row.zone = core.zone;
    row.state = name_of(state_of(entry));
    row.accelerators = entry.item.request.accelerators;
    row.explanation = explanation_of(core, entry);
    if (entry.run)
    {
        for (const auto& part : entry.run->parts())
        {
            row.servers += row.servers.empty() ? "" : ",";
            row.servers += part.server;
        }
    }
    return row;
}

std::string_view state_name(const server_lease& lease)
{
    switch (lease.phase)
    {
    case lease_phase::held:
        return lease.leaving() ? "leaving" : "held";
    case lease_phase::claiming:
        return "claiming";
    case lease_phase::releasing:
        return "releasing";
    case lease_phase::unclaimed:
        break;
    }
    return lease.contested ? "held_by_other" : "unclaimed";
}

struct server_use
{
    int accelerators = 0;
    int slots = 0;
};

std::map<std::string, server_use> use_of(const zone_core& core)
{
    std::map<std::string, server_use> use;
    for (const auto& [id, entry] : core.jobs)
    {
        if (!entry->run)
        {
            continue;
        }
        for (const auto& part : entry->run->parts())
        {
            if (!is_final(part.state))
            {
                use[part.server].accelerators += part.accelerators;
                ++use[part.server].slots;
            }
        }
    }
    return use;
}

} // namespace

struct zone_scheduler::state : detail::zone_core
{
    using detail::zone_core::zone_core;
};

zone_scheduler::zone_scheduler(std::string vm,
                               std::string zone,
                               zone_scheduler_hooks hooks)
    : state_(std::make_shared<state>(
          std::move(vm), std::move(zone), std::move(hooks)))
{
}

zone_scheduler::~zone_scheduler() = default;

void zone_scheduler::activate()
{
    state_->activate();
}

void zone_scheduler::deactivate(std::function<void()> released)
{
    state_->deactivate(std::move(released));
}

bool zone_scheduler::active() const
{
    return state_->active;
}

void zone_scheduler::set_configuration(const configuration& config,
                                       bool zone_open)
{
    state_->set_configuration(config, zone_open);
}

void zone_scheduler::set_backend_servers(std::span<const vm_member> servers)
{
    state_->leases.set_members(servers);
}

failure zone_scheduler::enqueue(const job& item)
{
    return state_->enqueue(item);
}

failure zone_scheduler::cancel(std::string_view job_id)
{
    return state_->cancel(job_id);
}

job_status_reply zone_scheduler::status_of(std::string_view job_id) const
{
    job_status_reply reply;
    const auto entry = state_->find(job_id);
    if (!entry)
    {
        reply.error = {result_code::not_found,
                       "unknown job " + std::string(job_id)};
        return reply;
    }
    reply.outcome.state = state_of(*entry);
    if (is_final(reply.outcome.state))
    {
        reply.outcome = entry->item.outcome;
    }
    reply.explanation = explanation_of(*state_, *entry);
    return reply;
}

zone_status zone_scheduler::status() const
{
    const auto& core = *state_;
    zone_status result;
    result.zone = core.zone;
    result.scheduler = core.vm;
    result.open = core.zone_open;
    result.free_accelerators = core.policy->free_accelerators();
    result.largest_open_shape = core.policy->largest_open_shape();
    auto use = use_of(core);
    for (const auto& [id, lease] : core.leases.servers())
    {
        result.servers.push_back({id,
                                  lease.rack,
                                  core.zone,
                                  std::string(state_name(lease)),
                                  lease.accelerators,
                                  use[id].accelerators,
                                  use[id].slots,
                                  lease.token.epoch});
    }
    for (const auto& usage : core.policy->usage())
    {
        result.customers.push_back({usage.customer,
                                    core.zone,
                                    usage.guaranteed,
                                    usage.in_guarantee,
                                    usage.borrowed,
                                    usage.queued,
                                    usage.reclaimable});
    }
    for (const auto& [id, entry] : core.jobs)
    {
        result.jobs.push_back(row_of(core, *entry));
    }
    return result;
}

void zone_scheduler::tick()
{
    state_->tick();
}

} // namespace poplarramp
