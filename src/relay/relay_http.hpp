// Relay messages as HTTP calls between VMs.
#ifndef POPLARRAMP_RELAY_RELAY_HTTP_HPP
#define POPLARRAMP_RELAY_RELAY_HTTP_HPP

#include "base/result.hpp"
#include "http/message.hpp"
#include "relay/call_relay.hpp"
#include "relay/relayed_servers.hpp"

#include <memory>

namespace poplarramp
{

// Thread safe.
http_request make_relay_request(const relay_batch& batch);
http_request make_relay_request(const relay_report& report);

// Handles a request of another VM: a batch is given to `relay`, a report to
// `leader_calls`, which is null unless this VM leads. Returns the failure to
// reply, or none. To be called on the control thread.
failure
handle_relay_request(const http_request& request,
                     call_relay& relay,
                     const std::shared_ptr<relayed_servers>& leader_calls);

} // namespace poplarramp

#endif
