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

using json_callback =
    std::function<void(const std::optional<Json::Value>& json, failure why)>;

// State shared by all hooks.
struct call_context
{
    http_caller call;
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
                      failure why;
                      const auto json = json_reply_of(reply, why);
                      done(json, std::move(why));
                  });
}

Json::Value token_body(const lease_token& token)
{
    Json::Value body;
    body["owner"] = token.owner;
    body["incarnation"] = token.incarnation;
    body["epoch"] = static_cast<Json::UInt64>(token.epoch);
    return body;
}

failure invalid_reply(const failure& why)
{
    return {result_code::answer_lost, "invalid reply: " + why.reason};
}

// Decodes each object of a list; stops at the first invalid one.
template <class Item, class Decode>
void read_items(const Json::Value& json,
                const char* name,
                std::vector<Item>& items,
                failure& why,
                const Decode& decode)
{
    const auto& list = json[name];
    if (!list.isArray() && !list.isNull())
    {
        why = {result_code::bad_request,
               std::string(name) + " is not an array"};
        return;
    }
    for (const auto& entry : list)
    {
        auto item = decode(entry, why);
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
    failure why;
    reply.token.owner = std::move(owner);
    json_reader reader(json, "", why);
    reader.read("incarnation", reply.token.incarnation)
        .read("epoch", reply.token.epoch)
        .read("rack", reply.rack)
        .read("accelerators", reply.accelerators)
        .read("slots", reply.slots)
        .read("leaving", reply.leaving);
    if (!why && (reply.token.incarnation.empty() || reply.token.epoch == 0))
    {
        why = {result_code::bad_request,
               "incarnation or epoch is missing or zero"};
    }
    if (!why)
    {
        read_items(json,
                   "tasks",
                   reply.tasks,
                   why,
                   [&clock](const Json::Value& entry, failure& error)
                   { return task_status_from_json(entry, clock, error); });
    }
    if (why)
    {
        reply = {};
        reply.error = invalid_reply(why);
    }
    return reply;
}

renew_reply renew_reply_of(const Json::Value& json)
{
    renew_reply reply;
    failure why;
    json_reader reader(json, "", why);
    reader.read("leaving", reply.leaving);
    if (!why)
    {
        read_items(json, "events", reply.events, why, task_event_from_json);
    }
    if (why)
    {
        reply = {};
        reply.error = invalid_reply(why);
    }
    return reply;
}

task_reply task_reply_of(const std::optional<Json::Value>& json, failure error)
{
    task_reply reply;
    reply.error = std::move(error);
    if (!json)
    {
        // The HTTP server of the backend server rejected the connection.
        if (reply.error.code == result_code::shed)
        {
            reply.error.code = result_code::server_full;
        }
        return reply;
    }
    failure why;
    bool has_state = false;
    json_reader reader(*json, "", why);
    reader.read_name("state",
                     [&](std::string_view name)
                     {
                         has_state = true;
                         reply.state = task_state_of(name);
                         return name_of(reply.state) == name;
                     });
    if (!has_state && !why)
    {
        why = {result_code::bad_request, "state is missing"};
    }
    if (why)
    {
        reply.error = invalid_reply(why);
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

void send_renew(const call_context_ptr& context,
                std::string address,
                const renew_request& request,
                time_point deadline,
                std::function<void(renew_reply)> done)
{
    auto body = token_body(request.token);
    body["acknowledged"] = static_cast<Json::UInt64>(request.acknowledged);
    body["wait_ms"] = static_cast<Json::Int64>(request.wait.count());
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
        true);
}

void add_lease_hooks(backend_api& hooks, const call_context_ptr& context)
{
    hooks.claim = [context](std::string address,
                            const std::string& owner,
                            milliseconds lease,
                            time_point deadline,
                            auto done)
    {
        send_claim(context, std::move(address), owner, lease, deadline, done);
    };
    hooks.renew = [context](std::string address,
                            const renew_request& request,
                            time_point deadline,
                            auto done)
    {
        send_renew(context, std::move(address), request, deadline, done);
    };
    hooks.release = [context](std::string address,
                              const lease_token& token,
                              time_point deadline,
                              auto done)
    {
        send(context,
             std::move(address),
             "/v1/release",
             token_body(token),
             deadline,
             [done](const std::optional<Json::Value>&, failure error)
             { done(std::move(error)); });
    };
}

void add_start_hooks(backend_api& hooks, const call_context_ptr& context)
{
    hooks.prepare = [context](std::string address,
                              const lease_token& token,
                              const task& item,
                              time_point commit_deadline,
                              time_point deadline,
                              task_callback done)
    {
        auto body = token_body(token);
        body["task"] = to_json(item, context->clock);
        body["commit_deadline"] =
            static_cast<Json::Int64>(context->clock.to_unix(commit_deadline));
        send_task_call(context,
                       std::move(address),
                       "/v1/prepare",
                       body,
                       deadline,
                       std::move(done));
    };
    hooks.start = [context](std::string address,
                            const lease_token& token,
                            const task& item,
                            time_point deadline,
                            task_callback done)
    {
        auto body = token_body(token);
        body["task"] = to_json(item, context->clock);
        send_task_call(context,
                       std::move(address),
                       "/v1/start",
                       body,
                       deadline,
                       std::move(done));
    };
}

void add_task_hooks(backend_api& hooks, const call_context_ptr& context)
{
    hooks.commit = [context](std::string address,
                             const lease_token& token,
                             const std::string& task_id,
                             time_point deadline,
                             task_callback done)
    {
        auto body = token_body(token);
        body["task_id"] = task_id;
        send_task_call(context,
                       std::move(address),
                       "/v1/commit",
                       body,
                       deadline,
                       std::move(done));
    };
    hooks.stop = [context](std::string address,
                           const lease_token& token,
                           const std::string& task_id,
                           bool checkpoint,
                           time_point deadline,
                           task_callback done)
    {
        auto body = token_body(token);
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

backend_api make_http_backend(http_caller call, const clock_mapping& clock)
{
    const auto context = std::make_shared<const call_context>(
        call_context{std::move(call), clock});
    backend_api hooks;
    add_lease_hooks(hooks, context);
    add_start_hooks(hooks, context);
    add_task_hooks(hooks, context);
    return hooks;
}

} // namespace poplarramp
