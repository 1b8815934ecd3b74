// Scheduling policy of one availability zone: placement, preemption and refusal
// of jobs. Takes the time as input; uses no sockets or threads.
#ifndef POPLARRAMP_POLICY_SCHEDULER_HPP
#define POPLARRAMP_POLICY_SCHEDULER_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "model/job.hpp"
#include "model/sheet.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

struct server_info
{
    std::string id;
    std::string rack;
    int accelerators = 0;
    int slots = 8;
};

// Accelerators of a job on one backend server.
struct placement_part
{
    std::string server;
    int accelerators = 0;
};

enum class decision_kind
{
    // Start the job on `parts`.
    place,
    // Stop the job `job_id`: with a checkpoint if `checkpoint`, and without one
    // once `deadline` has passed.
    preempt,
    // The job did not run: reply with `code` and `reason`.
    refuse,
};

struct decision
{
    decision_kind kind = decision_kind::place;
    std::string job_id;
    std::vector<placement_part> parts;
    // For `place`: the job runs outside its customer's guarantee and may be
    // preempted.
    bool borrowed = false;
    bool checkpoint = false;
    time_point deadline = no_deadline;
    // For `preempt`: the job that gets the capacity, and the customer whose
    // guarantee is reclaimed (empty: none).
    std::string for_job;
    std::string for_guarantee_of;
    result_code code = result_code::ok;
    std::string reason;
};

struct customer_usage
{
    std::string customer;
    int guaranteed = 0;
    int in_guarantee = 0;
    int borrowed = 0;
    int queued = 0;
    // Accelerators of the guarantee that could be reclaimed now.
    int reclaimable = 0;
};

// Not thread safe; used on the control thread only. Jobs are identified by
// their `job_id`. Events for unknown jobs are ignored, because an event can
// arrive after the job was removed.
class scheduler
{
public:
    explicit scheduler(std::string zone);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    // Replaces the customers, guarantees and kinds. Running tasks continue.
    void set_sheet(const capacity_sheet& sheet);

    // A closed availability zone starts no jobs; queued jobs stay queued.
    void set_zone_open(bool zone_open);

    // Adds a server; a known one is updated and accepts new tasks again.
    void add_server(const server_info& server);
    // Sets whether new tasks may be placed on the server. Its tasks continue.
    void set_schedulable(std::string_view server, bool schedulable);
    // Removes a lost server. Returns the jobs that have a part on it; they
    // remain placed until `on_ended` or `requeue`.
    std::vector<std::string> remove_server(std::string_view server);

    // Queues a job, or returns why it is refused: `never_fits`, `queue_full` or
    // `shed`. A job with attempts is not refused. Idempotent: does nothing for
    // a known job.
    std::optional<failure> submit(const job& item, time_point now);

    // Adopts a job that the backend servers report as running. A repeated call
    // adds parts that were not known. Servers that were never added are left
    // out.
    void adopt(const job& item,
               std::span<const placement_part> parts,
               time_point now);

    // Removes a job that is not placed and returns true. False if the job is
    // unknown, or if it is placed: a failure then does not count against its
    // server.
    bool cancel(std::string_view job_id);

    // Every part of the job has started.
    void on_started(std::string_view job_id, time_point now);
    // The job finished, failed or was stopped. Frees its place.
    void on_ended(std::string_view job_id, bool succeeded, time_point now);
    // Returns a placed job to the queue, for instance after a preemption or
    // after a server refused it. `server_at_fault` is empty if no server is at
    // fault. A failure to start on a bad server does not count as an attempt of
    // the job.
    void requeue(std::string_view job_id,
                 std::string_view server_at_fault,
                 time_point now);

    // Decides what to do now. The decisions take effect in this object at once;
    // the caller carries them out and reports the results by the events above.
    // To be called after each event and at `next_wake`.
    std::vector<decision> decide(time_point now);

    // Time at which `decide` has work even without a further event;
    // `no_deadline` if there is none.
    time_point next_wake() const;

    // Values for listings and metrics.
    std::vector<customer_usage> usage() const;
    int queued() const;
    int running() const;
    // Free accelerators of placeable servers, and the largest shape that fits
    // now without preemption.
    int free_accelerators() const;
    int largest_open_shape() const;
    // Where the job runs or why it waits; empty for an unknown job.
    std::string explain(std::string_view job_id) const;
    // The invariant of the policy: true if all guarantees can be reclaimed
    // together now.
    bool guarantees_reclaimable() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace poplarramp

#endif
