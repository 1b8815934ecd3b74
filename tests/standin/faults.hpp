// Faults that tests enable in a stand-in through POST /v1/faults.
#ifndef POPLARRAMP_STANDIN_FAULTS_HPP
#define POPLARRAMP_STANDIN_FAULTS_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "standin/timers.hpp"

#include <json/value.h>

#include <set>
#include <string>

namespace poplarramp::standin
{

enum class outage_kind
{
    none,
    // Replies `store_unavailable` without handling the request.
    error,
    // Closes the connection without handling the request.
    drop,
    // Neither handles the request nor replies.
    silent,
};

struct faults
{
    // Added before each request is handled.
    milliseconds latency{0};
    outage_kind outage = outage_kind::none;
    // Number of requests that are handled without a reply; the connection is
    // closed (`lose_answers`) or stays open (`hold_answers`).
    int lose_answers = 0;
    int hold_answers = 0;
    // Number of requests that are neither handled nor replied to, as on a
    // connection whose peer became unreachable.
    int silent_requests = 0;
    // Connections on which requests are neither handled nor replied to.
    // "silence_open" in a request adds all connections used so far; new
    // connections work.
    std::set<std::string> silent_peers;
    std::set<std::string> used_peers;
    // Faults apply only to targets with this prefix.
    std::string prefix;
    // Backend server only.
    bool fail_tasks = false;
    bool leaving = false;
};

// Replaces the members that are present in `json`.
bool read_faults(const Json::Value& json, faults& target, failure& why);
Json::Value to_json(const faults& state);

// Wraps `handler` so that the faults in `state` apply to its requests; `state`
// must outlive the result. Requests to /v1/faults read or change the state and
// are exempt from faults; `changed` is called after each of them.
http_handler with_faults(http_handler handler,
                         faults& state,
                         timers& clock,
                         std::function<void()> changed);

} // namespace poplarramp::standin

#endif
