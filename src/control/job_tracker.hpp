// Callers waiting for jobs. Sends each job to the scheduler of its availability
// zone and returns the result to the callers.
#ifndef POPLARRAMP_CONTROL_JOB_TRACKER_HPP
#define POPLARRAMP_CONTROL_JOB_TRACKER_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "control/controller.hpp"
#include "control/job_store.hpp"
#include "control/membership.hpp"
#include "inner/peer_api.hpp"
#include "model/job.hpp"
#include "services/object_store.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarramp
{

// Calls to the scheduler at `location` may call `done` before they return.
struct job_tracker_hooks
{
    std::function<time_point()> now;
    object_store objects;
    std::function<std::optional<scheduler_location>(const std::string& zone)>
        scheduler_of;
    std::function<void(const scheduler_location& location,
                       const job& item,
                       std::function<void(failure)> done)>
        enqueue;
    std::function<void(const scheduler_location& location,
                       const std::string& job_id,
                       std::function<void(failure)> done)>
        cancel;
    std::function<void(const scheduler_location& location,
                       const std::string& job_id,
                       std::function<void(job_status_reply)> done)>
        job_status;
    std::function<void(const std::string& job_id,
                       std::function<void(job_read_reply)> done)>
        read_row;
    std::function<void(const std::string& job_id,
                       const job_outcome& outcome,
                       std::function<void(job_read_reply)> done)>
        end_unstarted;
};

struct waiting_caller
{
    time_point wait_until;
    std::function<void(job_reply)> done;
};

// Error returned to a caller for an outcome. A code that means "not run" is
// used only for the state `not_run`. Thread safe.
failure failure_of(const job_outcome& outcome);

// Not thread safe; used on the control thread only. Each caller gets exactly
// one reply.
class job_tracker : public std::enable_shared_from_this<job_tracker>
{
public:
    job_tracker(job_tracker_hooks hooks, int max_waiting);

    // True if there are `max_waiting` callers or tracked jobs, counting `more`
    // requests in progress.
    bool full(std::size_t more = 0) const;
    // The tracked job with the id, or nullptr.
    const job* find(const std::string& job_id) const;

    // Sends an accepted job to its scheduler and replies to the caller when the
    // job has ended or at `wait_until`. If the job is already tracked, adds the
    // caller to it. `cancel`: sends a cancellation to the scheduler, every
    // second until the scheduler accepts it.
    void track(const accept_reply& accepted,
               waiting_caller caller,
               bool cancel = false);
    // Adds a caller to a job. Precondition: `find(job_id)` is not nullptr.
    void join(const std::string& job_id, waiting_caller caller);

    // Reports that a job has ended. Ignored if the job is not tracked, has
    // already ended or if the outcome is not final.
    void on_ended(const std::string& job_id, const job_outcome& outcome);

    void tick();

    // Number of jobs that have waiting callers or are not yet accepted by their
    // scheduler.
    std::size_t size() const;

    // Replies `pending` with the last known state to every caller; called when
    // the VM stops.
    void reply_to_all();

private:
    struct tracked_job;
    using map_type = std::map<std::string, std::shared_ptr<tracked_job>>;
    using entry_ptr = std::shared_ptr<tracked_job>;

    void advance(const entry_ptr& entry);
    void enqueue(const entry_ptr& entry, const scheduler_location& location);
    void on_enqueued(const entry_ptr& entry,
                     const scheduler_location& location,
                     const failure& error);
    void resend(const entry_ptr& entry, const scheduler_location& location);
    void on_row(const entry_ptr& entry,
                const scheduler_location& location,
                const job_read_reply& row);
    void poll(const entry_ptr& entry, const scheduler_location& location);
    void on_status(const entry_ptr& entry, const job_status_reply& reply);
    void send_cancel(const entry_ptr& entry,
                     const scheduler_location& location);
    void on_cancel_sent(const entry_ptr& entry,
                        const scheduler_location& location,
                        const failure& error);
    void confirm_refusal(const entry_ptr& entry,
                         const scheduler_location& location);
    void write_refusal(const entry_ptr& entry);
    void fetch_result(const entry_ptr& entry);
    void reply_to_callers(const entry_ptr& entry);
    void expire_callers(const entry_ptr& entry);
    void schedule_next_step(const entry_ptr& entry, milliseconds interval);

    // Wraps the completion of a call made for `entry`: ignores the reply if the
    // job is no longer tracked, and otherwise permits the next step.
    template <class Reply, class Handle>
    std::function<void(Reply)> completion(const entry_ptr& entry,
                                          Handle handle);

    job_tracker_hooks hooks_;
    std::size_t max_waiting_;
    std::size_t callers_ = 0;
    map_type jobs_;
};

} // namespace poplarramp

#endif
