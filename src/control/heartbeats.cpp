#include "control/heartbeats.hpp"

#include "base/log.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds own_zone_interval{300};
// A reply also carries a heartbeat, so only the peer with the lower id of a
// pair sends. The other one sends if no heartbeat has arrived for this long.
constexpr milliseconds missing_heartbeat_timeout{375};
constexpr milliseconds other_zones_interval{1000};

// When the view of the configuration is about to become too old to start tasks,
// heartbeats to other availability zones are sent more often.
constexpr milliseconds stale_view_age{1200};
constexpr milliseconds stale_view_interval{300};

constexpr milliseconds heartbeat_call_timeout{300};
constexpr milliseconds member_list_interval{1000};
constexpr milliseconds member_list_timeout{2000};

// Starts with the time, so that the incarnations of a VM sort by start time.
std::string make_incarnation(time_point now, std::uint64_t random)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%016" PRIx64 "-%016" PRIx64,
                  static_cast<std::uint64_t>(now.time_since_epoch().count()),
                  random);
    return text.data();
}

} // namespace

heartbeats::heartbeats(control_context& context,
                       peer_callback on_peer_heartbeat)
    : context_(context), on_peer_heartbeat_(std::move(on_peer_heartbeat)),
      incarnation_(make_incarnation(context.now(), context.hooks.random()))
{
}

heartbeat heartbeats::make_heartbeat()
{
    const auto& settings = context_.settings;
    heartbeat message;
    message.vm = settings.vm;
    message.incarnation = incarnation_;
    message.zone = settings.zone;
    message.address = settings.address;
    message.sequence = ++sequence_;
    message.leaving = context_.members.leaving();
    message.config_version = context_.view.current().version;
    message.closings = context_.view.closings();
    const auto location =
        context_.members.scheduler_of(settings.zone, context_.now());
    if (location)
    {
        message.scheduler = location->vm;
        message.scheduler_address = location->address;
    }
    return message;
}

heartbeat_reply heartbeats::on_heartbeat(const heartbeat& message)
{
    process_heartbeat(message, context_.now());
    return {{}, make_heartbeat()};
}

void heartbeats::process_heartbeat(const heartbeat& message,
                                   time_point valid_at)
{
    if (!context_.members.on_heartbeat(message, context_.now()))
    {
        return;
    }
    bool changed = false;
    for (const auto& closing : message.closings)
    {
        // A closing cannot be based on a version newer than the sender's. No
        // configuration would end such a closing.
        if (closing.base_version <= message.config_version)
        {
            changed |= context_.view.add_closing(closing, context_.now());
        }
    }
    if (changed)
    {
        context_.on_view_changed();
    }
    on_peer_heartbeat_(message, valid_at);
}

void heartbeats::send(const std::string& address)
{
    const auto sent_at = context_.now();
    context_.hooks.peers.send_heartbeat(
        address,
        make_heartbeat(),
        sent_at + heartbeat_call_timeout,
        [weak = weak_from_this(), sent_at](const heartbeat_reply& reply)
        {
            const auto self = weak.lock();
            if (self && !reply.error)
            {
                self->process_heartbeat(reply.from, sent_at);
            }
        });
}

void heartbeats::send_to_own_zone()
{
    const auto now = context_.now();
    for (const auto& peer : context_.members.peers_in(context_.settings.zone))
    {
        const bool recent =
            peer.last_heartbeat &&
            now - *peer.last_heartbeat < missing_heartbeat_timeout;
        if (context_.settings.vm < peer.id || !recent)
        {
            send(peer.address);
        }
    }
    if (context_.members.has_peers())
    {
        return;
    }
    for (const auto& seed : context_.settings.seeds)
    {
        if (seed != context_.settings.address)
        {
            send(seed);
        }
    }
}

void heartbeats::send_to_other_zones()
{
    for (const auto& zone : context_.members.other_zones())
    {
        const auto peers = context_.members.peers_in(zone);
        if (!peers.empty())
        {
            send(peers[context_.hooks.random() % peers.size()].address);
        }
    }
}

void heartbeats::send_to_all()
{
    for (const auto& peer : context_.members.peers())
    {
        if (!peer.address.empty())
        {
            send(peer.address);
        }
    }
}

void heartbeats::read_members()
{
    reading_members_ = true;
    context_.hooks.members.read(
        context_.now() + member_list_timeout,
        [weak = weak_from_this()](const member_list_reply& reply)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            self->reading_members_ = false;
            if (reply.error)
            {
                log_line(log_level::debug,
                         "entry",
                         "The member list could not be read.",
                         {{"reason", reply.error.reason}});
                return;
            }
            auto& context = self->context_;
            context.members.set_members(reply.members);
            context.scheduler.set_backend_servers(
                context.members.backend_servers());
        });
}

void heartbeats::tick()
{
    const auto now = context_.now();
    if (now >= next_own_zone_)
    {
        next_own_zone_ = now + own_zone_interval;
        send_to_own_zone();
    }
    const bool stale = now - context_.view.confirmed_at() > stale_view_age;
    if (now >= next_other_zones_)
    {
        next_other_zones_ =
            now + (stale ? stale_view_interval : other_zones_interval);
        send_to_other_zones();
    }
    if (now >= next_members_ && !reading_members_)
    {
        next_members_ = now + member_list_interval;
        context_.members.remove_expired_peers(now);
        read_members();
    }
}

} // namespace poplarramp
