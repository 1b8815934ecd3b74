#include "domain/run_lifecycle.hpp"

#include <array>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr std::array<std::pair<order_outcome, std::string_view>, 10>
    order_outcome_names{{
        {order_outcome::done, "done"},
        {order_outcome::fenced, "fenced"},
        {order_outcome::superseded, "superseded"},
        {order_outcome::lease_expired, "late"},
        {order_outcome::no_capacity, "no_room"},
        {order_outcome::refused, "refused"},
        {order_outcome::invalid, "invalid"},
        {order_outcome::other_incarnation, "other_life"},
        {order_outcome::not_sent, "not_sent"},
        {order_outcome::unknown, "unknown"},
    }};

constexpr std::array<std::pair<run_outcome, std::string_view>, 6>
    run_outcome_names{{
        {run_outcome::done, "done"},
        {run_outcome::failed, "failed"},
        {run_outcome::stopped, "stopped"},
        {run_outcome::lease_expired, "lapsed"},
        {run_outcome::gang_ended, "broken"},
        {run_outcome::gang_incomplete, "alone"},
    }};

template <class Table, class Value>
std::string_view name_in(const Table& table, Value value)
{
    for (const auto& [item, name] : table)
    {
        if (item == value)
        {
            return name;
        }
    }
    return "unknown";
}

} // namespace

std::string_view name_of(order_outcome outcome)
{
    return name_in(order_outcome_names, outcome);
}

std::string_view name_of(run_outcome outcome)
{
    return name_in(run_outcome_names, outcome);
}

bool is_refusal(order_outcome outcome)
{
    return outcome != order_outcome::done && outcome != order_outcome::unknown;
}

void run_lifecycle::on_start_sent()
{
    phase = run_phase::starting;
}

run_resolution run_lifecycle::on_start_reply(order_outcome outcome,
                                             time_point now)
{
    if (phase == run_phase::stopping)
    {
        // The outcome of the stop decides, whichever order arrives first.
        return run_resolution::keep;
    }
    if (outcome == order_outcome::done)
    {
        phase = run_phase::running;
        listable_since = now;
        return run_resolution::keep;
    }
    if (phase == run_phase::starting && is_refusal(outcome))
    {
        return run_resolution::drop;
    }
    if (phase == run_phase::starting)
    {
        phase = run_phase::unconfirmed;
        listable_since = now;
    }
    return run_resolution::keep;
}

run_resolution run_lifecycle::on_stop_requested()
{
    if (phase == run_phase::placing)
    {
        return run_resolution::drop;
    }
    phase = run_phase::stopping;
    return run_resolution::keep;
}

run_resolution run_lifecycle::on_stop_reply(order_outcome outcome,
                                            time_point now)
{
    if (outcome == order_outcome::other_incarnation)
    {
        return run_resolution::drop;
    }
    if (outcome == order_outcome::done && !stop_confirmed)
    {
        stop_confirmed = true;
        listable_since = now;
    }
    return run_resolution::keep;
}

void run_lifecycle::on_listed(time_point now)
{
    if (phase == run_phase::starting || phase == run_phase::unconfirmed)
    {
        phase = run_phase::running;
        listable_since = now;
    }
}

run_resolution run_lifecycle::on_not_listed(time_point requested_at) const
{
    if (requested_at <= listable_since)
    {
        return run_resolution::keep;
    }
    switch (phase)
    {
    case run_phase::placing:
    case run_phase::starting:
        return run_resolution::keep;
    case run_phase::unconfirmed:
        return run_resolution::resolve_by_stop;
    case run_phase::running:
        return run_resolution::drop;
    case run_phase::stopping:
        return stop_confirmed ? run_resolution::drop : run_resolution::keep;
    }
    return run_resolution::keep;
}

} // namespace poplarramp
