// Known entry VMs and backend servers, and the scheduler of each availability
// zone. Combines heartbeats with the platform's member list, which lags behind.
#ifndef POPLARRAMP_CONTROL_MEMBERSHIP_HPP
#define POPLARRAMP_CONTROL_MEMBERSHIP_HPP

#include "base/time.hpp"
#include "inner/peer_api.hpp"
#include "services/member_list.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

// Another entry VM, as described by the member list and its latest heartbeat.
struct entry_peer
{
    std::string id;
    std::string zone;
    std::string address;
    std::string incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t config_version = 0;
    bool listed = false;
    bool leaving = false;
    // Arrival time of the last heartbeat; empty if none has arrived yet.
    std::optional<time_point> last_heartbeat;
    // Scheduler of its availability zone as it reports it; empty: none.
    std::string scheduler;
    std::string scheduler_address;
};

struct scheduler_location
{
    std::string vm;
    std::string address;
};

enum class peer_state
{
    // A heartbeat arrived within the timeout.
    live,
    // In the member list, but without a recent heartbeat.
    listed,
    leaving,
    // Not in the member list and without a recent heartbeat.
    gone,
};

std::string_view name_of(peer_state state);

// Returns the VM of `ids` with the highest rendezvous hash for the availability
// zone; empty if `ids` is empty. Every entry VM computes the same result from
// the same ids, and when a VM leaves, only its own availability zones move.
// Thread safe.
std::string_view
select_by_rendezvous_hash(std::string_view zone,
                          std::span<const std::string_view> ids);

// Not thread safe.
class membership
{
public:
    // Before `grace_period_end` this VM is never the scheduler: a VM that has
    // just started knows no peers and would elect itself.
    membership(std::string vm,
               std::string zone,
               std::string address,
               time_point grace_period_end);

    // Applies the member list. An empty list is applied like any other.
    void set_members(std::span<const vm_member> members);

    // Records a heartbeat. Returns false and ignores it if it is not newer than
    // the last one of its sender, if it is this VM's own, or if there are too
    // many peers.
    bool on_heartbeat(const heartbeat& message, time_point now);

    // This VM is stopping and will not be the scheduler again.
    void set_leaving();
    bool leaving() const;

    // Scheduler of an availability zone; nullopt if none is known.
    std::optional<scheduler_location> scheduler_of(std::string_view zone,
                                                   time_point now) const;

    // Entry VMs that must confirm a configuration: those that are live or
    // listed, except those that were leaving and whose heartbeats have stopped.
    // Excludes this VM.
    std::vector<entry_peer> confirming_peers(time_point now) const;

    // Peers in an availability zone whose address is known. Excludes this VM.
    std::vector<entry_peer> peers_in(std::string_view zone) const;

    // Other availability zones that have a known entry VM.
    std::vector<std::string> other_zones() const;

    bool has_peers() const;
    peer_state state_of(const entry_peer& peer, time_point now) const;
    std::vector<entry_peer> peers() const;
    // Backend servers in this VM's availability zone.
    const std::vector<vm_member>& backend_servers() const;

    // Removes entry VMs that are not listed and have sent no heartbeat for the
    // retention period.
    void remove_expired_peers(time_point now);

private:
    bool is_live(const entry_peer& peer, time_point now) const;
    std::optional<scheduler_location> reported_scheduler(std::string_view zone,
                                                         time_point now) const;
    std::optional<scheduler_location> computed_scheduler(std::string_view zone,
                                                         time_point now) const;
    bool is_scheduler_candidate(const entry_peer& peer, time_point now) const;

    std::string vm_;
    std::string zone_;
    std::string address_;
    time_point grace_period_end_;
    bool stopping_ = false;
    bool listed_as_leaving_ = false;
    std::map<std::string, entry_peer, std::less<>> peers_;
    // By id of a listed entry VM: the list marks it as leaving.
    std::map<std::string, bool, std::less<>> marked_leaving_;
    std::vector<vm_member> backend_servers_;
};

} // namespace poplarramp

#endif
