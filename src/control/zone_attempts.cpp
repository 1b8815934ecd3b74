#include "control/zone_core.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp::detail
{

namespace
{

// Failed attempts of an idempotent job after which the job fails. More are
// allowed while all were on one backend server, which may be the cause.
constexpr int max_failures = 3;
constexpr int max_failures_on_one_server = 9;
// Servers lost under an idempotent job after which it fails: it may be the
// cause, but jobs of several hours outlive a few servers.
constexpr int max_lost_servers = 5;
constexpr milliseconds table_retry_delay{2000};
constexpr milliseconds initial_refusal_backoff{250};
constexpr int max_refusal_doublings = 4;

} // namespace

// Another scheduler may have ended the job while it was queued here, but only
// if a server was taken over since the row was last read. The job then waits
// for the table: if the row has the outcome `not_run`, it must not start.
void zone_core::check_row(const job_ptr& entry)
{
    if (!entry->item.durable || entry->checked_at_claim == foreign_claims)
    {
        try_start(entry);
        return;
    }
    entry->phase = job_phase::checking;
    rows.read(entry->id,
              [this,
               entry,
               generation = entry->generation,
               claims_seen = foreign_claims](const job_row_view& view)
              {
                  if (entry->generation != generation)
                  {
                      return;
                  }
                  if (view.item && is_final(view.item->outcome.state))
                  {
                      on_final_row(entry, *view.item);
                      return;
                  }
                  if (view.error)
                  {
                      defer(entry, table_retry_delay);
                      return;
                  }
                  entry->checked_at_claim = claims_seen;
                  try_start(entry);
              });
}

void zone_core::record_attempt(const job_ptr& entry)
{
    entry->tokens.clear();
    std::vector<attempt_record> records;
    for (const auto& part : entry->parts)
    {
        const auto token = leases.start_token(part.server);
        if (!token)
        {
            abandon(entry);
            return;
        }
        entry->tokens.push_back(*token);
        records.push_back({entry->attempt,
                           part.server,
                           token->incarnation,
                           token->epoch,
                           {}});
    }
    entry->phase = job_phase::recording;
    rows.record(entry->id,
                std::move(records),
                entry->not_run_up_to,
                [this, entry, generation = entry->generation](
                    record_result result, const job_row_view& view)
                {
                    if (entry->generation == generation)
                    {
                        on_recorded(entry, result, view);
                    }
                });
}

void zone_core::on_recorded(const job_ptr& entry,
                            record_result result,
                            const job_row_view& view)
{
    switch (result)
    {
    case record_result::recorded:
        entry->item.attempts = view.item->attempts;
        try_start(entry);
        return;
    case record_result::already_final:
        on_final_row(entry, *view.item);
        return;
    case record_result::foreign_attempt:
        await_recovery(entry, *view.item);
        return;
    case record_result::missing:
    case record_result::unavailable:
        entry->not_run_up_to = entry->attempt;
        defer(entry, table_retry_delay);
        return;
    }
}

// Last check before the first call of the attempt.
void zone_core::try_start(const job_ptr& entry)
{
    entry->phase = job_phase::awaiting_config;
    bool may_start = zone_open;
    for (std::size_t i = 0; i < entry->parts.size(); ++i)
    {
        const auto token = leases.start_token(entry->parts[i].server);
        const bool as_recorded =
            entry->item.idempotent ||
            (token && token->epoch == entry->tokens[i].epoch &&
             token->incarnation == entry->tokens[i].incarnation);
        may_start = may_start && token && as_recorded;
    }
    if (!may_start)
    {
        abandon(entry);
        return;
    }
    if (!freshness_check.allows_start(now(), hooks.config_confirmed_at()))
    {
        return;
    }
    entry->phase = job_phase::running;
    entry->run = make_run(entry);
    entry->run->begin(entry->parts);
    run_changed(entry);
}

void zone_core::abandon(const job_ptr& entry)
{
    ++entry->generation;
    entry->not_run_up_to = entry->attempt;
    requeue(entry, {});
}

std::shared_ptr<task_run> zone_core::make_run(const job_ptr& entry)
{
    task_run_hooks run;
    run.leases = &leases;
    run.backend = &hooks.backend;
    run.now = hooks.now;
    run.may_start = [this]
    {
        return active && zone_open &&
               freshness_check.allows_start(now(), hooks.config_confirmed_at());
    };
    run.on_change = [this, weak = std::weak_ptr<zone_job>(entry)]
    {
        if (const auto locked = weak.lock())
        {
            run_changed(locked);
            decide();
        }
    };
    return std::make_shared<task_run>(
        entry->item, entry->attempt, std::move(run));
}

void zone_core::run_changed(const job_ptr& entry)
{
    if (entry->phase != job_phase::running || !entry->run)
    {
        return;
    }
    const auto run = entry->run;
    if (entry->cancel_requested && !run->stopping())
    {
        run->stop(false, now());
    }
    const auto end_state = run->outcome();
    if (end_state != attempt_outcome::none)
    {
        run_ended(entry, end_state);
        return;
    }
    if (entry->started || !run->all_started())
    {
        return;
    }
    entry->started = true;
    entry->refusals = 0;
    if (entry->placed)
    {
        policy->on_started(entry->id, now());
        return;
    }
    entry->parts.clear();
    for (const auto& part : run->parts())
    {
        entry->parts.push_back({part.server, part.accelerators});
    }
    policy->adopt(entry->item, entry->parts, now());
    entry->placed = true;
}

void zone_core::run_ended(const job_ptr& entry, attempt_outcome end_state)
{
    auto pending_acks = entry->run->take_pending_acks();
    entry->pending_acks.insert(
        entry->pending_acks.end(), pending_acks.begin(), pending_acks.end());
    switch (end_state)
    {
    case attempt_outcome::none:
        return;
    case attempt_outcome::done:
    {
        const auto& result = entry->run->result();
        job_outcome outcome{job_state::done,
                            result_code::ok,
                            result.reason,
                            result.answer,
                            result.answer_object};
        end_in_policy(entry, true);
        finish(entry, std::move(outcome), true);
        return;
    }
    case attempt_outcome::failed:
        run_failed(entry);
        return;
    case attempt_outcome::stopped:
        run_stopped(entry);
        return;
    case attempt_outcome::never_ran:
        run_never_started(entry);
        return;
    case attempt_outcome::lost:
        run_lost(entry);
        return;
    }
}

void zone_core::run_never_started(const job_ptr& entry)
{
    entry->not_run_up_to = entry->attempt;
    const auto fault = entry->run->fault_server();
    if (entry->cancel_requested)
    {
        remove_from_policy(entry);
        end_without_attempt(entry,
                            {result_code::cancelled, "cancelled in the queue"});
        return;
    }
    requeue(entry, fault);
    if (entry->phase == job_phase::queued && ++entry->refusals > 1)
    {
        const int doublings =
            std::min(entry->refusals - 2, max_refusal_doublings);
        defer(entry, initial_refusal_backoff * (1 << doublings));
    }
}

void zone_core::run_stopped(const job_ptr& entry)
{
    entry->ran = true;
    if (entry->cancel_requested)
    {
        end_in_policy(entry, true);
        finish(entry,
               {job_state::cancelled,
                result_code::cancelled,
                "stopped while it ran",
                {},
                {}},
               false);
        return;
    }
    if (entry->item.idempotent)
    {
        requeue(entry, entry->run->fault_server());
        return;
    }
    end_in_policy(entry, false);
    finish(entry,
           {job_state::failed,
            result_code::job_failed,
            "stopped while it ran; it must not run twice",
            {},
            {}},
           false);
}

void zone_core::run_failed(const job_ptr& entry)
{
    entry->ran = true;
    ++entry->failures;
    entry->failed_on.insert(entry->run->fault_server());
    const int failure_limit =
        entry->failed_on.size() > 1 ? max_failures : max_failures_on_one_server;
    const bool may_retry = entry->item.idempotent && !entry->cancel_requested &&
                           entry->failures < failure_limit;
    if (may_retry)
    {
        requeue(entry, entry->run->fault_server());
        return;
    }
    job_outcome outcome{job_state::failed,
                        result_code::job_failed,
                        entry->run->fault_reason(),
                        {},
                        {}};
    end_in_policy(entry, false);
    // The next scheduler counts the failures of an idempotent job from zero, so
    // its outcome is not reported before the row is written.
    finish(entry, std::move(outcome), !entry->item.idempotent);
}

void zone_core::run_lost(const job_ptr& entry)
{
    entry->may_have_run = true;
    if (entry->run->ended_elsewhere())
    {
        entry->checked_at_claim = 0;
    }
    if (entry->item.idempotent && !entry->cancel_requested)
    {
        record_loss(entry);
        return;
    }
    end_in_policy(entry, false);
    // Reported only after the row is written, because another scheduler may
    // know the result.
    finish(entry,
           {job_state::unknown,
            result_code::outcome_unknown,
            "its backend server was lost while it may have run",
            {},
            {}},
           false);
}

// Stores which servers were lost, so that the next scheduler counts them as
// well.
void zone_core::record_loss(const job_ptr& entry)
{
    std::vector<attempt_record> records;
    for (const auto& part : entry->run->parts())
    {
        if (part.state == part_state::lost && !entry->run->ended_elsewhere())
        {
            records.push_back({entry->attempt,
                               part.server,
                               part.token.incarnation,
                               part.token.epoch,
                               std::string(note_lost)});
        }
    }
    if (records.empty())
    {
        requeue(entry, {});
        return;
    }
    entry->item.attempts.insert(
        entry->item.attempts.end(), records.begin(), records.end());
    if (!entry->item.durable)
    {
        on_loss_recorded(entry);
        return;
    }
    entry->phase = job_phase::recording;
    rows.record(entry->id,
                std::move(records),
                0,
                [this, entry, generation = entry->generation](
                    record_result result, const job_row_view& view)
                {
                    if (entry->generation != generation)
                    {
                        return;
                    }
                    if (result == record_result::already_final)
                    {
                        on_final_row(entry, *view.item);
                        return;
                    }
                    if (result == record_result::recorded)
                    {
                        entry->item.attempts = view.item->attempts;
                    }
                    on_loss_recorded(entry);
                });
}

void zone_core::on_loss_recorded(const job_ptr& entry)
{
    if (lost_servers(entry->item) < max_lost_servers || entry->cancel_requested)
    {
        requeue(entry, {});
        return;
    }
    end_in_policy(entry, false);
    finish(entry,
           {job_state::failed,
            result_code::job_failed,
            std::to_string(max_lost_servers) +
                " backend servers were lost while it ran",
            {},
            {}},
           false);
}

void zone_core::requeue(const job_ptr& entry, const std::string& fault_server)
{
    ++entry->generation;
    if (entry->item.idempotent)
    {
        acknowledge(entry);
    }
    entry->run.reset();
    const bool may_run_elsewhere =
        entry->item.idempotent && entry->may_have_run && !takeover_done;
    if (may_run_elsewhere)
    {
        remove_from_policy(entry);
        entry->phase = job_phase::awaiting_recovery;
        return;
    }
    if (entry->cancel_requested || !entry->placed)
    {
        remove_from_policy(entry);
        submit(entry);
        return;
    }
    policy->requeue(entry->id, fault_server, now());
    entry->placed = false;
    entry->started = false;
    entry->phase = job_phase::queued;
}

void zone_core::end_in_policy(const job_ptr& entry, bool succeeded)
{
    policy->on_ended(entry->id, succeeded, now());
    entry->placed = false;
}

void zone_core::acknowledge(const job_ptr& entry)
{
    for (const auto& ref : std::exchange(entry->pending_acks, {}))
    {
        leases.acknowledge(ref);
    }
}

} // namespace poplarramp::detail
