#include "control/zone_core.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp::detail
{

namespace
{

// A backend server stops a stoppable task this long after its last lease.
constexpr milliseconds orphan_timeout{120000};
constexpr milliseconds orphan_margin{10000};
constexpr milliseconds untracked_stop_retry{1000};
constexpr milliseconds untracked_stop_deadline{1000};
constexpr milliseconds held_row_retry{1000};

std::string_view job_of_task(std::string_view task)
{
    return task.substr(0, task.rfind('#'));
}

bool is_live(task_state state)
{
    return state == task_state::prepared || state == task_state::running;
}

// The latest attempt of a job is the one to adopt.
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

// A later attempt exists only if the earlier ones are proved not to have run;
// for an idempotent job that holds unless this scheduler runs it.
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
    policy->set_placeable(server, !lease->leaving());
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
// acknowledged the end of the tasks.
void zone_core::note_foreign_claim()
{
    ++foreign_claims;
    last_foreign_claim = now();
    for (const auto& [id, entry] : jobs)
    {
        const bool idle = entry->phase == job_phase::queued ||
                          entry->phase == job_phase::checking ||
                          entry->phase == job_phase::gated ||
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
    auto entry = find(job_id(status.item.owner.request));
    if (!entry)
    {
        entry = add(status.item.owner);
    }
    const bool decided =
        entry->phase == job_phase::ended ||
        (entry->phase == job_phase::finishing && !take_back_inferred(entry));
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
    ++entry->serial;
    withdraw(entry);
    entry->started = false;
    entry->item.outcome = {};
    entry->may_have_run = true;
    entry->attempt = status.item.attempt;
    entry->phase = job_phase::running;
    entry->run = make_run(entry);
    entry->run->adopt(status.item);
}

// True if the outcome was inferred and its row is not written: what a backend
// server reports is better.
bool zone_core::take_back_inferred(const job_ptr& entry)
{
    return entry->inferred && !entry->told && rows.withdraw(entry->id);
}

void zone_core::on_event(const task_event& event, const event_mark& mark)
{
    if (!active)
    {
        // The next scheduler learns of it as well.
        return;
    }
    const auto entry = find(job_of_task(event.task_id));
    if (entry && entry->run && entry->run->on_event(event, mark))
    {
        run_changed(entry);
        decide();
        return;
    }
    // A task that must not run twice is evidence until its job has ended.
    const bool is_evidence =
        entry && entry->phase != job_phase::ended && !entry->item.idempotent;
    if (is_evidence || (entry && entry->phase == job_phase::finishing))
    {
        entry->marks.push_back(mark);
        return;
    }
    if (!is_live(event.state))
    {
        untracked_tasks.erase({mark.server, event.task_id});
    }
    leases.acknowledge(mark);
}

void zone_core::on_gone(const std::string& server)
{
    policy->remove_server(server);
    std::erase_if(untracked_tasks,
                  [&server](const auto& item)
                  { return item.second.server == server; });
    for (const auto& entry : all_jobs())
    {
        if (entry->phase == job_phase::running)
        {
            entry->run->on_gone(server);
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
                  const bool wanted = active && since == activated_at &&
                                      !find(id) && view.item &&
                                      view.item->zone == zone &&
                                      !is_final(view.item->outcome.state);
                  if (!wanted)
                  {
                      return;
                  }
                  const auto entry = add(*view.item);
                  entry->may_have_run = true;
                  entry->row_seen = true;
                  resolve_held(entry);
              });
}

// True if an earlier attempt of an idempotent job may run on a server that is
// not claimed yet.
bool zone_core::may_be_running(const job_ptr& entry) const
{
    if (all_held || leases.all_held())
    {
        return false;
    }
    const bool orphaned = now() >= activated_at + server_lease_time +
                                       orphan_timeout + orphan_margin;
    return !(entry->item.can_stop && orphaned);
}

void zone_core::resolve_held(const job_ptr& entry)
{
    if (entry->phase != job_phase::held || !active)
    {
        return;
    }
    if (entry->item.durable && !entry->row_seen)
    {
        read_held_row(entry);
    }
    if (entry->phase != job_phase::held)
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
    if (!entry->row_seen)
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
        expect_attempt(entry);
    }
}

void zone_core::read_held_row(const job_ptr& entry)
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
                  entry->retry_at = now() + held_row_retry;
                  if (entry->phase != job_phase::held || view.error)
                  {
                      return;
                  }
                  if (view.item && is_final(view.item->outcome.state))
                  {
                      row_is_final(entry, *view.item);
                      return;
                  }
                  if (view.item)
                  {
                      entry->item.attempts = view.item->attempts;
                  }
                  entry->row_seen = true;
                  resolve_held(entry);
                  decide();
              });
}

// The row has an attempt of an earlier scheduler. Servers that are claimed
// already did not list it, or it would have been adopted.
void zone_core::expect_attempt(const job_ptr& entry)
{
    const auto records = open_attempts(entry->item);
    entry->attempt = records.front().number;
    entry->phase = job_phase::running;
    entry->run = make_run(entry);
    entry->run->expect(records);
    for (const auto& record : records)
    {
        const auto* lease = leases.find(record.server);
        if (!lease)
        {
            entry->run->on_gone(record.server);
            continue;
        }
        const bool newer = lease->token.epoch > record.epoch ||
                           lease->token.incarnation != record.incarnation;
        if (lease->phase == lease_phase::held && newer)
        {
            claim_reply seen;
            seen.token = lease->token;
            entry->run->on_claimed(record.server, seen);
        }
    }
    run_changed(entry);
}

void zone_core::settle_lost_servers(const job_ptr& entry)
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
    const auto limit = server_lease_time + orphan_timeout + orphan_margin;
    for (const auto& part : entry->run->parts())
    {
        const auto* lease = leases.find(part.server);
        const bool orphaned = lease && lease->phase != lease_phase::held &&
                              now() >= lease->unclaimed_since + limit;
        if (orphaned)
        {
            entry->run->on_gone(std::string(part.server));
            return;
        }
    }
}

void zone_core::stop_untracked_tasks()
{
    for (auto& [key, task_entry] : untracked_tasks)
    {
        const auto token = leases.may_act(task_entry.server);
        if (!token || now() < task_entry.next_stop)
        {
            continue;
        }
        task_entry.next_stop = now() + untracked_stop_retry;
        hooks.backend.stop(leases.find(task_entry.server)->address,
                           *token,
                           task_entry.id,
                           false,
                           now() + untracked_stop_deadline,
                           [](const task_reply&) {});
    }
}

} // namespace poplarramp::detail
