// Server side of the internal protocol between entry VMs: JSON-RPC 2.0 over
// HTTP.
#ifndef POPLARRAMP_INNER_PEER_SERVER_HPP
#define POPLARRAMP_INNER_PEER_SERVER_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "inner/peer_api.hpp"

namespace poplarramp
{

// Handles requests to `inner_target` with `handlers` and replies synchronously.
// Not thread safe; used on the control thread only. A body that is too large,
// is not JSON or is not a single call gets a JSON-RPC error; invalid parameters
// get `bad_request` with the path of the first invalid member.
http_handler make_peer_server(peer_handlers handlers, clock_mapping clock);

} // namespace poplarramp

#endif
