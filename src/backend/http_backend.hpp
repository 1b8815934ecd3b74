// Calls to backend servers with JSON over HTTP.
#ifndef POPLARRAMP_BACKEND_HTTP_BACKEND_HPP
#define POPLARRAMP_BACKEND_HTTP_BACKEND_HPP

#include "backend/backend_api.hpp"
#include "base/time.hpp"
#include "http/message.hpp"

namespace poplarramp
{

// The functions of the API own their state and are used on the control thread
// only. A reply that cannot be decoded is reported as `answer_lost`, because
// the call may have taken effect. Renewals are idempotent and may be sent
// twice. Any other call is sent again only if the first request cannot have
// been handled.
backend_api make_http_backend(http_send_function call,
                              const clock_mapping& clock);

} // namespace poplarramp

#endif
