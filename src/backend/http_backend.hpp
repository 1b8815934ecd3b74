// Calls to backend servers over HTTP/JSON.
#ifndef POPLARRAMP_BACKEND_HTTP_BACKEND_HPP
#define POPLARRAMP_BACKEND_HTTP_BACKEND_HPP

#include "backend/backend_api.hpp"
#include "base/time.hpp"
#include "http/message.hpp"

namespace poplarramp
{

// Hooks that own what they need; used on the control thread only. A reply that
// cannot be understood is `answer_lost`: the call may have had effect. No call
// is sent twice, except for a repeat that cannot have been handled before;
// renewals may be, because they are idempotent.
backend_api make_http_backend(http_caller call, const clock_mapping& clock);

} // namespace poplarramp

#endif
