#include "control/membership.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// Five heartbeat intervals of 300 ms.
constexpr milliseconds heartbeat_timeout{1500};

// Heartbeats between availability zones go to one random entry VM per second,
// so those of a given VM arrive less often.
constexpr milliseconds other_zone_heartbeat_timeout{6000};

// A VM that is not listed and sends no heartbeats is sent them for this long,
// so that both sides of a partition reconnect after it heals without the list.
constexpr milliseconds unlisted_peer_retention{600000};

// Several times the expected number of entry VMs. Bounds the memory that a
// faulty sender with changing ids can use.
constexpr std::size_t max_peers = 1000;

std::uint64_t hash_of(std::string_view zone, std::string_view id)
{
    // FNV-1a, then the finalizer of splitmix64: the ids of VMs differ in few
    // characters, which FNV-1a alone spreads poorly over the high bits.
    std::uint64_t hash = 14695981039346656037ULL;
    const auto add = [&hash](std::string_view text)
    {
        for (const char c : text)
        {
            hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
        }
    };
    add(zone);
    add(std::string_view("\0", 1));
    add(id);
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

} // namespace

std::string_view name_of(peer_state state)
{
    switch (state)
    {
    case peer_state::live:
        return "live";
    case peer_state::listed:
        return "listed";
    case peer_state::leaving:
        return "leaving";
    case peer_state::gone:
        return "gone";
    }
    return "gone";
}

std::string_view
select_by_rendezvous_hash(std::string_view zone,
                          std::span<const std::string_view> ids)
{
    std::string_view selected;
    std::uint64_t best = 0;
    for (const auto id : ids)
    {
        const auto hash = hash_of(zone, id);
        // Ties are broken by id, so that the order of `ids` does not matter.
        if (selected.empty() || hash > best || (hash == best && id < selected))
        {
            selected = id;
            best = hash;
        }
    }
    return selected;
}

membership::membership(std::string vm,
                       std::string zone,
                       std::string address,
                       time_point grace_period_end)
    : vm_(std::move(vm)), zone_(std::move(zone)), address_(std::move(address)),
      grace_period_end_(grace_period_end)
{
}

void membership::set_members(std::span<const vm_member> members)
{
    backend_servers_.clear();
    marked_leaving_.clear();
    listed_as_leaving_ = false;
    for (auto& [id, peer] : peers_)
    {
        peer.listed = false;
    }
    for (const auto& member : members)
    {
        if (member.role == vm_role::backend_server)
        {
            if (member.zone == zone_)
            {
                backend_servers_.push_back(member);
            }
            continue;
        }
        if (member.id == vm_)
        {
            listed_as_leaving_ = member.leaving;
            continue;
        }
        auto& peer = peers_[member.id];
        peer.id = member.id;
        peer.listed = true;
        marked_leaving_[member.id] = member.leaving;
        // A heartbeat is more recent than the list.
        if (!peer.last_heartbeat)
        {
            peer.zone = member.zone;
            peer.address = member.address;
        }
    }
}

bool membership::on_heartbeat(const heartbeat& message, time_point now)
{
    if (message.vm == vm_ || message.vm.empty())
    {
        return false;
    }
    if (peers_.size() >= max_peers && !peers_.contains(message.vm))
    {
        return false;
    }
    auto& peer = peers_[message.vm];
    const bool same_incarnation = peer.incarnation == message.incarnation;
    if (same_incarnation && message.sequence <= peer.sequence)
    {
        return false;
    }
    // An incarnation starts with the start time of the process. A lower one
    // comes from a delayed message of an earlier process, unless the heartbeats
    // of the known incarnation have stopped: a restart of the VM resets its
    // clock.
    if (!same_incarnation && message.incarnation < peer.incarnation &&
        is_live(peer, now))
    {
        return false;
    }
    peer.id = message.vm;
    peer.zone = message.zone;
    peer.address = message.address;
    peer.incarnation = message.incarnation;
    peer.sequence = message.sequence;
    peer.config_version = message.config_version;
    peer.leaving = message.leaving;
    peer.scheduler = message.scheduler;
    peer.scheduler_address = message.scheduler_address;
    peer.last_heartbeat = now;
    return true;
}

void membership::set_leaving()
{
    stopping_ = true;
}

bool membership::leaving() const
{
    return stopping_ || listed_as_leaving_;
}

std::optional<scheduler_location>
membership::scheduler_of(std::string_view zone, time_point now) const
{
    if (zone != zone_)
    {
        if (auto reported = reported_scheduler(zone, now))
        {
            return reported;
        }
    }
    return computed_scheduler(zone, now);
}

// Scheduler of another availability zone, as reported by its VMs. They exchange
// heartbeats every 300 ms, whereas this VM gets those of only a few VMs.
std::optional<scheduler_location>
membership::reported_scheduler(std::string_view zone, time_point now) const
{
    const entry_peer* latest = nullptr;
    for (const auto& [id, peer] : peers_)
    {
        if (peer.zone == zone && is_live(peer, now) &&
            !peer.scheduler.empty() &&
            (latest == nullptr ||
             *peer.last_heartbeat > *latest->last_heartbeat))
        {
            latest = &peer;
        }
    }
    if (latest == nullptr)
    {
        return std::nullopt;
    }
    const auto reported = peers_.find(latest->scheduler);
    if (reported != peers_.end() &&
        state_of(reported->second, now) == peer_state::leaving)
    {
        return std::nullopt;
    }
    return scheduler_location{latest->scheduler, latest->scheduler_address};
}

std::optional<scheduler_location>
membership::computed_scheduler(std::string_view zone, time_point now) const
{
    std::vector<std::string_view> ids;
    for (const auto& [id, peer] : peers_)
    {
        if (peer.zone == zone && is_scheduler_candidate(peer, now))
        {
            ids.push_back(id);
        }
    }
    if (zone == zone_ && !leaving() && now >= grace_period_end_)
    {
        ids.push_back(vm_);
    }
    const auto selected = select_by_rendezvous_hash(zone, ids);
    if (selected.empty())
    {
        return std::nullopt;
    }
    if (selected == vm_)
    {
        return scheduler_location{vm_, address_};
    }
    return scheduler_location{std::string(selected),
                              peers_.find(selected)->second.address};
}

bool membership::is_scheduler_candidate(const entry_peer& peer,
                                        time_point now) const
{
    return state_of(peer, now) == peer_state::live;
}

std::vector<entry_peer> membership::confirming_peers(time_point now) const
{
    std::vector<entry_peer> result;
    for (const auto& [id, peer] : peers_)
    {
        const bool live = is_live(peer, now);
        const bool listed =
            peer.listed && state_of(peer, now) != peer_state::leaving;
        if (live || listed)
        {
            result.push_back(peer);
        }
    }
    return result;
}

std::vector<entry_peer> membership::peers_in(std::string_view zone) const
{
    std::vector<entry_peer> result;
    for (const auto& [id, peer] : peers_)
    {
        if (peer.zone == zone && !peer.address.empty())
        {
            result.push_back(peer);
        }
    }
    return result;
}

std::vector<std::string> membership::other_zones() const
{
    std::vector<std::string> result;
    for (const auto& [id, peer] : peers_)
    {
        const bool known =
            std::find(result.begin(), result.end(), peer.zone) != result.end();
        if (peer.zone != zone_ && !known)
        {
            result.push_back(peer.zone);
        }
    }
    return result;
}

bool membership::has_peers() const
{
    return !peers_.empty();
}

peer_state membership::state_of(const entry_peer& peer, time_point now) const
{
    const auto in_list = marked_leaving_.find(peer.id);
    const bool marked = in_list != marked_leaving_.end() && in_list->second;
    if (is_live(peer, now))
    {
        return peer.leaving || marked ? peer_state::leaving : peer_state::live;
    }
    if (!peer.listed)
    {
        return peer_state::gone;
    }
    return peer.leaving || marked ? peer_state::leaving : peer_state::listed;
}

std::vector<entry_peer> membership::peers() const
{
    std::vector<entry_peer> result;
    result.reserve(peers_.size());
    for (const auto& [id, peer] : peers_)
    {
        result.push_back(peer);
    }
    return result;
}

const std::vector<vm_member>& membership::backend_servers() const
{
    return backend_servers_;
}

void membership::remove_expired_peers(time_point now)
{
    std::erase_if(peers_,
                  [now](const auto& entry)
                  {
                      const auto& peer = entry.second;
                      return !peer.listed && (!peer.last_heartbeat ||
                                              now - *peer.last_heartbeat >
                                                  unlisted_peer_retention);
                  });
}

bool membership::is_live(const entry_peer& peer, time_point now) const
{
    const auto timeout =
        peer.zone == zone_ ? heartbeat_timeout : other_zone_heartbeat_timeout;
    return peer.last_heartbeat && now - *peer.last_heartbeat < timeout;
}

} // namespace poplarramp
