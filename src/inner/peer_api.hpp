// Messages between entry VMs.
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

// An availability zone that was taken out but whose change is not durable yet.
struct provisional_closing
{
    std::string zone;
    std::string changed_by;
    // Configuration version on which the operator acted. A configuration with a
    // higher version that has the availability zone open ends the closing.
    std::uint64_t base_version = 0;
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
    // Scheduler of the sender's own availability zone as the sender sees it,
    // and its inner address; empty if there is none. An entry VM of another
    // availability zone hears only a few senders, too few to compute it.
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

// State of a job at the scheduler that was asked.
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

// What the scheduler of one availability zone knows, for lists.
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
using peer_done = std::function<void(Reply)>;

// Calls to another entry VM at `address` ("ip:port"). Each hook calls `done`
// exactly once, on the control thread, never before it returns, at the deadline
// at the latest.
struct peer_api
{
    std::function<void(std::string address,
                       heartbeat message,
                       time_point deadline,
                       peer_done<heartbeat_reply> done)>
        send_heartbeat;
    std::function<void(
        std::string address, time_point deadline, peer_done<config_reply> done)>
        get_config;
    std::function<void(std::string address,
                       configuration config,
                       time_point deadline,
                       peer_done<failure> done)>
        put_config;
    std::function<void(std::string address,
                       provisional_closing closing,
                       time_point deadline,
                       peer_done<failure> done)>
        close_zone;
    // To the scheduler of an availability zone. `conflict`: the receiver does
    // not see itself as the scheduler.
    std::function<void(std::string address,
                       job item,
                       time_point deadline,
                       peer_done<failure> done)>
        enqueue;
    std::function<void(std::string address,
                       std::string job_id,
                       time_point deadline,
                       peer_done<failure> done)>
        cancel;
    std::function<void(std::string address,
                       std::string job_id,
                       time_point deadline,
                       peer_done<job_status_reply> done)>
        job_status;
    // From the scheduler to the entry VM whose caller waits.
    std::function<void(std::string address,
                       std::string job_id,
                       job_outcome outcome,
                       time_point deadline,
                       peer_done<failure> done)>
        job_done;
    std::function<void(
        std::string address, time_point deadline, peer_done<zone_status> done)>
        status;
};

// Answers to the same messages. The server calls each on the control thread and
// sends what it returns; none of them waits.
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
