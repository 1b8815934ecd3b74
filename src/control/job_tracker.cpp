#include "control/job_tracker.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds poll_interval{1000};

// Used after a VM replied that it is not the scheduler, or while no scheduler
// is known. The next heartbeats correct the membership.
constexpr milliseconds scheduler_retry_interval{250};

constexpr milliseconds object_store_timeout{2000};

// True if the scheduler will not accept the job. A stopping VM hands its role
// over, so that its reply is not final.
bool is_refusal(const failure& error)
{
    return is_not_run(error.code) && error.code != result_code::vm_stopping;
}

result_code code_for(const job_outcome& outcome)
{
    switch (outcome.state)
    {
    case job_state::done:
        return result_code::ok;
    case job_state::failed:
        return result_code::job_failed;
    case job_state::cancelled:
        return result_code::cancelled;
    case job_state::not_run:
        return result_code::retries_exhausted;
    case job_state::unknown:
        return result_code::outcome_unknown;
    default:
        return result_code::pending;
    }
}

} // namespace

struct job_tracker::tracked_job
{
    std::string id;
    job item;
    bool is_new = false;
    bool row_may_exist = true;
    std::vector<waiting_caller> callers;
    // Number of schedulers that the job was sent to, with or without a reply.
    int send_count = 0;
    // VM of the scheduler that has accepted the job; empty: not known.
    std::string scheduler_vm;
    time_point next_step{};
    bool call_in_flight = false;
    bool cancel_pending = false;
    // Error of the only scheduler that the job was sent to, which rejected it.
    std::optional<failure> refusal;
    std::string explanation;
    bool ended = false;
};

failure failure_of(const job_outcome& outcome)
{
    if (outcome.state == job_state::done)
    {
        return {};
    }
    const bool matches =
        outcome.code != result_code::ok &&
        is_not_run(outcome.code) == (outcome.state == job_state::not_run);
    return {matches ? outcome.code : code_for(outcome), outcome.reason};
}

job_tracker::job_tracker(job_tracker_hooks hooks, int max_waiting)
    : hooks_(std::move(hooks)),
      max_waiting_(static_cast<std::size_t>(std::max(max_waiting, 0)))
{
}

bool job_tracker::full(std::size_t more) const
{
    return std::max(callers_, jobs_.size()) + more >= max_waiting_;
}

const job* job_tracker::find(const std::string& job_id) const
{
    const auto found = jobs_.find(job_id);
    return found == jobs_.end() ? nullptr : &found->second->item;
}

std::size_t job_tracker::size() const
{
    return jobs_.size();
}

void job_tracker::track(const accept_reply& accepted,
                        waiting_caller caller,
                        bool cancel)
{
    const auto id = job_id(accepted.item.request);
    if (find(id) != nullptr)
    {
        join(id, std::move(caller));
        jobs_.at(id)->cancel_pending |= cancel;
        return;
    }
    auto entry = std::make_shared<tracked_job>();
    entry->id = id;
    entry->item = accepted.item;
    entry->is_new = accepted.is_new;
    entry->row_may_exist = accepted.row_may_exist;
    entry->cancel_pending = cancel;
    entry->callers.push_back(std::move(caller));
    ++callers_;
    jobs_[id] = entry;
    if (is_final(entry->item.outcome.state))
    {
        const auto outcome = entry->item.outcome;
        entry->item.outcome = {};
        on_ended(id, outcome);
        return;
    }
    advance(entry);
}

void job_tracker::join(const std::string& job_id, waiting_caller caller)
{
    const auto entry = jobs_.at(job_id);
    if (callers_ >= max_waiting_)
    {
        caller.done(
            {{result_code::pending, "too many callers wait at this entry VM"},
             entry->item,
             entry->explanation});
        return;
    }
    entry->callers.push_back(std::move(caller));
    ++callers_;
}

template <class Reply, class Handle>
std::function<void(Reply)> job_tracker::completion(const entry_ptr& entry,
                                                   Handle handle)
{
    entry->call_in_flight = true;
    return [weak = weak_from_this(), weak_entry = std::weak_ptr(entry), handle](
               const Reply& reply)
    {
        const auto self = weak.lock();
        const auto target = weak_entry.lock();
        if (!self || !target)
        {
            return;
        }
        const auto found = self->jobs_.find(target->id);
        if (found == self->jobs_.end() || found->second != target)
        {
            return;
        }
        target->call_in_flight = false;
        handle(*self, target, reply);
    };
}

void job_tracker::schedule_next_step(const entry_ptr& entry,
                                     milliseconds interval)
{
    entry->next_step = hooks_.now() + interval;
}

void job_tracker::advance(const entry_ptr& entry)
{
    if (hooks_.now() < entry->next_step)
    {
        return;
    }
    if (entry->ended)
    {
        // A call to a scheduler that is still in flight no longer matters.
        fetch_result(entry);
        return;
    }
    if (entry->call_in_flight)
    {
        return;
    }
    const auto location = hooks_.scheduler_of(entry->item.zone);
    if (!location)
    {
        schedule_next_step(entry, scheduler_retry_interval);
        return;
    }
    if (entry->cancel_pending)
    {
        send_cancel(entry, *location);
    }
    else if (entry->refusal)
    {
        confirm_refusal(entry, *location);
    }
    else if (entry->send_count == 0)
    {
        enqueue(entry, *location);
    }
    else if (entry->scheduler_vm != location->vm)
    {
        resend(entry, *location);
    }
    else
    {
        poll(entry, *location);
    }
}

void job_tracker::enqueue(const entry_ptr& entry,
                          const scheduler_location& location)
{
    ++entry->send_count;
    // Set before the call, which may complete before it returns.
    schedule_next_step(entry, poll_interval);
    const auto handle = [location](job_tracker& self,
                                   const entry_ptr& target,
                                   const failure& error)
    {
        self.on_enqueued(target, location, error);
    };
    hooks_.enqueue(location, entry->item, completion<failure>(entry, handle));
}

void job_tracker::on_enqueued(const entry_ptr& entry,
                              const scheduler_location& location,
                              const failure& error)
{
    if (!error)
    {
        entry->scheduler_vm = location.vm;
        return;
    }
    if (error.code == result_code::conflict)
    {
        // The job was not accepted, so this scheduler does not count.
        --entry->send_count;
        schedule_next_step(entry, scheduler_retry_interval);
        return;
    }
    entry->explanation = error.reason;
    // A rejection is final only if this is the only scheduler that the job was
    // sent to, by this or another entry VM. Any other may be running the job.
    if (is_refusal(error) && entry->send_count == 1 && entry->is_new)
    {
        entry->refusal = error;
        entry->next_step = hooks_.now();
        advance(entry);
    }
}

// Sends a job again because its scheduler has changed, does not know the job or
// did not reply. The job may have ended meanwhile, so the row is read first.
void job_tracker::resend(const entry_ptr& entry,
                         const scheduler_location& location)
{
    entry->scheduler_vm.clear();
    if (!entry->row_may_exist)
    {
        enqueue(entry, location);
        return;
    }
    schedule_next_step(entry, poll_interval);
    const auto handle = [location](job_tracker& self,
                                   const entry_ptr& target,
                                   const job_read_reply& row)
    {
        self.on_row(target, location, row);
    };
    hooks_.read_row(entry->id, completion<job_read_reply>(entry, handle));
}

void job_tracker::on_row(const entry_ptr& entry,
                         const scheduler_location& location,
                         const job_read_reply& row)
{
    if (entry->ended)
    {
        return;
    }
    if (row.item && is_final(row.item->outcome.state))
    {
        on_ended(entry->id, row.item->outcome);
        return;
    }
    if (row.item)
    {
        entry->item = *row.item;
        enqueue(entry, location);
        return;
    }
    // Without the row it is not known whether the job has run, so only an
    // idempotent job is sent again.
    if (entry->item.idempotent)
    {
        enqueue(entry, location);
    }
}

void job_tracker::poll(const entry_ptr& entry,
                       const scheduler_location& location)
{
    schedule_next_step(entry, poll_interval);
    const auto handle = [](job_tracker& self,
                           const entry_ptr& target,
                           const job_status_reply& reply)
    {
        self.on_status(target, reply);
    };
    hooks_.job_status(
        location, entry->id, completion<job_status_reply>(entry, handle));
}

void job_tracker::on_status(const entry_ptr& entry,
                            const job_status_reply& reply)
{
    if (entry->ended)
    {
        return;
    }
    if (reply.error.code == result_code::not_found ||
        reply.error.code == result_code::conflict)
    {
        entry->scheduler_vm.clear();
        schedule_next_step(entry, scheduler_retry_interval);
        return;
    }
    if (reply.error)
    {
        return;
    }
    if (is_final(reply.outcome.state))
    {
        on_ended(entry->id, reply.outcome);
        return;
    }
    entry->item.outcome.state = reply.outcome.state;
    entry->explanation = reply.explanation;
}

void job_tracker::send_cancel(const entry_ptr& entry,
                              const scheduler_location& location)
{
    schedule_next_step(entry, poll_interval);
    const auto handle = [location](job_tracker& self,
                                   const entry_ptr& target,
                                   const failure& error)
    {
        self.on_cancel_sent(target, location, error);
    };
    hooks_.cancel(location, entry->id, completion<failure>(entry, handle));
}

void job_tracker::on_cancel_sent(const entry_ptr& entry,
                                 const scheduler_location& location,
                                 const failure& error)
{
    if (!error)
    {
        entry->cancel_pending = false;
        entry->scheduler_vm = location.vm;
        ++entry->send_count;
        return;
    }
    if (error.code != result_code::not_found)
    {
        return;
    }
    // The scheduler keeps the cancellation for some time. Sending it the job
    // makes the job end there.
    if (entry->send_count == 0)
    {
        enqueue(entry, location);
    }
    else
    {
        resend(entry, location);
    }
}

// Ends a job that its scheduler rejected. The cancellation is sent first: if
// the scheduler has the job after all, from another entry VM, it replies so;
// otherwise it will not start the job later.
void job_tracker::confirm_refusal(const entry_ptr& entry,
                                  const scheduler_location& location)
{
    if (!entry->row_may_exist)
    {
        write_refusal(entry);
        return;
    }
    schedule_next_step(entry, poll_interval);
    const auto handle = [location](job_tracker& self,
                                   const entry_ptr& target,
                                   const failure& error)
    {
        if (error.code == result_code::not_found)
        {
            self.write_refusal(target);
        }
        else if (!error)
        {
            target->refusal.reset();
            target->scheduler_vm = location.vm;
        }
    };
    hooks_.cancel(location, entry->id, completion<failure>(entry, handle));
}

void job_tracker::write_refusal(const entry_ptr& entry)
{
    job_outcome outcome;
    outcome.state = job_state::not_run;
    outcome.code = entry->refusal->code;
    outcome.reason = entry->refusal->reason;
    if (!entry->row_may_exist)
    {
        on_ended(entry->id, outcome);
        return;
    }
    const auto handle = [outcome](job_tracker& self,
                                  const entry_ptr& target,
                                  const job_read_reply& row)
    {
        if (row.error)
        {
            return;
        }
        if (!row.item || is_final(row.item->outcome.state))
        {
            self.on_ended(target->id, row.item ? row.item->outcome : outcome);
            return;
        }
        target->refusal.reset();
    };
    hooks_.end_unstarted(
        entry->id, outcome, completion<job_read_reply>(entry, handle));
}

void job_tracker::on_ended(const std::string& job_id,
                           const job_outcome& outcome)
{
    const auto found = jobs_.find(job_id);
    if (found == jobs_.end() || found->second->ended ||
        !is_final(outcome.state))
    {
        return;
    }
    const auto entry = found->second;
    entry->ended = true;
    entry->item.outcome = outcome;
    if (outcome.answer_object.empty() || entry->callers.empty())
    {
        reply_to_callers(entry);
        return;
    }
    entry->next_step = hooks_.now();
    advance(entry);
}

// Reads a large result from the object store. Retries until it succeeds or no
// caller is waiting.
void job_tracker::fetch_result(const entry_ptr& entry)
{
    schedule_next_step(entry, poll_interval);
    const auto handle = [](job_tracker& self,
                           const entry_ptr& target,
                           const object_reply& reply)
    {
        if (reply.error)
        {
            target->explanation = "the job has ended; its answer is in the "
                                  "object store, which says: " +
                                  reply.error.reason;
            return;
        }
        target->item.outcome.answer = reply.content;
        self.reply_to_callers(target);
    };
    hooks_.objects.get(entry->item.outcome.answer_object,
                       hooks_.now() + object_store_timeout,
                       completion<object_reply>(entry, handle));
}

void job_tracker::reply_to_callers(const entry_ptr& entry)
{
    jobs_.erase(entry->id);
    const auto callers = std::move(entry->callers);
    entry->callers.clear();
    callers_ -= callers.size();
    for (const auto& caller : callers)
    {
        caller.done(
            {failure_of(entry->item.outcome), entry->item, entry->explanation});
    }
}

// Replies to callers whose wait has timed out. An accepted job without callers
// is kept until a scheduler has accepted it.
void job_tracker::expire_callers(const entry_ptr& entry)
{
    const auto now = hooks_.now();
    const auto split =
        std::stable_partition(entry->callers.begin(),
                              entry->callers.end(),
                              [now](const waiting_caller& caller)
                              { return caller.wait_until > now; });
    const std::vector<waiting_caller> expired(split, entry->callers.end());
    entry->callers.erase(split, entry->callers.end());
    callers_ -= expired.size();
    const bool needed = !entry->callers.empty() || entry->cancel_pending ||
                        (entry->scheduler_vm.empty() && !entry->ended);
    if (!needed)
    {
        jobs_.erase(entry->id);
    }
    for (const auto& caller : expired)
    {
        caller.done(
            {{result_code::pending, "the job has not been answered yet"},
             entry->item,
             entry->explanation});
    }
}

void job_tracker::tick()
{
    const auto entries = jobs_;
    for (const auto& [id, entry] : entries)
    {
        advance(entry);
        const auto found = jobs_.find(id);
        if (found != jobs_.end() && found->second == entry)
        {
            expire_callers(entry);
        }
    }
}

void job_tracker::reply_to_all()
{
    const auto entries = std::exchange(jobs_, {});
    for (const auto& [id, entry] : entries)
    {
        const auto callers = std::move(entry->callers);
        entry->callers.clear();
        callers_ -= callers.size();
        for (const auto& caller : callers)
        {
            caller.done(
                {{result_code::pending, "this entry VM stops; ask another one"},
                 entry->item,
                 entry->explanation});
        }
    }
}

} // namespace poplarramp
