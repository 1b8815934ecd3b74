// Contact with the backend servers: what runs there, what has ended, and for
// how long leases last.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// Without a reply for this long a server may be cut off one way: no order then
// extends its lease, so that it is certain when its runs have ended.
constexpr milliseconds contact_timeout{2500};

// Waits of the servers for an end to report; an idle server has none.
constexpr milliseconds busy_wait{800};
constexpr milliseconds idle_wait{1200};

// While ends wait to be stored, a hold returns at once.
constexpr milliseconds unstored_renewal_delay{500};
constexpr milliseconds failed_renewal_delay{200};

// Beyond the wait; replies cross regions in 60 ms.
constexpr milliseconds renewal_timeout{1000};

// A server lists this many ends in one reply; there may be more.
constexpr std::size_t ends_in_reply = 500;

} // namespace

void dispatcher::tend_servers()
{
    const auto now = hooks_.now();
    std::vector<std::string> forgotten;
    for (auto& [id, server] : registry_.all())
    {
        give_up_lost(id, server);
        if (!server.renewal_in_flight && now >= server.next_renewal &&
            !server.entry.address.empty())
        {
            renew(id, server);
        }
        for (auto& [run, held] : server.runs)
        {
            if (held.lifecycle.phase == run_phase::stopping &&
                !held.lifecycle.stop_confirmed && !held.stop_in_flight &&
                now >= held.next_stop)
            {
                send_stop(id, server, run);
            }
        }
        if (!server.registered && server.runs.empty() &&
            server.lease.certainly_over(now))
        {
            forgotten.push_back(id);
        }
    }
    for (const auto& id : forgotten)
    {
        registry_.erase(id);
    }
}

server_target dispatcher::target_of(const server_record& server) const
{
    return {server.entry.address, server.entry.id, epoch_};
}

std::optional<server_clock>
dispatcher::lease_for(const server_record& server) const
{
    const auto now = hooks_.now();
    const auto confirmed = leader_.confirmed_at();
    const auto clock = server.lease.estimate(now);
    const bool in_contact =
        server.contact && now - *server.contact < contact_timeout;
    if (!in_contact || !clock || !confirmed ||
        hooks_.boot_now() - *confirmed > extend_without_store)
    {
        return std::nullopt;
    }
    return *clock + std::min(wanted_lease, settings_.max_lease).count();
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
    order.acknowledged_end = server.ends_stored;
    const bool unstored = server.ends_handled > server.ends_stored;
    if (server.adopted && !unstored)
    {
        order.wait = server.runs.empty() ? idle_wait : busy_wait;
    }
    server.renewal_in_flight = true;
    hooks_.count("server_holds", 1);
    hooks_.servers.renew(target_of(server),
                         order,
                         now + order.wait + renewal_timeout,
                         [weak = weak_from_this(),
                          id,
                          incarnation = server.entry.incarnation,
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
                            time_point asked,
                            const renewal_reply& reply)
{
    auto* server = registry_.find(id);
    if (server == nullptr)
    {
        return;
    }
    server->renewal_in_flight = false;
    const auto now = hooks_.now();
    if (reply.order.outcome != order_outcome::done)
    {
        server->next_renewal = now + failed_renewal_delay;
        if (reply.order.outcome == order_outcome::fenced)
        {
            // The next write shows who leads.
            log_line(log_level::warning,
                     "server",
                     "A backend server has seen a newer leader.",
                     {{"server", id}, {"epoch", std::to_string(epoch_)}});
        }
        return;
    }
    if (reply.incarnation != 0 && reply.incarnation > server->entry.incarnation)
    {
        log_line(log_level::info,
                 "server",
                 "A backend server has started anew.",
                 {{"server", id},
                  {"born", std::to_string(reply.incarnation)},
                  {"before", std::to_string(server->entry.incarnation)}});
        registry_.begin_incarnation(
            *server,
            reply.incarnation,
            now,
            [this, &id](const run_id& run, const server_run&)
            { drop_run(id, run, "", "server restarted"); });
    }
    else if (reply.incarnation != 0 &&
             reply.incarnation != server->entry.incarnation)
    {
        // An answer of a life that is over.
        return;
    }
    else if (incarnation != server->entry.incarnation)
    {
        // The order was for a life that is over; the next one raises the epoch.
        server->next_renewal = now;
        return;
    }
    on_contact(id, *server, asked, reply);
}

void dispatcher::on_contact(const std::string& id,
                            server_record& server,
                            time_point asked,
                            const renewal_reply& reply)
{
    const auto now = hooks_.now();
    if (reply.order.clock)
    {
        server.lease.observe(*reply.order.clock, now);
    }
    if (!server.contact || now - *server.contact >= contact_timeout)
    {
        log_line(log_level::info,
                 "server",
                 "A backend server is in contact.",
                 {{"server", id},
                  {"runs", std::to_string(server.runs.size())},
                  {"listed", std::to_string(reply.active.size())}});
        wake();
    }
    server.contact = now;
    for (const auto& end : reply.ended)
    {
        on_ended(id, server, end);
    }
    for (const auto& listed : reply.active)
    {
        on_listed(id, server, listed);
    }
    settle_unlisted(id, server, asked, reply);
    if (!server.adopted)
    {
        server.adopted = true;
        // The last leader may have extended the lease up to the longest.
        if (const auto clock = server.lease.estimate(now))
        {
            server.lease.grant(*clock + settings_.max_lease.count());
            server.lease.drop_assumption();
        }
        wake();
    }
    const bool unstored = server.ends_handled > server.ends_stored;
    server.next_renewal = unstored ? now + unstored_renewal_delay : now;
    if (unstored)
    {
        wake();
    }
}

void dispatcher::on_listed(const std::string& id,
                           server_record& server,
                           const listed_run& listed)
{
    const auto now = hooks_.now();
    const auto found = server.runs.find(listed.run);
    if (found != server.runs.end())
    {
        auto& run = found->second;
        run.lifecycle.on_listed(now);
        run.percent = listed.percent;
        if (!listed.checkpoint.empty() && listed.checkpoint != run.checkpoint)
        {
            run.checkpoint = listed.checkpoint;
            const auto job = open_.find(listed.run.task.job);
            if (job != open_.end())
            {
                job->second.save(listed.run, listed.checkpoint);
            }
        }
        return;
    }
    log_line(log_level::warning,
             "server",
             "A backend server lists a run that is not in the books.",
             {{"server", id},
              {"job", listed.run.task.job},
              {"task", text_of(listed.run.task)},
              {"attempt", std::to_string(listed.run.attempt)}});
    server_run listed_only;
    listed_only.untracked = true;
    listed_only.started_at = now;
    // The sizes of a job that has ended are not kept: its runs take up the
    // whole server until they are gone.
    const auto job = open_.find(listed.run.task.job);
    const bool is_known =
        job != open_.end() && job->second.task(listed.run.task) != nullptr;
    listed_only.need = is_known ? job->second.spec_of(listed.run.task.step).need
                                : server.entry.capacity;
    listed_only.lifecycle.phase = run_phase::running;
    listed_only.lifecycle.on_stop_wanted();
    server.runs[listed.run] = listed_only;
}

void dispatcher::on_ended(const std::string& id,
                          server_record& server,
                          const listed_end& end)
{
    if (end.number <= server.ends_handled)
    {
        return;
    }
    server.ends_handled = end.number;
    server.runs.erase(end.run);
    const auto found = open_.find(end.run.task.job);
    const auto members = found == open_.end() ? std::vector<run_id>{}
                                              : found->second.members(end.run);
    const auto newer = found == open_.end()
                           ? placed_runs{}
                           : newer_runs(found->second, end.run);
    const auto effect =
        found == open_.end()
            ? end_effect{}
            : found->second.end(end.run, end.outcome, end.checkpoint);
    log_line(log_level::info,
             "sched",
             "A run has ended.",
             {{"job", end.run.task.job},
              {"task", text_of(end.run.task)},
              {"attempt", std::to_string(end.run.attempt)},
              {"server", id},
              {"number", std::to_string(end.number)},
              {"how", std::string(name_of(end.outcome))},
              {"effect",
               effect.job_failed  ? "job failed"
               : effect.completed ? "task done"
               : effect.known     ? "task waits"
                                  : "none"}});
    hooks_.count("runs_" + std::string(name_of(end.outcome)), 1);
    wake();
    if (!effect.known)
    {
        return;
    }
    mark(end.run.task.job);
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
            want_stop(server_id, run, "an older run has ended well");
        }
    }
    if (effect.job_failed)
    {
        stop_runs_of(found->second);
    }
    else if (!effect.completed)
    {
        // The other members cannot end well any more.
        for (const auto& member : members)
        {
            want_stop(server_of(member), member, "another member ended");
        }
    }
}

// Runs, with their servers, that took the place of one that was given up.
dispatcher::placed_runs dispatcher::newer_runs(const job_progress& job,
                                               const run_id& ended) const
{
    placed_runs result;
    const auto* task = job.task(ended.task);
    if (task == nullptr || !task->placed || task->attempt == ended.attempt)
    {
        return result;
    }
    for (const auto& member : job.members({ended.task, task->attempt}))
    {
        result.emplace_back(server_of(member), member);
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

// A life that this epoch has not reached before refuses earlier leaders from
// the answer on, so that what it does not list then cannot start.
void dispatcher::settle_unlisted(const std::string& id,
                                 server_record& server,
                                 time_point asked,
                                 const renewal_reply& reply)
{
    if (reply.ended.size() >= ends_in_reply)
    {
        return;
    }
    std::set<run_id> listed;
    for (const auto& item : reply.active)
    {
        listed.insert(item.run);
    }
    std::vector<run_id> gone;
    std::vector<run_id> unsettled;
    for (const auto& [run, held] : server.runs)
    {
        if (listed.contains(run))
        {
            continue;
        }
        const auto next = held.lifecycle.on_not_listed(asked);
        const bool of_last_leader =
            !server.adopted && held.lifecycle.phase == run_phase::unconfirmed;
        if (next == run_step::gone || of_last_leader)
        {
            gone.push_back(run);
        }
        else if (next == run_step::settle_by_stop)
        {
            unsettled.push_back(run);
        }
    }
    for (const auto& run : gone)
    {
        drop_run(id, run, "", "not listed");
    }
    for (const auto& run : unsettled)
    {
        stop_gang(run, "the start was not confirmed");
    }
}

std::string dispatcher::server_of(const run_id& run) const
{
    const auto job = open_.find(run.task.job);
    const auto* task =
        job == open_.end() ? nullptr : job->second.task(run.task);
    return task != nullptr && task->placed ? task->placed->id : "";
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

void dispatcher::give_up_lost(const std::string& id, server_record& server)
{
    const auto now = hooks_.now();
    const bool in_contact =
        server.contact && now - *server.contact < contact_timeout;
    if (in_contact || server.runs.empty() || !server.lease.certainly_over(now))
    {
        return;
    }
    log_line(log_level::warning,
             "server",
             "The leases of a lost backend server have run out.",
             {{"server", id},
              {"runs", std::to_string(server.runs.size())},
              {"registered", server.registered ? "true" : "false"}});
    std::vector<run_id> runs;
    for (const auto& [run, held] : server.runs)
    {
        runs.push_back(run);
    }
    for (const auto& run : runs)
    {
        drop_run(id, run, "", "lease ran out");
    }
}

} // namespace poplarramp
