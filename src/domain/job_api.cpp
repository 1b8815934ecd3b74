#include "domain/job_api.hpp"

#include "base/log.hpp"
#include "model/codec.hpp"
#include "model/step_job_codec.hpp"
#include "policy/customer_limits.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace poplarramp
{

namespace
{

// Part of the deadline reserved for sending the reply to the caller.
constexpr milliseconds reply_margin{150};

// Timeout of one write attempt. A slow store takes 0.4 s.
constexpr milliseconds write_timeout{900};

constexpr milliseconds retry_delay{100};

constexpr milliseconds read_timeout{1000};

// A job has three rows; the page size leaves space for more kinds.
constexpr int job_rows_page_size = 8;

} // namespace

// Insertion of one row, retried until it is known whether the row exists.
struct job_api::write_call
{
    table_put row;
    time_point deadline{};
    // When the newest attempt was sent.
    boot_time sent{};
    // The outcome of an attempt is unknown.
    bool outcome_unknown = false;
    // Called with `ok`, `conflict` if the row already exists,
    // `store_unavailable` if nothing was or will be written, otherwise with
    // `answer_lost`.
    std::function<void(failure error, std::vector<table_row> found)> done;
};

job_api::job_api(job_api_settings settings,
                 job_api_hooks hooks,
                 const deployment_view& deployment,
                 const job_directory& jobs)
    : settings_(settings), hooks_(std::move(hooks)), deployment_(deployment),
      jobs_(jobs)
{
}

bool job_api::deployment_newer_than(milliseconds age) const
{
    const auto confirmed = hooks_.deployment_confirmed();
    return deployment_.ready() && confirmed &&
           hooks_.boot_now() - *confirmed <= age;
}

bool job_api::jobs_recent() const
{
    const auto confirmed = hooks_.jobs_confirmed();
    return confirmed &&
           hooks_.boot_now() - *confirmed <= settings_.max_ready_age;
}

bool job_api::store_unresponsive() const
{
    const auto later = [this](std::optional<boot_time> confirmed)
    {
        return confirmed && *confirmed > *unconfirmed_sent_at_;
    };
    return unconfirmed_sent_at_ && !later(hooks_.deployment_confirmed()) &&
           !later(hooks_.jobs_confirmed());
}

bool job_api::ready() const
{
    return deployment_newer_than(settings_.max_ready_age) && jobs_recent();
}

std::optional<admitted_call> job_api::admit(std::string_view host,
                                            std::string_view path,
                                            const std::string& key,
                                            failure& why) const
{
    if (!deployment_.ready())
    {
        why = {result_code::store_unavailable, "no configuration is known yet"};
        return std::nullopt;
    }
    // In an older copy, a queue or a key that was removed would still be valid.
    if (!deployment_newer_than(settings_.max_deployment_age))
    {
        why = {result_code::store_unavailable,
               "the configuration was not confirmed recently"};
        return std::nullopt;
    }
    const auto match = deployment_.match(host, path);
    if (!match)
    {
        why = {result_code::unknown_kind, "there is no such queue"};
        return std::nullopt;
    }
    if (match->queue->needs_placement_advice)
    {
        why = {result_code::shed, "queues with advice are not served"};
        return std::nullopt;
    }
    const auto* customer = deployment_.customer_of(key);
    if (customer == nullptr && !match->queue->allow_anonymous)
    {
        why = {result_code::unauthorized, "the key is not valid"};
        return std::nullopt;
    }
    return admitted_call{*match->queue,
                         customer == nullptr ? "" : *customer,
                         std::string(match->rest)};
}

bool job_api::owns(const admitted_call& call, const job_record& record) const
{
    return record.job && record.job->customer == call.customer;
}

// A job that is missing in the local copy is looked up in the store: another VM
// may just have accepted it.
void job_api::find(const std::string& id,
                   time_point deadline,
                   std::function<void(failure, const job_record*)> done)
{
    const auto* record = jobs_.find(id);
    if (record != nullptr && record->job)
    {
        done({}, record);
        return;
    }
    const auto attempt_deadline =
        std::min(deadline - reply_margin, hooks_.now() + read_timeout);
    hooks_.store.scan(
        job_rows_prefix + id + "/",
        "",
        job_rows_page_size,
        attempt_deadline,
        [this, id, done = std::move(done)](const table_scan_reply& reply)
        {
            if (reply.error)
            {
                done({result_code::store_unavailable, reply.error.reason},
                     nullptr);
                return;
            }
            for (const auto& row : reply.rows)
            {
                hooks_.on_row({row, false});
            }
            const auto* found = jobs_.find(id);
            done({}, found != nullptr && found->job ? found : nullptr);
        });
}

void job_api::write(const std::shared_ptr<write_call>& call)
{
    table_transaction change;
    change.checks.push_back({call->row.key, 0});
    change.puts.push_back(call->row);
    const auto attempt_deadline =
        std::min(call->deadline - reply_margin, hooks_.now() + write_timeout);
    call->sent = hooks_.boot_now();
    hooks_.store.transact(std::move(change),
                          attempt_deadline,
                          [this, call](const table_transact_reply& reply)
                          { on_written(call, reply); });
}

void job_api::on_written(const std::shared_ptr<write_call>& call,
                         const table_transact_reply& reply)
{
    const auto code = reply.error.code;
    const bool unconfirmed =
        code == result_code::timeout || code == result_code::answer_lost;
    if (!unconfirmed)
    {
        unconfirmed_sent_at_.reset();
    }
    else if (!unconfirmed_sent_at_ || *unconfirmed_sent_at_ < call->sent)
    {
        unconfirmed_sent_at_ = call->sent;
    }
    if (code == result_code::ok)
    {
        hooks_.on_row({{call->row.key, call->row.value, reply.version}, false});
        call->done({}, {});
        return;
    }
    if (code == result_code::conflict)
    {
        for (const auto& row : reply.found)
        {
            hooks_.on_row({row, false});
        }
        call->done({result_code::conflict, "the row exists"}, reply.found);
        return;
    }
    if (is_permanent_refusal(reply.error))
    {
        call->done({result_code::bad_request,
                    "the store refuses the job: " + reply.error.reason},
                   {});
        return;
    }
    const bool refused = code == result_code::store_unavailable ||
                         code == result_code::unreachable;
    call->outcome_unknown = call->outcome_unknown || !refused;
    if (!call->outcome_unknown)
    {
        call->done({result_code::store_unavailable, reply.error.reason}, {});
        return;
    }
    if (hooks_.now() + reply_margin + reply_margin < call->deadline)
    {
        // Repeating the insertion resolves the outcome, whichever attempt takes
        // effect.
        retries_.emplace(hooks_.now() + retry_delay, call);
        return;
    }
    call->done({result_code::answer_lost, reply.error.reason}, {});
}

void job_api::tick()
{
    while (!retries_.empty() && retries_.begin()->first <= hooks_.now())
    {
        const auto call = std::move(retries_.begin()->second);
        retries_.erase(retries_.begin());
        write(call);
    }
}

void job_api::submit(const admitted_call& call,
                     const std::string& id,
                     step_job_spec spec,
                     time_point deadline,
                     job_responder respond)
{
    const auto* record = jobs_.find(id);
    if (record != nullptr && record->job)
    {
        respond({owns(call, *record)
                     ? failure{}
                     : failure{result_code::key_reused,
                               "another customer's job has this id"},
                 record->reported_state()});
        return;
    }
    if (store_unresponsive())
    {
        // Fails fast, so that the caller tries another VM, which may reach the
        // store.
        respond({{result_code::store_unavailable,
                  "the store does not answer; the job was not handed in"},
                 step_job_state::queued});
        return;
    }
    const auto* customer = deployment_.customer(call.customer);
    const auto wide_step = customer == nullptr
                               ? std::nullopt
                               : step_beyond_limit(customer->limit,
                                                   settings_.limit_overage,
                                                   spec.steps);
    if (wide_step)
    {
        refuse_wide(call, id, *wide_step, deadline, std::move(respond));
        return;
    }
    step_job job;
    job.id = id;
    job.customer = call.customer;
    job.queue = call.queue.name;
    job.service = call.queue.service;
    job.policy = call.queue.policy;
    job.accepted_unix_ms = hooks_.unix_now();
    job.spec = std::move(spec);
    auto pending = std::make_shared<write_call>();
    pending->row = {job_row_key(id, job_row_kind::accepted),
                    json_text(to_json(job))};
    if (pending->row.value.size() > max_row_bytes)
    {
        respond({{result_code::bad_request,
                  "the job takes " + std::to_string(pending->row.value.size()) +
                      " bytes in its row; the limit is " +
                      std::to_string(max_row_bytes)},
                 step_job_state::queued});
        return;
    }
    pending->deadline = deadline;
    pending->done = [this, call, id, respond = std::move(respond)](
                        failure error, const std::vector<table_row>&)
    {
        const auto* stored = jobs_.find(id);
        const bool exists = stored != nullptr && stored->job;
        if (error.code == result_code::conflict)
        {
            error = exists && owns(call, *stored)
                        ? failure{}
                        : failure{result_code::key_reused,
                                  "another customer's job has this id"};
        }
        respond({error, step_job_state::queued});
    };
    write(pending);
}

// The same job may have been accepted by another VM under a higher limit; only
// a job that the store does not have is refused as not run.
void job_api::refuse_wide(const admitted_call& call,
                          const std::string& id,
                          std::size_t step,
                          time_point deadline,
                          job_responder respond)
{
    find(id,
         deadline,
         [this, call, step, respond = std::move(respond)](
             const failure& error, const job_record* record)
         {
             if (error)
             {
                 respond({{result_code::answer_lost, error.reason},
                          step_job_state::queued});
             }
             else if (record != nullptr)
             {
                 respond({owns(call, *record)
                              ? failure{}
                              : failure{result_code::key_reused,
                                        "another customer's job has this id"},
                          record->reported_state()});
             }
             else
             {
                 respond({{result_code::shed,
                           "step " + std::to_string(step) +
                               " can never run within the limit of its "
                               "customer"},
                          step_job_state::queued});
             }
         });
}

void job_api::status(const admitted_call& call,
                     const std::string& id,
                     time_point deadline,
                     job_responder respond)
{
    find(id,
         deadline,
         [this, call, respond = std::move(respond)](const failure& error,
                                                    const job_record* record)
         {
             if (error)
             {
                 respond({error, step_job_state::queued});
             }
             else if (record == nullptr || !owns(call, *record))
             {
                 respond({{result_code::not_found, "there is no such job"},
                          step_job_state::queued});
             }
             else
             {
                 respond({{}, record->reported_state()});
             }
         });
}

void job_api::cancel(const admitted_call& call,
                     const std::string& id,
                     time_point deadline,
                     job_responder respond)
{
    find(id,
         deadline,
         [this, call, id, deadline, respond = std::move(respond)](
             const failure& error, const job_record* record)
         {
             if (error)
             {
                 respond({error, step_job_state::queued});
             }
             else if (record == nullptr || !owns(call, *record))
             {
                 respond({{result_code::not_found, "there is no such job"},
                          step_job_state::queued});
             }
             else if (is_final(record->reported_state()))
             {
                 respond({{}, record->reported_state()});
             }
             else
             {
                 write_cancel(id, deadline, respond);
             }
         });
}

void job_api::write_cancel(const std::string& id,
                           time_point deadline,
                           job_responder respond)
{
    auto pending = std::make_shared<write_call>();
    pending->row = {job_row_key(id, job_row_kind::cancelled), "{}"};
    pending->deadline = deadline;
    pending->done = [respond = std::move(respond)](
                        failure error, const std::vector<table_row>&)
    {
        if (error.code == result_code::conflict)
        {
            // Already cancelled, by an earlier attempt or another call.
            error = {};
        }
        respond({error, step_job_state::cancelled});
    };
    write(pending);
}

std::optional<std::size_t> job_api::pending(const admitted_call& call,
                                            failure& why) const
{
    if (!jobs_recent())
    {
        why = {result_code::store_unavailable,
               "the jobs were not read recently"};
        return std::nullopt;
    }
    return jobs_.pending(call.queue.name);
}

} // namespace poplarramp
