// Sends and receives heartbeats, and keeps the member list up to date.
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
    // `on_peer` is called with each heartbeat that is not older than one seen
    // before, after the membership and the closings have taken it in.
    // `valid_at`: the sender sent it at this time or later.
    using peer_callback =
        std::function<void(const heartbeat& message, time_point valid_at)>;
    // Precondition: `context` outlives this.
    heartbeats(control_context& context, peer_callback on_peer);

    // A heartbeat from a peer; returns this VM's own.
    heartbeat_reply on_heartbeat(const heartbeat& message);

    // Sends heartbeats and reads the member list when their time has come.
    void tick();

    // Sends a heartbeat to every known peer, for a change that peers should
    // learn of now.
    void send_to_all();

private:
    heartbeat own();
    void take_in(const heartbeat& message, time_point valid_at);
    void send(const std::string& address);
    void send_to_own_zone();
    void send_to_other_zones();
    void read_members();

    control_context& context_;
    peer_callback on_peer_;
    std::string incarnation_;
    std::uint64_t sequence_ = 0;
    time_point next_own_zone_{};
    time_point next_other_zones_{};
    time_point next_members_{};
    bool reading_members_ = false;
};

} // namespace poplarramp

#endif
