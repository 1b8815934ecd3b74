#include "control/submission.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// Bounds the row keys of the platform's table and the log lines.
constexpr std::size_t max_key_length = 256;

constexpr int max_accelerators = 256;

// Time to read back a lost reply of the table even if the caller does not wait.
constexpr milliseconds min_accept_timeout{4000};

failure invalid_request(std::string reason)
{
    return {result_code::bad_request, std::move(reason)};
}

void reply_error(const waiting_caller& caller, failure error)
{
    job_reply reply;
    reply.error = std::move(error);
    caller.done(std::move(reply));
}

failure key_reused()
{
    return {result_code::key_reused,
            "the key belongs to a job with another request"};
}

job make_job(const job_request& request,
             const job_kind& kind,
             const control_context& context)
{
    job item;
    item.request = request;
    item.urgency_class = kind.urgency_class;
    item.idempotent = kind.idempotent;
    item.can_checkpoint = kind.can_checkpoint;
    item.can_stop = kind.can_stop;
    item.expected_run = kind.expected_run;
    item.checkpoint_time = kind.checkpoint_time;
    item.origin_vm = context.settings.vm;
    item.token = context.settings.vm + "-" +
                 std::to_string(context.hooks.random()) + "-" +
                 std::to_string(context.hooks.random());
    item.accepted = context.now();
    return item;
}

} // namespace

failure check_request(const job_request& request,
                      const configuration& config,
                      time_point now)
{
    if (config.version == 0)
    {
        return {result_code::store_unavailable,
                "no configuration is known to this entry VM yet"};
    }
    // With a slash two pairs of customer and key could have the same job id.
    if (request.customer.find('/') != std::string::npos)
    {
        return invalid_request("customer contains a slash");
    }
    if (request.key.empty() || request.key.size() > max_key_length)
    {
        return invalid_request("key is empty or longer than " +
                               std::to_string(max_key_length) + " bytes");
    }
    if (request.accelerators < 0 || request.accelerators > max_accelerators)
    {
        return invalid_request("accelerators is not between 0 and " +
                               std::to_string(max_accelerators));
    }
    if (find_customer(config.sheet, request.customer) == nullptr)
    {
        return {result_code::unknown_customer,
                "customer \"" + request.customer + "\" is not in the sheet"};
    }
    if (find_kind(config.sheet, request.kind) == nullptr)
    {
        return {result_code::unknown_kind,
                "kind \"" + request.kind + "\" is not in the sheet"};
    }
    if (request.deadline <= now)
    {
        return {result_code::shed, "the deadline has passed"};
    }
    return {};
}

submission::submission(control_context& context,
                       std::shared_ptr<job_store> jobs,
                       std::shared_ptr<job_tracker> tracker,
                       std::shared_ptr<zone_calls> zones)
    : context_(context), job_store_(std::move(jobs)),
      tracker_(std::move(tracker)), zones_(std::move(zones))
{
}

std::size_t submission::pending_requests() const
{
    return pending_requests_;
}

void submission::stop()
{
    stopping_ = true;
}

void submission::submit(const job_request& request,
                        const waiting_caller& caller)
{
    // A known job must be found before the checks: they may reject the request
    // as "not run" because the deadline has passed or the customer was removed
    // from the sheet, although the job was accepted.
    if (join_existing(request, caller))
    {
        return;
    }
    ++pending_requests_;
    if (const auto error = check_admission(request))
    {
        reject_unless_known(request, caller, error);
        return;
    }
    const auto input = choice_input_for(request);
    failure why;
    const auto allowed = allowed_zones(input, why);
    if (allowed.empty())
    {
        reject_unless_known(request, caller, why);
        return;
    }
    const bool own = allowed.front() == context_.settings.zone;
    if (allowed.size() == 1 || (own && request.deadline == no_deadline))
    {
        accept(request, allowed.front(), caller);
        return;
    }
    // Queries other availability zones only if the own one cannot run the job
    // in time.
    choose(request,
           allowed,
           own ? std::vector<std::string>{allowed.front()} : allowed,
           caller);
}

failure submission::check_admission(const job_request& request) const
{
    if (stopping_)
    {
        return {result_code::vm_stopping,
                "this entry VM takes no new jobs; use another one"};
    }
    auto error =
        check_request(request, context_.view.current(), context_.now());
    if (error)
    {
        return error;
    }
    // `pending_requests_` already includes this request.
    if (tracker_->full(pending_requests_ - 1))
    {
        error = {result_code::shed, "too many callers wait at this entry VM"};
    }
    return error;
}

bool submission::join_existing(const job_request& request,
                               const waiting_caller& caller)
{
    const auto id = job_id(request);
    const auto* known = tracker_->find(id);
    if (known == nullptr)
    {
        return false;
    }
    if (!same_request(known->request, request))
    {
        reply_error(caller, key_reused());
        return true;
    }
    tracker_->join(id, caller);
    return true;
}

zone_choice_input submission::choice_input_for(const job_request& request) const
{
    zone_choice_input input;
    input.config = &context_.view.current();
    input.request = &request;
    input.own_zone = context_.settings.zone;
    input.now = context_.now();
    input.is_open = [this](std::string_view zone)
    {
        return context_.view.is_open(zone);
    };
    input.is_reachable = [this](std::string_view zone)
    {
        return context_.members.scheduler_of(zone, context_.now()).has_value();
    };
    return input;
}

void submission::choose(const job_request& request,
                        const std::vector<std::string>& allowed,
                        const std::vector<std::string>& queried,
                        const waiting_caller& caller)
{
    zones_->loads(queried,
                  [weak = weak_from_this(), request, allowed, queried, caller](
                      zone_calls::load_map loads)
                  {
                      const auto self = weak.lock();
                      if (!self)
                      {
                          return;
                      }
                      auto input = self->choice_input_for(request);
                      input.loads = std::move(loads);
                      if (queried.size() < allowed.size() &&
                          !own_zone_suffices(input, allowed))
                      {
                          self->choose(request, allowed, allowed, caller);
                          return;
                      }
                      self->accept(
                          request, choose_zone(input, allowed), caller);
                  });
}

void submission::accept(const job_request& request,
                        const std::string& zone,
                        const waiting_caller& caller)
{
    const auto* kind = find_kind(context_.view.current().sheet, request.kind);
    if (kind == nullptr)
    {
        --pending_requests_;
        reply_error(
            caller,
            {result_code::unknown_kind, "the kind was removed meanwhile"});
        return;
    }
    auto item = make_job(request, *kind, context_);
    item.zone = zone;
    job_store_->accept(
        std::move(item),
        std::max(caller.wait_until, context_.now() + min_accept_timeout),
        [weak = weak_from_this(), request, caller](const accept_reply& reply)
        {
            if (const auto self = weak.lock())
            {
                self->on_accepted(request, reply, caller);
            }
        });
}

void submission::on_accepted(const job_request& request,
                             const accept_reply& reply,
                             waiting_caller caller)
{
    if (is_not_run(reply.error.code))
    {
        reject_unless_known(request, caller, reply.error);
        return;
    }
    --pending_requests_;
    if (reply.error)
    {
        reply_error(caller, reply.error);
        return;
    }
    // If the job has no row, a second request with the key is found only here.
    if (!join_existing(request, caller))
    {
        tracker_->track(reply, std::move(caller));
    }
}

void submission::reject_unless_known(const job_request& request,
                                     const waiting_caller& caller,
                                     const failure& error)
{
    if (!is_not_run(error.code))
    {
        --pending_requests_;
        reply_error(caller, error);
        return;
    }
    job_store_->read(job_id(request),
                     [weak = weak_from_this(), request, caller, error](
                         const job_read_reply& row)
                     {
                         const auto self = weak.lock();
                         if (!self)
                         {
                             return;
                         }
                         if (row.error)
                         {
                             self->query_scheduler(request, caller, error);
                             return;
                         }
                         --self->pending_requests_;
                         if (row.item)
                         {
                             self->on_existing_job(
                                 request, *row.item, true, caller);
                             return;
                         }
                         reply_error(caller, error);
                     });
}

// While the table does not respond, the scheduler of the own availability zone
// is the most likely to know a job that was accepted before.
void submission::query_scheduler(const job_request& request,
                                 const waiting_caller& caller,
                                 const failure& error)
{
    const auto location =
        context_.members.scheduler_of(context_.settings.zone, context_.now());
    if (!location)
    {
        --pending_requests_;
        reply_error(caller, error);
        return;
    }
    zones_->job_status(*location,
                       job_id(request),
                       [weak = weak_from_this(), request, caller, error](
                           const job_status_reply& status)
                       {
                           const auto self = weak.lock();
                           if (!self)
                           {
                               return;
                           }
                           --self->pending_requests_;
                           if (status.error)
                           {
                               reply_error(caller, error);
                               return;
                           }
                           job known;
                           known.request = request;
                           known.zone = self->context_.settings.zone;
                           known.outcome = status.outcome;
                           // Not known, so the job must not be sent again.
                           known.idempotent = false;
                           self->on_existing_job(request, known, true, caller);
                       });
}

void submission::on_existing_job(const job_request& request,
                                 const job& known,
                                 bool row_may_exist,
                                 const waiting_caller& caller)
{
    if (!same_request(known.request, request))
    {
        reply_error(caller, key_reused());
        return;
    }
    if (join_existing(request, caller))
    {
        return;
    }
    const bool ended = is_final(known.outcome.state);
    if (!ended && (stopping_ || tracker_->full()))
    {
        caller.done({{result_code::pending,
                      "the job was accepted; ask another entry VM for it"},
                     known,
                     {}});
        return;
    }
    tracker_->track({{}, known, false, row_may_exist}, caller);
}

} // namespace poplarramp
