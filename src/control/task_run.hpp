// One attempt to run a job: a start on one backend server, or a gang that is
// prepared on all its backend servers and then committed.
#ifndef POPLARRAMP_CONTROL_TASK_RUN_HPP
#define POPLARRAMP_CONTROL_TASK_RUN_HPP

#include "backend/backend_api.hpp"
#include "base/time.hpp"
#include "control/server_leases.hpp"
#include "model/job.hpp"
#include "model/task.hpp"
#include "policy/scheduler.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

enum class part_state
{
    // No call was sent.
    idle,
    preparing,
    prepared,
    // A start or commit was sent; whether it took effect is not known yet.
    starting,
    running,
    // It did not run and cannot run later. This state and those below are
    // final.
    never_ran,
    finished,
    failed,
    stopped,
    // It may have run; its backend server was removed or does not list it.
    lost,
};

bool is_final(part_state state);

// Part of the attempt on one backend server.
struct run_part
{
    // Empty for a member of an adopted gang that no server has reported yet.
    std::string server;
    int accelerators = 0;
    std::string id;
    part_state state = part_state::idle;
    // Lease under which the last call was sent.
    lease_token token;
    bool in_flight = false;
    // A start or commit was sent, so the task can have run.
    bool start_sent = false;
    // An earlier start or commit got no reply; a refusal of a later one
    // does not prove that the earlier one had no effect.
    bool uncertain = false;
    int sends = 0;
    time_point next_send{};
    time_point next_stop{};
    // Event that ended the part; set in final states that have a result.
    task_event result;
};

enum class attempt_outcome
{
    // Not ended yet.
    none,
    done,
    failed,
    // Some part ran and was stopped.
    stopped,
    // No part ran, and none can run later.
    never_ran,
    // Some part may have run and its result is not known.
    lost,
};

struct task_run_hooks
{
    server_leases* leases = nullptr;
    const backend_api* backend = nullptr;
    std::function<time_point()> now;
    // Checked before each start, commit and repeated start.
    std::function<bool()> may_start;
    // Called after each reply; `all_started` and `outcome` may have changed.
    std::function<void()> on_change;
};

// Not thread safe; used on the control thread only. The leases and the backend
// hooks have to outlive it; replies after destruction are ignored.
class task_run
{
public:
    task_run(job item, int attempt, task_run_hooks hooks);

    // Starts a new attempt. Precondition: its attempt record, if the job needs
    // one, is durable.
    void begin(std::span<const placement_part> shares);
    // Continues an attempt that is recorded in the job row and may have been
    // started.
    void recover(std::span<const attempt_record> records);
    // Continues an attempt of which a backend server reported a member.
    void adopt(const task& item);

    // Ends the attempt: stops its tasks and starts no more. With `checkpoint`,
    // a task may write a checkpoint first, until `checkpoint_deadline`.
    void stop(bool checkpoint, time_point checkpoint_deadline);
    bool stopping() const;

    // Reports from the server leases.
    void on_claimed(const std::string& server, const claim_reply& reply);
    // Returns false if the task is not part of this attempt.
    bool on_event(const task_event& event, const event_ref& ref);
    // The server was removed or will not report on this attempt any more.
    void on_server_removed(std::string_view server);
    // Every server was claimed or removed, so unreported members do not exist.
    void on_all_reported();

    void tick();

    int attempt() const;
    bool all_started() const;
    // A part that ran was unknown to its server, which had not restarted:
    // another scheduler has acknowledged its end.
    bool ended_elsewhere() const;
    attempt_outcome outcome() const;
    // Server on which a part failed or was refused, and why; empty if none.
    const std::string& fault_server() const;
    const std::string& fault_reason() const;
    // Result of member 0, which is that of the whole gang.
    const task_event& result() const;
    const std::vector<run_part>& parts() const;
    // Returns the events to acknowledge when the outcome of the job is durable.
    std::vector<event_ref> take_pending_acks();

private:
    task task_of(const run_part& part) const;
    run_part& add_part(std::string server, int accelerators);
    run_part* find_part(std::string_view id);
    bool is_gang() const;
    void advance();
    void advance_gang();
    void advance_part(run_part& part);
    void advance_stop(run_part& part);
    void resolve_start(run_part& part);
    void fence_repeated_starts(const run_part& part);
    bool may_start_at(const run_part& part) const;
    void send_prepare(run_part& part);
    void send_start(run_part& part);
    void send_stop(run_part& part);
    void on_prepare_reply(run_part& part, const task_reply& reply);
    void on_start_reply(run_part& part, const task_reply& reply);
    void on_stop_reply(run_part& part, const task_reply& reply);
    void refuse(run_part& part, const task_reply& reply);
    void resolve_absent(run_part& part, const lease_token& token);
    void apply(run_part& part, const task_event& event);
    task_callback reply_to(const run_part& part,
                           void (task_run::*handle)(run_part&,
                                                    const task_reply&));
    bool every(part_state state) const;
    bool any(part_state state) const;

    job item_;
    int attempt_ = 1;
    int members_ = 1;
    task_run_hooks hooks_;
    std::vector<run_part> parts_;
    bool committed_ = false;
    bool stopping_ = false;
    bool ended_elsewhere_ = false;
    bool checkpoint_ = false;
    time_point checkpoint_deadline_{};
    time_point commit_deadline_{};
    std::string fault_server_;
    std::string fault_reason_;
    std::vector<event_ref> pending_acks_;
    std::shared_ptr<char> lifetime_ = std::make_shared<char>();
};

} // namespace poplarramp

#endif
