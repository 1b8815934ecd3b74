// Client side of the internal protocol between entry VMs: JSON-RPC 2.0 over
// HTTP.
#ifndef POPLARRAMP_INNER_PEER_CLIENT_HPP
#define POPLARRAMP_INNER_PEER_CLIENT_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "inner/peer_api.hpp"

namespace poplarramp
{

// HTTP path of the inner protocol on every entry VM.
constexpr auto inner_target = "/inner";

// Makes calls over `http`. Not thread safe; used on the control thread only.
// Errors in addition to those of `http`: `answer_lost` if the reply cannot be
// decoded or has the wrong id, because the request may have been handled;
// `bad_request` if the peer could not decode the request.
peer_api make_peer_client(http_send_function http, clock_mapping clock);

} // namespace poplarramp

#endif
