// Keeps this VM's view of the configuration up to date: reads the row every
// second, and pulls from a peer whose heartbeat has a higher version.
#ifndef POPLARRAMP_CONTROL_CONFIG_SYNC_HPP
#define POPLARRAMP_CONTROL_CONFIG_SYNC_HPP

#include "base/time.hpp"
#include "control/control_context.hpp"
#include "inner/peer_api.hpp"
#include "services/table.hpp"

#include <memory>
#include <optional>
#include <string>

namespace poplarramp
{

// Not thread safe; used on the control thread only.
class config_sync : public std::enable_shared_from_this<config_sync>
{
public:
    // Precondition: `context` outlives this.
    explicit config_sync(control_context& context);

    // Compares versions with a peer and pulls if the peer's is higher. A peer
    // of another availability zone with the same version confirms the view as
    // of `valid_at`.
    void on_peer_heartbeat(const heartbeat& message, time_point valid_at);

    // Handles a configuration pushed by a peer. Peers push only durable
    // configurations. `bad_request` if it has no version.
    failure on_put_config(const configuration& config);

    void tick();

    // True if the last read of the row got a reply without error.
    bool table_available() const;

private:
    void read_row();
    void on_row(const table_read_reply& reply, time_point sent_at);
    void pull(const heartbeat& from);
    void adopt(const configuration& config);

    control_context& context_;
    time_point next_read_{};
    bool read_in_flight_ = false;
    bool pull_in_flight_ = false;
    bool table_available_ = false;
};

} // namespace poplarramp

#endif
