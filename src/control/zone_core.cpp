#include "control/zone_core.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp::detail
{

namespace
{

// Entry VMs poll the state of their jobs every second; an ended job is kept
// long enough for them to see its outcome.
constexpr milliseconds ended_job_retention{120000};

lease_hooks hooks_of(zone_core& core)
{
    lease_hooks hooks;
    hooks.now = core.hooks.now;
    hooks.on_claimed =
        [&core](const std::string& server, const claim_reply& reply)
    {
        core.on_claimed(server, reply);
    };
    hooks.on_event = [&core](const task_event& event, const event_ref& ref)
    {
        core.on_event(event, ref);
    };
    hooks.on_lease_lost = [&core](const std::string& server)
    {
        core.policy->set_schedulable(server, false);
    };
    hooks.on_server_removed = [&core](const std::string& server)
    {
        core.on_server_removed(server);
    };
    hooks.on_leaving = [&core](const std::string& server, bool leaving)
    {
        const auto* lease = core.leases.find(server);
        const bool held = lease && lease->phase == lease_phase::held;
        core.policy->set_schedulable(server, held && !leaving);
    };
    return hooks;
}

// Interval for jobs that wait for an event rather than a deadline. Ticking each
// running job every 25 ms takes 0.045 core with 1,400 of them.
constexpr milliseconds full_tick_interval{250};

// True if only an event or the loss of a backend server can change the job.
bool waits_for_event(const zone_job& entry)
{
    if (entry.phase != job_phase::running)
    {
        return entry.phase == job_phase::ended ||
               entry.phase == job_phase::queued;
    }
    const auto& parts = entry.run->parts();
    return !entry.run->stopping() &&
           std::all_of(parts.begin(),
                       parts.end(),
                       [](const run_part& part)
                       { return part.state == part_state::running; });
}

} // namespace

zone_core::zone_core(std::string vm_name,
                     std::string zone_name,
                     zone_scheduler_hooks all_hooks)
    : vm(std::move(vm_name)), zone(std::move(zone_name)),
      hooks(std::move(all_hooks)), policy(std::make_unique<scheduler>(zone)),
      leases(vm, hooks.backend, hooks_of(*this)),
      rows(zone, hooks.store, hooks.clock, hooks.now),
      scan(rows, hooks.now, [this](const std::string& id) { on_open_job(id); })
{
}

time_point zone_core::now() const
{
    return hooks.now();
}

void zone_core::activate()
{
    if (active)
    {
        return;
    }
    if (releasing)
    {
        releasing = false;
        leases.release_all(std::move(on_released));
    }
    log_line(log_level::info,
             "sched",
             "The scheduler has started.",
             {{"zone", zone}});
    active = true;
    activated_at = now();
    last_foreign_claim = activated_at;
    takeover_done = false;
    policy->set_zone_open(zone_open);
    leases.activate();
    scan.start();
}

void zone_core::deactivate(std::function<void()> released)
{
    log_line(log_level::info,
             "sched",
             "The scheduler has stopped.",
             {{"zone", zone}});
    active = false;
    scan.stop();
    untracked_tasks.clear();
    for (const auto& entry : all_jobs())
    {
        const bool decided = entry->phase == job_phase::finishing ||
                             entry->phase == job_phase::ended;
        if (!decided)
        {
            entry->phase = job_phase::dropped;
            ++entry->generation;
            entry->run.reset();
            jobs.erase(entry->id);
        }
    }
    policy = std::make_unique<scheduler>(zone);
    policy->set_sheet(config.sheet);
    releasing = true;
    on_released = std::move(released);
    release_after_writes();
}

// A write with `did_not_run` must complete while no other scheduler can start
// the job, that is before the leases are released.
void zone_core::release_after_writes()
{
    if (releasing && !rows.not_run_in_flight())
    {
        releasing = false;
        leases.release_all(std::move(on_released));
    }
}

void zone_core::set_configuration(const configuration& next, bool is_open)
{
    if (config.version != next.version || config.version == 0)
    {
        policy->set_sheet(next.sheet);
    }
    config = next;
    zone_open = is_open;
    policy->set_zone_open(zone_open);
    decide();
}

void zone_core::tick()
{
    freshness_check.tick(now(), hooks.config_confirmed_at());
    leases.tick();
    rows.tick();
    scan.tick();
    release_after_writes();
    all_held = active && leases.all_held();
    takeover_done = takeover_done || all_held;
    for (const auto& entry : jobs_to_tick())
    {
        tick_job(entry);
    }
    stop_untracked_tasks();
    std::erase_if(early_cancels,
                  [this](const auto& item) { return item.second <= now(); });
    decide();
}

void zone_core::tick_job(const job_ptr& entry)
{
    switch (entry->phase)
    {
    case job_phase::awaiting_recovery:
        try_recovery(entry);
        return;
    case job_phase::awaiting_config:
        try_start(entry);
        return;
    case job_phase::running:
        resolve_lost_servers(entry);
        entry->run->tick();
        run_changed(entry);
        return;
    case job_phase::deferred:
        if (now() >= entry->retry_at)
        {
            submit(entry);
        }
        return;
    case job_phase::withheld:
        if (!leases.contested())
        {
            end_without_attempt(
                entry, {entry->item.outcome.code, entry->item.outcome.reason});
        }
        return;
    case job_phase::ended:
        if (now() >= entry->ended_at + ended_job_retention)
        {
            jobs.erase(entry->id);
        }
        return;
    default:
        return;
    }
}

job_ptr zone_core::find(std::string_view id) const
{
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : found->second;
}

job_ptr zone_core::add(const job& item)
{
    auto entry = std::make_shared<zone_job>();
    entry->item = item;
    entry->item.outcome = {};
    entry->id = job_id(item.request);
    entry->cancel_requested = early_cancels.erase(entry->id) > 0;
    jobs[entry->id] = entry;
    return entry;
}

std::vector<job_ptr> zone_core::jobs_to_tick()
{
    if (now() >= next_full_tick)
    {
        next_full_tick = now() + full_tick_interval;
        return all_jobs();
    }
    std::vector<job_ptr> due;
    for (const auto& [id, entry] : jobs)
    {
        if (!waits_for_event(*entry))
        {
            due.push_back(entry);
        }
    }
    return due;
}

std::vector<job_ptr> zone_core::all_jobs() const
{
    std::vector<job_ptr> all;
    all.reserve(jobs.size());
    for (const auto& [id, entry] : jobs)
    {
        all.push_back(entry);
    }
    return all;
}

void zone_core::finish(const job_ptr& entry,
                       job_outcome outcome,
                       bool report_early)
{
    entry->item.outcome = std::move(outcome);
    entry->inferred = entry->item.outcome.state == job_state::unknown;
    write_final(entry, report_early || !entry->item.durable, false);
}

void zone_core::write_final(const job_ptr& entry,
                            bool report_early,
                            bool did_not_run)
{
    entry->phase = job_phase::finishing;
    ++entry->generation;
    entry->run.reset();
    final_write call;
    call.item = entry->item;
    call.did_not_run = did_not_run;
    call.not_run_up_to = entry->not_run_up_to;
    if (report_early)
    {
        call.delayed = [this, entry]
        {
            report_end(entry);
        };
    }
    call.done = [this, entry](const job& row)
    {
        if (!entry->end_reported)
        {
            entry->item.outcome = row.outcome;
        }
        mark_ended(entry);
    };
    call.still_valid = [this, claims_seen = foreign_claims, entry]
    {
        const bool ours = active && !leases.contested();
        return !entry->item.durable || (ours && claims_seen == foreign_claims);
    };
    call.withdrawn = [this, claims_seen = foreign_claims, entry]
    {
        entry->phase = job_phase::withheld;
        entry->may_have_run =
            entry->item.idempotent && claims_seen != foreign_claims;
        if (!active)
        {
            jobs.erase(entry->id);
        }
    };
    call.foreign_attempt = [this, entry](const job& row)
    {
        await_recovery(entry, row);
    };
    rows.finish(std::move(call));
}

void zone_core::await_recovery(const job_ptr& entry, const job& row)
{
    ++entry->generation;
    if (!active)
    {
        jobs.erase(entry->id);
        return;
    }
    remove_from_policy(entry);
    entry->item.outcome = {};
    entry->item.attempts = row.attempts;
    entry->phase = job_phase::awaiting_recovery;
    entry->row_read = true;
    try_recovery(entry);
}

void zone_core::end_without_attempt(const job_ptr& entry, failure why)
{
    job_outcome outcome;
    outcome.state = why.code == result_code::cancelled ? job_state::cancelled
                                                       : job_state::not_run;
    outcome.code = why.code;
    outcome.reason = std::move(why.reason);
    const bool did_run = entry->ran || entry->may_have_run;
    if (did_run && outcome.state == job_state::not_run)
    {
        outcome.state = entry->ran ? job_state::failed : job_state::unknown;
        outcome.code =
            entry->ran ? result_code::job_failed : result_code::outcome_unknown;
    }
    if (did_run)
    {
        outcome.reason += "; an earlier attempt ";
        outcome.reason += entry->ran ? "ran" : "may have run";
    }
    if (!did_run && leases.contested())
    {
        entry->phase = job_phase::withheld;
        entry->item.outcome = std::move(outcome);
        return;
    }
    // A durable job is reported only after its row is final: with an open row,
    // the next scheduler would run a job that was reported as not run.
    entry->item.outcome = std::move(outcome);
    entry->inferred = true;
    write_final(entry, !entry->item.durable, !did_run);
}

void zone_core::on_final_row(const job_ptr& entry, const job& row)
{
    ++entry->generation;
    remove_from_policy(entry);
    entry->run.reset();
    entry->item.outcome = row.outcome;
    mark_ended(entry);
}

void zone_core::report_end(const job_ptr& entry)
{
    if (!entry->end_reported)
    {
        entry->end_reported = true;
        hooks.on_job_ended(entry->item);
    }
}

void zone_core::mark_ended(const job_ptr& entry)
{
    entry->phase = job_phase::ended;
    entry->ended_at = now();
    acknowledge(entry);
    report_end(entry);
}

} // namespace poplarramp::detail
