// Server side of the inner protocol: JSON-RPC 2.0 over HTTP.
#ifndef POPLARRAMP_INNER_PEER_SERVER_HPP
#define POPLARRAMP_INNER_PEER_SERVER_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "inner/peer_api.hpp"

namespace poplarramp
{

// Answers requests to `inner_target` with `handlers`, at once. Not thread safe;
// used on the control thread. A body that is too large, is not JSON or is not a
// single call gets a JSON-RPC error; parameters that cannot be read get
// `bad_request` with the path of the wrong member.
http_handler make_peer_server(peer_handlers handlers, clock_mapping clock);

} // namespace poplarramp

#endif
