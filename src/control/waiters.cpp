#include "control/waiters.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds poll_interval{1000};

// After a scheduler refused the call as not its own, or none is known: the view
// of the membership is corrected by the next heartbeats.
constexpr milliseconds scheduler_retry{250};

constexpr milliseconds object_timeout{2000};

// The scheduler will not take the job. A stopping VM hands over instead.
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

struct waiters::waiting_job
{
    std::string id;
    job item;
    bool is_new = false;
    bool row_may_exist = true;
    std::vector<waiting_caller> callers;
    // Schedulers that were sent the job, whether or not they answered.
    int sent = 0;
    // VM of the scheduler that has the job; empty: none is known to.
    std::string holder;
    time_point next_step{};
    // A call is under way.
    bool busy = false;
    bool cancel_wanted = false;
    // Why the only scheduler that was asked did not take the job.
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

waiters::waiters(waiter_hooks hooks, int max_waiting)
    : hooks_(std::move(hooks)),
      max_waiting_(static_cast<std::size_t>(std::max(max_waiting, 0)))
{
}

bool waiters::full(std::size_t more) const
{
    return std::max(callers_, jobs_.size()) + more >= max_waiting_;
}

const job* waiters::find(const std::string& job_id) const
{
    const auto found = jobs_.find(job_id);
    return found == jobs_.end() ? nullptr : &found->second->item;
}

std::size_t waiters::size() const
{
    return jobs_.size();
}

void waiters::watch(const accept_reply& accepted,
                    waiting_caller caller,
                    bool cancel)
{
    const auto id = job_id(accepted.item.request);
    if (find(id) != nullptr)
    {
        join(id, std::move(caller));
        jobs_.at(id)->cancel_wanted |= cancel;
        return;
    }
    auto entry = std::make_shared<waiting_job>();
    entry->id = id;
    entry->item = accepted.item;
    entry->is_new = accepted.is_new;
    entry->row_may_exist = accepted.row_may_exist;
    entry->cancel_wanted = cancel;
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
    step(entry);
}

void waiters::join(const std::string& job_id, waiting_caller caller)
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
std::function<void(Reply)> waiters::completion(const entry_ptr& entry,
                                               Handle handle)
{
    entry->busy = true;
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
        target->busy = false;
        handle(*self, target, reply);
    };
}

void waiters::wait_for(const entry_ptr& entry, milliseconds interval)
{
    entry->next_step = hooks_.now() + interval;
}

void waiters::step(const entry_ptr& entry)
{
    if (hooks_.now() < entry->next_step)
    {
        return;
    }
    if (entry->ended)
    {
        // Does not wait for a call to a scheduler, which no longer matters.
        fetch_answer(entry);
        return;
    }
    if (entry->busy)
    {
        return;
    }
    const auto place = hooks_.scheduler_of(entry->item.zone);
    if (!place)
    {
        wait_for(entry, scheduler_retry);
        return;
    }
    if (entry->cancel_wanted)
    {
        send_cancel(entry, *place);
    }
    else if (entry->refusal)
    {
        end_refused(entry, *place);
    }
    else if (entry->sent == 0)
    {
        enqueue(entry, *place);
    }
    else if (entry->holder != place->vm)
    {
        resend(entry, *place);
    }
    else
    {
        poll(entry, *place);
    }
}

void waiters::enqueue(const entry_ptr& entry, const scheduler_place& place)
{
    ++entry->sent;
    // Set before the call, because it may report before it returns.
    wait_for(entry, poll_interval);
    const auto handle =
        [place](waiters& self, const entry_ptr& target, const failure& error)
    {
        self.on_enqueued(target, place, error);
    };
    hooks_.enqueue(place, entry->item, completion<failure>(entry, handle));
}

void waiters::on_enqueued(const entry_ptr& entry,
                          const scheduler_place& place,
                          const failure& error)
{
    if (!error)
    {
        entry->holder = place.vm;
        return;
    }
    if (error.code == result_code::conflict)
    {
        // It took nothing, so that the next one is the first again.
        --entry->sent;
        wait_for(entry, scheduler_retry);
        return;
    }
    entry->explanation = error.reason;
    // Another scheduler that was sent the job may be running it, and so may
    // one that another entry VM sent it to.
    if (is_refusal(error) && entry->sent == 1 && entry->is_new)
    {
        entry->refusal = error;
        entry->next_step = hooks_.now();
        step(entry);
    }
}

// The job was sent before, to a scheduler that has changed, does not know it or
// did not answer. It may have ended meanwhile, so the row is read first.
void waiters::resend(const entry_ptr& entry, const scheduler_place& place)
{
    entry->holder.clear();
    if (!entry->row_may_exist)
    {
        enqueue(entry, place);
        return;
    }
    wait_for(entry, poll_interval);
    const auto handle = [place](waiters& self,
                                const entry_ptr& target,
                                const job_read_reply& row)
    {
        self.on_row(target, place, row);
    };
    hooks_.read_row(entry->id, completion<job_read_reply>(entry, handle));
}

void waiters::on_row(const entry_ptr& entry,
                     const scheduler_place& place,
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
        enqueue(entry, place);
        return;
    }
    // Without the row it is not known whether the job has run.
    if (entry->item.idempotent)
    {
        enqueue(entry, place);
    }
}

void waiters::poll(const entry_ptr& entry, const scheduler_place& place)
{
    wait_for(entry, poll_interval);
    const auto handle = [](waiters& self,
                           const entry_ptr& target,
                           const job_status_reply& reply)
    {
        self.on_status(target, reply);
    };
    hooks_.job_status(
        place, entry->id, completion<job_status_reply>(entry, handle));
}

void waiters::on_status(const entry_ptr& entry, const job_status_reply& reply)
{
    if (entry->ended)
    {
        return;
    }
    if (reply.error.code == result_code::not_found ||
        reply.error.code == result_code::conflict)
    {
        entry->holder.clear();
        wait_for(entry, scheduler_retry);
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

void waiters::send_cancel(const entry_ptr& entry, const scheduler_place& place)
{
    wait_for(entry, poll_interval);
    const auto handle =
        [place](waiters& self, const entry_ptr& target, const failure& error)
    {
        self.on_cancel_sent(target, place, error);
    };
    hooks_.cancel(place, entry->id, completion<failure>(entry, handle));
}

void waiters::on_cancel_sent(const entry_ptr& entry,
                             const scheduler_place& place,
                             const failure& error)
{
    if (!error)
    {
        entry->cancel_wanted = false;
        entry->holder = place.vm;
        ++entry->sent;
        return;
    }
    if (error.code != result_code::not_found)
    {
        return;
    }
    // The scheduler remembers the cancellation for a while; the job is handed
    // to it so that it ends there.
    if (entry->sent == 0)
    {
        enqueue(entry, place);
    }
    else
    {
        resend(entry, place);
    }
}

// Makes a refusal final. The cancellation comes first: a scheduler that has the
// job after all, sent by another entry VM, says so, and one that does not will
// not start it later.
void waiters::end_refused(const entry_ptr& entry, const scheduler_place& place)
{
    if (!entry->row_may_exist)
    {
        write_refusal(entry);
        return;
    }
    wait_for(entry, poll_interval);
    const auto handle =
        [place](waiters& self, const entry_ptr& target, const failure& error)
    {
        if (error.code == result_code::not_found)
        {
            self.write_refusal(target);
        }
        else if (!error)
        {
            target->refusal.reset();
            target->holder = place.vm;
        }
    };
    hooks_.cancel(place, entry->id, completion<failure>(entry, handle));
}

void waiters::write_refusal(const entry_ptr& entry)
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
    const auto handle = [outcome](waiters& self,
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

void waiters::on_ended(const std::string& job_id, const job_outcome& outcome)
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
        answer(entry);
        return;
    }
    entry->next_step = hooks_.now();
    step(entry);
}

// A large answer is in the object store. It is asked for again until it comes
// or nobody waits any more.
void waiters::fetch_answer(const entry_ptr& entry)
{
    wait_for(entry, poll_interval);
    const auto handle =
        [](waiters& self, const entry_ptr& target, const object_reply& reply)
    {
        if (reply.error)
        {
            target->explanation = "the job has ended; its answer is in the "
                                  "object store, which says: " +
                                  reply.error.reason;
            return;
        }
        target->item.outcome.answer = reply.content;
        self.answer(target);
    };
    hooks_.objects.get(entry->item.outcome.answer_object,
                       hooks_.now() + object_timeout,
                       completion<object_reply>(entry, handle));
}

void waiters::answer(const entry_ptr& entry)
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

// Answers callers whose wait is over. A job without callers is kept until a
// scheduler has it, because it was accepted.
void waiters::expire(const entry_ptr& entry)
{
    const auto now = hooks_.now();
    const auto split =
        std::stable_partition(entry->callers.begin(),
                              entry->callers.end(),
                              [now](const waiting_caller& caller)
                              { return caller.wait_until > now; });
    const std::vector<waiting_caller> late(split, entry->callers.end());
    entry->callers.erase(split, entry->callers.end());
    callers_ -= late.size();
    const bool needed = !entry->callers.empty() || entry->cancel_wanted ||
                        (entry->holder.empty() && !entry->ended);
    if (!needed)
    {
        jobs_.erase(entry->id);
    }
    for (const auto& caller : late)
    {
        caller.done(
            {{result_code::pending, "the job has not been answered yet"},
             entry->item,
             entry->explanation});
    }
}

void waiters::tick()
{
    const auto entries = jobs_;
    for (const auto& [id, entry] : entries)
    {
        step(entry);
        const auto found = jobs_.find(id);
        if (found != jobs_.end() && found->second == entry)
        {
            expire(entry);
        }
    }
}

void waiters::answer_all()
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
