#include "control/server_leases.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

constexpr milliseconds claim_timeout{1000};
constexpr milliseconds claim_retry_interval{250};
// Within this time the reply to a claim shows whether another owner holds the
// lease.
constexpr milliseconds owner_detection_time =
    claim_timeout + claim_retry_interval * 2;
// Two polls must fit in the usable part of a lease (2.5 s): a wait of 1.5 s
// would let the lease lapse for 500 ms in each cycle.
constexpr milliseconds poll_wait{1000};
constexpr milliseconds poll_timeout_margin{1000};
// A renewal is sent at most this long after the previous one, even if that one
// has no reply yet.
constexpr milliseconds max_renew_interval{1500};
// While a slow table delays the acknowledgement of events, the backend server
// replies to each poll at once; this bounds the poll rate.
constexpr milliseconds min_renew_interval{200};
constexpr milliseconds release_timeout{1000};

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
    remove_unlisted_servers();
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
            // The claim may have been granted; that lease expires.
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

std::optional<lease_token>
server_leases::call_token(std::string_view server) const
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
server_leases::start_token(std::string_view server) const
{
    const auto* lease = find(server);
    if (!lease || lease->leaving())
    {
        return std::nullopt;
    }
    return call_token(server);
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
    hooks_.on_lease_lost(lease.id);
}

void server_leases::on_stale_epoch(std::string_view server,
                                   const lease_token& token)
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
    {
        return;
    }
    auto& lease = found->second;
    if (lease.phase == lease_phase::held && same_token(lease.token, token))
    {
        end_lease(lease, true);
    }
}

void server_leases::acknowledge(const event_ref& ref)
{
    const auto found = servers_.find(ref.server);
    if (found == servers_.end() || found->second.token.epoch != ref.epoch)
    {
        return;
    }
    auto& lease = found->second;
    lease.unacknowledged.erase(ref.sequence);
    if (lease.unacknowledged.empty())
    {
        poll_again(lease);
    }
}

// Polls at once rather than at the next tick, which would delay the next event
// by up to a tick.
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
                           const bool awaiting_reply =
                               lease.listed && now < lease.unclaimed_since +
                                                         owner_detection_time;
                           return lease.contested || awaiting_reply;
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
        tick_lease(lease);
    }
    remove_unlisted_servers();
    report_released();
}

void server_leases::tick_lease(server_lease& lease)
{
    const auto now = hooks_.now();
    if (lease.phase == lease_phase::held)
    {
        if (now >= lease.lease_end)
        {
            end_lease(lease, false);
            return;
        }
        const bool overdue = now >= lease.renew_sent + max_renew_interval;
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
    lease.lease_end = now + server_lease_duration;
    const auto call = ++lease.last_call;
    backend_.claim(lease.address,
                   owner_,
                   server_lease_duration,
                   now + claim_timeout,
                   [this,
                    lifetime = std::weak_ptr<char>(lifetime_),
                    id = lease.id,
                    call,
                    now](const claim_reply& reply)
                   {
                       if (!lifetime.expired())
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
    if (found == servers_.end() || found->second.last_call != call)
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
    if (reply.error || now >= sent + server_lease_duration)
    {
        lease.phase = lease_phase::unclaimed;
        lease.next_claim = now + claim_retry_interval;
        lease.contested = reply.error.code == result_code::lease_held ||
                          (reply.error && lease.contested);
        return;
    }
    on_granted(lease, sent, reply);
}

void server_leases::on_granted(server_lease& lease,
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
    lease.lease_end = sent + server_lease_duration;
    lease.contested = false;
    lease.rack = reply.rack.empty() ? lease.rack : reply.rack;
    lease.accelerators = reply.accelerators;
    lease.slots = reply.slots;
    lease.renew_in_flight = false;
    lease.renew_failed = false;
    lease.renew_sent = sent;
    lease.next_renew = hooks_.now();
    lease.last_sequence = 0;
    lease.unacknowledged.clear();
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
    request.acknowledged = lease.unacknowledged.empty()
                               ? lease.last_sequence
                               : *lease.unacknowledged.begin() - 1;
    request.wait = lease.renew_failed || lease.renew_in_flight ? milliseconds(0)
                                                               : poll_wait;
    lease.renew_sent = now;
    lease.renew_in_flight = true;
    backend_.renew(lease.address,
                   request,
                   now + request.wait + poll_timeout_margin,
                   [this,
                    lifetime = std::weak_ptr<char>(lifetime_),
                    id = lease.id,
                    token = lease.token,
                    now](const renew_reply& reply)
                   {
                       if (!lifetime.expired())
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
        end_lease(lease, true);
        return;
    }
    lease.renew_failed = static_cast<bool>(reply.error);
    if (reply.error)
    {
        lease.next_renew = hooks_.now() + min_renew_interval;
        return;
    }
    lease.lease_end = std::max(lease.lease_end, sent + server_lease_duration);
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
        if (event.sequence <= lease.last_sequence)
        {
            continue;
        }
        lease.last_sequence = event.sequence;
        lease.unacknowledged.insert(event.sequence);
        hooks_.on_event(event, {id, lease.token.epoch, event.sequence});
    }
}

void server_leases::send_release(server_lease& lease)
{
    const auto call = ++lease.last_call;
    backend_.release(
        lease.address,
        lease.token,
        hooks_.now() + release_timeout,
        [this, lifetime = std::weak_ptr<char>(lifetime_), id = lease.id, call](
            const failure& error)
        {
            if (lifetime.expired())
            {
                return;
            }
            const auto found = servers_.find(id);
            if (found == servers_.end() || found->second.last_call != call ||
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

void server_leases::end_lease(server_lease& lease, bool taken)
{
    log_line(
        log_level::warning,
        "lease",
        taken ? "A server lease was lost to another owner or a server restart."
              : "A server lease has ended.",
        {{"server", lease.id}, {"epoch", std::to_string(lease.token.epoch)}});
    lease.phase = lease_phase::unclaimed;
    lease.contested = lease.contested || taken;
    lease.unclaimed_since = hooks_.now();
    lease.next_claim = hooks_.now();
    hooks_.on_lease_lost(lease.id);
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

void server_leases::remove_unlisted_servers()
{
    std::vector<std::string> removed;
    for (const auto& [id, lease] : servers_)
    {
        const bool idle = lease.phase == lease_phase::unclaimed ||
                          lease.phase == lease_phase::claiming;
        if (!lease.listed && idle)
        {
            removed.push_back(id);
        }
    }
    for (const auto& id : removed)
    {
        servers_.erase(id);
        hooks_.on_server_removed(id);
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
