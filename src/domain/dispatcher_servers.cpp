// Polls the backend servers: tracks their active and ended runs, and renews
// their leases.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// How long a server may delay its reply to wait for a run to end; an idle
// server has no run.
constexpr milliseconds renewal_wait{800};
constexpr milliseconds idle_renewal_wait{1200};

// Interval between renewals while ends are not stored yet, since the server
// then replies at once.
constexpr milliseconds unstored_renewal_delay{500};
constexpr milliseconds failed_renewal_delay{200};
// After a reply that shows a later leader.
constexpr milliseconds fenced_renewal_delay{1000};

// Added to the wait; a reply from another region takes 60 ms.
constexpr milliseconds renewal_timeout{1000};

// A run that has worked for this long does not crash its server: earlier losses
// were chance. Long-running tasks would collect them.
constexpr milliseconds harmless_run_time{30000};

// A server lists at most this many ends in one reply, and may have more.
constexpr std::size_t max_ends_per_reply = 500;

} // namespace

void dispatcher::poll_servers()
{
    const auto now = hooks_.now();
    classify_servers();
    std::vector<std::string> obsolete;
    for (auto& [id, server] : registry_.all())
    {
        expire_lost_server(id, server);
        release_ended_members(id, server);
        if (!server.renewal_in_flight && now >= server.next_renewal &&
            !server.registration.address.empty())
        {
            renew(id, server);
        }
        for (auto& [run, run_record] : server.runs)
        {
            if (run_record.lifecycle.phase == run_phase::stopping &&
                !run_record.lifecycle.stop_confirmed &&
                !run_record.stop_in_flight && now >= run_record.next_stop)
            {
                send_stop(id, server, run);
            }
        }
        if (!server.registered && server.runs.empty() &&
            server.lease.all_expired(now))
        {
            obsolete.push_back(id);
        }
    }
    for (const auto& id : obsolete)
    {
        registry_.erase(id);
    }
}

server_target dispatcher::target_of(const server_record& server) const
{
    return {server.registration.address,
            server.registration.id,
            epoch_,
            server.registration.zone,
            server.registration.rack};
}

std::optional<server_clock>
dispatcher::lease_for(const server_record& server) const
{
    const auto now = hooks_.now();
    const auto confirmed = leader_.confirmed_at();
    const auto clock = server.lease.estimate(now);
    if (!server.in_contact(now) || !clock || !confirmed ||
        hooks_.boot_now() - *confirmed > max_unconfirmed_extension)
    {
        return std::nullopt;
    }
    return *clock + std::min(lease_duration, settings_.max_lease).count();
}

void dispatcher::renew(const std::string& id, server_record& server)
{
    const auto now = hooks_.now();
    renew_order order;
    if (!server.runs.empty() && server.adopted)
    {
        order.lease_until = lease_for(server);
    }
    if (order.lease_until)
    {
        server.lease.grant(*order.lease_until);
    }
    // A new incarnation of the same id numbers its ends anew and would discard
    // those that no leader has seen.
    order.acknowledged_end =
        server.renewal_answered ? server.last_stored_end : 0;
    const bool unstored =
        server.has_held_end || server.last_applied_end > server.last_stored_end;
    if (server.adopted && !unstored)
    {
        order.wait = server.runs.empty() ? idle_renewal_wait : renewal_wait;
    }
    server.renewal_in_flight = true;
    hooks_.count("server_holds", 1);
    hooks_.servers.renew(target_of(server),
                         order,
                         now + order.wait + renewal_timeout,
                         [weak = weak_from_this(),
                          id,
                          incarnation = server.registration.incarnation,
                          now](const renewal_reply& reply)
                         {
                             if (const auto self = weak.lock())
                             {
                                 self->on_renewal(id, incarnation, now, reply);
                             }
                         });
}

void dispatcher::on_renewal(const std::string& id,
                            std::int64_t incarnation,
                            time_point requested_at,
                            const renewal_reply& reply)
{
    auto* server = registry_.find(id);
    if (server == nullptr)
    {
        return;
    }
    server->renewal_in_flight = false;
    server->renewal_answered = false;
    const auto now = hooks_.now();
    if (reply.order.outcome != order_outcome::done)
    {
        server->next_renewal = now + failed_renewal_delay;
        if (reply.order.outcome == order_outcome::other_incarnation)
        {
            on_server_replaced(id, *server, incarnation);
        }
        if (reply.order.outcome == order_outcome::fenced)
        {
            // The next write to the store shows which VM leads.
            server->next_renewal = now + fenced_renewal_delay;
            log_line(log_level::warning,
                     "server",
                     "A backend server has seen a leader of a higher epoch.",
                     {{"server", id}, {"epoch", std::to_string(epoch_)}});
        }
        return;
    }
    if (reply.incarnation != 0 &&
        reply.incarnation > server->registration.incarnation)
    {
        log_line(
            log_level::info,
            "server",
            "A backend server has restarted.",
            {{"server", id},
             {"born", std::to_string(reply.incarnation)},
             {"before", std::to_string(server->registration.incarnation)}});
        hooks_.count("servers_restarted", 1);
        registry_.begin_incarnation(
            *server,
            reply.incarnation,
            now,
            [this, &id](const std::map<run_id, server_run>& runs)
            { on_lost_runs(id, runs, true); },
            [this, &id](const run_id& run, const server_run&)
            { drop_run(id, run, "", "server restarted"); });
    }
    else if (reply.incarnation != 0 &&
             reply.incarnation != server->registration.incarnation)
    {
        // A late reply of an earlier incarnation.
        return;
    }
    else if (incarnation != server->registration.incarnation)
    {
        // The order was for an earlier incarnation. The next order announces
        // this leader's epoch to the current one.
        server->next_renewal = now;
        return;
    }
    apply_renewal(id, *server, requested_at, reply);
}

void dispatcher::apply_renewal(const std::string& id,
                               server_record& server,
                               time_point requested_at,
                               const renewal_reply& reply)
{
    const auto now = hooks_.now();
    if (reply.order.clock)
    {
        server.lease.record_clock(*reply.order.clock, now);
    }
    if (!server.in_contact(now))
    {
        log_line(log_level::info,
                 "server",
                 "A backend server is reachable.",
                 {{"server", id},
                  {"runs", std::to_string(server.runs.size())},
                  {"listed", std::to_string(reply.active.size())}});
        request_plan();
    }
    server.last_contact = now;
    server.renewal_answered = true;
    if (lost_servers_.contains({id, server.registration.incarnation}))
    {
        on_server_returned(id, server);
    }
    observe_ends(server, requested_at, reply);
    for (const auto& end : reply.ended)
    {
        on_ended(id, server, end);
    }
    for (const auto& listed : reply.active)
    {
        on_listed(id, server, listed, reply.order.clock);
    }
    resolve_unlisted(id, server, requested_at, reply);
    if (!server.adopted)
    {
        server.adopted = true;
        // The last leader may have granted a lease of the maximum length.
        if (const auto clock = server.lease.estimate(now))
        {
            server.lease.grant(*clock + settings_.max_lease.count());
            server.lease.clear_assumed_lease();
        }
        request_plan();
    }
    const bool unstored =
        server.has_held_end || server.last_applied_end > server.last_stored_end;
    server.next_renewal = unstored ? now + unstored_renewal_delay : now;
    if (unstored)
    {
        request_plan();
    }
}

void dispatcher::on_listed(const std::string& id,
                           server_record& server,
                           const listed_run& listed,
                           std::optional<server_clock> listed_on)
{
    const auto now = hooks_.now();
    const auto found = server.runs.find(listed.run);
    // A run that was taken for ended is stopped like an unknown one.
    if (found != server.runs.end() && !found->second.ended)
    {
        auto& run = found->second;
        if (run.listed_at < run.started_at + harmless_run_time &&
            now >= run.started_at + harmless_run_time)
        {
            clear_losses(listed.run.task);
        }
        run.lifecycle.on_listed(now);
        run.confirmed = true;
        on_start_confirmed(listed.run);
        run.percent = listed.percent;
        run.listed_at = now;
        if (listed_on)
        {
            observe_progress(
                server, listed.run, run, listed.percent, *listed_on);
        }
        if (!listed.checkpoint.empty() && listed.checkpoint != run.checkpoint)
        {
            run.checkpoint = listed.checkpoint;
            const auto job = open_jobs_.find(listed.run.task.job);
            if (job != open_jobs_.end())
            {
                job->second.save_checkpoint(listed.run, listed.checkpoint);
            }
        }
        return;
    }
    log_line(log_level::warning,
             "server",
             "A backend server lists an unknown run.",
             {{"server", id},
              {"job", listed.run.task.job},
              {"task", text_of(listed.run.task)},
              {"attempt", std::to_string(listed.run.attempt)}});
    server_run run_record;
    run_record.untracked = true;
    run_record.started_at = now;
    const auto* record = jobs_.find(listed.run.task.job);
    const auto step = static_cast<std::size_t>(listed.run.task.step);
    // The resource needs of an ended job are not kept.
    if (record != nullptr && record->job &&
        step < record->job->spec.steps.size())
    {
        run_record.need = record->job->spec.steps[step].need;
    }
    run_record.lifecycle.phase = run_phase::running;
    const bool goes_on = (quarantined_jobs_.contains(listed.run.task.job) ||
                          unread_jobs_.contains(listed.run.task.job)) &&
                         record != nullptr && !record->cancel_requested;
    if (!goes_on)
    {
        run_record.lifecycle.on_stop_requested();
    }
    server.runs[listed.run] = run_record;
}

// Holds back an end whose job has not been read: it is not acknowledged, so
// that the server lists it again.
bool dispatcher::holds_end(server_record& server, const listed_end& end)
{
    server.last_seen_end = end.number;
    if (unread_jobs_.contains(end.run.task.job))
    {
        server.has_held_end = true;
        server.runs.erase(end.run);
        return true;
    }
    if (!server.has_held_end)
    {
        server.last_applied_end = end.number;
    }
    return false;
}

void dispatcher::on_ended(const std::string& id,
                          server_record& server,
                          const listed_end& end)
{
    if (end.number <= server.last_seen_end || holds_end(server, end))
    {
        return;
    }
    const auto ended = server.runs.find(end.run);
    const bool stopping = ended != server.runs.end() &&
                          ended->second.lifecycle.phase == run_phase::stopping;
    server.runs.erase(end.run);
    const auto found = open_jobs_.find(end.run.task.job);
    const auto members = found == open_jobs_.end()
                             ? std::vector<run_id>{}
                             : found->second.members(end.run);
    const auto newer = found == open_jobs_.end()
                           ? placed_runs{}
                           : newer_runs(found->second, end.run);
    const auto effect =
        found == open_jobs_.end()
            ? end_effect{}
            : found->second.record_end(end.run, end.outcome, end.checkpoint);
    const std::string_view effect_text = effect.job_failed  ? "job failed"
                                         : effect.completed ? "task done"
                                         : effect.applied   ? "task waits"
                                                            : "no effect";
    run_log_.add(
        log_level::info,
        "Runs have ended.",
        end.run,
        id,
        std::string(name_of(end.outcome)).append(": ").append(effect_text));
    hooks_.count("runs_" + std::string(name_of(end.outcome)), 1);
    hooks_.count("late_failures", effect.late_failure ? 1 : 0);
    request_plan();
    if (!effect.applied)
    {
        return;
    }
    mark_dirty(end.run.task.job);
    if (end.outcome == run_outcome::done)
    {
        server.failures = 0;
    }
    if (end.outcome == run_outcome::failed)
    {
        on_failed_run(id, server);
    }
    if (effect.completed)
    {
        for (const auto& [server_id, run] : newer)
        {
            request_stop(server_id, run, "an older run has succeeded");
        }
    }
    record_gang_end(end, stopping, members.size());
    if (effect.job_failed)
    {
        stop_runs_of(found->second);
    }
    else if (!effect.completed)
    {
        // The other members of the gang cannot succeed any more.
        for (const auto& member : members)
        {
            request_stop(server_of(member), member, "another member ended");
        }
    }
}

// `members` is the number of members that had not ended, with this one.
void dispatcher::record_gang_end(const listed_end& end,
                                 bool stopping,
                                 std::size_t members)
{
    if (members > 1)
    {
        gang_ends_.record(end.run, end.outcome, stopping, hooks_.now());
    }
    else
    {
        gang_ends_.forget(end.run);
    }
}

// Placed runs of later attempts, with their servers.
placed_runs dispatcher::newer_runs(const job_progress& job,
                                   const run_id& ended) const
{
    placed_runs result;
    for (const auto& run : job.other_attempts(ended))
    {
        result.emplace_back(server_of(run), run);
    }
    return result;
}

void dispatcher::on_failed_run(const std::string& id, server_record& server)
{
    ++server.failures;
    server.last_failure = hooks_.now();
    log_line(log_level::info,
             "server",
             "A run has failed on a backend server.",
             {{"server", id}, {"failures", std::to_string(server.failures)}});
}

// Resolves recorded runs that the reply does not list. From its first reply to
// this epoch, an incarnation refuses earlier leaders, so that an unconfirmed
// run of theirs that is not listed in this reply cannot start any more. An
// order of this leader to an earlier incarnation may still reach this one,
// until a stop of the run is confirmed.
void dispatcher::resolve_unlisted(const std::string& id,
                                  server_record& server,
                                  time_point requested_at,
                                  const renewal_reply& reply)
{
    if (reply.ended.size() >= max_ends_per_reply)
    {
        return;
    }
    std::set<run_id> listed;
    for (const auto& item : reply.active)
    {
        listed.insert(item.run);
    }
    std::vector<run_id> dropped;
    std::vector<run_id> unresolved;
    for (const auto& [run, run_record] : server.runs)
    {
        if (listed.contains(run))
        {
            continue;
        }
        const auto next = run_record.lifecycle.on_not_listed(requested_at);
        const bool may_be_on_the_way =
            run_record.starts_sent > 0 &&
            (!run_record.confirmed ||
             hooks_.now() - run_record.ordered_at <= max_copy_delay);
        const bool of_last_leader =
            !server.adopted && !may_be_on_the_way &&
            run_record.lifecycle.phase == run_phase::unconfirmed;
        if (next == run_resolution::drop || of_last_leader)
        {
            dropped.push_back(run);
        }
        else if (next == run_resolution::resolve_by_stop)
        {
            unresolved.push_back(run);
        }
    }
    for (const auto& run : dropped)
    {
        drop_run(id, run, "", "not listed");
    }
    for (const auto& run : unresolved)
    {
        stop_gang(run, "the start was not confirmed");
        // Its task may have ended in another run, and its job with it.
        request_stop(id, run, "the start was not confirmed");
    }
}

std::string dispatcher::server_of(const run_id& run) const
{
    const auto job = open_jobs_.find(run.task.job);
    const auto* task =
        job == open_jobs_.end() ? nullptr : job->second.task(run.task);
    return task != nullptr && task->server ? task->server->id : "";
}

server_run* dispatcher::find_run(const std::string& server, const run_id& run)
{
    auto* record = registry_.find(server);
    if (record == nullptr)
    {
        return nullptr;
    }
    const auto found = record->runs.find(run);
    return found == record->runs.end() ? nullptr : &found->second;
}

} // namespace poplarramp
