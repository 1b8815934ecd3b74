// Servers that are lost with their runs: what that tells of the tasks, and when
// the runs are certain to be gone.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace poplarramp
{

namespace
{

bool are_of_one_step(const std::vector<const run_id*>& runs)
{
    return std::all_of(runs.begin(),
                       runs.end(),
                       [&runs](const run_id* run)
                       {
                           const auto& a = run->task;
                           const auto& b = runs.front()->task;
                           return std::tie(a.job, a.repetition, a.step) ==
                                  std::tie(b.job, b.repetition, b.step);
                       });
}

} // namespace

// Records that a server was lost under these runs; `crashed` if it certainly
// runs no more. If some of them were not seen at work, the start of one of them
// is the likely cause. The runs at work on a draining server end with it in any
// case.
void dispatcher::on_lost_runs(const std::string& id,
                              const std::map<run_id, server_run>& runs,
                              bool crashed)
{
    record_losses(id, runs, runs, crashed);
}

// Records the loss of the runs in `lost` only, which are some of all `runs` on
// the server.
void dispatcher::record_losses(const std::string& id,
                               const std::map<run_id, server_run>& runs,
                               const std::map<run_id, server_run>& lost,
                               bool crashed)
{
    const auto* server = registry_.find(id);
    const bool draining = server != nullptr && server->registration.draining;
    std::vector<const run_id*> suspects;
    std::vector<const run_id*> at_work;
    for (const auto& [run, record] : runs)
    {
        if (record.lifecycle.phase != run_phase::placing && !record.ended)
        {
            (record.seen_at_work() ? at_work : suspects).push_back(&run);
        }
    }
    for (const auto* run : suspects)
    {
        if (!lost.contains(*run))
        {
            continue;
        }
        // A new leader does not know whether its predecessor saw them at work.
        // An order without a reply may have come after the crash.
        const auto& record = runs.at(*run);
        record_loss(id,
                    *run,
                    record.starts_sent > 0 ? loss_role::at_start
                                           : loss_role::at_work,
                    crashed && record.confirmed && are_of_one_step(suspects));
    }
    if (draining)
    {
        return;
    }
    for (const auto* run : at_work)
    {
        if (!lost.contains(*run))
        {
            continue;
        }
        record_loss(id,
                    *run,
                    suspects.empty() ? loss_role::at_work
                                     : loss_role::bystander,
                    crashed && suspects.empty() && are_of_one_step(at_work));
    }
}

void dispatcher::record_loss(const std::string& id,
                             const run_id& run,
                             loss_role role,
                             bool sole_cause)
{
    hooks_.count("runs_lost", 1);
    run_log_.add(log_level::warning,
                 "Runs were lost with their server.",
                 run,
                 id,
                 role == loss_role::at_start    ? "not seen at work there"
                 : role == loss_role::bystander ? "seen at work, unlike others"
                                                : "may have been at work");
    const auto found = open_jobs_.find(run.task.job);
    if (found == open_jobs_.end())
    {
        return;
    }
    auto& job = found->second;
    const bool had_failed = job.state() == step_job_state::failed;
    if (!job.record_loss(run, role, sole_cause))
    {
        return;
    }
    lost_servers_[*job.task(run.task)->server].insert(run.task.job);
    mark_dirty(run.task.job);
    if (!had_failed && job.state() == step_job_state::failed)
    {
        give_up(job, run.task);
    }
}

// Another server has replied at the address, so that the one which the call was
// for runs no more. Orders to it that are still on the way will be refused.
void dispatcher::on_server_replaced(const std::string& id,
                                    server_record& server,
                                    std::int64_t incarnation)
{
    if (server.runs.empty() || incarnation != server.registration.incarnation)
    {
        return;
    }
    log_line(log_level::warning,
             "server",
             "Another backend server replies at the address of a lost one.",
             {{"server", id},
              {"born", std::to_string(incarnation)},
              {"address", server.registration.address},
              {"runs", std::to_string(server.runs.size())}});
    lose_server(id, server, "another server has its address", true);
}

// Drops the runs of a server, none of which exists any more.
void dispatcher::lose_server(const std::string& id,
                             server_record& server,
                             std::string_view reason,
                             bool crashed)
{
    hooks_.count("servers_lost", 1);
    // The end of a job may drop further runs.
    const auto runs = server.runs;
    on_lost_runs(id, runs, crashed);
    for (const auto& [run, run_record] : runs)
    {
        drop_run(id, run, "", reason);
    }
}

void dispatcher::clear_losses(const task_name& task)
{
    const auto found = open_jobs_.find(task.job);
    if (found != open_jobs_.end() && found->second.clear_losses(task))
    {
        mark_dirty(task.job);
    }
}

void dispatcher::give_up(job_progress& job, const task_name& task)
{
    std::string servers;
    for (const auto& loss : job.task(task)->crashes.losses())
    {
        servers.append(servers.empty() ? "" : " ").append(loss.server.id);
    }
    log_line(
        log_level::warning,
        "sched",
        "A job has failed, since a task crashes the servers that start it.",
        {{"job", job.job().id}, {"task", text_of(task)}, {"servers", servers}});
    hooks_.count("jobs_given_up", 1);
    stop_runs_of(job);
}

void dispatcher::on_server_returned(const std::string& id,
                                    const server_record& server)
{
    log_line(log_level::warning,
             "server",
             "A backend server that was taken for lost replies again.",
             {{"server", id},
              {"born", std::to_string(server.registration.incarnation)}});
    hooks_.count("servers_returned", 1);
    const auto jobs =
        lost_servers_.extract({id, server.registration.incarnation});
    for (const auto& job : jobs.mapped())
    {
        const auto found = open_jobs_.find(job);
        if (found != open_jobs_.end() &&
            found->second.withdraw_losses(jobs.key()))
        {
            mark_dirty(job);
        }
    }
}

// Finds the servers that have restarted while no leader watched them: their
// runs were placed on an earlier incarnation than the registered one.
void dispatcher::find_restarted_servers()
{
    std::map<std::string, std::map<run_id, server_run>> lost;
    for (const auto& [id, job] : open_jobs_)
    {
        for (const auto& [run, placed_on] : job.placed_runs())
        {
            const auto* server = registry_.find(placed_on.id);
            const auto* record = find_run(placed_on.id, run);
            if (record != nullptr &&
                server->registration.incarnation > placed_on.incarnation)
            {
                lost[placed_on.id].emplace(run, *record);
            }
        }
    }
    for (const auto& [id, runs] : lost)
    {
        on_lost_runs(id, runs, true);
    }
}

// A gang of which only members on silent servers are left, and that was ended
// by one of these, does not work any more: its tasks need not wait until the
// leases have run out. Runs whose start was not confirmed may begin later. The
// runs stay recorded, since one of them may have failed, and its server may
// list that as long as its lease lasts.
void dispatcher::release_ended_members(const std::string& id,
                                       server_record& server)
{
    const auto now = hooks_.now();
    if (server.in_contact(now))
    {
        return;
    }
    std::map<run_id, server_run> ended;
    for (const auto& [run, record] : server.runs)
    {
        const auto job = open_jobs_.find(run.task.job);
        if (!record.confirmed || job == open_jobs_.end() ||
            job->second.task_of_placed(run) == nullptr ||
            !gang_ends_.ended_elsewhere(run, now))
        {
            continue;
        }
        const auto members = job->second.members(run);
        const bool all_silent =
            std::all_of(members.begin(),
                        members.end(),
                        [this, now](const run_id& member)
                        {
                            const auto* host =
                                registry_.find(server_of(member));
                            return host != nullptr && !host->in_contact(now);
                        });
        if (all_silent)
        {
            ended.emplace(run, record);
        }
    }
    if (ended.empty())
    {
        return;
    }
    hooks_.count("gang_members_lost", static_cast<double>(ended.size()));
    record_losses(id, server.runs, ended, false);
    for (const auto& [run, record] : ended)
    {
        auto& job = open_jobs_.at(run.task.job);
        job.await_end(run);
        server.runs.at(run).mark_ended();
        run_log_.add(log_level::info,
                     "Ends are not listed yet.",
                     run,
                     id,
                     "its gang has ended on a silent server");
        mark_dirty(run.task.job);
        if (job.members(run).empty())
        {
            gang_ends_.forget(run);
        }
    }
}

void dispatcher::expire_lost_server(const std::string& id,
                                    server_record& server)
{
    const auto now = hooks_.now();
    if (server.in_contact(now) || server.runs.empty() ||
        !server.lease.all_expired(now))
    {
        return;
    }
    const auto silent_for =
        server.last_contact ? (now - *server.last_contact).count() : -1;
    log_line(log_level::warning,
             "server",
             "The leases of a lost backend server have run out.",
             {{"server", id},
              {"born", std::to_string(server.registration.incarnation)},
              {"address", server.registration.address},
              {"runs", std::to_string(server.runs.size())},
              {"silent_ms", std::to_string(silent_for)},
              {"registered", server.registered ? "true" : "false"}});
    lose_server(id, server, "lease ran out", false);
}

} // namespace poplarramp
