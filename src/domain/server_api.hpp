// Hooks to the backend servers of a scheduling domain.
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

// Milliseconds on the steady clock of one life of a backend server.
using server_clock = std::int64_t;

// Identifies a task's attempt on a server.
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

// Where a call goes and in whose name.
struct server_target
{
    std::string address;
    // Another life of the server refuses the call.
    std::string id;
    // Lower epochs than the highest seen are refused.
    std::uint64_t epoch = 0;
};

enum class order_outcome
{
    done,
    // A higher epoch was seen: this scheduler is no longer the leader.
    fenced,
    // A run of this or a higher attempt has ended or was stopped there.
    superseded,
    // The lease in the order was over.
    lease_expired,
    // Would exceed the capacity.
    no_capacity,
    // The server refuses for now and has done nothing.
    refused,
    // Not understood, and nothing was done.
    invalid,
    // Another life of the server answered.
    other_incarnation,
    // Never reached the server.
    not_sent,
    // May have been carried out, or may be later.
    unknown,
};

std::string_view name_of(order_outcome outcome);

struct start_order
{
    run_id run;
    std::string payload;
    // Extends the lease of everything on the server.
    server_clock lease_until = 0;
    // Empty: from the beginning.
    std::string checkpoint;
};

struct renew_order
{
    // Unset: look only.
    std::optional<server_clock> lease_until;
    // Ends up to this number are forgotten by the server.
    std::uint64_t acknowledged_end = 0;
    // How long the answer may wait for an end.
    milliseconds wait{0};
};

enum class run_outcome
{
    done,
    failed,
    stopped,
    // The lease ran out.
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
    // Rises within one life.
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
    // Unix milliseconds of the start of the life that answered.
    std::int64_t incarnation = 0;
    std::vector<listed_run> active;
    std::vector<listed_end> ended;
};

// Each hook calls `done` exactly once, on the control thread, never before it
// returns, at the deadline at the latest.
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
