// Sends and receives heartbeats and reads the member list periodically.
#ifndef POPLARRAMP_CONTROL_HEARTBEATS_HPP
#define POPLARRAMP_CONTROL_HEARTBEATS_HPP

#include "base/time.hpp"
#include "control/control_context.hpp"
#include "inner/peer_api.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarramp
{

// Not thread safe; used on the control thread only.
class heartbeats : public std::enable_shared_from_this<heartbeats>
{
public:
    // Called for each heartbeat that is newer than the last one of its sender,
    // after the membership and the closings have been updated. The heartbeat
    // was sent at `valid_at` or later.
    using peer_callback =
        std::function<void(const heartbeat& message, time_point valid_at)>;
    // Precondition: `context` outlives this.
    heartbeats(control_context& context, peer_callback on_peer_heartbeat);

    // Processes a heartbeat from a peer. The reply contains this VM's own.
    heartbeat_reply on_heartbeat(const heartbeat& message);

    // Sends heartbeats and reads the member list when due.
    void tick();

    // Sends a heartbeat to every known peer at once, so that they learn of a
    // change without delay.
    void send_to_all();

private:
    heartbeat make_heartbeat();
    void process_heartbeat(const heartbeat& message, time_point valid_at);
    void send(const std::string& address);
    void send_to_own_zone();
    void send_to_other_zones();
    void read_members();

    control_context& context_;
    peer_callback on_peer_heartbeat_;
    std::string incarnation_;
    std::uint64_t sequence_ = 0;
    time_point next_own_zone_{};
    time_point next_other_zones_{};
    time_point next_members_{};
    bool reading_members_ = false;
};

} // namespace poplarramp

#endif
