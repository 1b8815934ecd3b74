// Faults that tests switch on in a stand-in through POST /v1/faults.
#ifndef POPLARRAMP_STANDIN_FAULTS_HPP
#define POPLARRAMP_STANDIN_FAULTS_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "standin/timers.hpp"

#include <json/value.h>

#include <string>

namespace poplarramp::standin
{

enum class outage_kind
{
    none,
    // Answers `store_unavailable` without effect.
    error,
    // Closes the connection without effect.
    drop,
    // Never answers, without effect.
    silent,
};

struct faults
{
    // Added before each request is handled.
    milliseconds latency{0};
    outage_kind outage = outage_kind::none;
    // Number of requests that take effect and are not answered; the connection
    // is closed (`lose_answers`) or stays open and silent (`hold_answers`).
    int lose_answers = 0;
    int hold_answers = 0;
    // Number of requests that have no effect and are never answered, as on a
    // connection that went silent.
    int silent_requests = 0;
    // Only targets with this prefix are concerned.
    std::string prefix;
    // Backend server only.
    bool fail_tasks = false;
    bool leaving = false;
};

// Replaces the members that the document names.
bool read_faults(const Json::Value& json, faults& target, failure& why);
Json::Value to_json(const faults& state);

// `handler` behind the faults in `state`, which must live as long as the
// result. Requests to /v1/faults read or change the state and meet no fault;
// `changed` is called after a change.
http_handler with_faults(http_handler handler,
                         faults& state,
                         timers& clock,
                         std::function<void()> changed);

} // namespace poplarramp::standin

#endif
