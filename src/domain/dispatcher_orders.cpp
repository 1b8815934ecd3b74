// Sends start and stop orders and handles their outcomes.
#include "domain/dispatcher.hpp"

#include <utility>

namespace poplarramp
{

namespace
{

// A reply from another region takes 60 ms.
constexpr milliseconds order_timeout{800};

// A start order without a reply is repeated, which is safe: the same run starts
// at most once.
constexpr int max_start_orders = 3;
constexpr milliseconds stop_retry_interval{300};

// A server that has seen a later leader refuses all orders of this one, which
// learns of its end from the store.
constexpr milliseconds fenced_retry_interval{5000};

// No placement on a server for this long after it refused a start.
constexpr milliseconds refusal_backoff{1000};

} // namespace

bool dispatcher::may_start_on(const server_record& server) const
{
    return lease_for(server) && has_recent_state() && server.registered &&
           !server.registration.draining &&
           !deployment_.evacuated(server.registration.zone) && leader_.leads();
}

// A gang starts as a whole: if one member may not start, none does.
void dispatcher::start_committed(const placed_runs& placed)
{
    for (const auto& [id, run] : placed)
    {
        const auto* server = registry_.find(id);
        if (find_run(id, run) != nullptr && !may_start_on(*server))
        {
            stop_gang(run, "the server may no longer start runs");
        }
    }
    for (const auto& [id, run] : placed)
    {
        send_start(id, run);
    }
}

void dispatcher::send_start(const std::string& id, const run_id& run)
{
    auto* run_record = find_run(id, run);
    const auto job = open_jobs_.find(run.task.job);
    if (run_record == nullptr || job == open_jobs_.end() ||
        run_record->start_in_flight)
    {
        return;
    }
    const auto* task = job->second.task_of_placed(run);
    if (task == nullptr)
    {
        // Another member has ended the gang, or an older run the task. This run
        // may be at work all the same, since an order had no reply.
        hooks_.count("starts_not_repeated", 1);
        request_stop(id, run, "its task has ended");
        return;
    }
    auto& server = registry_.at(id);
    // Time passes while the starts of a commit are sent, so that this may have
    // become false since the commit. Nothing else ends the phase of a run that
    // was not ordered.
    const bool may_start = may_start_on(server);
    const auto lease = lease_for(server);
    if (!may_start || !lease)
    {
        if (run_record->lifecycle.phase == run_phase::placing)
        {
            hooks_.count("starts_not_sent", 1);
            stop_gang(run, "the server may no longer start runs");
        }
        return;
    }
    server.lease.grant(*lease);
    const auto now = hooks_.now();
    if (run_record->lifecycle.phase == run_phase::placing)
    {
        run_record->lifecycle.on_start_sent();
        run_record->started_at = now;
    }
    ++run_record->starts_sent;
    run_record->ordered_at = now;
    run_record->start_in_flight = true;
    run_log_.add(log_level::info,
                 "Starts are ordered.",
                 run,
                 id,
                 "order " + std::to_string(run_record->starts_sent));
    hooks_.count("start_orders", 1);
    start_order order{
        run, job->second.job().spec.payload, *lease, task->checkpoint};
    hooks_.servers.start(target_of(server),
                         std::move(order),
                         now + order_timeout,
                         [weak = weak_from_this(),
                          id,
                          incarnation = server.registration.incarnation,
                          run](const order_reply& reply)
                         {
                             if (const auto self = weak.lock())
                             {
                                 self->on_start(id, incarnation, run, reply);
                             }
                         });
}

// Records the server clock of the reply and returns the run of the order; null
// if the run does not exist any more or the order was sent to an earlier
// incarnation of the server.
server_run* dispatcher::run_of_reply(const std::string& id,
                                     std::int64_t incarnation,
                                     const run_id& run,
                                     const order_reply& reply)
{
    auto* server = registry_.find(id);
    auto* run_record = find_run(id, run);
    if (run_record == nullptr ||
        server->registration.incarnation != incarnation)
    {
        return nullptr;
    }
    if (reply.clock)
    {
        server->lease.record_clock(*reply.clock, hooks_.now());
    }
    return run_record;
}

void dispatcher::log_unconfirmed(std::string_view event,
                                 const std::string& id,
                                 const run_id& run,
                                 const order_reply& reply)
{
    if (reply.outcome != order_outcome::done)
    {
        run_log_.add(log_level::warning,
                     event,
                     run,
                     id,
                     std::string(name_of(reply.outcome))
                         .append(": ")
                         .append(reply.reason));
    }
}

void dispatcher::on_start(const std::string& id,
                          std::int64_t incarnation,
                          const run_id& run,
                          const order_reply& reply)
{
    auto* run_record = run_of_reply(id, incarnation, run, reply);
    if (run_record == nullptr)
    {
        return;
    }
    run_record->start_in_flight = false;
    run_record->confirmed =
        run_record->confirmed || reply.outcome == order_outcome::done;
    if (run_record->confirmed)
    {
        on_start_confirmed(run);
    }
    const auto now = hooks_.now();
    const auto next = run_record->lifecycle.on_start_reply(reply.outcome, now);
    log_unconfirmed("Starts were not confirmed.", id, run, reply);
    if (next == run_resolution::drop)
    {
        on_start_refused(id, registry_.at(id), run, reply);
    }
    else if (run_record->lifecycle.phase == run_phase::unconfirmed &&
             run_record->starts_sent < max_start_orders)
    {
        send_start(id, run);
    }
}

void dispatcher::on_start_refused(const std::string& id,
                                  server_record& server,
                                  const run_id& run,
                                  const order_reply& reply)
{
    server.placement_blocked_until = hooks_.now() + refusal_backoff;
    hooks_.count("start_refusals", 1);
    stop_gang(run, "the start of another member was refused");
    drop_run(id, run, "", name_of(reply.outcome));
}

void dispatcher::stop_gang(const run_id& run, std::string_view reason)
{
    const auto job = open_jobs_.find(run.task.job);
    if (job == open_jobs_.end())
    {
        request_stop(server_of(run), run, reason);
        return;
    }
    for (const auto& member : job->second.members(run))
    {
        request_stop(server_of(member), member, reason);
    }
}

void dispatcher::request_stop(const std::string& id,
                              const run_id& run,
                              std::string_view reason)
{
    auto* run_record = find_run(id, run);
    if (run_record == nullptr ||
        run_record->lifecycle.phase == run_phase::stopping)
    {
        return;
    }
    if (run_record->lifecycle.on_stop_requested() == run_resolution::drop)
    {
        drop_run(id, run, "", reason);
        return;
    }
    run_log_.add(log_level::info,
                 "Runs are to be stopped.",
                 run,
                 id,
                 std::string(reason));
    send_stop(id, registry_.at(id), run);
}

void dispatcher::send_stop(const std::string& id,
                           server_record& server,
                           const run_id& run)
{
    auto& run_record = server.runs.at(run);
    run_record.stop_in_flight = true;
    hooks_.count("stop_orders", 1);
    hooks_.servers.stop(target_of(server),
                        run,
                        hooks_.now() + order_timeout,
                        [weak = weak_from_this(),
                         id,
                         incarnation = server.registration.incarnation,
                         run](const order_reply& reply)
                        {
                            if (const auto self = weak.lock())
                            {
                                self->on_stop(id, incarnation, run, reply);
                            }
                        });
}

void dispatcher::on_stop(const std::string& id,
                         std::int64_t incarnation,
                         const run_id& run,
                         const order_reply& reply)
{
    auto* run_record = run_of_reply(id, incarnation, run, reply);
    if (run_record == nullptr)
    {
        return;
    }
    run_record->stop_in_flight = false;
    run_record->next_stop =
        hooks_.now() + (reply.outcome == order_outcome::fenced
                            ? fenced_retry_interval
                            : stop_retry_interval);
    const auto next =
        run_record->lifecycle.on_stop_reply(reply.outcome, hooks_.now());
    log_unconfirmed("Stops were not confirmed.", id, run, reply);
    if (next == run_resolution::drop)
    {
        on_server_replaced(id, registry_.at(id), incarnation);
    }
}

} // namespace poplarramp
