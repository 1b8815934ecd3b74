// Stores the state of jobs: batches of rows that are written together with the
// leader row, and the rows of ended jobs.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds expiry_interval{3000};

// A transaction may have 100 entries and 1 MB, of which base64 takes a quarter.
// Two entries are the check and the write of the leader row.
constexpr std::size_t max_batch_entries = 96;
constexpr std::size_t max_commit_bytes = 400'000;

// Beyond these, further documents of one job wait for the next commit, so that
// a job with many repetitions does not delay the others.
constexpr std::size_t max_entries_per_job = 32;

// The head row and the state row of a job.
constexpr std::size_t min_entries_per_job = 2;

// That a job has begun waits this long for a commit that is made anyway: short
// jobs then need no further one. It may be reported 2 s late.
constexpr milliseconds begun_job_delay{500};

// Rows that a job has at most, besides its progress.
constexpr std::size_t job_row_kinds = 3;

std::size_t entries_of(const leader_batch& batch)
{
    return batch.puts.size() + batch.removals.size();
}

bool has_room(const leader_batch& batch, std::size_t entries)
{
    return entries_of(batch) + entries <= max_batch_entries;
}

std::size_t bytes_of(const leader_batch& batch)
{
    std::size_t bytes = 0;
    for (const auto& put : batch.puts)
    {
        bytes += put.value.size();
    }
    return bytes;
}

} // namespace

bool dispatcher::remove_rows(const std::string& id,
                             leader_batch& batch,
                             commit_contents& contents)
{
    const auto found = stored_rows_.find(id);
    if (found == stored_rows_.end())
    {
        return true;
    }
    for (const auto& [document, parts] : found->second.parts())
    {
        if (!has_room(batch, static_cast<std::size_t>(parts)))
        {
            return false;
        }
        found->second.remove(id, document, batch);
        contents.removed_documents.emplace_back(id, document);
    }
    return true;
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
    commit_contents contents;
    const auto is_expired = [oldest](const job_record* record)
    {
        return record == nullptr ||
               (record->state && is_final(record->state->state) &&
                record->state->since_unix_ms < oldest);
    };
    // Left by a leader that ended before it had removed them.
    for (const auto& [id, rows] : stored_rows_)
    {
        if (is_expired(jobs_.find(id)) && !open_jobs_.contains(id) &&
            !remove_rows(id, batch, contents))
        {
            break;
        }
    }
    std::size_t expired = 0;
    for (const auto& [id, record] : jobs_.all())
    {
        if (is_expired(&record) && !open_jobs_.contains(id) &&
            !stored_rows_.contains(id) && has_room(batch, job_row_kinds))
        {
            ++expired;
            for (const auto kind : {job_row_kind::accepted,
                                    job_row_kind::cancelled,
                                    job_row_kind::state})
            {
                batch.removals.push_back(job_row_key(id, kind));
            }
        }
    }
    if (batch.removals.empty())
    {
        return;
    }
    if (expired > 0)
    {
        log_line(log_level::info,
                 "sched",
                 "Rows of ended jobs are deleted after their retention.",
                 {{"jobs", std::to_string(expired)}});
    }
    leader_.commit(std::move(batch),
                   [weak = weak_from_this(), contents](commit_outcome outcome)
                   {
                       const auto self = weak.lock();
                       if (self && outcome == commit_outcome::written)
                       {
                           self->on_committed(contents);
                       }
                   });
}

void dispatcher::add_state(const std::string& id,
                           step_job_state state,
                           leader_batch& batch,
                           commit_contents& contents)
{
    const auto stored = stored_states_.find(id);
    if (state == step_job_state::queued ||
        (stored != stored_states_.end() && stored->second == state))
    {
        return;
    }
    const auto key = job_row_key(id, job_row_kind::state);
    const auto text = to_text(job_state_row{state, hooks_.unix_now()});
    batch.puts.push_back({key, text});
    contents.states[id] = state;
    contents.written.push_back({{key, text, 0}, false});
}

void dispatcher::add_placed(
    const std::vector<std::pair<run_id, server_incarnation>>& placed,
    commit_contents& contents)
{
    for (const auto& [run, placed_on] : placed)
    {
        const auto* record = find_run(placed_on.id, run);
        if (record != nullptr && record->lifecycle.phase == run_phase::placing)
        {
            contents.placed.emplace_back(placed_on.id, run);
        }
    }
}

// The document of the job is taken after those of its repetitions: it tells
// which repetitions are open.
void dispatcher::add_repetitions(const std::string& id,
                                 job_progress& job,
                                 leader_batch& batch,
                                 commit_contents& contents)
{
    auto& rows = stored_rows_[id];
    const auto entries_before = entries_of(batch);
    bool complete = true;
    const auto limit =
        dirty_jobs_.empty() ? max_batch_entries : max_entries_per_job;
    const auto has_job_room =
        [&batch, entries_before, limit](std::size_t entries)
    {
        return has_room(batch, entries + min_entries_per_job) &&
               entries_of(batch) - entries_before + entries <= limit;
    };
    const auto changed = job.changed_repetitions();
    for (const int repetition : changed)
    {
        const auto text = job.repetition_text(repetition);
        const bool fits =
            has_job_room(rows.entries_of(repetition, text.size()));
        const bool first =
            contents.jobs.size() == 1 && contents.documents.empty();
        if (!first &&
            (!fits || bytes_of(batch) + text.size() > max_commit_bytes))
        {
            complete = false;
            break;
        }
        rows.put(id, repetition, text, batch);
        job.on_document_taken(repetition);
        contents.documents.emplace_back(id, repetition);
        add_placed(job.placed_runs(repetition), contents);
    }
    rows.put(id, head_document, job.to_text(), batch);
    for (const auto& [document, parts] : rows.parts())
    {
        if (document == head_document || job.is_open(document))
        {
            continue;
        }
        if (!has_job_room(static_cast<std::size_t>(parts)))
        {
            complete = false;
            break;
        }
        rows.remove(id, document, batch);
        contents.removed_documents.emplace_back(id, document);
    }
    if (!complete)
    {
        contents.unfinished.push_back(id);
    }
}

void dispatcher::add_to_batch(const std::string& id,
                              leader_batch& batch,
                              commit_contents& contents)
{
    const auto found = open_jobs_.find(id);
    if (found == open_jobs_.end())
    {
        const auto* record = jobs_.find(id);
        if (quarantined_jobs_.contains(id) && record != nullptr &&
            record->cancel_requested)
        {
            contents.jobs.push_back(id);
            add_state(id, step_job_state::cancelled, batch, contents);
        }
        return;
    }
    auto& job = found->second;
    const auto state = job.state();
    const bool has_progress = !is_final(state) || !job.placed_runs().empty();
    const auto head = has_progress && !job.has_repetition_documents()
                          ? job.to_text()
                          : std::string();
    if (!contents.jobs.empty() &&
        bytes_of(batch) + head.size() > max_commit_bytes)
    {
        contents.unfinished.push_back(id);
        return;
    }
    contents.jobs.push_back(id);
    add_state(id, state, batch, contents);
    if (has_progress && job.has_repetition_documents())
    {
        add_repetitions(id, job, batch, contents);
    }
    else if (has_progress)
    {
        stored_rows_[id].put(id, head_document, head, batch);
        add_placed(job.placed_runs(), contents);
    }
    else if (remove_rows(id, batch, contents))
    {
        contents.removed_jobs.push_back(id);
    }
    else
    {
        contents.unfinished.push_back(id);
    }
}

void dispatcher::on_start_confirmed(const run_id& run)
{
    const auto found = open_jobs_.find(run.task.job);
    if (found != open_jobs_.end() && found->second.confirm_start())
    {
        begun_jobs_.emplace(run.task.job, hooks_.now() + begun_job_delay);
    }
}

void dispatcher::store_begun_jobs()
{
    const auto now = hooks_.now();
    const bool due =
        std::any_of(begun_jobs_.begin(),
                    begun_jobs_.end(),
                    [now](const auto& item) { return item.second <= now; });
    if (due || !dirty_jobs_.empty())
    {
        for (const auto& [id, until] : begun_jobs_)
        {
            dirty_jobs_.push(id);
        }
        begun_jobs_.clear();
    }
}

void dispatcher::commit()
{
    store_begun_jobs();
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
    dirty_jobs_.begin_batch();
    while (has_room(batch, min_entries_per_job) &&
           bytes_of(batch) < max_commit_bytes)
    {
        const auto id = dirty_jobs_.next();
        if (!id)
        {
            break;
        }
        add_to_batch(*id, batch, contents);
    }
    dirty_jobs_.end_batch();
    for (const auto& id : contents.unfinished)
    {
        dirty_jobs_.push(id);
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
    leader_.commit(std::move(batch),
                   [weak = weak_from_this(), contents, sent = hooks_.now()](
                       commit_outcome outcome)
                   {
                       const auto self = weak.lock();
                       if (!self)
                       {
                           return;
                       }
                       self->hooks_.record("store_commit",
                                           self->hooks_.now() - sent);
                       if (outcome == commit_outcome::written)
                       {
                           self->on_committed(contents);
                       }
                       else
                       {
                           self->on_not_committed(contents, outcome);
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
    for (const auto& [id, document] : contents.removed_documents)
    {
        const auto rows = stored_rows_.find(id);
        if (rows != stored_rows_.end())
        {
            rows->second.forget(document);
            if (rows->second.parts().empty())
            {
                stored_rows_.erase(rows);
            }
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
            probation_.remove(id);
            planner_.forget_job(id);
            rates_.forget(id);
            gang_ends_.forget_job(id);
        }
    }
    request_plan();
}

// A batch that the store will never accept is split until the job of the row at
// fault is alone: the rows of all other jobs are stored, and their work starts.
void dispatcher::on_not_committed(const commit_contents& contents,
                                  commit_outcome outcome)
{
    for (const auto& [id, repetition] : contents.documents)
    {
        const auto found = open_jobs_.find(id);
        if (found != open_jobs_.end())
        {
            found->second.on_document_not_stored(repetition);
        }
    }
    if (outcome == commit_outcome::refused && contents.jobs.size() == 1)
    {
        quarantine(contents.jobs.front(), "the store refuses its rows");
        return;
    }
    if (outcome == commit_outcome::refused && contents.jobs.size() > 1)
    {
        hooks_.count("store_commits_split", 1);
        dirty_jobs_.split(contents.jobs);
        return;
    }
    for (const auto& id : contents.jobs)
    {
        dirty_jobs_.push(id);
    }
}

// Runs that exist go on, since stopping them would lose their work; none is
// placed any more.
void dispatcher::quarantine(const std::string& id, std::string_view reason)
{
    log_line(log_level::error,
             "sched",
             "A job is quarantined; none of its tasks is started or stopped.",
             {{"job", id}, {"reason", std::string(reason)}});
    hooks_.count("jobs_quarantined", 1);
    quarantined_jobs_.insert(id);
    leader_.add_quarantined_job(id);
    const auto found = open_jobs_.find(id);
    if (found == open_jobs_.end())
    {
        return;
    }
    for (const auto& [run, placed_on] : found->second.placed_runs())
    {
        const auto* record = find_run(placed_on.id, run);
        // The placement is not stored and the start not ordered.
        if (record != nullptr && record->lifecycle.phase == run_phase::placing)
        {
            registry_.at(placed_on.id).runs.erase(run);
        }
    }
    open_jobs_.erase(found);
    probation_.remove(id);
    planner_.forget_job(id);
    rates_.forget(id);
    gang_ends_.forget_job(id);
    request_plan();
}

void dispatcher::cancel_quarantined_job(const std::string& id)
{
    const auto stored = stored_states_.find(id);
    if (stored != stored_states_.end() && is_final(stored->second))
    {
        return;
    }
    placed_runs runs;
    for (const auto& [server, record] : registry_.all())
    {
        for (const auto& [run, run_record] : record.runs)
        {
            if (run.task.job == id)
            {
                runs.emplace_back(server, run);
            }
        }
    }
    for (const auto& [server, run] : runs)
    {
        request_stop(server, run, "job ended");
    }
    mark_dirty(id);
}

} // namespace poplarramp
