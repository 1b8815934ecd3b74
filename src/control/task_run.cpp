#include "control/task_run.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds call_timeout{1000};
constexpr milliseconds call_retry_interval{100};
// After this many sends the lease is claimed again, and the reply shows whether
// the task runs.
constexpr int max_sends = 4;
// From the first prepare to the commit. Short, because prepared members hold
// capacity without using it.
constexpr milliseconds commit_timeout{2500};
// No commit is sent within this time before the commit deadline, when the
// servers drop the prepared members.
constexpr milliseconds commit_margin{300};
constexpr milliseconds stop_retry_interval{1000};

bool same_token(const lease_token& a, const lease_token& b)
{
    return a.epoch == b.epoch && a.incarnation == b.incarnation;
}

// True if the call may have had an effect although it failed.
bool is_uncertain(result_code code)
{
    return code == result_code::timeout || code == result_code::answer_lost ||
           code == result_code::internal_error;
}

task_event event_of(const task_status& status)
{
    task_event event;
    event.task_id = status.item.id;
    event.state = status.state;
    event.checkpoint = status.checkpoint;
    event.reason = status.reason;
    event.answer = status.answer;
    event.answer_object = status.answer_object;
    return event;
}

} // namespace

bool is_final(part_state state)
{
    return state >= part_state::never_ran;
}

task_run::task_run(job item, int attempt, task_run_hooks hooks)
    : item_(std::move(item)), attempt_(attempt), hooks_(std::move(hooks))
{
}

void task_run::begin(std::span<const placement_part> shares)
{
    members_ = static_cast<int>(shares.size());
    commit_deadline_ = hooks_.now() + commit_timeout;
    for (const auto& share : shares)
    {
        add_part(share.server, share.accelerators);
    }
    advance();
}

void task_run::recover(std::span<const attempt_record> records)
{
    members_ = static_cast<int>(records.size());
    for (const auto& record : records)
    {
        auto& part = add_part(record.server, 0);
        part.state = part_state::starting;
        part.start_sent = true;
        part.uncertain = true;
        part.token.incarnation = record.incarnation;
        part.token.epoch = record.epoch;
    }
}

void task_run::adopt(const task& item)
{
    members_ = item.members;
    for (int member = 0; member < members_; ++member)
    {
        auto& part = add_part({}, item.accelerators);
        part.state = part_state::starting;
        part.start_sent = true;
        part.uncertain = true;
    }
}

run_part& task_run::add_part(std::string server, int accelerators)
{
    run_part part;
    part.server = std::move(server);
    part.accelerators = accelerators;
    part.id = task_id(
        job_id(item_.request), attempt_, static_cast<int>(parts_.size()));
    parts_.push_back(std::move(part));
    return parts_.back();
}

run_part* task_run::find_part(std::string_view id)
{
    const auto found =
        std::find_if(parts_.begin(),
                     parts_.end(),
                     [id](const run_part& part) { return part.id == id; });
    return found == parts_.end() ? nullptr : &*found;
}

task task_run::task_of(const run_part& part) const
{
    task item;
    item.id = part.id;
    item.attempt = attempt_;
    item.member = static_cast<int>(&part - parts_.data());
    item.members = members_;
    item.accelerators = part.accelerators;
    item.parent_job = item_;
    return item;
}

bool task_run::is_gang() const
{
    return members_ > 1;
}

void task_run::stop(bool checkpoint, time_point checkpoint_deadline)
{
    const bool checkpoint_revoked = stopping_ && checkpoint_ && !checkpoint;
    stopping_ = true;
    checkpoint_ = checkpoint;
    checkpoint_deadline_ = checkpoint_deadline;
    if (checkpoint_revoked)
    {
        for (auto& part : parts_)
        {
            part.next_stop = hooks_.now();
        }
    }
    advance();
}

bool task_run::stopping() const
{
    return stopping_;
}

void task_run::tick()
{
    advance();
}

void task_run::advance()
{
    if (!stopping_ && is_gang())
    {
        advance_gang();
        return;
    }
    for (auto& part : parts_)
    {
        if (stopping_)
        {
            advance_stop(part);
        }
        else
        {
            advance_part(part);
        }
    }
}

bool task_run::every(part_state state) const
{
    return std::all_of(parts_.begin(),
                       parts_.end(),
                       [state](const run_part& part)
                       { return part.state == state; });
}

bool task_run::any(part_state state) const
{
    return std::any_of(parts_.begin(),
                       parts_.end(),
                       [state](const run_part& part)
                       { return part.state == state; });
}

bool task_run::may_start_at(const run_part& part) const
{
    const auto token = hooks_.leases->start_token(part.server);
    if (!token || !hooks_.may_start())
    {
        return false;
    }
    return part.state == part_state::idle || same_token(*token, part.token);
}

void task_run::advance_gang()
{
    const bool gang_failed =
        any(part_state::never_ran) || any(part_state::failed) ||
        any(part_state::stopped) || any(part_state::lost) ||
        (committed_ && any(part_state::prepared));
    if (gang_failed)
    {
        stop(false, hooks_.now());
        return;
    }
    if (every(part_state::prepared) && !committed_)
    {
        const bool in_time = hooks_.now() < commit_deadline_ - commit_margin;
        const bool may_commit =
            in_time && std::all_of(parts_.begin(),
                                   parts_.end(),
                                   [this](const run_part& part)
                                   { return may_start_at(part); });
        if (!may_commit)
        {
            stop(false, hooks_.now());
            return;
        }
        committed_ = true;
        for (auto& part : parts_)
        {
            send_start(part);
        }
        return;
    }
    for (auto& part : parts_)
    {
        advance_part(part);
    }
}

void task_run::advance_part(run_part& part)
{
    const auto now = hooks_.now();
    if (part.state == part_state::idle)
    {
        if (!may_start_at(part))
        {
            part.state = part_state::never_ran;
        }
        else if (is_gang())
        {
            send_prepare(part);
        }
        else
        {
            send_start(part);
        }
        return;
    }
    const bool waits = part.state == part_state::preparing ||
                       part.state == part_state::starting;
    if (!waits || part.in_flight || now < part.next_send)
    {
        return;
    }
    if (part.state == part_state::preparing)
    {
        if (now < commit_deadline_ - commit_margin && may_start_at(part))
        {
            send_prepare(part);
            return;
        }
        part.state = part_state::never_ran;
        return;
    }
    if (part.sends > 0 && part.sends < max_sends && may_start_at(part))
    {
        send_start(part);
        return;
    }
    resolve_start(part);
}

// Determines the state of a start that is not repeated.
void task_run::resolve_start(run_part& part)
{
    const bool had_no_effect = part.sends > 0 && !part.uncertain;
    if (had_no_effect)
    {
        part.state = part_state::never_ran;
        fault_server_ = part.server;
        return;
    }
    hooks_.leases->fence(part.server, part.token);
}

void task_run::advance_stop(run_part& part)
{
    const auto now = hooks_.now();
    switch (part.state)
    {
    case part_state::idle:
        part.state = part_state::never_ran;
        return;
    case part_state::preparing:
    case part_state::prepared:
        if (now >= commit_deadline_)
        {
            part.state = part_state::never_ran;
            return;
        }
        break;
    case part_state::starting:
        if (!part.in_flight)
        {
            resolve_start(part);
        }
        return;
    case part_state::running:
        break;
    default:
        return;
    }
    const bool escalate = checkpoint_ && now >= checkpoint_deadline_;
    if (escalate)
    {
        checkpoint_ = false;
    }
    if (escalate || now >= part.next_stop)
    {
        send_stop(part);
    }
}

task_callback task_run::reply_to(const run_part& part,
                                 void (task_run::*handle)(run_part&,
                                                          const task_reply&))
{
    return
        [this, lifetime = std::weak_ptr<char>(lifetime_), id = part.id, handle](
            const task_reply& reply)
    {
        if (lifetime.expired())
        {
            return;
        }
        if (auto* found = find_part(id))
        {
            (this->*handle)(*found, reply);
        }
        advance();
        // The callee may destroy this object.
        const auto on_change = hooks_.on_change;
        on_change();
    };
}

void task_run::send_prepare(run_part& part)
{
    const auto token = hooks_.leases->start_token(part.server);
    const auto* lease = hooks_.leases->find(part.server);
    if (!token || !lease)
    {
        part.state = part_state::never_ran;
        return;
    }
    part.state = part_state::preparing;
    part.token = *token;
    part.in_flight = true;
    hooks_.backend->prepare(lease->address,
                            part.token,
                            task_of(part),
                            commit_deadline_,
                            hooks_.now() + call_timeout,
                            reply_to(part, &task_run::on_prepare_reply));
}

void task_run::send_start(run_part& part)
{
    const auto token = hooks_.leases->start_token(part.server);
    const auto* lease = hooks_.leases->find(part.server);
    if (!token || !lease)
    {
        return;
    }
    part.state = part_state::starting;
    part.token = *token;
    part.start_sent = true;
    part.in_flight = true;
    ++part.sends;
    const auto deadline = hooks_.now() + call_timeout;
    auto done = reply_to(part, &task_run::on_start_reply);
    if (is_gang())
    {
        hooks_.backend->commit(
            lease->address, part.token, part.id, deadline, std::move(done));
        return;
    }
    hooks_.backend->start(
        lease->address, part.token, task_of(part), deadline, std::move(done));
}

void task_run::send_stop(run_part& part)
{
    const auto token = hooks_.leases->call_token(part.server);
    const auto* lease = hooks_.leases->find(part.server);
    if (!token || !lease)
    {
        return;
    }
    part.next_stop = hooks_.now() + stop_retry_interval;
    hooks_.backend->stop(lease->address,
                         *token,
                         part.id,
                         checkpoint_,
                         hooks_.now() + call_timeout,
                         reply_to(part, &task_run::on_stop_reply));
}

void task_run::on_prepare_reply(run_part& part, const task_reply& reply)
{
    part.in_flight = false;
    if (part.state != part_state::preparing)
    {
        return;
    }
    if (!reply.error)
    {
        part.state = reply.state == task_state::prepared
                         ? part_state::prepared
                         : part_state::never_ran;
        return;
    }
    if (is_uncertain(reply.error.code) ||
        reply.error.code == result_code::unreachable)
    {
        part.next_send = hooks_.now() + call_retry_interval;
        return;
    }
    // Without a commit the task cannot run, even if an earlier prepare took
    // effect.
    part.state = part_state::never_ran;
    refuse(part, reply);
}

void task_run::on_start_reply(run_part& part, const task_reply& reply)
{
    part.in_flight = false;
    if (part.state != part_state::starting)
    {
        return;
    }
    if (!reply.error)
    {
        // The result of a task that has already ended follows as an event.
        part.state = reply.state == task_state::expired ? part_state::never_ran
                                                        : part_state::running;
        return;
    }
    part.next_send = hooks_.now() + call_retry_interval;
    if (reply.error.code == result_code::unreachable)
    {
        if (part.sends >= max_sends && !part.uncertain)
        {
            part.state = part_state::never_ran;
            refuse(part, reply);
        }
        return;
    }
    if (is_uncertain(reply.error.code))
    {
        part.uncertain = true;
        return;
    }
    refuse(part, reply);
    if (!part.uncertain)
    {
        part.state = part_state::never_ran;
        return;
    }
    part.sends = max_sends;
}

void task_run::refuse(run_part& part, const task_reply& reply)
{
    fault_server_ = part.server;
    fault_reason_ = reply.error.reason;
    if (reply.error.code == result_code::stale_epoch)
    {
        hooks_.leases->on_stale_epoch(part.server, part.token);
    }
}

void task_run::on_stop_reply(run_part& part, const task_reply& reply)
{
    const bool unknown = reply.error.code == result_code::unknown_task;
    if (reply.error.code == result_code::stale_epoch)
    {
        hooks_.leases->on_stale_epoch(part.server, part.token);
        return;
    }
    if (part.state == part_state::preparing ||
        part.state == part_state::prepared)
    {
        if (!reply.error || unknown ||
            reply.error.code == result_code::wrong_state)
        {
            part.state = part_state::never_ran;
        }
        return;
    }
    if (part.state == part_state::running && unknown)
    {
        hooks_.leases->fence(part.server, part.token);
    }
}

void task_run::on_claimed(const std::string& server, const claim_reply& reply)
{
    for (auto& part : parts_)
    {
        const auto status = std::find_if(reply.tasks.begin(),
                                         reply.tasks.end(),
                                         [&part](const task_status& item)
                                         { return item.item.id == part.id; });
        const bool listed = status != reply.tasks.end();
        if (part.server != server && !(part.server.empty() && listed))
        {
            continue;
        }
        if (!listed)
        {
            resolve_absent(part, reply.token);
            continue;
        }
        part.server = server;
        part.accelerators = status->item.accelerators;
        part.token = reply.token;
        apply(part, event_of(*status));
    }
    advance();
}

// A grant fences every earlier call, so a task that the server does not list
// then cannot start later.
void task_run::resolve_absent(run_part& part, const lease_token& token)
{
    if (is_final(part.state) || part.state == part_state::idle)
    {
        return;
    }
    const bool same_server = part.token.incarnation == token.incarnation;
    const bool may_have_run =
        part.start_sent && (!same_server || part.state == part_state::running);
    ended_elsewhere_ = ended_elsewhere_ || (may_have_run && same_server);
    part.state = may_have_run ? part_state::lost : part_state::never_ran;
}

bool task_run::on_event(const task_event& event, const event_ref& ref)
{
    auto* part = find_part(event.task_id);
    const bool elsewhere =
        part && !part->server.empty() && part->server != ref.server;
    if (!part || elsewhere)
    {
        return false;
    }
    part->server = ref.server;
    apply(*part, event);
    if (is_final(part->state))
    {
        fence_repeated_starts(*part);
        pending_acks_.push_back(ref);
    }
    else
    {
        hooks_.leases->acknowledge(ref);
    }
    advance();
    return true;
}

void task_run::apply(run_part& part, const task_event& event)
{
    if (is_final(part.state))
    {
        return;
    }
    switch (event.state)
    {
    case task_state::prepared:
        if (part.state != part_state::prepared)
        {
            // Not learned from the reply to `prepare`. `committed_` makes
            // `advance_gang` stop the gang rather than commit it.
            part.state = part_state::prepared;
            committed_ = true;
            commit_deadline_ = hooks_.now() + commit_timeout;
        }
        part.start_sent = false;
        return;
    case task_state::running:
        part.state = part_state::running;
        return;
    case task_state::expired:
        part.state = part_state::never_ran;
        return;
    case task_state::finished:
        part.state = part_state::finished;
        break;
    case task_state::failed:
        part.state = part_state::failed;
        fault_server_ = part.server;
        fault_reason_ = event.reason;
        break;
    case task_state::stopped:
        part.state =
            part.start_sent ? part_state::stopped : part_state::never_ran;
        break;
    }
    part.result = event;
}

// The server forgets an ended task once its end is acknowledged; a repeated
// start still in flight would then run it again. Claiming the server again
// makes it refuse that start because of its old epoch.
void task_run::fence_repeated_starts(const run_part& part)
{
    if (part.uncertain && part.sends > 1)
    {
        hooks_.leases->fence(part.server, part.token);
    }
}

void task_run::on_server_removed(std::string_view server)
{
    for (auto& part : parts_)
    {
        if (part.server == server && !is_final(part.state))
        {
            part.state =
                part.start_sent ? part_state::lost : part_state::never_ran;
        }
    }
    advance();
}

void task_run::on_all_reported()
{
    for (auto& part : parts_)
    {
        if (part.server.empty() && !is_final(part.state))
        {
            part.state = part_state::lost;
        }
    }
    advance();
}

int task_run::attempt() const
{
    return attempt_;
}

bool task_run::all_started() const
{
    return std::all_of(parts_.begin(),
                       parts_.end(),
                       [](const run_part& part)
                       {
                           return part.state == part_state::running ||
                                  part.state == part_state::finished;
                       });
}

bool task_run::ended_elsewhere() const
{
    return ended_elsewhere_;
}

attempt_outcome task_run::outcome() const
{
    const bool ended =
        std::all_of(parts_.begin(),
                    parts_.end(),
                    [](const run_part& part) { return is_final(part.state); });
    if (!ended)
    {
        return attempt_outcome::none;
    }
    if (every(part_state::finished))
    {
        return attempt_outcome::done;
    }
    if (every(part_state::never_ran))
    {
        return attempt_outcome::never_ran;
    }
    if (any(part_state::lost))
    {
        return attempt_outcome::lost;
    }
    return any(part_state::failed) ? attempt_outcome::failed
                                   : attempt_outcome::stopped;
}

const std::string& task_run::fault_server() const
{
    return fault_server_;
}

const std::string& task_run::fault_reason() const
{
    return fault_reason_;
}

const task_event& task_run::result() const
{
    return parts_.front().result;
}

const std::vector<run_part>& task_run::parts() const
{
    return parts_;
}

std::vector<event_ref> task_run::take_pending_acks()
{
    return std::exchange(pending_acks_, {});
}

} // namespace poplarramp
