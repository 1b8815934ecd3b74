// Start and stop orders, until it is known what became of them.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <utility>

namespace poplarramp
{

namespace
{

// Replies cross regions in 60 ms.
constexpr milliseconds order_timeout{800};

// A start without an answer is repeated: the same run starts only once.
constexpr int max_start_orders = 3;
constexpr milliseconds stop_retry{300};

// After a refusal.
constexpr milliseconds refusal_pause{1000};

void log_unconfirmed(std::string_view sentence,
                     const std::string& server,
                     const run_id& run,
                     const order_reply& reply)
{
    if (reply.outcome != order_outcome::done)
    {
        log_line(log_level::warning,
                 "sched",
                 sentence,
                 {{"job", run.task.job},
                  {"task", text_of(run.task)},
                  {"attempt", std::to_string(run.attempt)},
                  {"server", server},
                  {"outcome", std::string(name_of(reply.outcome))},
                  {"reason", reply.reason}});
    }
}

} // namespace

bool dispatcher::may_start_on(const server_record& server) const
{
    return lease_for(server) && fresh() && server.registered &&
           !server.entry.draining &&
           !deployment_.evacuated(server.entry.zone) && leader_.leads();
}

// A gang starts as a whole: one member that may not start keeps the others.
void dispatcher::start_placed(const placed_runs& placed)
{
    for (const auto& [id, run] : placed)
    {
        const auto* server = registry_.find(id);
        if (find_run(id, run) != nullptr && !may_start_on(*server))
        {
            stop_gang(run, "no longer allowed to start");
        }
    }
    for (const auto& [id, run] : placed)
    {
        send_start(id, run);
    }
}

void dispatcher::send_start(const std::string& id, const run_id& run)
{
    auto* held = find_run(id, run);
    const auto job = open_.find(run.task.job);
    if (held == nullptr || job == open_.end() || held->start_in_flight)
    {
        return;
    }
    auto& server = registry_.at(id);
    const auto lease = lease_for(server);
    if (!may_start_on(server))
    {
        return;
    }
    server.lease.grant(*lease);
    const auto now = hooks_.now();
    if (held->lifecycle.phase == run_phase::placing)
    {
        held->lifecycle.on_start_sent();
        held->started_at = now;
    }
    ++held->starts_sent;
    held->ordered_at = now;
    held->start_in_flight = true;
    log_line(log_level::info,
             "sched",
             "A start is ordered.",
             {{"job", run.task.job},
              {"task", text_of(run.task)},
              {"attempt", std::to_string(run.attempt)},
              {"server", id},
              {"order", std::to_string(held->starts_sent)},
              {"lease_until", std::to_string(*lease)},
              {"config", std::to_string(deployment_.version())}});
    hooks_.count("start_orders", 1);
    start_order order{run,
                      job->second.job().spec.payload,
                      *lease,
                      job->second.task(run.task)->checkpoint};
    hooks_.servers.start(target_of(server),
                         std::move(order),
                         now + order_timeout,
                         [weak = weak_from_this(),
                          id,
                          incarnation = server.entry.incarnation,
                          run](const order_reply& reply)
                         {
                             if (const auto self = weak.lock())
                             {
                                 self->on_start(id, incarnation, run, reply);
                             }
                         });
}

// Run to which an order was answered; null if the answer is of a life of the
// server that is over.
server_run* dispatcher::answered_run(const std::string& id,
                                     std::int64_t incarnation,
                                     const run_id& run,
                                     const order_reply& reply)
{
    auto* server = registry_.find(id);
    auto* held = find_run(id, run);
    if (held == nullptr || server->entry.incarnation != incarnation)
    {
        return nullptr;
    }
    if (reply.clock)
    {
        server->lease.observe(*reply.clock, hooks_.now());
    }
    return held;
}

void dispatcher::on_start(const std::string& id,
                          std::int64_t incarnation,
                          const run_id& run,
                          const order_reply& reply)
{
    auto* held = answered_run(id, incarnation, run, reply);
    if (held == nullptr)
    {
        return;
    }
    held->start_in_flight = false;
    const auto now = hooks_.now();
    const auto next = held->lifecycle.on_start_reply(reply.outcome, now);
    log_unconfirmed("A start was not confirmed.", id, run, reply);
    if (next == run_step::gone)
    {
        on_start_refused(id, registry_.at(id), run, reply);
    }
    else if (held->lifecycle.phase == run_phase::unconfirmed &&
             held->starts_sent < max_start_orders)
    {
        send_start(id, run);
    }
}

void dispatcher::on_start_refused(const std::string& id,
                                  server_record& server,
                                  const run_id& run,
                                  const order_reply& reply)
{
    server.closed_until = hooks_.now() + refusal_pause;
    hooks_.count("start_refusals", 1);
    stop_gang(run, "another member was refused");
    drop_run(id, run, "", name_of(reply.outcome));
}

void dispatcher::stop_gang(const run_id& run, std::string_view reason)
{
    const auto job = open_.find(run.task.job);
    if (job == open_.end())
    {
        want_stop(server_of(run), run, reason);
        return;
    }
    for (const auto& member : job->second.members(run))
    {
        want_stop(server_of(member), member, reason);
    }
}

void dispatcher::want_stop(const std::string& id,
                           const run_id& run,
                           std::string_view reason)
{
    auto* held = find_run(id, run);
    if (held == nullptr || held->lifecycle.phase == run_phase::stopping)
    {
        return;
    }
    if (held->lifecycle.on_stop_wanted() == run_step::gone)
    {
        drop_run(id, run, "", reason);
        return;
    }
    log_line(log_level::info,
             "sched",
             "A run is to be stopped.",
             {{"job", run.task.job},
              {"task", text_of(run.task)},
              {"attempt", std::to_string(run.attempt)},
              {"server", id},
              {"percent", std::to_string(held->percent)},
              {"reason", std::string(reason)}});
    send_stop(id, registry_.at(id), run);
}

void dispatcher::send_stop(const std::string& id,
                           server_record& server,
                           const run_id& run)
{
    auto& held = server.runs.at(run);
    held.stop_in_flight = true;
    hooks_.count("stop_orders", 1);
    hooks_.servers.stop(target_of(server),
                        run,
                        hooks_.now() + order_timeout,
                        [weak = weak_from_this(),
                         id,
                         incarnation = server.entry.incarnation,
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
    auto* held = answered_run(id, incarnation, run, reply);
    if (held == nullptr)
    {
        return;
    }
    held->stop_in_flight = false;
    held->next_stop = hooks_.now() + stop_retry;
    const auto next =
        held->lifecycle.on_stop_reply(reply.outcome, hooks_.now());
    log_unconfirmed("A stop was not confirmed.", id, run, reply);
    if (next == run_step::gone)
    {
        drop_run(id, run, "", "another life of the server");
    }
}

} // namespace poplarramp
