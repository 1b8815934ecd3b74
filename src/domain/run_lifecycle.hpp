// State machine of one run of a task on one backend server: which orders are
// outstanding, and when it is certain that the run does not exist and cannot
// start any more. Plain data and state transitions.
#ifndef POPLARRAMP_DOMAIN_RUN_LIFECYCLE_HPP
#define POPLARRAMP_DOMAIN_RUN_LIFECYCLE_HPP

#include "base/time.hpp"
#include "domain/server_api.hpp"

namespace poplarramp
{

enum class run_phase
{
    // The placement is being committed; no order was sent.
    placing,
    // The start order is in flight.
    starting,
    // The start order got no reply; it may still be executed.
    unconfirmed,
    running,
    // A stop was requested; the order is repeated until it is confirmed.
    stopping,
};

enum class run_resolution
{
    // The run may exist.
    keep,
    // The run must be stopped to find out whether it exists.
    resolve_by_stop,
    // The run does not exist and cannot start any more.
    drop,
};

struct run_lifecycle
{
    run_phase phase = run_phase::placing;
    // A list of runs that was requested after this time contains the run if it
    // exists.
    time_point listable_since{};
    bool stop_confirmed = false;

    // To be called when the placement is stored and the start order is sent.
    void on_start_sent();
    run_resolution on_start_reply(order_outcome outcome, time_point now);
    run_resolution on_stop_requested();
    run_resolution on_stop_reply(order_outcome outcome, time_point now);
    void on_listed(time_point now);
    // To be called if a list requested at `requested_at` does not contain the
    // run.
    run_resolution on_not_listed(time_point requested_at) const;
};

// True if the outcome proves that the order was not and will not be executed.
bool is_refusal(order_outcome outcome);

} // namespace poplarramp

#endif
