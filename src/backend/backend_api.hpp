// Calls to a backend server.
#ifndef POPLARRAMP_BACKEND_BACKEND_API_HPP
#define POPLARRAMP_BACKEND_BACKEND_API_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "model/task.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace poplarramp
{

// Fencing token of a server lease. The incarnation changes when the backend
// server restarts, the epoch with each grant. Every call carries both, and the
// backend server rejects any but the current pair with `stale_epoch`.
struct lease_token
{
    std::string owner;
    std::string incarnation;
    std::uint64_t epoch = 0;
};

struct claim_reply
{
    // `lease_held`: the lease of another owner has not expired.
    failure error;
    lease_token token;
    std::string rack;
    int accelerators = 0;
    int slots = 0;
    bool leaving = false;
    // All tasks known to the backend server; a task that has ended is included
    // until its end is acknowledged.
    std::vector<task_status> tasks;
};

struct renew_request
{
    lease_token token;
    // Events up to this sequence number have been processed; the backend server
    // discards them.
    std::uint64_t acknowledged = 0;
    // Long poll: the reply is sent on a new event or after this time.
    milliseconds wait{0};
};

struct renew_reply
{
    failure error;
    bool leaving = false;
    std::vector<task_event> events;
};

struct task_reply
{
    // `stale_epoch`, `server_full`, `unknown_task`, `wrong_state`: rejected
    // without effect. `timeout`, `answer_lost`: the call may have taken effect.
    // `unreachable`: no connection was made, so it had no effect.
    failure error;
    task_state state = task_state::prepared;
};

using task_callback = std::function<void(task_reply)>;

// `address` is "ip:port". Each function calls its completion callback `done`
// exactly once, on the control thread, after the function has returned and no
// later than `call_deadline`.
struct backend_api
{
    // Acquires the server lease for the duration `lease`.
    std::function<void(std::string address,
                       std::string owner,
                       milliseconds lease,
                       time_point call_deadline,
                       std::function<void(claim_reply)> done)>
        claim;
    // Renews the lease and fetches events.
    std::function<void(std::string address,
                       renew_request request,
                       time_point call_deadline,
                       std::function<void(renew_reply)> done)>
        renew;
    // Releases the lease; tasks keep running.
    std::function<void(std::string address,
                       lease_token token,
                       time_point call_deadline,
                       std::function<void(failure)> done)>
        release;
    // Reserves capacity for one member of a gang until `commit_deadline`.
    std::function<void(std::string address,
                       lease_token token,
                       task item,
                       time_point commit_deadline,
                       time_point call_deadline,
                       task_callback done)>
        prepare;
    // Starts a prepared task.
    std::function<void(std::string address,
                       lease_token token,
                       std::string task_id,
                       time_point call_deadline,
                       task_callback done)>
        commit;
    // Reserves capacity and starts in one call; for tasks without a gang.
    std::function<void(std::string address,
                       lease_token token,
                       task item,
                       time_point call_deadline,
                       task_callback done)>
        start;
    // Stops a task, after a checkpoint if requested. The end of the task is
    // reported as an event.
    std::function<void(std::string address,
                       lease_token token,
                       std::string task_id,
                       bool checkpoint,
                       time_point call_deadline,
                       task_callback done)>
        stop;
};

} // namespace poplarramp

#endif
