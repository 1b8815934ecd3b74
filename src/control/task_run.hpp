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
    // Nothing was sent.
    idle,
    preparing,
    prepared,
    // A start or commit was sent; whether it took effect is not known yet.
    starting,
    running,
    // It did not run and cannot run later. This and what follows is final.
    never,
    finished,
    failed,
    stopped,
    // It may have run; its backend server is gone or forgot it.
    lost,
};

bool is_final(part_state state);

// Part of the attempt on one backend server.
struct run_part
{
    // Empty for a member that an adopted gang has and no server reported yet.
    std::string server;
    int accelerators = 0;
    std::string id;
    part_state state = part_state::idle;
    // Lease under which the last call was sent.
    lease_token token;
    bool in_flight = false;
    // A start or commit was sent, so the task can have run.
    bool start_sent = false;
    // An earlier start or commit has no answer; a refusal of a later one does
    // not prove that the earlier one has no effect.
    bool uncertain = false;
    int sends = 0;
    time_point next_send{};
    time_point next_stop{};
    // How it ended; valid in a final state that has a result.
    task_event result;
};

enum class run_end
{
    // Not ended yet.
    none,
    done,
    failed,
    // Some part ran and was stopped.
    stopped,
    // No part ran, and none can run later.
    never,
    // Some part may have run without a known result.
    lost,
};

struct run_hooks
{
    server_leases* leases = nullptr;
    const backend_api* backend = nullptr;
    std::function<time_point()> now;
    // Checked before each start, commit and repeated start.
    std::function<bool()> may_start;
    // Something changed; read `all_started` and `end`.
    std::function<void()> changed;
};

// Not thread safe; used on the control thread only. The leases and the backend
// hooks have to outlive it; replies after destruction are dropped.
class task_run
{
public:
    task_run(job item, int attempt, run_hooks hooks);

    // A new attempt. Its record, if the job needs one, is durable.
    void begin(std::span<const placement_part> shares);
    // An attempt that the rows tell of and that may have been started.
    void expect(std::span<const attempt_record> records);
    // An attempt of which a backend server reported a member.
    void adopt(const task& item);

    // Ends the attempt: stops what runs, after a checkpoint if asked for and
    // until `checkpoint_deadline`, and starts nothing more.
    void stop(bool checkpoint, time_point checkpoint_deadline);
    bool stopping() const;

    // What the leases report.
    void on_claimed(const std::string& server, const claim_reply& reply);
    // False if the task is none of this attempt.
    bool on_event(const task_event& event, const event_mark& mark);
    // The server is gone or will never answer for this attempt.
    void on_gone(std::string_view server);
    // Every server was claimed or is gone: unreported members do not exist.
    void on_all_reported();

    void tick();

    int attempt() const;
    bool all_started() const;
    // A part that ran was unknown to its server, which had not restarted:
    // another scheduler has handled its end.
    bool forgotten() const;
    run_end end() const;
    // Why a part failed or was refused, and its server; empty if none.
    const std::string& fault_server() const;
    const std::string& fault_reason() const;
    // Result of member 0, which speaks for the gang.
    const task_event& answer() const;
    const std::vector<run_part>& parts() const;
    // Events that are acknowledged when the outcome of the job is durable.
    std::vector<event_mark> take_marks();

private:
    task task_of(const run_part& part) const;
    run_part& add_part(std::string server, int accelerators);
    run_part* find_part(std::string_view id);
    bool is_gang() const;
    void advance();
    void advance_gang();
    void advance_part(run_part& part);
    void advance_stop(run_part& part);
    void settle_start(run_part& part);
    void fence_repeats(const run_part& part);
    bool may_start_at(const run_part& part) const;
    void send_prepare(run_part& part);
    void send_start(run_part& part);
    void send_stop(run_part& part);
    void on_prepare_reply(run_part& part, const task_reply& reply);
    void on_start_reply(run_part& part, const task_reply& reply);
    void on_stop_reply(run_part& part, const task_reply& reply);
    void refuse(run_part& part, const task_reply& reply);
    void settle_absent(run_part& part, const lease_token& token);
    void apply(run_part& part, const task_event& event);
    task_callback reply_to(const run_part& part,
                           void (task_run::*handle)(run_part&,
                                                    const task_reply&));
    bool every(part_state state) const;
    bool any(part_state state) const;

    job item_;
    int attempt_ = 1;
    int members_ = 1;
    run_hooks hooks_;
    std::vector<run_part> parts_;
    bool committed_ = false;
    bool stopping_ = false;
    bool forgotten_ = false;
    bool checkpoint_ = false;
    time_point checkpoint_deadline_{};
    time_point commit_deadline_{};
    std::string fault_server_;
    std::string fault_reason_;
    std::vector<event_mark> marks_;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace poplarramp

#endif
