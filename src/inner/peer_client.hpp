// Client side of the inner protocol: JSON-RPC 2.0 over HTTP.
#ifndef POPLARRAMP_INNER_PEER_CLIENT_HPP
#define POPLARRAMP_INNER_PEER_CLIENT_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "inner/peer_api.hpp"

namespace poplarramp
{

// Path of the inner protocol at every entry VM.
constexpr auto inner_target = "/inner";

// Calls over `http`. Not thread safe; used on the control thread. Errors beside
// those of `http`: `answer_lost` for a reply that cannot be read or belongs to
// another request, because the request may have been handled; `bad_request` if
// the peer could not read the request.
peer_api make_peer_client(http_caller http, clock_mapping clock);

} // namespace poplarramp

#endif
