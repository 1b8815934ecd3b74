#include "relay/call_relay.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// Results of renewals that list no end are reported in batches.
constexpr milliseconds report_interval{100};

// While calls are in flight the leader hears from this VM at least this often,
// so that it notices a VM that stands still.
constexpr milliseconds alive_interval{250};

// A longer time between two ticks means that the process was suspended: what
// waits in its sockets may be old.
constexpr milliseconds max_tick_gap{500};
// Time to read what has waited.
constexpr milliseconds drain_time{300};

// A batch that was sent longer ago, by the time of day, was held up on the way:
// the leader has made its calls itself by now. A VM whose clock is further off
// makes no calls.
constexpr std::int64_t max_batch_age_ms = 1500;

// Part of the time left that is kept for the report.
constexpr milliseconds report_margin{100};

} // namespace

call_relay::call_relay(std::string vm, call_relay_hooks hooks)
    : vm_(std::move(vm)), hooks_(std::move(hooks))
{
}

bool call_relay::is_fresh(const relay_batch& batch)
{
    const auto now = hooks_.boot_now();
    if (last_tick_ && now - *last_tick_ > max_tick_gap)
    {
        refused_until_ = now + drain_time;
    }
    const auto age = hooks_.unix_now() - batch.sent_unix_ms;
    return now >= refused_until_ && age < max_batch_age_ms &&
           age > -max_batch_age_ms;
}

bool call_relay::accept(relay_batch batch, failure& why)
{
    if (!accepting_)
    {
        why = {result_code::vm_stopping, "this VM is stopping"};
        return false;
    }
    if (batch.epoch < epoch_)
    {
        why = {result_code::conflict,
               "the batch is of epoch " + std::to_string(batch.epoch) +
                   ", the newest leader has " + std::to_string(epoch_)};
        return false;
    }
    if (!is_fresh(batch))
    {
        why = {result_code::conflict, "the batch may have been delayed"};
        log_line(log_level::warning,
                 "relay",
                 "A batch of calls that may have been delayed is refused.",
                 {{"epoch", std::to_string(batch.epoch)},
                  {"calls", std::to_string(batch.calls.size())},
                  {"sent", std::to_string(batch.sent_unix_ms)}});
        return false;
    }
    if (batch.epoch > epoch_)
    {
        log_line(log_level::info,
                 "relay",
                 "This VM makes calls to backend servers for a leader.",
                 {{"epoch", std::to_string(batch.epoch)},
                  {"leader", batch.leader_address}});
        epoch_ = batch.epoch;
        in_flight_ = 0;
        results_.clear();
    }
    leader_address_ = batch.leader_address;
    hooks_.count("relay_calls_made", static_cast<double>(batch.calls.size()));
    auto calls = std::move(batch.calls);
    for (auto& call : calls)
    {
        make_call(batch, std::move(call));
    }
    return true;
}

void call_relay::make_call(const relay_batch& batch, relay_call call)
{
    ++in_flight_;
    const auto deadline =
        hooks_.now() +
        std::max(call.time_left - report_margin, milliseconds(0));
    const server_target to{
        std::move(call.address), std::move(call.server), batch.epoch};
    auto done = [weak = weak_from_this(), epoch = batch.epoch, id = call.id](
                    renewal_reply reply)
    {
        if (const auto self = weak.lock())
        {
            self->on_reply(epoch, id, std::move(reply));
        }
    };
    auto done_order = [done](order_reply reply)
    {
        done({std::move(reply), 0, {}, {}});
    };
    switch (call.kind)
    {
    case relay_call_kind::renew:
        hooks_.servers.renew(
            to,
            {call.lease_until, call.acknowledged_end, call.wait},
            deadline,
            std::move(done));
        return;
    case relay_call_kind::stop:
        hooks_.servers.stop(to, call.run, deadline, std::move(done_order));
        return;
    case relay_call_kind::start:
        const auto payload = batch.payloads.find(call.run.task.job);
        if (payload == batch.payloads.end())
        {
            on_reply(batch.epoch,
                     call.id,
                     {{order_outcome::not_sent, "no payload", std::nullopt},
                      0,
                      {},
                      {}});
            return;
        }
        hooks_.servers.start(to,
                             {call.run,
                              payload->second,
                              *call.lease_until,
                              std::move(call.checkpoint)},
                             deadline,
                             std::move(done_order));
        return;
    }
}

void call_relay::on_reply(std::uint64_t epoch,
                          std::uint64_t id,
                          renewal_reply reply)
{
    if (epoch != epoch_)
    {
        return;
    }
    --in_flight_;
    // Orders, ends and failures decide what the leader does next.
    report_urgent_ = report_urgent_ || reply.incarnation == 0 ||
                     !reply.ended.empty() ||
                     reply.order.outcome != order_outcome::done;
    results_.push_back({id, std::move(reply)});
}

void call_relay::tick()
{
    const auto boot = hooks_.boot_now();
    if (last_tick_ && boot - *last_tick_ > max_tick_gap)
    {
        refused_until_ = boot + drain_time;
    }
    last_tick_ = boot;
    const auto since = hooks_.now() - last_report_;
    const bool due =
        (!results_.empty() && (report_urgent_ || since >= report_interval)) ||
        (in_flight_ > 0 && since >= alive_interval);
    if (due)
    {
        send_report();
    }
}

void call_relay::send_report()
{
    relay_report report{epoch_, vm_, std::move(results_)};
    results_.clear();
    report_urgent_ = false;
    last_report_ = hooks_.now();
    hooks_.count("relay_reports_sent", 1);
    hooks_.send(leader_address_, std::move(report));
}

void call_relay::stop_accepting()
{
    accepting_ = false;
}

} // namespace poplarramp
