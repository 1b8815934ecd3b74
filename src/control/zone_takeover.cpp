#include "control/zone_core.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp::detail
{

namespace
{

// A backend server stops a stoppable task this long after its last lease has
// ended.
constexpr milliseconds orphan_timeout{120000};
constexpr milliseconds orphan_margin{10000};
constexpr milliseconds untracked_stop_interval{1000};
constexpr milliseconds untracked_stop_timeout{1000};
constexpr milliseconds recovery_read_interval{1000};

std::string_view job_of_task(std::string_view task)
{
    return task.substr(0, task.rfind('#'));
}

bool is_live(task_state state)
{
    return state == task_state::prepared || state == task_state::running;
}

// Sorted by descending attempt, because the latest attempt of a job is the one
// to adopt.
std::vector<const task_status*>
latest_first(const std::vector<task_status>& tasks)
{
    std::vector<const task_status*> sorted;
    sorted.reserve(tasks.size());
    for (const auto& status : tasks)
    {
        sorted.push_back(&status);
    }
    std::stable_sort(sorted.begin(),
                     sorted.end(),
                     [](const task_status* a, const task_status* b)
                     { return a->item.attempt > b->item.attempt; });
    return sorted;
}

// True if the task is of a later attempt than the current run of the job and is
// adopted instead. A later attempt is only made once the earlier ones are known
// not to have run. An idempotent job that this scheduler placed keeps its run.
bool replaces_run(const zone_job& entry, const task_status& status)
{
    const bool later = status.item.attempt > entry.run->attempt();
    return later && (!entry.item.idempotent || !entry.placed);
}

bool owns(const task_run& run, const std::string& server, std::string_view id)
{
    return std::any_of(run.parts().begin(),
                       run.parts().end(),
                       [&](const run_part& part)
                       {
                           const bool here =
                               part.server.empty() || part.server == server;
                           return part.id == id && here;
                       });
}

} // namespace

void zone_core::on_claimed(const std::string& server, const claim_reply& reply)
{
    if (!active)
    {
        return;
    }
    const auto* lease = leases.find(server);
    const bool joined_later = lease->first_grant && takeover_done;
    if (lease->other_owner_before && (lease->contested || !joined_later))
    {
        note_foreign_claim();
    }
    policy->add_server({server, reply.rack, reply.accelerators, reply.slots});
    policy->set_schedulable(server, !lease->leaving());
    for (const auto* status : latest_first(reply.tasks))
    {
        adopt_task(server, *status);
    }
    for (const auto& entry : all_jobs())
    {
        if (entry->phase == job_phase::running)
        {
            entry->run->on_claimed(server, reply);
            run_changed(entry);
        }
    }
    decide();
}

// The other scheduler may have run jobs that are queued here too, and have
// acknowledged the end of their tasks, which are then not listed.
void zone_core::note_foreign_claim()
{
    ++foreign_claims;
    last_foreign_claim = now();
    for (const auto& [id, entry] : jobs)
    {
        const bool idle = entry->phase == job_phase::queued ||
                          entry->phase == job_phase::checking ||
                          entry->phase == job_phase::awaiting_config ||
                          entry->phase == job_phase::deferred ||
                          entry->phase == job_phase::withheld;
        if (idle && entry->item.idempotent)
        {
            entry->may_have_run = true;
        }
    }
}

void zone_core::adopt_task(const std::string& server, const task_status& status)
{
    auto entry = find(job_id(status.item.parent_job.request));
    if (!entry)
    {
        entry = add(status.item.parent_job);
    }
    const bool decided =
        entry->phase == job_phase::ended ||
        (entry->phase == job_phase::finishing && !revoke_inferred(entry));
    if (decided || (entry->run && !replaces_run(*entry, status)))
    {
        const bool ours =
            entry->run && owns(*entry->run, server, status.item.id);
        if (!ours && is_live(status.state))
        {
            untracked_tasks[{server, status.item.id}] = {
                server, status.item.id, {}};
        }
        return;
    }
    log_line(log_level::info,
             "sched",
             "A running task was adopted.",
             {{"task", status.item.id}, {"server", server}});
    ++entry->generation;
    remove_from_policy(entry);
    entry->started = false;
    entry->item.outcome = {};
    entry->may_have_run = true;
    entry->attempt = status.item.attempt;
    entry->phase = job_phase::running;
    entry->run = make_run(entry);
    entry->run->adopt(status.item);
}

// Revokes an inferred outcome, because a report of a backend server takes
// precedence. False if the write of the row can no longer be cancelled.
bool zone_core::revoke_inferred(const job_ptr& entry)
{
    return entry->inferred && !entry->end_reported && rows.withdraw(entry->id);
}

void zone_core::on_event(const task_event& event, const event_ref& ref)
{
    if (!active)
    {
        // Not acknowledged, so that the next scheduler receives it as well.
        return;
    }
    const auto entry = find(job_of_task(event.task_id));
    if (entry && entry->run && entry->run->on_event(event, ref))
    {
        run_changed(entry);
        decide();
        return;
    }
    // Until a non-idempotent job has ended, its events are the evidence that
    // its task ran and are not acknowledged.
    const bool is_evidence =
        entry && entry->phase != job_phase::ended && !entry->item.idempotent;
    if (is_evidence || (entry && entry->phase == job_phase::finishing))
    {
        entry->pending_acks.push_back(ref);
        return;
    }
    if (!is_live(event.state))
    {
        untracked_tasks.erase({ref.server, event.task_id});
    }
    leases.acknowledge(ref);
}

void zone_core::on_server_removed(const std::string& server)
{
    policy->remove_server(server);
    std::erase_if(untracked_tasks,
                  [&server](const auto& item)
                  { return item.second.server == server; });
    for (const auto& entry : all_jobs())
    {
        if (entry->phase == job_phase::running)
        {
            entry->run->on_server_removed(server);
            run_changed(entry);
        }
    }
    decide();
}

void zone_core::on_open_job(const std::string& id)
{
    if (find(id))
    {
        return;
    }
    rows.read(id,
              [this, id, since = activated_at](const job_row_view& view)
              {
                  const bool is_new_open_job =
                      active && since == activated_at && !find(id) &&
                      view.item && view.item->zone == zone &&
                      !is_final(view.item->outcome.state);
                  if (!is_new_open_job)
                  {
                      return;
                  }
                  const auto entry = add(*view.item);
                  entry->may_have_run = true;
                  entry->row_read = true;
                  try_recovery(entry);
              });
}

// True if an earlier attempt of an idempotent job may still run on a server
// that is not claimed yet.
bool zone_core::may_be_running(const job_ptr& entry) const
{
    if (all_held || leases.all_held())
    {
        return false;
    }
    const bool orphaned = now() >= activated_at + server_lease_duration +
                                       orphan_timeout + orphan_margin;
    return !(entry->item.can_stop && orphaned);
}

void zone_core::try_recovery(const job_ptr& entry)
{
    if (entry->phase != job_phase::awaiting_recovery || !active)
    {
        return;
    }
    if (entry->item.durable && !entry->row_read)
    {
        read_recovery_row(entry);
    }
    if (entry->phase != job_phase::awaiting_recovery)
    {
        return;
    }
    if (entry->item.idempotent)
    {
        if (!may_be_running(entry))
        {
            submit(entry);
        }
        return;
    }
    if (!entry->row_read)
    {
        return;
    }
    if (open_attempts(entry->item).empty())
    {
        entry->may_have_run = false;
        submit(entry);
        return;
    }
    if (leases.members_known())
    {
        recover_attempt(entry);
    }
}

void zone_core::read_recovery_row(const job_ptr& entry)
{
    if (entry->row_read_in_flight || now() < entry->retry_at)
    {
        return;
    }
    entry->row_read_in_flight = true;
    rows.read(entry->id,
              [this, entry](const job_row_view& view)
              {
                  entry->row_read_in_flight = false;
                  entry->retry_at = now() + recovery_read_interval;
                  if (entry->phase != job_phase::awaiting_recovery ||
                      view.error)
                  {
                      return;
                  }
                  if (view.item && is_final(view.item->outcome.state))
                  {
                      on_final_row(entry, *view.item);
                      return;
                  }
                  if (view.item)
                  {
                      entry->item.attempts = view.item->attempts;
                  }
                  entry->row_read = true;
                  try_recovery(entry);
                  decide();
              });
}

// Resumes an attempt of an earlier scheduler that is recorded in the row.
// Servers that are claimed already did not list its tasks, or it would have
// been adopted.
void zone_core::recover_attempt(const job_ptr& entry)
{
    const auto records = open_attempts(entry->item);
    entry->attempt = records.front().number;
    entry->phase = job_phase::running;
    entry->run = make_run(entry);
    entry->run->recover(records);
    for (const auto& record : records)
    {
        const auto* lease = leases.find(record.server);
        if (!lease)
        {
            entry->run->on_server_removed(record.server);
            continue;
        }
        const bool newer = lease->token.epoch > record.epoch ||
                           lease->token.incarnation != record.incarnation;
        if (lease->phase == lease_phase::held && newer)
        {
            claim_reply reply;
            reply.token = lease->token;
            entry->run->on_claimed(record.server, reply);
        }
    }
    run_changed(entry);
}

void zone_core::resolve_lost_servers(const job_ptr& entry)
{
    if (all_held)
    {
        entry->run->on_all_reported();
    }
    const bool may_repeat = entry->item.idempotent && entry->item.can_stop;
    if (!may_repeat)
    {
        return;
    }
    const auto timeout = server_lease_duration + orphan_timeout + orphan_margin;
    for (const auto& part : entry->run->parts())
    {
        const auto* lease = leases.find(part.server);
        const bool orphaned = lease && lease->phase != lease_phase::held &&
                              now() >= lease->unclaimed_since + timeout;
        if (orphaned)
        {
            entry->run->on_server_removed(std::string(part.server));
            return;
        }
    }
}

void zone_core::stop_untracked_tasks()
{
    for (auto& [key, task_entry] : untracked_tasks)
    {
        const auto token = leases.call_token(task_entry.server);
        if (!token || now() < task_entry.next_stop)
        {
            continue;
        }
        task_entry.next_stop = now() + untracked_stop_interval;
        hooks.backend.stop(leases.find(task_entry.server)->address,
                           *token,
                           task_entry.id,
                           false,
                           now() + untracked_stop_timeout,
                           [](const task_reply&) {});
    }
}

} // namespace poplarramp::detail
