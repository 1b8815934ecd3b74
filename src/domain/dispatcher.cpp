#include "domain/dispatcher.hpp"

#include "base/log.hpp"
#include "domain/ended_runs.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

const std::string progress_prefix = "runs/";

constexpr int scan_page_rows = 500;
constexpr milliseconds scan_timeout{2000};
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

constexpr milliseconds expiry_interval{3000};
// Each expired job takes up to four of the 100 entries of a transaction.
constexpr std::size_t max_jobs_per_expiry = 20;

// A transaction may have 100 entries and 1 MB.
constexpr std::size_t max_jobs_per_commit = 45;
constexpr std::size_t max_commit_bytes = 400'000;

std::string progress_key(const std::string& job)
{
    return progress_prefix + job;
}

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
        plan();
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
    hooks_.store.scan(progress_prefix,
                      progress_cursor_,
                      scan_page_rows,
                      hooks_.now() + scan_timeout,
                      [weak = weak_from_this()](table_scan_reply reply)
                      {
                          if (const auto self = weak.lock())
                          {
                              self->on_progress_page(std::move(reply));
                          }
                      });
}

void dispatcher::on_progress_page(table_scan_reply reply)
{
    progress_in_flight_ = false;
    if (reply.error)
    {
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
        progress_rows_[row.key.substr(progress_prefix.size())] =
            std::move(row.value);
    }
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
    for (const auto& [id, record] : jobs_.all())
    {
        if (!record.job)
        {
            continue;
        }
        const auto row = progress_rows_.find(id);
        const bool ended = record.state && is_final(record.state->state);
        if (record.state)
        {
            stored_states_[id] = record.state->state;
        }
        if (ended && row != progress_rows_.end())
        {
            ended_jobs_.insert(id);
            restore_ended_job(id, record, row->second);
        }
        if (!ended)
        {
            restore_job(*record.job,
                        row == progress_rows_.end() ? nullptr : &row->second);
        }
        const auto opened = open_jobs_.find(id);
        if (record.cancel_requested && opened != open_jobs_.end())
        {
            cancel_job(opened->second);
        }
    }
    find_restarted_servers();
    ready_ = true;
    log_line(log_level::info,
             "sched",
             "The scheduler is ready.",
             {{"epoch", std::to_string(epoch_)},
              {"jobs", std::to_string(open_jobs_.size())},
              {"servers", std::to_string(registry_.all().size())}});
    progress_rows_.clear();
    request_plan();
}

void dispatcher::restore_job(const step_job& job,
                             const std::string* progress_row)
{
    job_progress restored(job);
    failure why;
    if (progress_row != nullptr && !restored.read(*progress_row, why))
    {
        log_line(log_level::error,
                 "sched",
                 "The progress row of a job cannot be decoded; none of its "
                 "tasks is started or stopped.",
                 {{"job", job.id}, {"reason", why.reason}});
        damaged_jobs_.insert(job.id);
        return;
    }
    auto& progress =
        open_jobs_.insert_or_assign(job.id, std::move(restored)).first->second;
    progress.open_due_repetitions(hooks_.unix_now());
    for (const auto& [run, placed_on] : progress.placed_runs())
    {
        auto& server = registry_.at(placed_on.id);
        if (server.registration.incarnation == 0)
        {
            server.registration.incarnation = placed_on.incarnation;
        }
        // The order may have reached a later incarnation than the intended
        // one; the first list of runs resolves it.
        server_run run_record;
        run_record.need = progress.spec_of(run.task.step).need;
        run_record.lifecycle.phase = run_phase::unconfirmed;
        run_record.started_at = hooks_.now();
        run_record.use = progress.task(run.task)->use;
        server.runs[run] = run_record;
    }
    for (const auto& server : progress.lost_servers())
    {
        lost_servers_[server].insert(job.id);
    }
}

// Runs of an ended job that the last leader has not seen end count under the
// limit of their customer until their servers have listed their runs.
void dispatcher::restore_ended_job(const std::string& id,
                                   const job_record& job,
                                   const std::string& progress_row)
{
    for (const auto& [run, placed_on] : runs_in_row(id, progress_row))
    {
        auto& server = registry_.at(placed_on.id);
        if (server.registration.incarnation == 0)
        {
            server.registration.incarnation = placed_on.incarnation;
        }
        server_run run_record;
        run_record.need = job.largest_need;
        run_record.lifecycle.phase = run_phase::unconfirmed;
        run_record.started_at = hooks_.now();
        server.runs[run] = run_record;
        request_stop(placed_on.id, run, "job ended");
    }
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
        return;
    }
    if (!record->job)
    {
        return;
    }
    add_job(*record);
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
        damaged_jobs_.contains(job.id))
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
    open_jobs_.try_emplace(job.id, job)
        .first->second.open_due_repetitions(hooks_.unix_now());
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
    dirty_jobs_.insert(job);
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

void dispatcher::expire_jobs()
{
    const auto now = hooks_.now();
    if (now < next_expiry_ || !leader_.can_commit())
    {
        return;
    }
    next_expiry_ = now + expiry_interval;
    const auto oldest = hooks_.unix_now() - settings_.retention.count();
    leader_batch batch;
    std::vector<std::string> expired;
    for (const auto& [id, record] : jobs_.all())
    {
        if (record.state && is_final(record.state->state) &&
            record.state->since_unix_ms < oldest && !open_jobs_.contains(id) &&
            expired.size() < max_jobs_per_expiry)
        {
            expired.push_back(id);
            for (const auto kind : {job_row_kind::accepted,
                                    job_row_kind::cancelled,
                                    job_row_kind::state})
            {
                batch.removals.push_back(job_row_key(id, kind));
            }
            batch.removals.push_back(progress_key(id));
        }
    }
    if (!expired.empty())
    {
        log_line(log_level::info,
                 "sched",
                 "Rows of ended jobs are deleted after their retention.",
                 {{"jobs", std::to_string(expired.size())}});
        leader_.commit(std::move(batch), [](bool) {});
    }
}

void dispatcher::add_to_batch(const std::string& id,
                              leader_batch& batch,
                              commit_contents& contents)
{
    contents.jobs.push_back(id);
    const auto found = open_jobs_.find(id);
    if (found == open_jobs_.end())
    {
        return;
    }
    const auto& job = found->second;
    const auto state = job.state();
    const auto placed = job.placed_runs();
    if (is_final(state) && placed.empty())
    {
        batch.removals.push_back(progress_key(id));
        contents.removed_jobs.push_back(id);
    }
    else
    {
        batch.puts.push_back({progress_key(id), job.to_text()});
    }
    const auto stored = stored_states_.find(id);
    if (state != step_job_state::queued &&
        (stored == stored_states_.end() || stored->second != state))
    {
        const auto key = job_row_key(id, job_row_kind::state);
        const auto text = to_text(job_state_row{state, hooks_.unix_now()});
        batch.puts.push_back({key, text});
        contents.states[id] = state;
        contents.written.push_back({{key, text, 0}, false});
    }
    for (const auto& [run, placed_on] : placed)
    {
        const auto* record = find_run(placed_on.id, run);
        if (record != nullptr && record->lifecycle.phase == run_phase::placing)
        {
            contents.placed.emplace_back(placed_on.id, run);
        }
    }
}

void dispatcher::commit()
{
    const bool has_unstored_ends = std::any_of(
        registry_.all().begin(),
        registry_.all().end(),
        [](const auto& item)
        { return item.second.last_applied_end > item.second.last_stored_end; });
    if (!leader_.can_commit() || (dirty_jobs_.empty() && !has_unstored_ends))
    {
        return;
    }
    leader_batch batch;
    commit_contents contents;
    std::size_t bytes = 0;
    while (!dirty_jobs_.empty() && contents.jobs.size() < max_jobs_per_commit &&
           bytes < max_commit_bytes)
    {
        const auto id = *dirty_jobs_.begin();
        dirty_jobs_.erase(dirty_jobs_.begin());
        const auto before = batch.puts.size();
        add_to_batch(id, batch, contents);
        for (std::size_t i = before; i < batch.puts.size(); ++i)
        {
            bytes += batch.puts[i].value.size();
        }
    }
    if (dirty_jobs_.empty())
    {
        for (const auto& [id, server] : registry_.all())
        {
            contents.ends[{id, server.registration.incarnation}] =
                server.last_applied_end;
        }
    }
    if (batch.puts.empty() && batch.removals.empty())
    {
        // Nothing to store: the ends were of runs that no open job has.
        on_committed(contents);
        return;
    }
    hooks_.count("store_commits", 1);
    leader_.commit(
        std::move(batch),
        [weak = weak_from_this(), contents, sent = hooks_.now()](bool written)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            self->hooks_.record("store_commit", self->hooks_.now() - sent);
            if (written)
            {
                self->on_committed(contents);
            }
            else
            {
                self->on_not_committed(contents);
            }
        });
}

void dispatcher::on_committed(const commit_contents& contents)
{
    for (const auto& [id, state] : contents.states)
    {
        stored_states_[id] = state;
        run_log_.flush_job(id);
        log_line(log_level::info,
                 "sched",
                 "The state of a job is stored.",
                 {{"job", id}, {"state", std::string(name_of(state))}});
        const auto job = open_jobs_.find(id);
        const auto age = job == open_jobs_.end()
                             ? milliseconds(0)
                             : milliseconds(hooks_.unix_now() -
                                            job->second.job().accepted_unix_ms);
        if (is_final(state))
        {
            hooks_.count("jobs_" + std::string(name_of(state)), 1);
        }
        hooks_.record("job_time_to_" + std::string(name_of(state)), age);
    }
    for (const auto& change : contents.written)
    {
        hooks_.on_written(change);
    }
    for (const auto& [reporter, number] : contents.ends)
    {
        auto* server = registry_.find(reporter.id);
        if (server != nullptr &&
            server->registration.incarnation == reporter.incarnation)
        {
            server->last_stored_end = std::max(server->last_stored_end, number);
        }
    }
    start_committed(contents.placed);
    for (const auto& id : contents.removed_jobs)
    {
        const auto found = open_jobs_.find(id);
        if (found != open_jobs_.end() && found->second.placed_runs().empty())
        {
            ended_jobs_.insert(id);
            open_jobs_.erase(found);
            planner_.forget_job(id);
            gang_ends_.forget_job(id);
        }
    }
    request_plan();
}

void dispatcher::on_not_committed(const commit_contents& contents)
{
    for (const auto& id : contents.jobs)
    {
        dirty_jobs_.insert(id);
    }
}

} // namespace poplarramp
