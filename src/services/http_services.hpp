// Clients of the platform's services, over HTTP/JSON.
#ifndef POPLARRAMP_SERVICES_HTTP_SERVICES_HPP
#define POPLARRAMP_SERVICES_HTTP_SERVICES_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "limits/circuit_breaker.hpp"
#include "services/member_list.hpp"
#include "services/object_store.hpp"
#include "services/table.hpp"

#include <functional>
#include <string>

namespace poplarramp
{

struct http_services_settings
{
    // "ip:port" of the platform, which serves all three services.
    std::string address;
    circuit_breaker_settings breaker;
};

struct http_services_hooks
{
    http_send_function call;
    std::function<time_point()> now;
    // Runs a function later on the control thread. Reports refusals by an open
    // circuit, because `done` must not be called before the call returns.
    std::function<void(std::function<void()>)> post;
};

struct http_services
{
    table kv_table;
    object_store objects;
    member_list members;
};

// The functions of the result own their state and are used on the control
// thread only. The table, the object store and the member list share one
// address, but have one circuit breaker each, so that failures of one do not
// stop calls to the others. Errors:
// - `circuit_open`: not sent, because calls have been failing;
// - `store_unavailable`: not sent, or refused by the platform without effect;
// - `timeout`, `answer_lost`: sent, and a write may have taken effect, but the
//   reply is missing, unreadable or does not tell.
//
// While a circuit is half-open, table writes are refused with `circuit_open`
// and only reads probe, so that no probe is a write with an unknown outcome.
// The configuration is read every second, which provides the probes.
http_services make_http_services(const http_services_settings& settings,
                                 const http_services_hooks& hooks);

// Percent-encodes every byte except letters, digits, '-', '.', '_' and '~', for
// use in one path segment. Thread safe.
std::string percent_encoded(const std::string& text);

} // namespace poplarramp

#endif
