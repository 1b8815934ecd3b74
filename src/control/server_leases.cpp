#include "control/server_leases.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

constexpr milliseconds claim_deadline{1000};
constexpr milliseconds claim_retry{250};
// A claim is answered within this time, and shows whether another owner holds
// the server.
constexpr milliseconds owner_known_after = claim_deadline + claim_retry * 2;
// Two polls have to fit in the usable part of a lease (2.5 s): with a wait of
// 1.5 s the lease would lapse for 500 ms in each cycle.
constexpr milliseconds poll_wait{1000};
constexpr milliseconds poll_slack{1000};
// A renewal is sent at the latest this long after the one before, even if that
// one has no answer.
constexpr milliseconds renew_interval{1500};
// Events that wait for a slow table make the backend server answer each poll
// at once; this keeps the poll rate bounded.
constexpr milliseconds min_renew_interval{200};
constexpr milliseconds release_deadline{1000};

bool same_token(const lease_token& a, const lease_token& b)
{
    return a.epoch == b.epoch && a.incarnation == b.incarnation;
}

} // namespace

server_leases::server_leases(std::string owner,
                             backend_api backend,
                             lease_hooks hooks)
    : owner_(std::move(owner)), backend_(std::move(backend)),
      hooks_(std::move(hooks))
{
}

void server_leases::set_members(std::span<const vm_member> servers)
{
    members_known_ = true;
    for (auto& [id, lease] : servers_)
    {
        lease.listed = false;
    }
    for (const auto& member : servers)
    {
        auto& lease = servers_[member.id];
        if (lease.id.empty())
        {
            lease.id = member.id;
            lease.unclaimed_since = hooks_.now();
        }
        lease.listed = true;
        lease.address = member.address;
        lease.rack = member.rack;
        set_leaving(lease, member.leaving, lease.leaving_reported);
    }
    for (auto& [id, lease] : servers_)
    {
        if (!lease.listed)
        {
            set_leaving(lease, true, lease.leaving_reported);
        }
    }
    drop_gone();
}

void server_leases::activate()
{
    active_ = true;
    for (auto& [id, lease] : servers_)
    {
        lease.unclaimed_since = hooks_.now();
        lease.token.epoch = 0;
    }
    tick();
}

void server_leases::release_all(std::function<void()> released)
{
    active_ = false;
    released_ = std::move(released);
    for (auto& [id, lease] : servers_)
    {
        if (lease.phase == lease_phase::claiming)
        {
            // The grant may have taken effect; it ends by itself.
            lease.phase = lease_phase::releasing;
        }
        else if (lease.phase == lease_phase::held)
        {
            lease.phase = lease_phase::releasing;
            send_release(lease);
        }
    }
    report_released();
}

std::optional<lease_token> server_leases::may_act(std::string_view server) const
{
    const auto* lease = find(server);
    if (!lease || !active_ || lease->phase != lease_phase::held)
    {
        return std::nullopt;
    }
    if (hooks_.now() >= lease->lease_end - lease_margin)
    {
        return std::nullopt;
    }
    return lease->token;
}

std::optional<lease_token>
server_leases::may_place(std::string_view server) const
{
    const auto* lease = find(server);
    if (!lease || lease->leaving())
    {
        return std::nullopt;
    }
    return may_act(server);
}

void server_leases::fence(std::string_view server, const lease_token& token)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || !active_)
    {
        return;
    }
    auto& lease = found->second;
    if (lease.phase != lease_phase::held || !same_token(lease.token, token))
    {
        return;
    }
    lease.unclaimed_since = hooks_.now();
    send_claim(lease);
    hooks_.on_lost(lease.id);
}

void server_leases::refused(std::string_view server, const lease_token& token)
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
    {
        return;
    }
    auto& lease = found->second;
    if (lease.phase == lease_phase::held && same_token(lease.token, token))
    {
        lose(lease, true);
    }
}

void server_leases::acknowledge(const event_mark& mark)
{
    const auto found = servers_.find(mark.server);
    if (found == servers_.end() || found->second.token.epoch != mark.epoch)
    {
        return;
    }
    auto& lease = found->second;
    lease.open_events.erase(mark.sequence);
    if (lease.open_events.empty())
    {
        poll_again(lease);
    }
}

// Sends the next poll at once instead of at the next tick, which would delay
// the following event by up to a tick.
void server_leases::poll_again(server_lease& lease)
{
    if (lease.phase == lease_phase::held && !lease.renew_in_flight)
    {
        lease.next_renew = hooks_.now();
        send_renew(lease);
    }
}

bool server_leases::contested() const
{
    const auto now = hooks_.now();
    return std::any_of(servers_.begin(),
                       servers_.end(),
                       [now](const auto& item)
                       {
                           const auto& lease = item.second;
                           if (lease.phase == lease_phase::held)
                           {
                               return now >= lease.lease_end - lease_margin;
                           }
                           const bool unanswered =
                               lease.listed &&
                               now < lease.unclaimed_since + owner_known_after;
                           return lease.contested || unanswered;
                       });
}

bool server_leases::all_held() const
{
    return members_known_ &&
           std::all_of(servers_.begin(),
                       servers_.end(),
                       [](const auto& item)
                       { return item.second.phase == lease_phase::held; });
}

bool server_leases::members_known() const
{
    return members_known_;
}

const server_lease* server_leases::find(std::string_view server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

const std::map<std::string, server_lease, std::less<>>&
server_leases::servers() const
{
    return servers_;
}

void server_leases::tick()
{
    for (auto& [id, lease] : servers_)
    {
        tick_one(lease);
    }
    drop_gone();
    report_released();
}

void server_leases::tick_one(server_lease& lease)
{
    const auto now = hooks_.now();
    if (lease.phase == lease_phase::held)
    {
        if (now >= lease.lease_end)
        {
            lose(lease, false);
            return;
        }
        const bool overdue = now >= lease.renew_sent + renew_interval;
        if (overdue || (!lease.renew_in_flight && now >= lease.next_renew))
        {
            send_renew(lease);
        }
        return;
    }
    if (lease.phase == lease_phase::releasing && now >= lease.lease_end)
    {
        lease.phase = lease_phase::unclaimed;
        lease.token.epoch = 0;
        lease.unclaimed_since = now;
    }
    if (lease.phase == lease_phase::unclaimed && active_ && lease.listed &&
        now >= lease.next_claim)
    {
        send_claim(lease);
    }
}

void server_leases::send_claim(server_lease& lease)
{
    const auto now = hooks_.now();
    lease.phase = lease_phase::claiming;
    lease.lease_end = now + server_lease_time;
    const auto call = ++lease.calls;
    backend_.claim(
        lease.address,
        owner_,
        server_lease_time,
        now + claim_deadline,
        [this, alive = std::weak_ptr<char>(alive_), id = lease.id, call, now](
            const claim_reply& reply)
        {
            if (!alive.expired())
            {
                on_claim_reply(id, call, now, reply);
            }
        });
}

void server_leases::on_claim_reply(const std::string& id,
                                   std::uint64_t call,
                                   time_point sent,
                                   const claim_reply& reply)
{
    const auto found = servers_.find(id);
    if (found == servers_.end() || found->second.calls != call)
    {
        return;
    }
    auto& lease = found->second;
    if (lease.phase == lease_phase::releasing && !reply.error)
    {
        lease.token = reply.token;
        send_release(lease);
        return;
    }
    if (lease.phase != lease_phase::claiming)
    {
        return;
    }
    const auto now = hooks_.now();
    if (reply.error || now >= sent + server_lease_time)
    {
        lease.phase = lease_phase::unclaimed;
        lease.next_claim = now + claim_retry;
        lease.contested = reply.error.code == result_code::lease_held ||
                          (reply.error && lease.contested);
        return;
    }
    granted(lease, sent, reply);
}

void server_leases::granted(server_lease& lease,
                            time_point sent,
                            const claim_reply& reply)
{
    lease.phase = lease_phase::held;
    lease.first_grant = lease.token.epoch == 0;
    const bool restarted = lease.token.incarnation != reply.token.incarnation;
    const bool next_epoch = reply.token.epoch == lease.token.epoch + 1;
    lease.other_owner_before =
        lease.contested || lease.first_grant || (!restarted && !next_epoch);
    lease.token = reply.token;
    lease.lease_end = sent + server_lease_time;
    lease.contested = false;
    lease.rack = reply.rack.empty() ? lease.rack : reply.rack;
    lease.accelerators = reply.accelerators;
    lease.slots = reply.slots;
    lease.renew_in_flight = false;
    lease.renew_failed = false;
    lease.renew_sent = sent;
    lease.next_renew = hooks_.now();
    lease.seen = 0;
    lease.open_events.clear();
    log_line(
        log_level::info,
        "lease",
        "A backend server was claimed.",
        {{"server", lease.id}, {"epoch", std::to_string(lease.token.epoch)}});
    set_leaving(lease, lease.leaving_in_list, reply.leaving);
    hooks_.on_claimed(lease.id, reply);
}

void server_leases::send_renew(server_lease& lease)
{
    const auto now = hooks_.now();
    renew_request request;
    request.token = lease.token;
    request.acknowledged =
        lease.open_events.empty() ? lease.seen : *lease.open_events.begin() - 1;
    request.wait = lease.renew_failed || lease.renew_in_flight ? milliseconds(0)
                                                               : poll_wait;
    lease.renew_sent = now;
    lease.renew_in_flight = true;
    backend_.renew(lease.address,
                   request,
                   now + request.wait + poll_slack,
                   [this,
                    alive = std::weak_ptr<char>(alive_),
                    id = lease.id,
                    token = lease.token,
                    now](const renew_reply& reply)
                   {
                       if (!alive.expired())
                       {
                           on_renew_reply(id, token, now, reply);
                       }
                   });
}

void server_leases::on_renew_reply(const std::string& id,
                                   const lease_token& token,
                                   time_point sent,
                                   const renew_reply& reply)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
    {
        return;
    }
    auto& lease = found->second;
    if (lease.phase != lease_phase::held || !same_token(lease.token, token))
    {
        return;
    }
    if (lease.renew_sent == sent)
    {
        lease.renew_in_flight = false;
    }
    if (reply.error.code == result_code::stale_epoch)
    {
        lose(lease, true);
        return;
    }
    lease.renew_failed = static_cast<bool>(reply.error);
    if (reply.error)
    {
        lease.next_renew = hooks_.now() + min_renew_interval;
        return;
    }
    lease.lease_end = std::max(lease.lease_end, sent + server_lease_time);
    lease.next_renew = std::max(hooks_.now(), sent + min_renew_interval);
    set_leaving(lease, lease.leaving_in_list, reply.leaving);
    deliver(id, reply);
}

void server_leases::deliver(const std::string& id, const renew_reply& reply)
{
    for (const auto& event : reply.events)
    {
        const auto found = servers_.find(id);
        if (found == servers_.end() || found->second.phase != lease_phase::held)
        {
            return;
        }
        auto& lease = found->second;
        if (event.sequence <= lease.seen)
        {
            continue;
        }
        lease.seen = event.sequence;
        lease.open_events.insert(event.sequence);
        hooks_.on_event(event, {id, lease.token.epoch, event.sequence});
    }
}

void server_leases::send_release(server_lease& lease)
{
    const auto call = ++lease.calls;
    backend_.release(
        lease.address,
        lease.token,
        hooks_.now() + release_deadline,
        [this, alive = std::weak_ptr<char>(alive_), id = lease.id, call](
            const failure& error)
        {
            if (alive.expired())
            {
                return;
            }
            const auto found = servers_.find(id);
            if (found == servers_.end() || found->second.calls != call ||
                found->second.phase != lease_phase::releasing)
            {
                return;
            }
            if (!error || error.code == result_code::stale_epoch)
            {
                found->second.phase = lease_phase::unclaimed;
                found->second.token.epoch = 0;
                found->second.unclaimed_since = hooks_.now();
                report_released();
                return;
            }
            if (hooks_.now() < found->second.lease_end)
            {
                send_release(found->second);
            }
        });
}

void server_leases::lose(server_lease& lease, bool taken)
{
    log_line(
        log_level::warning,
        "lease",
        taken ? "A server lease was taken by another owner or a restart."
              : "A server lease has ended.",
        {{"server", lease.id}, {"epoch", std::to_string(lease.token.epoch)}});
    lease.phase = lease_phase::unclaimed;
    lease.contested = lease.contested || taken;
    lease.unclaimed_since = hooks_.now();
    lease.next_claim = hooks_.now();
    hooks_.on_lost(lease.id);
}

void server_leases::set_leaving(server_lease& lease,
                                bool in_list,
                                bool reported)
{
    const bool before = lease.leaving();
    lease.leaving_in_list = in_list;
    lease.leaving_reported = reported;
    if (before != lease.leaving())
    {
        hooks_.on_leaving(lease.id, lease.leaving());
    }
}

void server_leases::drop_gone()
{
    std::vector<std::string> gone;
    for (const auto& [id, lease] : servers_)
    {
        const bool idle = lease.phase == lease_phase::unclaimed ||
                          lease.phase == lease_phase::claiming;
        if (!lease.listed && idle)
        {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone)
    {
        servers_.erase(id);
        hooks_.on_gone(id);
    }
}

void server_leases::report_released()
{
    const bool waiting =
        std::any_of(servers_.begin(),
                    servers_.end(),
                    [](const auto& item)
                    { return item.second.phase == lease_phase::releasing; });
    if (!waiting && released_)
    {
        std::exchange(released_, nullptr)();
    }
}

} // namespace poplarramp
