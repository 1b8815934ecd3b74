#include "control/zone_core.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp::detail
{

namespace
{

// Entry VMs send jobs to an earlier scheduler for at most this long after its
// last heartbeat.
constexpr milliseconds earlier_scheduler_overlap{1500};
// Allowance for the difference between the clocks of two entry VMs.
constexpr milliseconds clock_skew_allowance{200};
// An older job may have ended here and been removed since.
constexpr milliseconds max_fresh_age{60000};
constexpr milliseconds early_cancel_retention{10000};

} // namespace

// True if the job was accepted when entry VMs already sent jobs to this
// scheduler, so that no other can have started it.
bool zone_core::is_fresh(const job& item) const
{
    return item.accepted >= activated_at + earlier_scheduler_overlap &&
           item.accepted >= last_foreign_claim + clock_skew_allowance &&
           now() - item.accepted < max_fresh_age;
}

failure zone_core::enqueue(const job& item)
{
    if (!active)
    {
        return {result_code::conflict, "not the scheduler of " + zone};
    }
    if (find(job_id(item.request)))
    {
        return {};
    }
    auto entry = add(item);
    failure refused;
    if (is_fresh(item))
    {
        entry->checked_at_claim = foreign_claims;
        refused = submit(entry);
    }
    else
    {
        entry->may_have_run = true;
        try_recovery(entry);
    }
    decide();
    return refused;
}

failure zone_core::submit(const job_ptr& entry)
{
    if (entry->cancel_requested)
    {
        end_without_attempt(entry,
                            {result_code::cancelled, "cancelled in the queue"});
        return {};
    }
    entry->phase = job_phase::queued;
    entry->placed = false;
    entry->started = false;
    entry->run.reset();
    const auto refused = policy->submit(entry->item, now());
    if (!refused)
    {
        return {};
    }
    end_without_attempt(entry, *refused);
    const bool refusal_is_final =
        entry->phase != job_phase::withheld &&
        entry->item.outcome.state == job_state::not_run;
    return refusal_is_final ? *refused : failure{};
}

failure zone_core::cancel(std::string_view id)
{
    const auto entry = find(id);
    if (!entry)
    {
        early_cancels[std::string(id)] = now() + early_cancel_retention;
        return {result_code::not_found, "unknown job " + std::string(id)};
    }
    if (entry->phase == job_phase::finishing ||
        entry->phase == job_phase::ended || entry->phase == job_phase::withheld)
    {
        return {};
    }
    entry->cancel_requested = true;
    if (entry->phase == job_phase::awaiting_recovery)
    {
        return {};
    }
    if (entry->phase == job_phase::running)
    {
        entry->run->stop(false, now());
        run_changed(entry);
        decide();
        return {};
    }
    if (entry->placed)
    {
        // The attempt may be recorded, but no call was sent.
        entry->not_run_up_to = entry->attempt;
    }
    ++entry->generation;
    remove_from_policy(entry);
    end_without_attempt(entry,
                        {result_code::cancelled, "cancelled in the queue"});
    decide();
    return {};
}

void zone_core::remove_from_policy(const job_ptr& entry)
{
    policy->requeue(entry->id, {}, now());
    policy->cancel(entry->id);
    entry->placed = false;
    entry->started = false;
}

void zone_core::defer(const job_ptr& entry, milliseconds wait)
{
    ++entry->generation;
    remove_from_policy(entry);
    entry->run.reset();
    entry->phase = job_phase::deferred;
    entry->retry_at = now() + wait;
}

void zone_core::decide()
{
    if (!active || deciding)
    {
        return;
    }
    deciding = true;
    for (const auto& made : policy->decide(now()))
    {
        apply(made);
    }
    deciding = false;
}

void zone_core::apply(const decision& made)
{
    switch (made.kind)
    {
    case decision_kind::place:
        apply_place(made);
        return;
    case decision_kind::preempt:
        apply_preempt(made);
        return;
    case decision_kind::refuse:
        if (const auto entry = find(made.job_id))
        {
            remove_from_policy(entry);
            end_without_attempt(entry, {made.code, made.reason});
        }
        return;
    }
}

void zone_core::apply_place(const decision& made)
{
    const auto entry = find(made.job_id);
    if (!entry || entry->phase != job_phase::queued)
    {
        policy->on_ended(made.job_id, true, now());
        return;
    }
    ++entry->generation;
    entry->placed = true;
    entry->parts = made.parts;
    entry->attempt = std::max(entry->attempt, last_attempt(entry->item)) + 1;
    if (!zone_open)
    {
        abandon(entry);
    }
    else if (entry->item.idempotent)
    {
        check_row(entry);
    }
    else
    {
        record_attempt(entry);
    }
}

void zone_core::apply_preempt(const decision& made)
{
    const auto entry = find(made.job_id);
    if (!entry)
    {
        return;
    }
    log_line(log_level::info,
             "sched",
             "A job is preempted.",
             {{"job", made.job_id},
              {"for", made.for_job},
              {"guarantee_of", made.for_guarantee_of}});
    if (entry->phase == job_phase::running)
    {
        entry->run->stop(made.checkpoint, made.deadline);
        run_changed(entry);
        return;
    }
    if (entry->placed)
    {
        abandon(entry);
    }
}

} // namespace poplarramp::detail
