// Customer calls: submits jobs, returns their state, cancels them.
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
    // Calls are refused while the copy of the operator's rows is older, since a
    // removed queue or key would still be accepted.
    milliseconds max_deployment_age{4800};
    // The VM is not ready, so that calls go to other VMs, while its copy of the
    // operator's rows or of the jobs is older. The copies are confirmed about
    // every second; counts of waiting jobs may be 2 s old.
    milliseconds max_ready_age{2000};
    // Share of its limit by which a customer may exceed it, for a gang that is
    // wider than the limit.
    double limit_overage = 0;
};

struct job_api_hooks
{
    table store;
    std::function<time_point()> now;
    std::function<boot_time()> boot_now;
    std::function<std::int64_t()> unix_now;
    // When the copy of the operator's rows was last known to be complete.
    std::function<std::optional<boot_time>()> deployment_confirmed;
    // When the copy of the job rows was last known to be complete.
    std::function<std::optional<boot_time>()> jobs_confirmed;
    // Called for each row that this VM has written or read.
    std::function<void(const table_row_change& change)> on_row;
};

// An authorized call.
struct admitted_call
{
    queue_config queue;
    // Empty for calls without a valid key on an anonymous queue.
    std::string customer;
    // Path behind the queue's prefix.
    std::string rest;
};

struct job_api_reply
{
    // `ok`; `not_found`: the customer has no such job; `key_reused`: the id
    // belongs to another customer's job; `shed`, `store_unavailable`: had no
    // effect and will have none; `answer_lost`: may have taken effect, repeat
    // the call.
    failure error;
    step_job_state state = step_job_state::queued;
};

using job_responder = std::function<void(job_api_reply)>;

// Used on the control thread only. Each responder is called exactly once, no
// later than the deadline. The references must outlive the calls in flight.
class job_api
{
public:
    job_api(job_api_settings settings,
            job_api_hooks hooks,
            const deployment_view& deployment,
            const job_directory& jobs);

    // Authorizes a call and finds its queue. On failure returns nothing and
    // fills `why`: `store_unavailable` if the configuration is unknown or too
    // old, `unknown_kind` if there is no such queue, `shed` if the queue is not
    // served, `unauthorized` if the key is invalid.
    std::optional<admitted_call> admit(std::string_view host,
                                       std::string_view path,
                                       const std::string& key,
                                       failure& why) const;

    // Refused at once with `store_unavailable` while the store is unresponsive,
    // and with `shed` if its customer's limit can never hold a step of the job.
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

    // Number of jobs in the queue without a started task. Returns nothing and
    // `store_unavailable` in `why` if the copy of the jobs is not recent.
    std::optional<std::size_t> pending(const admitted_call& call,
                                       failure& why) const;

    // Retries writes that are due. To be called every few milliseconds.
    void tick();

    // True if the operator's rows and the jobs are known and recent.
    bool ready() const;

private:
    struct write_call;

    bool deployment_newer_than(milliseconds age) const;
    bool jobs_recent() const;
    // True if the last write got no reply, nor did any call sent later.
    bool store_unresponsive() const;
    bool owns(const admitted_call& call, const job_record& record) const;
    void find(const std::string& id,
              time_point deadline,
              std::function<void(failure, const job_record*)> done);
    void refuse_wide(const admitted_call& call,
                     const std::string& id,
                     std::size_t step,
                     time_point deadline,
                     job_responder respond);
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
    // When the newest write without a reply was sent.
    std::optional<boot_time> unconfirmed_sent_at_;
    // Writes with an unknown outcome, by the time of their next attempt.
    std::multimap<time_point, std::shared_ptr<write_call>> retries_;
};

} // namespace poplarramp

#endif
