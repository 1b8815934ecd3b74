#include "domain/dispatcher.hpp"

#include "base/log.hpp"
#include "domain/ended_runs.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds load_retry_delay{200};

// Batches the changes of server rows, which change with each heartbeat.
constexpr milliseconds server_rows_batch_delay{100};

// No task starts while the copy of the server, operator or job rows is older
// than this. Draining, evacuations and cancellations must take effect within
// 3 s at the strictest.
constexpr milliseconds max_state_age{2000};

// Longest interval between plans without an event.
constexpr milliseconds max_plan_interval{250};

// Pause after a plan, as a multiple of its duration. With hundreds of waiting
// jobs and a small share of a core, a plan takes longer than the replies of the
// servers may wait.
constexpr int plan_delay_factor = 3;

// Bounds the pause when the VM was suspended during a plan: urgent jobs must
// start within 2.7 s at the strictest.
constexpr milliseconds max_plan_delay{1000};

} // namespace

dispatcher::dispatcher(dispatcher_settings settings,
                       dispatcher_hooks hooks,
                       leadership& leader,
                       const deployment_view& deployment,
                       const job_directory& jobs)
    : settings_(std::move(settings)), hooks_(std::move(hooks)), leader_(leader),
      deployment_(deployment), jobs_(jobs), epoch_(leader.epoch()),
      elected_at_(hooks_.boot_now()),
      server_rows_(
          {hooks_.rows.server_prefix,
           row_watcher_settings{}.wait,
           server_rows_batch_delay},
          {hooks_.store,
           hooks_.now,
           hooks_.boot_now,
           hooks_.random,
           [this](const std::vector<table_row>& rows) { on_server_rows(rows); },
           [this](const table_row_change& change) { on_server_row(change); },
           nullptr})
{
    const auto confirmed = leader_.predecessor_confirmed_by();
    const auto age =
        confirmed ? hooks_.boot_now() - *confirmed : milliseconds(0);
    registry_.set_unknown_server_lease(lease_clock::predecessor_leases_end(
        hooks_.now() - age, settings_.max_lease));
}

dispatcher::~dispatcher()
{
    run_log_.flush_all();
}

void dispatcher::tick()
{
    server_rows_.tick();
    run_log_.flush(hooks_.now());
    if (!ready_)
    {
        load_progress();
        restore_jobs();
        // Runs that a server lists cannot be matched before the jobs are known.
        return;
    }
    poll_servers();
    advance_bisection();
    if (hooks_.now() >= next_plan_)
    {
        plan_due_ = true;
    }
    advance();
}

void dispatcher::request_plan()
{
    plan_due_ = true;
    if (!std::exchange(advance_posted_, true))
    {
        hooks_.post(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->advance_posted_ = false;
                    self->advance();
                }
            });
    }
}

void dispatcher::advance()
{
    if (!ready_ || !leader_.leads())
    {
        return;
    }
    const auto now = hooks_.now();
    if (plan_due_ && now >= earliest_plan_)
    {
        plan_due_ = false;
        if (has_recent_state())
        {
            plan();
            record_begun_jobs();
        }
        const auto after = hooks_.now();
        hooks_.record("plan", after - now);
        next_plan_ = after + max_plan_interval;
        earliest_plan_ =
            after + std::min(max_plan_delay, plan_delay_factor * (after - now));
    }
    expire_jobs();
    commit();
}

bool dispatcher::has_recent_state() const
{
    const auto now = hooks_.boot_now();
    const auto is_recent = [now](std::optional<boot_time> confirmed)
    {
        return confirmed && now - *confirmed <= max_state_age;
    };
    return is_recent(server_rows_.confirmed_at()) &&
           is_recent(hooks_.deployment_confirmed()) &&
           is_recent(hooks_.jobs_confirmed());
}

void dispatcher::load_progress()
{
    if (progress_loaded_ || progress_in_flight_ || hooks_.now() < next_load_)
    {
        return;
    }
    progress_in_flight_ = true;
    hooks_.store.scan(
        progress_prefix,
        progress_cursor_,
        progress_pace_.rows(),
        hooks_.now() + progress_pace_.timeout(),
        [weak = weak_from_this(), sent = hooks_.now()](table_scan_reply reply)
        {
            if (const auto self = weak.lock())
            {
                self->on_progress_page(std::move(reply), sent);
            }
        });
}

void dispatcher::on_progress_page(table_scan_reply reply, time_point sent)
{
    progress_in_flight_ = false;
    if (reply.error)
    {
        progress_pace_.on_error(reply.error);
        log_line(log_level::warning,
                 "sched",
                 "The progress rows of the jobs cannot be scanned.",
                 {{"code", std::string(name_of(reply.error.code))},
                  {"reason", reply.error.reason}});
        next_load_ = hooks_.now() + load_retry_delay;
        return;
    }
    for (auto& row : reply.rows)
    {
        const auto name = parse_progress_row_key(row.key);
        if (name)
        {
            progress_texts_[name->job].add(*name, std::move(row.value));
        }
        else
        {
            log_line(log_level::warning,
                     "sched",
                     "The key of a progress row is invalid.",
                     {{"key", row.key}});
        }
    }
    progress_pace_.on_page(hooks_.now() - sent);
    progress_cursor_ = reply.next;
    progress_loaded_ = progress_cursor_.empty();
}

// Waits until the copy of the jobs includes all writes of the last leader: in
// an older copy, ended jobs would look new.
void dispatcher::restore_jobs()
{
    const auto confirmed = hooks_.jobs_confirmed();
    if (!progress_loaded_ || !server_rows_.loaded() || !confirmed ||
        *confirmed < elected_at_ || !deployment_.ready())
    {
        return;
    }
    for (const auto& [id, texts] : progress_texts_)
    {
        stored_rows_.emplace(id, texts.rows());
    }
    quarantined_jobs_.insert(leader_.quarantined_jobs().begin(),
                             leader_.quarantined_jobs().end());
    restore_probation();
    start_bisection();
    for (const auto& [id, record] : jobs_.all())
    {
        if (!record.job)
        {
            continue;
        }
        if (record.state)
        {
            stored_states_[id] = record.state->state;
        }
        if (record.state && is_final(record.state->state))
        {
            ended_jobs_.insert(id);
            const auto texts = progress_texts_.find(id);
            if (texts != progress_texts_.end())
            {
                restore_ended_job(id, record, texts->second);
            }
        }
        else
        {
            restore_job(*record.job);
        }
        const auto opened = open_jobs_.find(id);
        if (record.cancel_requested && opened != open_jobs_.end())
        {
            cancel_job(opened->second);
        }
        else if (record.cancel_requested && unread_jobs_.contains(id))
        {
            cancel_unread_job(id);
        }
    }
    restore_rates();
    find_restarted_servers();
    ready_ = true;
    log_line(log_level::info,
             "sched",
             "The scheduler is ready.",
             {{"epoch", std::to_string(epoch_)},
              {"jobs", std::to_string(open_jobs_.size())},
              {"servers", std::to_string(registry_.all().size())}});
    progress_texts_.clear();
    request_plan();
}

void dispatcher::restore_job(const step_job& job)
{
    if (quarantined_jobs_.contains(job.id))
    {
        return;
    }
    if (!may_begin(job.id) && progress_texts_.contains(job.id))
    {
        leave_unread(job);
        return;
    }
    job_progress restored(job);
    failure why;
    if (!read_progress(restored, why))
    {
        log_line(log_level::error,
                 "sched",
                 "The progress row of a job cannot be decoded; none of its "
                 "tasks is started or stopped.",
                 {{"job", job.id}, {"reason", why.reason}});
        quarantined_jobs_.insert(job.id);
        return;
    }
    auto& progress =
        open_jobs_.insert_or_assign(job.id, std::move(restored)).first->second;
    for (const auto& [run, placed_on] : progress.placed_runs())
    {
        auto& record = restore_run(run, placed_on);
        record.need = progress.spec_of(run.task.step).need;
        record.use = progress.task(run.task)->use;
    }
    for (const auto& [run, placed_on] : progress.awaited_runs())
    {
        restore_run(run, placed_on).mark_ended();
    }
    for (const auto& server : progress.lost_servers())
    {
        lost_servers_[server].insert(job.id);
    }
}

// Records a run of an earlier leader. Its order may have reached a later
// incarnation than the intended one; the first list of runs resolves it.
server_run& dispatcher::restore_run(const run_id& run,
                                    const server_incarnation& placed_on)
{
    auto& server = registry_.at(placed_on.id);
    if (server.registration.incarnation == 0)
    {
        server.registration.incarnation = placed_on.incarnation;
    }
    server_run record;
    record.lifecycle.phase = run_phase::unconfirmed;
    record.started_at = hooks_.now();
    return server.runs[run] = record;
}

bool dispatcher::read_progress(job_progress& progress, failure& why) const
{
    const auto found = progress_texts_.find(progress.job().id);
    if (found == progress_texts_.end())
    {
        return true;
    }
    const auto& texts = found->second;
    const auto head = texts.text(head_document);
    if (!head || !progress.read(*head, why))
    {
        return false;
    }
    for (const int document : texts.documents())
    {
        if (document != head_document &&
            !progress.read_repetition_text(
                document, *texts.text(document), why))
        {
            return false;
        }
    }
    return true;
}

// Runs of an ended job that the last leader has not seen end count under the
// limit of their customer until their servers have listed their runs.
void dispatcher::restore_ended_job(const std::string& id,
                                   const job_record& job,
                                   const progress_texts& texts)
{
    for (const auto& [run, placed_on] : track_runs(id, job, texts))
    {
        request_stop(placed_on.id, run, "job ended");
    }
}

std::vector<std::pair<run_id, server_incarnation>> dispatcher::track_runs(
    const std::string& id, const job_record& job, const progress_texts& texts)
{
    std::vector<std::pair<run_id, server_incarnation>> runs;
    for (const int document : texts.documents())
    {
        auto text = *texts.text(document);
        if (document != head_document)
        {
            // The form of one row for all repetitions.
            text = std::string(R"({"open":{")")
                       .append(std::to_string(document))
                       .append(R"(":)")
                       .append(text)
                       .append("}}");
        }
        const auto found = runs_in_row(id, text);
        runs.insert(runs.end(), found.begin(), found.end());
    }
    for (const auto& [run, placed_on] : runs)
    {
        const auto step = static_cast<std::size_t>(run.task.step);
        restore_run(run, placed_on).need =
            job.job && step < job.job->spec.steps.size()
                ? job.job->spec.steps[step].need
                : job.largest_need;
    }
    return runs;
}

void dispatcher::on_server_rows(const std::vector<table_row>& rows)
{
    for (auto& [id, server] : registry_.all())
    {
        server.registered = false;
    }
    for (const auto& row : rows)
    {
        on_server_row({row, false});
    }
}

void dispatcher::on_server_row(const table_row_change& change)
{
    if (change.removed)
    {
        const auto id = change.row.key.substr(hooks_.rows.server_prefix.size());
        if (auto* server = registry_.find(id))
        {
            server->registered = false;
            log_line(log_level::info,
                     "server",
                     "A backend server is no longer registered.",
                     {{"server", id},
                      {"runs", std::to_string(server->runs.size())}});
        }
        return;
    }
    failure why;
    auto registration = hooks_.rows.decode_server_row(change.row, why);
    if (!registration)
    {
        log_line(log_level::warning,
                 "server",
                 "The registration of a backend server cannot be used.",
                 {{"row", change.row.key}, {"reason", why.reason}});
        return;
    }
    const auto id = registration->id;
    const auto* before = registry_.find(id);
    const bool unchanged =
        before != nullptr && before->registered &&
        before->registration.incarnation == registration->incarnation &&
        before->registration.draining == registration->draining;
    if (!unchanged)
    {
        log_line(log_level::info,
                 "server",
                 "A backend server has registered.",
                 {{"server", id},
                  {"born", std::to_string(registration->incarnation)},
                  {"address", registration->address},
                  {"zone", registration->zone},
                  {"rack", registration->rack},
                  {"draining", registration->draining ? "true" : "false"},
                  {"version", std::to_string(change.row.version)}});
        request_plan();
    }
    registry_.register_server(
        std::move(*registration),
        hooks_.now(),
        [this, &id](const std::map<run_id, server_run>& runs)
        { on_lost_runs(id, runs, true); },
        [this, &id](const run_id& run, const server_run&)
        { drop_run(id, run, "", "server restarted"); });
}

void dispatcher::on_deployment_changed()
{
    request_plan();
}

void dispatcher::on_jobs_loaded()
{
    if (!ready_)
    {
        return;
    }
    for (const auto& [id, record] : jobs_.all())
    {
        on_job_changed(id);
    }
}

void dispatcher::on_job_changed(const std::string& id)
{
    if (!ready_)
    {
        return;
    }
    const auto* record = jobs_.find(id);
    if (record == nullptr)
    {
        ended_jobs_.erase(id);
        stored_states_.erase(id);
        quarantined_jobs_.erase(id);
        unread_jobs_.erase(id);
        leader_.remove_quarantined_job(id);
        return;
    }
    if (!record->job)
    {
        return;
    }
    add_job(*record);
    if (record->cancel_requested && unread_jobs_.contains(id))
    {
        cancel_unread_job(id);
    }
    else if (record->cancel_requested && quarantined_jobs_.contains(id))
    {
        cancel_quarantined_job(id);
    }
    const auto found = open_jobs_.find(id);
    if (record->cancel_requested && found != open_jobs_.end() &&
        !found->second.cancelled())
    {
        cancel_job(found->second);
    }
}

void dispatcher::add_job(const job_record& record)
{
    const auto& job = *record.job;
    const bool ended = record.state && is_final(record.state->state);
    if (ended || open_jobs_.contains(job.id) || ended_jobs_.contains(job.id) ||
        quarantined_jobs_.contains(job.id) || unread_jobs_.contains(job.id))
    {
        return;
    }
    log_line(log_level::info,
             "sched",
             "A job has arrived.",
             {{"job", job.id},
              {"queue", job.queue},
              {"customer", job.customer},
              {"priority", std::to_string(job.policy.priority)},
              {"config", std::to_string(deployment_.version())}});
    record_rate(job);
    open_jobs_.try_emplace(job.id, job);
    probation_.add(job.id, false);
    request_plan();
}

void dispatcher::cancel_job(job_progress& job)
{
    log_line(log_level::info,
             "sched",
             "A job is cancelled.",
             {{"job", job.job().id},
              {"runs", std::to_string(job.placed_runs().size())}});
    job.cancel();
    mark_dirty(job.job().id);
    stop_runs_of(job);
}

void dispatcher::stop_runs_of(job_progress& job)
{
    for (const auto& [run, placed_on] : job.placed_runs())
    {
        request_stop(placed_on.id, run, "job ended");
    }
}

void dispatcher::mark_dirty(const std::string& job)
{
    dirty_jobs_.push(job);
    request_plan();
}

void dispatcher::drop_run(const std::string& server,
                          const run_id& run,
                          const std::string& checkpoint,
                          std::string_view reason)
{
    if (auto* record = registry_.find(server))
    {
        record->runs.erase(run);
    }
    const auto found = open_jobs_.find(run.task.job);
    if (found != open_jobs_.end() &&
        found->second.remove_placement(run, checkpoint))
    {
        run_log_.add(log_level::info,
                     "Runs no longer exist.",
                     run,
                     server,
                     std::string(reason));
        mark_dirty(run.task.job);
    }
    request_plan();
}

} // namespace poplarramp
