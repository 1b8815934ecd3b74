// The decisions for one availability zone: who gets which accelerators, when,
// and at whose cost. Takes the time as input, opens no socket, holds no thread.
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

// Share of a job on one backend server.
struct placement_part
{
    std::string server;
    int accelerators = 0;
};

enum class decision_kind
{
    // Start the job on `parts`.
    place,
    // Stop the job `job_id`, by checkpoint if `checkpoint`; stop it without one
    // when `deadline` has passed.
    preempt,
    // The job did not run: answer `code` and `reason`.
    refuse,
};

struct decision
{
    decision_kind kind = decision_kind::place;
    std::string job_id;
    std::vector<placement_part> parts;
    // place: the job runs outside its customer's guarantee and may be
    // preempted.
    bool borrowed = false;
    bool checkpoint = false;
    time_point deadline = no_deadline;
    // preempt: for whom, and whose guarantee was reclaimed (empty: none).
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

// Not thread safe; used on the control thread only. Names of jobs are those of
// `job_id`. Unknown names in events are ignored, because events can arrive
// after the job has gone.
class scheduler
{
public:
    explicit scheduler(std::string zone);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    // Customers, guarantees and kinds in force. Running tasks stay.
    void set_sheet(const capacity_sheet& sheet);

    // A closed availability zone starts nothing; queued jobs stay.
    void set_open(bool open);

    // Adds a server or, if it is known, makes it placeable again.
    void add_server(const server_info& server);
    // No new work goes there; its tasks stay known.
    void set_placeable(std::string_view server, bool placeable);
    // The server is gone. Returns the jobs that had a part on it; they are
    // still placed until `on_ended`.
    std::vector<std::string> remove_server(std::string_view server);

    // Queues a job. Returns why it is refused at once: `never_fits`,
    // `queue_full`, `shed`. A job with attempts is not refused. A repeated
    // submit of a known job does nothing.
    std::optional<failure> submit(const job& item, time_point now);

    // Takes over a job that runs already, as the backend servers report it.
    // A repeated call adds the parts that were not known; servers that were
    // never added are left out.
    void adopt(const job& item,
               std::span<const placement_part> parts,
               time_point now);

    // Drops a queued job and returns true; false if it is not queued.
    bool cancel(std::string_view job_id);

    // Every part of the job has started.
    void on_started(std::string_view job_id, time_point now);
    // The job left its servers: finished, failed or stopped. Frees the place.
    void on_ended(std::string_view job_id, bool succeeded, time_point now);
    // The job goes back to the queue, for instance after preemption or after a
    // server refused it; `server` names the one at fault, if any. A failure to
    // start on a bad server does not count as an attempt of the job.
    void requeue(std::string_view job_id,
                 std::string_view server_at_fault,
                 time_point now);

    // What to do now. Places are taken at once; the caller reports their fate
    // with the events above. Call after each event and at `next_wake`.
    std::vector<decision> decide(time_point now);

    // When `decide` has something to do without a further event.
    time_point next_wake() const;

    // Figures for lists and metrics.
    std::vector<customer_usage> usage() const;
    int queued() const;
    int running() const;
    // Free accelerators of placeable servers, and the largest shape that can be
    // placed now without a victim.
    int free_accelerators() const;
    int largest_open_shape() const;
    // Why the job waits or where it runs; empty if it is not known.
    std::string explain(std::string_view job_id) const;
    // True if all guarantees can be reclaimed together now (the invariant).
    bool guarantees_reclaimable() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace poplarramp

#endif
