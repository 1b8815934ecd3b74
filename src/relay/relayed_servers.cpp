#include "relay/relayed_servers.hpp"

#include "base/log.hpp"
#include "domain/run_lifecycle.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace poplarramp
{

namespace
{

// Servers that a VM with a whole core serves as a relay. A server takes about
// 3 calls a second at high load, a call 0.25 ms.
constexpr double servers_per_core = 400;

// Renewals wait for others of their zone; orders are sent at once.
constexpr milliseconds renewal_flush_interval{100};

// Batches to one relay without a reply; further calls wait and form a larger
// batch.
constexpr int max_batches_in_flight = 4;
constexpr std::size_t max_calls_per_batch = 200;
constexpr std::size_t max_payload_bytes = 200'000;
constexpr milliseconds batch_timeout{600};

// A relay with calls in flight reports at least every 250 ms; a round trip to
// another region takes 60 ms.
constexpr milliseconds silence_timeout{700};

// How long a relay that failed is not used; doubled with each further failure.
constexpr milliseconds min_suspicion{2000};
constexpr milliseconds max_suspicion{60000};

// How long a server that its relay could not reach is called directly.
constexpr milliseconds direct_time{5000};

// A server without a renewal for this long has left.
constexpr milliseconds server_expiry{30000};
constexpr milliseconds cleanup_interval{5000};

// Calls are reported before their deadline by the interval between ticks.
constexpr milliseconds tick_margin{30};

} // namespace

relayed_servers::relayed_servers(relayed_servers_settings settings,
                                 relayed_servers_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks))
{
}

server_api relayed_servers::api()
{
    // The functions keep this object alive.
    server_api calls;
    calls.start =
        [self = shared_from_this()](server_target to,
                                    start_order order,
                                    time_point deadline,
                                    std::function<void(order_reply)> done)
    {
        self->start(std::move(to), std::move(order), deadline, std::move(done));
    };
    calls.stop =
        [self = shared_from_this()](server_target to,
                                    run_id run,
                                    time_point deadline,
                                    std::function<void(order_reply)> done)
    {
        self->stop(std::move(to), std::move(run), deadline, std::move(done));
    };
    calls.renew =
        [self = shared_from_this()](server_target to,
                                    renew_order order,
                                    time_point deadline,
                                    std::function<void(renewal_reply)> done)
    {
        self->renew(std::move(to), order, deadline, std::move(done));
    };
    return calls;
}

void relayed_servers::start(server_target to,
                            start_order order,
                            time_point deadline,
                            std::function<void(order_reply)> done)
{
    auto* by = relay_for(to);
    if (by == nullptr)
    {
        hooks_.direct.start(
            std::move(to), std::move(order), deadline, std::move(done));
        return;
    }
    pending_call item;
    item.call.kind = relay_call_kind::start;
    item.call.run = std::move(order.run);
    item.call.checkpoint = std::move(order.checkpoint);
    item.call.lease_until = order.lease_until;
    item.to = std::move(to);
    item.payload = std::move(order.payload);
    item.deadline = deadline;
    item.order_done = std::move(done);
    enqueue(*by, std::move(item));
    post_flush();
}

void relayed_servers::stop(server_target to,
                           run_id run,
                           time_point deadline,
                           std::function<void(order_reply)> done)
{
    auto* by = relay_for(to);
    if (by == nullptr)
    {
        hooks_.direct.stop(
            std::move(to), std::move(run), deadline, std::move(done));
        return;
    }
    pending_call item;
    item.call.kind = relay_call_kind::stop;
    item.call.run = std::move(run);
    item.to = std::move(to);
    item.deadline = deadline;
    item.order_done = std::move(done);
    enqueue(*by, std::move(item));
    post_flush();
}

void relayed_servers::renew(server_target to,
                            renew_order order,
                            time_point deadline,
                            std::function<void(renewal_reply)> done)
{
    const auto [server, added] =
        zones_[to.zone].servers.insert_or_assign(to.id, hooks_.now());
    if (added)
    {
        ++server_count_;
        choice_due_ = true;
    }
    auto* by = relay_for(to);
    if (by == nullptr)
    {
        hooks_.direct.renew(std::move(to), order, deadline, std::move(done));
        return;
    }
    pending_call item;
    item.call.kind = relay_call_kind::renew;
    item.call.lease_until = order.lease_until;
    item.call.acknowledged_end = order.acknowledged_end;
    item.call.wait = order.wait;
    item.to = std::move(to);
    item.deadline = deadline;
    item.renewal_done = std::move(done);
    enqueue(*by, std::move(item));
}

relayed_servers::relay* relayed_servers::relay_for(const server_target& to)
{
    const auto zone = zones_.find(to.zone);
    if (zone == zones_.end() || zone->second.relays.empty())
    {
        return nullptr;
    }
    const auto direct = direct_until_.find(to.id);
    if (direct != direct_until_.end())
    {
        if (hooks_.now() < direct->second)
        {
            return nullptr;
        }
        direct_until_.erase(direct);
    }
    // The servers of a rack share a relay, since gangs share a rack.
    const auto& names = zone->second.relays;
    const auto choice = std::hash<std::string>{}(to.rack) % names.size();
    return &relays_.at(names[choice]);
}

void relayed_servers::enqueue(relay& by, pending_call item)
{
    const auto id = ++last_id_;
    item.call.id = id;
    item.call.address = item.to.address;
    item.call.server = item.to.id;
    if (by.in_flight.empty() && by.queued.empty())
    {
        // Silence is counted from the first call.
        by.last_heard = hooks_.now();
    }
    by.queued.push_back(id);
    pending_.emplace(id, std::move(item));
}

void relayed_servers::call_directly(const std::vector<std::uint64_t>& ids,
                                    bool may_have_run)
{
    for (const auto id : ids)
    {
        auto item = pending_.extract(id);
        if (!item.empty())
        {
            call_directly(std::move(item.mapped()), may_have_run);
        }
    }
}

void relayed_servers::call_directly(pending_call item, bool may_have_run)
{
    hooks_.count("relay_calls_repeated", 1);
    auto& call = item.call;
    if (call.kind == relay_call_kind::start && may_have_run)
    {
        // A refusal is about this order only: the one through the relay may
        // have started the run before.
        item.order_done = [done = std::move(item.order_done)](order_reply reply)
        {
            if (is_refusal(reply.outcome))
            {
                reply.outcome = order_outcome::unknown;
            }
            done(std::move(reply));
        };
    }
    switch (call.kind)
    {
    case relay_call_kind::renew:
        hooks_.direct.renew(
            std::move(item.to),
            {call.lease_until, call.acknowledged_end, milliseconds(0)},
            item.deadline,
            std::move(item.renewal_done));
        return;
    case relay_call_kind::stop:
        hooks_.direct.stop(std::move(item.to),
                           std::move(call.run),
                           item.deadline,
                           std::move(item.order_done));
        return;
    case relay_call_kind::start:
        hooks_.direct.start(std::move(item.to),
                            {std::move(call.run),
                             std::move(item.payload),
                             *call.lease_until,
                             std::move(call.checkpoint)},
                            item.deadline,
                            std::move(item.order_done));
        return;
    }
}

void relayed_servers::finish(const pending_call& item,
                             const renewal_reply& reply)
{
    if (item.renewal_done)
    {
        item.renewal_done(reply);
    }
    else
    {
        item.order_done(reply.order);
    }
}

void relayed_servers::set_members(const std::vector<relay_member>& members)
{
    std::set<std::string> names;
    for (const auto& member : members)
    {
        names.insert(member.vm);
        add_member(member);
    }
    std::vector<std::string> gone;
    for (const auto& [vm, item] : relays_)
    {
        if (!names.contains(vm))
        {
            gone.push_back(vm);
        }
    }
    for (const auto& vm : gone)
    {
        remove_member(vm);
    }
}

void relayed_servers::add_member(const relay_member& member)
{
    if (member.vm == settings_.vm)
    {
        return;
    }
    auto& item = relays_[member.vm];
    item.member = member;
    item.suspect_until = {};
    choice_due_ = true;
}

void relayed_servers::remove_member(const std::string& vm)
{
    const auto found = relays_.find(vm);
    if (found == relays_.end())
    {
        return;
    }
    on_failed_relay(found->second, "its row was removed");
    for (auto& [zone, in_zone] : zones_)
    {
        std::erase(in_zone.relays, vm);
    }
    relays_.erase(found);
}

void relayed_servers::choose_relays()
{
    for (auto& [zone, in_zone] : zones_)
    {
        choose_relays_of(zone, in_zone);
    }
}

// Chooses the VMs of the zone with the largest processor shares, as many as it
// takes for its servers.
void relayed_servers::choose_relays_of(const std::string& zone,
                                       zone_servers& in_zone)
{
    std::vector<std::tuple<double, std::size_t, std::string>> order;
    const auto now = hooks_.now();
    for (const auto& [vm, item] : relays_)
    {
        if (item.member.zone == zone && now >= item.suspect_until)
        {
            // Equal VMs in an order that differs from that of their names,
            // where the leader is often the first.
            order.emplace_back(
                -item.member.processor_share, std::hash<std::string>{}(vm), vm);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> chosen;
    double missing = server_count_ < settings_.min_servers
                         ? 0
                         : static_cast<double>(in_zone.servers.size());
    for (const auto& [share, hash, vm] : order)
    {
        if (missing <= 0)
        {
            break;
        }
        chosen.push_back(vm);
        missing += share * servers_per_core;
    }
    if (chosen != in_zone.relays)
    {
        log_line(log_level::info,
                 "relay",
                 "The relays of a zone have changed.",
                 {{"zone", zone},
                  {"relays", std::to_string(chosen.size())},
                  {"first", chosen.empty() ? "" : chosen.front()},
                  {"servers", std::to_string(in_zone.servers.size())}});
        in_zone.relays = std::move(chosen);
    }
}

void relayed_servers::post_flush()
{
    if (std::exchange(flush_posted_, true))
    {
        return;
    }
    hooks_.post(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->flush_posted_ = false;
                self->flush(false);
            }
        });
}

// Sends what is queued for each relay; renewals alone wait for their interval.
void relayed_servers::flush(bool with_renewals)
{
    for (auto& [vm, item] : relays_)
    {
        const bool has_orders = std::any_of(
            item.queued.begin(),
            item.queued.end(),
            [this](std::uint64_t id)
            { return pending_.at(id).call.kind != relay_call_kind::renew; });
        if (with_renewals || has_orders)
        {
            while (!item.queued.empty() &&
                   item.batches_in_flight < max_batches_in_flight)
            {
                send_batch(item);
            }
        }
    }
}

// Leases go first, then stops, then starts.
void relayed_servers::send_batch(relay& by)
{
    std::stable_sort(
        by.queued.begin(),
        by.queued.end(),
        [this](std::uint64_t a, std::uint64_t b)
        { return pending_.at(a).call.kind > pending_.at(b).call.kind; });
    const auto now = hooks_.now();
    relay_batch batch;
    batch.epoch = settings_.epoch;
    batch.leader_address = settings_.address;
    batch.sent_unix_ms = hooks_.unix_now();
    std::vector<std::uint64_t> ids;
    std::size_t bytes = 0;
    for (const auto id : by.queued)
    {
        if (ids.size() >= max_calls_per_batch || bytes >= max_payload_bytes)
        {
            break;
        }
        auto& item = pending_.at(id);
        item.call.time_left = item.deadline - now;
        if (item.call.kind == relay_call_kind::start)
        {
            const auto [payload, added] =
                batch.payloads.emplace(item.call.run.task.job, item.payload);
            bytes += added ? item.payload.size() : 0;
        }
        batch.calls.push_back(item.call);
        ids.push_back(id);
    }
    by.queued.erase(by.queued.begin(),
                    by.queued.begin() +
                        static_cast<std::ptrdiff_t>(ids.size()));
    by.in_flight.insert(ids.begin(), ids.end());
    ++by.batches_in_flight;
    hooks_.count("relay_batches", 1);
    hooks_.send(
        by.member.address,
        std::move(batch),
        now + batch_timeout,
        [weak = weak_from_this(), vm = by.member.vm, ids](const failure& error)
        {
            if (const auto self = weak.lock())
            {
                self->on_sent(vm, ids, error);
            }
        });
}

void relayed_servers::on_sent(const std::string& vm,
                              const std::vector<std::uint64_t>& ids,
                              const failure& error)
{
    const auto found = relays_.find(vm);
    if (found == relays_.end())
    {
        return;
    }
    found->second.batches_in_flight =
        std::max(0, found->second.batches_in_flight - 1);
    const bool waited_for =
        std::any_of(ids.begin(),
                    ids.end(),
                    [&found](std::uint64_t id)
                    { return found->second.in_flight.contains(id); });
    if (error && waited_for)
    {
        const bool made_no_call = error.code != result_code::timeout &&
                                  error.code != result_code::answer_lost;
        if (made_no_call)
        {
            for (const auto id : ids)
            {
                found->second.in_flight.erase(id);
            }
            call_directly(ids, false);
        }
        on_failed_relay(found->second, error.reason);
    }
}

void relayed_servers::on_failed_relay(relay& failed, std::string_view reason)
{
    const auto now = hooks_.now();
    const auto suspicion = std::min(
        max_suspicion,
        min_suspicion * (std::int64_t{1} << std::min(failed.failures, 5)));
    ++failed.failures;
    failed.suspect_until = now + suspicion;
    const auto in_flight = std::exchange(failed.in_flight, {});
    const auto queued = std::exchange(failed.queued, {});
    hooks_.count("relay_failures", 1);
    log_line(log_level::warning,
             "relay",
             "A relay is not used for a while.",
             {{"relay", failed.member.vm},
              {"reason", std::string(reason)},
              {"calls", std::to_string(in_flight.size() + queued.size())},
              {"ms", std::to_string(suspicion.count())}});
    // Before the calls are repeated, which may choose a relay.
    choose_relays();
    call_directly(queued, false);
    call_directly({in_flight.begin(), in_flight.end()}, true);
}

void relayed_servers::on_report(const relay_report& report)
{
    const auto found = relays_.find(report.relay);
    if (report.epoch != settings_.epoch || found == relays_.end())
    {
        return;
    }
    auto& by = found->second;
    by.last_heard = hooks_.now();
    by.failures = report.results.empty() ? by.failures : 0;
    for (const auto& result : report.results)
    {
        by.in_flight.erase(result.id);
        auto item = pending_.extract(result.id);
        if (item.empty())
        {
            continue;
        }
        const auto outcome = result.reply.order.outcome;
        const bool unreachable = outcome == order_outcome::unknown ||
                                 outcome == order_outcome::not_sent;
        if (unreachable)
        {
            direct_until_[item.mapped().to.id] = hooks_.now() + direct_time;
        }
        finish(item.mapped(), result.reply);
    }
}

void relayed_servers::expire_calls()
{
    const auto now = hooks_.now();
    std::vector<std::uint64_t> expired;
    for (const auto& [id, item] : pending_)
    {
        if (now + tick_margin >= item.deadline)
        {
            expired.push_back(id);
        }
    }
    for (const auto id : expired)
    {
        auto item = pending_.extract(id);
        for (auto& [vm, by] : relays_)
        {
            by.in_flight.erase(id);
            std::erase(by.queued, id);
        }
        renewal_reply lost;
        lost.order.reason = "no report of the relay in time";
        finish(item.mapped(), lost);
    }
}

void relayed_servers::forget_gone_servers()
{
    const auto now = hooks_.now();
    if (now < next_cleanup_)
    {
        return;
    }
    next_cleanup_ = now + cleanup_interval;
    for (auto& [zone, in_zone] : zones_)
    {
        const auto gone =
            std::erase_if(in_zone.servers,
                          [now](const auto& item)
                          { return now - item.second > server_expiry; });
        server_count_ -= gone;
        choice_due_ = choice_due_ || gone > 0;
    }
    std::erase_if(direct_until_,
                  [now](const auto& item) { return now >= item.second; });
}

void relayed_servers::tick()
{
    const auto now = hooks_.now();
    forget_gone_servers();
    for (auto& [vm, item] : relays_)
    {
        if (!item.in_flight.empty() && now - item.last_heard > silence_timeout)
        {
            on_failed_relay(item, "no report for too long");
        }
        // A relay whose suspicion has ended may be chosen again.
        if (item.suspect_until != time_point{} && now >= item.suspect_until)
        {
            item.suspect_until = {};
            choice_due_ = true;
        }
    }
    if (std::exchange(choice_due_, false))
    {
        choose_relays();
    }
    expire_calls();
    const bool with_renewals = now >= next_renewal_flush_;
    if (with_renewals)
    {
        next_renewal_flush_ = now + renewal_flush_interval;
    }
    flush(with_renewals);
}

std::size_t relayed_servers::relays_in_use() const
{
    std::size_t count = 0;
    for (const auto& [zone, in_zone] : zones_)
    {
        count += in_zone.relays.size();
    }
    return count;
}

} // namespace poplarramp
