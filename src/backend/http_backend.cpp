#include "backend/http_backend.hpp"

#include "http/json_reply.hpp"
#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace poplarramp
{

namespace
{

// Called with the body of the reply and no error, or with an error and no body.
using json_callback =
    std::function<void(const std::optional<Json::Value>& json, failure error)>;

// Path prefix of decoding errors; empty, as they name members of the reply.
constexpr const char* reply_path = "";

// State shared by all calls of the API.
struct call_context
{
    http_send_function call;
    clock_mapping clock;
};

using call_context_ptr = std::shared_ptr<const call_context>;

void send(const call_context_ptr& context,
          std::string address,
          std::string target,
          const Json::Value& body,
          time_point deadline,
          json_callback done,
          bool idempotent = false)
{
    http_request request;
    request.target = std::move(target);
    request.body = json_text(body);
    request.idempotent = idempotent;
    context->call(std::move(address),
                  std::move(request),
                  deadline,
                  [done = std::move(done)](const http_reply& reply)
                  {
                      failure error;
                      const auto json = json_reply_of(reply, error);
                      done(json, std::move(error));
                  });
}

Json::Value body_with_token(const lease_token& token)
{
    Json::Value body;
    body["owner"] = token.owner;
    body["incarnation"] = token.incarnation;
    body["epoch"] = static_cast<Json::UInt64>(token.epoch);
    return body;
}

// The request may have taken effect, but its reply cannot be decoded.
failure invalid_reply(const failure& error)
{
    return {result_code::answer_lost, "reply not understood: " + error.reason};
}

// Decodes each object of a list; stops at the first invalid one. A missing list
// counts as empty.
template <class Item, class Decode>
void read_items(const Json::Value& json,
                const char* name,
                std::vector<Item>& items,
                failure& error,
                const Decode& decode)
{
    const auto& list = json[name];
    if (!list.isArray() && !list.isNull())
    {
        error = {result_code::bad_request,
                 std::string(name) + " is not a list"};
        return;
    }
    for (const auto& entry : list)
    {
        auto item = decode(entry, error);
        if (!item)
        {
            return;
        }
        items.push_back(std::move(*item));
    }
}

claim_reply claim_reply_of(const Json::Value& json,
                           std::string owner,
                           const clock_mapping& clock)
{
    claim_reply reply;
    failure error;
    reply.token.owner = std::move(owner);
    json_reader reader(json, reply_path, error);
    reader.read("incarnation", reply.token.incarnation)
        .read("epoch", reply.token.epoch)
        .read("rack", reply.rack)
        .read("accelerators", reply.accelerators)
        .read("slots", reply.slots)
        .read("leaving", reply.leaving);
    if (!error && (reply.token.incarnation.empty() || reply.token.epoch == 0))
    {
        error = {result_code::bad_request, "incarnation or epoch is missing"};
    }
    if (!error)
    {
        read_items(json,
                   "tasks",
                   reply.tasks,
                   error,
                   [&clock](const Json::Value& entry, failure& item_error)
                   { return task_status_from_json(entry, clock, item_error); });
    }
    if (error)
    {
        reply = {};
        reply.error = invalid_reply(error);
    }
    return reply;
}

renew_reply renew_reply_of(const Json::Value& json)
{
    renew_reply reply;
    failure error;
    json_reader reader(json, reply_path, error);
    reader.read("leaving", reply.leaving);
    if (!error)
    {
        read_items(json, "events", reply.events, error, task_event_from_json);
    }
    if (error)
    {
        reply = {};
        reply.error = invalid_reply(error);
    }
    return reply;
}

task_reply task_reply_of(const std::optional<Json::Value>& json,
                         failure call_error)
{
    task_reply reply;
    reply.error = std::move(call_error);
    if (!json)
    {
        // The backend server has too many connections and did not run the
        // request. A task call reports that as `server_full`; `shed` is for
        // jobs that the scheduler refuses.
        if (reply.error.code == result_code::shed)
        {
            reply.error.code = result_code::server_full;
        }
        return reply;
    }
    failure error;
    bool has_state = false;
    json_reader reader(*json, reply_path, error);
    reader.read_name("state",
                     [&](std::string_view name)
                     {
                         has_state = true;
                         reply.state = task_state_of(name);
                         return name_of(reply.state) == name;
                     });
    if (!has_state && !error)
    {
        error = {result_code::bad_request, "state is missing"};
    }
    if (error)
    {
        reply.error = invalid_reply(error);
    }
    return reply;
}

void send_task_call(const call_context_ptr& context,
                    std::string address,
                    std::string target,
                    const Json::Value& body,
                    time_point deadline,
                    task_callback done)
{
    send(context,
         std::move(address),
         std::move(target),
         body,
         deadline,
         [done = std::move(done)](const std::optional<Json::Value>& json,
                                  failure error)
         { done(task_reply_of(json, std::move(error))); });
}

void send_claim(const call_context_ptr& context,
                std::string address,
                const std::string& owner,
                milliseconds lease,
                time_point deadline,
                std::function<void(claim_reply)> done)
{
    Json::Value body;
    body["owner"] = owner;
    body["lease_ms"] = static_cast<Json::Int64>(lease.count());
    send(context,
         std::move(address),
         "/v1/claim",
         body,
         deadline,
         [context, owner, done = std::move(done)](
             const std::optional<Json::Value>& json, failure error)
         {
             claim_reply reply;
             reply.error = std::move(error);
             if (json)
             {
                 reply = claim_reply_of(*json, owner, context->clock);
             }
             done(std::move(reply));
         });
}

// Renews the lease and fetches events in one long poll: the reply is sent on a
// new event or after `request.wait`.
void send_renew(const call_context_ptr& context,
                std::string address,
                const renew_request& request,
                time_point deadline,
                std::function<void(renew_reply)> done)
{
    auto body = body_with_token(request.token);
    body["acknowledged"] = static_cast<Json::UInt64>(request.acknowledged);
    body["wait_ms"] = static_cast<Json::Int64>(request.wait.count());
    // Only a renewal may be sent twice: events stay until they are
    // acknowledged. A second claim would be granted a new epoch, and a repeated
    // release or task call may be rejected because the first one took effect.
    send(
        context,
        std::move(address),
        "/v1/renew",
        body,
        deadline,
        [done = std::move(done)](const std::optional<Json::Value>& json,
                                 failure error)
        {
            renew_reply reply;
            reply.error = std::move(error);
            if (json)
            {
                reply = renew_reply_of(*json);
            }
            done(std::move(reply));
        },
        /* idempotent */ true);
}

void add_lease_calls(backend_api& api, const call_context_ptr& context)
{
    api.claim = [context](std::string address,
                          const std::string& owner,
                          milliseconds lease,
                          time_point deadline,
                          auto done)
    {
        send_claim(context, std::move(address), owner, lease, deadline, done);
    };
    api.renew = [context](std::string address,
                          const renew_request& request,
                          time_point deadline,
                          auto done)
    {
        send_renew(context, std::move(address), request, deadline, done);
    };
    api.release = [context](std::string address,
                            const lease_token& token,
                            time_point deadline,
                            auto done)
    {
        send(context,
             std::move(address),
             "/v1/release",
             body_with_token(token),
             deadline,
             [done](const std::optional<Json::Value>&, failure error)
             { done(std::move(error)); });
    };
}

// Calls that reserve capacity for a new task.
void add_reserve_calls(backend_api& api, const call_context_ptr& context)
{
    api.prepare = [context](std::string address,
                            const lease_token& token,
                            const task& item,
                            time_point commit_deadline,
                            time_point call_deadline,
                            task_callback done)
    {
        auto body = body_with_token(token);
        body["task"] = to_json(item, context->clock);
        body["commit_deadline"] =
            static_cast<Json::Int64>(context->clock.to_unix(commit_deadline));
        send_task_call(context,
                       std::move(address),
                       "/v1/prepare",
                       body,
                       call_deadline,
                       std::move(done));
    };
    api.start = [context](std::string address,
                          const lease_token& token,
                          const task& item,
                          time_point deadline,
                          task_callback done)
    {
        auto body = body_with_token(token);
        body["task"] = to_json(item, context->clock);
        send_task_call(context,
                       std::move(address),
                       "/v1/start",
                       body,
                       deadline,
                       std::move(done));
    };
}

// Calls for a task that the backend server already has.
void add_existing_task_calls(backend_api& api, const call_context_ptr& context)
{
    api.commit = [context](std::string address,
                           const lease_token& token,
                           const std::string& task_id,
                           time_point deadline,
                           task_callback done)
    {
        auto body = body_with_token(token);
        body["task_id"] = task_id;
        send_task_call(context,
                       std::move(address),
                       "/v1/commit",
                       body,
                       deadline,
                       std::move(done));
    };
    api.stop = [context](std::string address,
                         const lease_token& token,
                         const std::string& task_id,
                         bool checkpoint,
                         time_point deadline,
                         task_callback done)
    {
        auto body = body_with_token(token);
        body["task_id"] = task_id;
        body["checkpoint"] = checkpoint;
        send_task_call(context,
                       std::move(address),
                       "/v1/stop",
                       body,
                       deadline,
                       std::move(done));
    };
}

} // namespace

backend_api make_http_backend(http_send_function call,
                              const clock_mapping& clock)
{
    const auto context = std::make_shared<const call_context>(
        call_context{std::move(call), clock});
    backend_api api;
    add_lease_calls(api, context);
    add_reserve_calls(api, context);
    add_existing_task_calls(api, context);
    return api;
}

} // namespace poplarramp
