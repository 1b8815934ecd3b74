// Jobs that may end leaders: how a leader begins them after other leaders have
// ended early, and which jobs it keeps out for a time.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// Doubled with each further leader that ends under the job, since that costs
// all callers a takeover.
constexpr milliseconds first_quarantine{60'000};

// Ends of runs of a quarantined job are not acknowledged meanwhile, so that it
// is out for good after this many leaders: three, and one for each retry.
constexpr int ends_before_lasting_quarantine = ends_of_faulty_job + 3;

const std::string quarantine_reason =
    "leaders end again and again when they begin it";

milliseconds quarantine_after(int ends)
{
    const int doublings = std::clamp(
        ends - ends_of_faulty_job, 0, ends_before_lasting_quarantine);
    return first_quarantine * (1 << doublings);
}

} // namespace

const timed_quarantine* dispatcher::quarantine_of(const std::string& job) const
{
    const auto& jobs = leader_.timed_quarantines();
    const auto found = std::find_if(jobs.begin(),
                                    jobs.end(),
                                    [&job](const timed_quarantine& item)
                                    { return item.job == job; });
    return found == jobs.end() ? nullptr : &*found;
}

bool dispatcher::may_begin(const std::string& job) const
{
    if (!leader_.timed_quarantines().empty() && quarantine_of(job) != nullptr)
    {
        return job == retried_job_ && bisection_ && bisection_->may_begin(job);
    }
    return !bisection_ || bisection_->may_begin(job);
}

void dispatcher::restore_probation()
{
    const auto& listed = leader_.predecessor_probation();
    for (const auto& [id, record] : jobs_.all())
    {
        const bool ended = record.state && is_final(record.state->state);
        if (!record.job || ended || quarantined_jobs_.contains(id))
        {
            continue;
        }
        const bool has_rows = stored_rows_.contains(id);
        const bool begun =
            has_rows && (listed.any || std::find(listed.jobs.begin(),
                                                 listed.jobs.end(),
                                                 id) != listed.jobs.end());
        if (begun || !has_rows)
        {
            probation_.add(id, begun);
        }
    }
}

// Before the jobs are restored: those in question are not read yet.
void dispatcher::start_bisection()
{
    const auto& failed = leader_.predecessor_bisection();
    if (leader_.short_terms() < short_terms_before_bisection && !failed.alone)
    {
        return;
    }
    bisection_.emplace(failed, hooks_.random);
    for (const auto& [id, record] : jobs_.all())
    {
        if (!probation_.contains(id))
        {
            continue;
        }
        const bool has_failed =
            failed.alone && failed.to == bisection_key(*record.job);
        if (has_failed || quarantine_of(id) == nullptr)
        {
            bisection_->add(*record.job);
        }
    }
    advance_bisection();
}

void dispatcher::advance_bisection()
{
    if (!bisection_)
    {
        return;
    }
    const auto before = bisection_->note();
    const bool may_plan =
        bisection_->advance(hooks_.now(), leader_.bisection_stored());
    if (const auto& job = bisection_->faulty_job())
    {
        quarantine_for_a_time(*job, bisection_->ends());
    }
    if (bisection_->note() != before)
    {
        const auto& note = bisection_->note();
        leader_.set_bisection(note);
        log_line(log_level::warning,
                 "sched",
                 "New jobs are begun in groups, to find one that ends leaders.",
                 {{"after", note.after},
                  {"to", note.to},
                  {"control", note.control ? "true" : "false"},
                  {"ends", std::to_string(note.ends)}});
    }
    if (bisection_->done())
    {
        on_bisection_done();
    }
    if (may_plan)
    {
        read_begun_jobs();
        request_plan();
    }
}

void dispatcher::on_bisection_done()
{
    bisection_.reset();
    if (retried_job_.empty())
    {
        return;
    }
    log_line(log_level::info,
             "sched",
             "A job is no longer quarantined; a leader has outlived it.",
             {{"job", retried_job_}});
    end_quarantine(retried_job_);
    retried_job_.clear();
}

void dispatcher::end_quarantine(const std::string& job)
{
    auto jobs = leader_.timed_quarantines();
    std::erase_if(
        jobs, [&job](const timed_quarantine& item) { return item.job == job; });
    leader_.set_timed_quarantines(std::move(jobs));
}

void dispatcher::quarantine_for_a_time(const std::string& job, int ends)
{
    end_quarantine(job);
    if (ends >= ends_before_lasting_quarantine)
    {
        quarantine(job, quarantine_reason);
        return;
    }
    auto jobs = leader_.timed_quarantines();
    const auto time = quarantine_after(ends);
    jobs.push_back({job, ends, hooks_.unix_now() + time.count()});
    leader_.set_timed_quarantines(std::move(jobs));
    log_line(log_level::error,
             "sched",
             "A job is quarantined; none of its tasks is started for a time.",
             {{"job", job},
              {"reason", quarantine_reason},
              {"ends", std::to_string(ends)},
              {"seconds", std::to_string(time.count() / 1000)}});
    hooks_.count("jobs_quarantined", 1);
}

// Only a leader that lasts, so that its end is the effect of the job.
void dispatcher::retry_quarantined_job()
{
    const auto now = hooks_.now();
    if (bisection_ || !lasting_from_ || now < *lasting_from_)
    {
        return;
    }
    auto jobs = leader_.timed_quarantines();
    const auto unix_now = hooks_.unix_now();
    std::erase_if(jobs,
                  [this](const timed_quarantine& item) {
                      return !open_jobs_.contains(item.job) &&
                             !unread_jobs_.contains(item.job);
                  });
    for (auto& item : jobs)
    {
        // The clock of an earlier leader may have been ahead.
        item.until_unix_ms = std::min(
            item.until_unix_ms, unix_now + quarantine_after(item.ends).count());
    }
    const auto due = std::find_if(jobs.begin(),
                                  jobs.end(),
                                  [unix_now](const timed_quarantine& item)
                                  { return item.until_unix_ms <= unix_now; });
    if (due != jobs.end())
    {
        retried_job_ = due->job;
        bisection_ = job_bisection::retry(
            *jobs_.find(due->job)->job, due->ends, hooks_.random);
    }
    leader_.set_timed_quarantines(std::move(jobs));
}

void dispatcher::leave_unread(const step_job& job)
{
    const auto& texts =
        unread_jobs_.insert(progress_texts_.extract(job.id)).position->second;
    track_runs(job.id, *jobs_.find(job.id), texts);
    log_line(log_level::warning,
             "sched",
             "The progress rows of a job are not read yet.",
             {{"job", job.id}});
}

// Reads the progress rows of jobs that may begin now.
void dispatcher::read_begun_jobs()
{
    std::vector<std::string> begun;
    for (const auto& [id, texts] : unread_jobs_)
    {
        if (may_begin(id))
        {
            begun.push_back(id);
        }
    }
    for (const auto& id : begun)
    {
        for (auto& [server, record] : registry_.all())
        {
            std::erase_if(record.runs,
                          [&id](const auto& item)
                          { return item.first.task.job == id; });
        }
        const auto* record = jobs_.find(id);
        auto unread = unread_jobs_.extract(id);
        if (record == nullptr || !record->job)
        {
            continue;
        }
        progress_texts_.insert(std::move(unread));
        restore_job(*record->job);
        progress_texts_.erase(id);
        record_rate(*record->job);
    }
    if (!begun.empty())
    {
        find_restarted_servers();
        release_held_ends();
    }
}

// The ends are listed again, with later ones, which have no effect then.
void dispatcher::release_held_ends()
{
    for (auto& [id, server] : registry_.all())
    {
        if (server.has_held_end)
        {
            server.has_held_end = false;
            server.last_seen_end = server.last_applied_end;
        }
    }
}

void dispatcher::cancel_unread_job(const std::string& id)
{
    unread_jobs_.erase(id);
    quarantined_jobs_.insert(id);
    probation_.remove(id);
    end_quarantine(id);
    cancel_quarantined_job(id);
    release_held_ends();
}

void dispatcher::record_begun_jobs()
{
    const auto now = hooks_.now();
    probation_.advance(now);
    std::vector<std::string> begun;
    probation_.for_each_waiting(
        [this, &begun](const std::string& id)
        {
            const auto job = open_jobs_.find(id);
            if (job != open_jobs_.end() && !job->second.repetitions().empty() &&
                may_begin(id))
            {
                begun.push_back(id);
            }
        });
    for (const auto& id : begun)
    {
        probation_.begin(id, now);
    }
    auto listed = probation_.begun();
    // Jobs without rows are in question in any case.
    std::erase_if(listed.jobs,
                  [this](const std::string& id)
                  {
                      const auto job = open_jobs_.find(id);
                      return !stored_rows_.contains(id) &&
                             (job == open_jobs_.end() ||
                              job->second.placed_runs().empty());
                  });
    leader_.set_probation(std::move(listed));
    if (bisection_)
    {
        bisection_->on_planned(now);
    }
    if (!bisection_ && !lasting_from_)
    {
        lasting_from_ = now + probation_time;
        leader_.set_lasting_from(*lasting_from_);
    }
    if (!leader_.timed_quarantines().empty())
    {
        retry_quarantined_job();
    }
}

} // namespace poplarramp
