// Calls to the backend servers of a scheduling domain.
#ifndef POPLARRAMP_DOMAIN_SERVER_API_HPP
#define POPLARRAMP_DOMAIN_SERVER_API_HPP

#include "base/time.hpp"
#include "model/step_job.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace poplarramp
{

// Milliseconds on the steady clock of one incarnation of a backend server.
using server_clock = std::int64_t;

// One attempt to run a task.
struct run_id
{
    task_name task;
    int attempt = 0;

    bool operator==(const run_id& other) const = default;
    bool operator<(const run_id& other) const
    {
        return std::tie(task, attempt) < std::tie(other.task, other.attempt);
    }
};

// Destination of a call and epoch of the caller.
struct server_target
{
    std::string address;
    // Intended instance; any other instance at the address refuses the call.
    std::string id;
    // A server refuses epochs lower than the highest that it has seen.
    std::uint64_t epoch = 0;
    // Where the server is; not sent to it.
    std::string zone = {};
    std::string rack = {};
};

enum class order_outcome
{
    done,
    // The server has seen a higher epoch: this scheduler no longer leads.
    fenced,
    // The same or a higher attempt has ended or was stopped on the server.
    superseded,
    // The lease in the order had already expired.
    lease_expired,
    // The run would exceed the server's capacity.
    no_capacity,
    // Refused for now, without effect.
    refused,
    // The order was malformed and had no effect.
    invalid,
    // Another incarnation of the server replied.
    other_incarnation,
    // Never reached the server.
    not_sent,
    // May have been executed, or may be later.
    unknown,
};

std::string_view name_of(order_outcome outcome);

struct start_order
{
    run_id run;
    std::string payload;
    // Extends the lease of all runs on the server.
    server_clock lease_until = 0;
    // Checkpoint to resume from; empty: start from the beginning.
    std::string checkpoint;
};

struct renew_order
{
    // New end of the lease; unset: only list the runs.
    std::optional<server_clock> lease_until;
    // The server may discard its end records up to this number.
    std::uint64_t acknowledged_end = 0;
    // How long the server may delay its reply to wait for a run to end.
    milliseconds wait{0};
};

enum class run_outcome
{
    done,
    failed,
    stopped,
    // The lease expired.
    lease_expired,
    // Another member of the gang ended.
    gang_ended,
    // The other members of the gang did not start in time.
    gang_incomplete,
};

std::string_view name_of(run_outcome outcome);

struct listed_run
{
    run_id run;
    std::string checkpoint;
    int percent = 0;
};

struct listed_end
{
    // Rises within one incarnation of the server.
    std::uint64_t number = 0;
    run_id run;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint;
};

struct order_reply
{
    order_outcome outcome = order_outcome::unknown;
    std::string reason;
    std::optional<server_clock> clock;
};

struct renewal_reply
{
    order_reply order;
    // Incarnation that replied: its start time in Unix milliseconds.
    std::int64_t incarnation = 0;
    std::vector<listed_run> active;
    std::vector<listed_end> ended;
};

// Each hook calls `done` exactly once, on the control thread, never before it
// returns and no later than the deadline.
struct server_api
{
    std::function<void(server_target to,
                       start_order order,
                       time_point deadline,
                       std::function<void(order_reply)> done)>
        start;
    std::function<void(server_target to,
                       run_id run,
                       time_point deadline,
                       std::function<void(order_reply)> done)>
        stop;
    std::function<void(server_target to,
                       renew_order order,
                       time_point deadline,
                       std::function<void(renewal_reply)> done)>
        renew;
};

} // namespace poplarramp

#endif
