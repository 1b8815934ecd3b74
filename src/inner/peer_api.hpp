// Messages of the protocol between entry VMs.
#ifndef POPLARRAMP_INNER_PEER_API_HPP
#define POPLARRAMP_INNER_PEER_API_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "model/config.hpp"
#include "model/job.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarramp
{

// An availability zone that an operator took out of service before that change
// is durable.
struct provisional_closing
{
    std::string zone;
    std::string changed_by;
    // Configuration version that the operator's change was based on. A higher
    // version in which the availability zone is in service ends the closing.
    std::uint64_t base_version = 0;
    // The operator got the reply `pending`, so every later change must include
    // the closing. Until then a concurrent change may still override it.
    bool pending = false;
};

struct heartbeat
{
    std::string vm;
    std::string incarnation;
    std::string zone;
    std::string address;
    std::uint64_t sequence = 0;
    bool leaving = false;
    std::uint64_t config_version = 0;
    std::vector<provisional_closing> closings;
    // Scheduler of the sender's availability zone as known to the sender, and
    // its inner address; empty if there is none. Entry VMs of other
    // availability zones receive heartbeats from too few VMs of this one to
    // compute it themselves.
    std::string scheduler;
    std::string scheduler_address;
};

struct heartbeat_reply
{
    failure error;
    heartbeat from;
};

struct config_reply
{
    failure error;
    configuration config;
};

// State of a job as known to the queried scheduler.
struct job_status_reply
{
    // `not_found`: the scheduler does not know the job.
    failure error;
    job_outcome outcome;
    std::string explanation;
};

struct server_row
{
    std::string id;
    std::string rack;
    std::string zone;
    std::string state;
    int accelerators = 0;
    int used_accelerators = 0;
    int used_slots = 0;
    std::uint64_t epoch = 0;
};

struct customer_row
{
    std::string customer;
    std::string zone;
    int guaranteed = 0;
    int in_guarantee = 0;
    int borrowed = 0;
    int queued = 0;
    int reclaimable = 0;
};

struct job_row
{
    std::string customer;
    std::string key;
    std::string kind;
    std::string zone;
    std::string state;
    int accelerators = 0;
    std::string servers;
    std::string explanation;
};

// Snapshot of one availability zone, reported by its scheduler.
struct zone_status
{
    failure error;
    std::string zone;
    std::string scheduler;
    bool open = false;
    int free_accelerators = 0;
    int largest_open_shape = 0;
    std::vector<server_row> servers;
    std::vector<customer_row> customers;
    std::vector<job_row> jobs;
};

template <class Reply>
using reply_callback = std::function<void(Reply)>;

// Calls to another entry VM at `address` ("ip:port"). Each hook calls `done`
// exactly once, on the control thread, after the hook has returned and no later
// than the deadline.
struct peer_api
{
    std::function<void(std::string address,
                       heartbeat message,
                       time_point deadline,
                       reply_callback<heartbeat_reply> done)>
        send_heartbeat;
    std::function<void(std::string address,
                       time_point deadline,
                       reply_callback<config_reply> done)>
        get_config;
    std::function<void(std::string address,
                       configuration config,
                       time_point deadline,
                       reply_callback<failure> done)>
        put_config;
    std::function<void(std::string address,
                       provisional_closing closing,
                       time_point deadline,
                       reply_callback<failure> done)>
        close_zone;
    // Sent to the scheduler of an availability zone. `conflict`: the receiver
    // is not the scheduler.
    std::function<void(std::string address,
                       job item,
                       time_point deadline,
                       reply_callback<failure> done)>
        enqueue;
    std::function<void(std::string address,
                       std::string job_id,
                       time_point deadline,
                       reply_callback<failure> done)>
        cancel;
    std::function<void(std::string address,
                       std::string job_id,
                       time_point deadline,
                       reply_callback<job_status_reply> done)>
        job_status;
    // Sent by the scheduler to the entry VM that accepted the job.
    std::function<void(std::string address,
                       std::string job_id,
                       job_outcome outcome,
                       time_point deadline,
                       reply_callback<failure> done)>
        job_done;
    std::function<void(std::string address,
                       time_point deadline,
                       reply_callback<zone_status> done)>
        status;
};

// Handlers of the same messages. The server calls them on the control thread
// and sends the returned value as the reply; they must not block.
struct peer_handlers
{
    std::function<heartbeat_reply(const heartbeat&)> on_heartbeat;
    std::function<config_reply()> on_get_config;
    std::function<failure(const configuration&)> on_put_config;
    std::function<failure(const provisional_closing&)> on_close_zone;
    std::function<failure(const job&)> on_enqueue;
    std::function<failure(const std::string& job_id)> on_cancel;
    std::function<job_status_reply(const std::string& job_id)> on_job_status;
    std::function<failure(const std::string& job_id, const job_outcome&)>
        on_job_done;
    std::function<zone_status()> on_status;
};

} // namespace poplarramp

#endif
