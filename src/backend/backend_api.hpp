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

// Proof of a server lease. The incarnation changes when the backend server
// restarts, the epoch with each grant; both go with every call, and the backend
// server refuses (`stale_epoch`) any other than the current pair.
struct lease_token
{
    std::string owner;
    std::string incarnation;
    std::uint64_t epoch = 0;
};

struct claim_reply
{
    // `lease_held`: another owner's lease has not ended.
    failure error;
    lease_token token;
    std::string rack;
    int accelerators = 0;
    int slots = 0;
    bool leaving = false;
    // Every task the backend server knows, ended ones until acknowledged.
    std::vector<task_status> tasks;
};

struct renew_request
{
    lease_token token;
    // Events up to this sequence have been handled; the server forgets them.
    std::uint64_t acknowledged = 0;
    // Answer when there is a new event or at the end of this wait.
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
    // `stale_epoch`, `server_full`, `unknown_task`, `wrong_state`: refused, the
    // call had no effect. `timeout`, `answer_lost`: it may have had effect.
    // `unreachable`: no connection was made, so it had none.
    failure error;
    task_state state = task_state::prepared;
};

using task_done = std::function<void(task_reply)>;

// `address` is "ip:port". Each hook calls `done` exactly once, on the control
// thread, never before it returns, at the deadline at the latest.
struct backend_api
{
    // Asks for the server lease; `lease` is how long it lasts.
    std::function<void(std::string address,
                       std::string owner,
                       milliseconds lease,
                       time_point deadline,
                       std::function<void(claim_reply)> done)>
        claim;
    // Renews the lease and fetches events.
    std::function<void(std::string address,
                       renew_request request,
                       time_point deadline,
                       std::function<void(renew_reply)> done)>
        renew;
    // Gives the lease back; tasks go on.
    std::function<void(std::string address,
                       lease_token token,
                       time_point deadline,
                       std::function<void(failure)> done)>
        release;
    // Reserves the place of a gang member until `commit_deadline`.
    std::function<void(std::string address,
                       lease_token token,
                       task item,
                       time_point commit_deadline,
                       time_point deadline,
                       task_done done)>
        prepare;
    // Starts a prepared task.
    std::function<void(std::string address,
                       lease_token token,
                       std::string task_id,
                       time_point deadline,
                       task_done done)>
        commit;
    // Reserves and starts in one call; for tasks without a gang.
    std::function<void(std::string address,
                       lease_token token,
                       task item,
                       time_point deadline,
                       task_done done)>
        start;
    // Stops a task, after a checkpoint if asked for; the end is an event.
    std::function<void(std::string address,
                       lease_token token,
                       std::string task_id,
                       bool checkpoint,
                       time_point deadline,
                       task_done done)>
        stop;
};

} // namespace poplarramp

#endif
