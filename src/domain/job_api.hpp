// Calls of customers: accepts jobs, tells their state, cancels them.
#ifndef POPLARRAMP_DOMAIN_JOB_API_HPP
#define POPLARRAMP_DOMAIN_JOB_API_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "domain/deployment_view.hpp"
#include "domain/job_directory.hpp"
#include "model/step_job.hpp"
#include "services/table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace poplarramp
{

struct job_api_settings
{
    // A call is refused if the last proof that its key is valid is older.
    milliseconds max_key_proof_age{4800};
    // Calls go to other VMs while the orders or the jobs are older: the copies
    // are renewed about every second. Counts of waiting jobs may be 2 s old.
    milliseconds max_ready_age{2000};
};

struct job_api_hooks
{
    table store;
    std::function<time_point()> now;
    std::function<boot_time()> boot_now;
    std::function<std::int64_t()> unix_now;
    // When the copy of the operator's orders was last complete.
    std::function<std::optional<boot_time>()> deployment_confirmed;
    // When the copy of the jobs was last complete.
    std::function<std::optional<boot_time>()> jobs_confirmed;
    // A row that this VM has written or read.
    std::function<void(const table_row_change& change)> on_row;
};

// A call that is allowed.
struct admitted_call
{
    queue_rule queue;
    // Empty for calls without a key on a queue that needs none.
    std::string customer;
    // Path behind the queue's prefix.
    std::string rest;
};

struct job_api_reply
{
    // `ok`; `not_found`: there is no such job; `shed`, `store_unavailable`:
    // not run and never will be; `answer_lost`: it may have been done, so the
    // caller repeats the call.
    failure error;
    step_job_state state = step_job_state::queued;
};

using job_responder = std::function<void(job_api_reply)>;

// Used on the control thread only. Each responder is called exactly once, at
// the deadline at the latest. The references must outlive the calls in flight.
class job_api
{
public:
    job_api(job_api_settings settings,
            job_api_hooks hooks,
            const deployment_view& deployment,
            const job_directory& jobs);

    // Queue and customer of a call. Nothing and the reason in `why`:
    // `store_unavailable` if this VM cannot tell, `unknown_kind` if there is no
    // such queue, `unauthorized` if the key is not valid.
    std::optional<admitted_call> admit(std::string_view host,
                                       std::string_view path,
                                       const std::string& key,
                                       failure& why) const;

    // Refused at once while the store does not answer.
    void submit(const admitted_call& call,
                const std::string& id,
                step_job_spec spec,
                time_point deadline,
                job_responder respond);
    void status(const admitted_call& call,
                const std::string& id,
                time_point deadline,
                job_responder respond);
    void cancel(const admitted_call& call,
                const std::string& id,
                time_point deadline,
                job_responder respond);

    // Jobs of which no task has started. Nothing and `store_unavailable` in
    // `why` if the copy of the jobs is not recent.
    std::optional<std::size_t> pending(const admitted_call& call,
                                       failure& why) const;

    // Repeats writes that are due. To be called every few milliseconds.
    void tick();

    // Calls can be served: orders and jobs are known and recent.
    bool ready() const;

private:
    struct write_call;

    bool deployment_newer_than(milliseconds age) const;
    bool jobs_recent() const;
    // The last write got no answer, and no later call did.
    bool store_silent() const;
    bool owns(const admitted_call& call, const known_job& known) const;
    void find(const std::string& id,
              time_point deadline,
              std::function<void(failure, const known_job*)> done);
    void write(const std::shared_ptr<write_call>& call);
    void on_written(const std::shared_ptr<write_call>& call,
                    const table_transact_reply& reply);
    void write_cancel(const std::string& id,
                      time_point deadline,
                      job_responder respond);

    const job_api_settings settings_;
    const job_api_hooks hooks_;
    const deployment_view& deployment_;
    const job_directory& jobs_;
    // When the newest write without an answer was sent.
    std::optional<boot_time> unanswered_;
    // Writes whose last attempt has no known outcome, by the time of the next.
    std::multimap<time_point, std::shared_ptr<write_call>> repeats_;
};

} // namespace poplarramp

#endif
