#include "domain_phase_check.hpp"

#include "domain_simulation.hpp"

namespace poplarramp::fakes
{

namespace
{

constexpr std::int64_t check_interval_ms = 250;

// A start or stop takes a commit, an order of at most 0.8 s and a list within
// 1.8 s; a start without a reply is repeated twice, then stopped. A server that
// was lost may keep its runs for the lease of a predecessor before that.
constexpr std::int64_t max_phase_ms = 12000;
constexpr std::int64_t max_placing_ms = 3000;

bool works(const link_faults& link)
{
    constexpr milliseconds slow{100};
    return !link.partitioned && link.reply_loss_rate == 0 &&
           link.execution_delay == milliseconds(0) && link.delay < slow &&
           link.write_delay < slow;
}

bool works(const domain_simulation& sim, const fake_vm& vm)
{
    return !sim.store_down && vm.up && !vm.frozen && vm.leads() &&
           vm.scheduler && works(vm.store_link) && works(vm.server_link);
}

bool all_relays_work(const domain_simulation& sim)
{
    for (const auto& vm : sim.vms)
    {
        if (!vm->up || vm->frozen || !works(vm->inner_link) ||
            !works(vm->server_link))
        {
            return false;
        }
    }
    return true;
}

bool works(const fake_server& server)
{
    return server.up && !server.partitioned &&
           server.only_reachable_from == nullptr;
}

} // namespace

void phase_check::tick(domain_simulation& sim)
{
    if (sim.now < next_check_)
    {
        return;
    }
    next_check_ = sim.now + check_interval_ms;
    if (!sim.use_relays || all_relays_work(sim))
    {
        for (const auto& vm : sim.vms)
        {
            if (!works(sim, *vm))
            {
                continue;
            }
            for (const auto& [id, server] : sim.servers)
            {
                if (works(server))
                {
                    check_server(sim, *vm, id);
                }
            }
        }
    }
    std::erase_if(runs_,
                  [&sim](const auto& item)
                  { return item.second.seen != sim.now; });
}

void phase_check::check_server(domain_simulation& sim,
                               const fake_vm& vm,
                               const std::string& id)
{
    const auto& all = vm.scheduler->servers().all();
    const auto found = all.find(id);
    if (found == all.end())
    {
        return;
    }
    for (const auto& [run, record] : found->second.runs)
    {
        const auto phase = record.lifecycle.phase;
        if (phase == run_phase::running)
        {
            continue;
        }
        auto& item = runs_
                         .try_emplace({vm.name, vm.vm_incarnation, id, run},
                                      phase_time{phase, sim.now, sim.now})
                         .first->second;
        if (item.phase != phase)
        {
            item = {phase, sim.now, sim.now};
        }
        item.seen = sim.now;
        const auto limit =
            phase == run_phase::placing ? max_placing_ms : max_phase_ms;
        if (sim.now - item.since > limit)
        {
            sim.violations.push_back(text_of(run.task) + " on " + id +
                                     " stays in phase " +
                                     std::to_string(static_cast<int>(phase)));
            item.since = sim.now;
        }
    }
}

} // namespace poplarramp::fakes
