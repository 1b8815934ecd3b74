// Life of one run of a task on one backend server: which orders are out, and
// when it is certain that the run does not exist and never will. Plain data
// and transitions.
#ifndef POPLARRAMP_DOMAIN_RUN_LIFECYCLE_HPP
#define POPLARRAMP_DOMAIN_RUN_LIFECYCLE_HPP

#include "base/time.hpp"
#include "domain/server_api.hpp"

namespace poplarramp
{

enum class run_phase
{
    // The placement is being written; no order was sent.
    placing,
    // The start order is out.
    starting,
    // The start order was not answered; it may be carried out late.
    unconfirmed,
    running,
    // A stop is wanted; it is ordered until it is answered.
    stopping,
};

enum class run_step
{
    // The run may exist.
    keep,
    // The run should be stopped to settle whether it exists.
    settle_by_stop,
    // The run does not exist and cannot start any more.
    gone,
};

struct run_lifecycle
{
    run_phase phase = run_phase::placing;
    // A list that was asked for after this time is complete for this run.
    time_point settled_at{};
    bool stop_confirmed = false;

    // The placement is stored and the start order is sent.
    void on_start_sent();
    run_step on_start_reply(order_outcome outcome, time_point now);
    run_step on_stop_wanted();
    run_step on_stop_reply(order_outcome outcome, time_point now);
    void on_listed(time_point now);
    // A list that was asked for at `asked` does not hold the run.
    run_step on_not_listed(time_point asked) const;
};

// True if the outcome says that the order was not and will not be carried out.
bool is_refusal(order_outcome outcome);

} // namespace poplarramp

#endif
