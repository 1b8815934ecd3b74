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

using json_done =
    std::function<void(const std::optional<Json::Value>& json, failure why)>;

// What all hooks share.
struct connector
{
    http_caller call;
    clock_mapping clock;
};

using connector_ptr = std::shared_ptr<const connector>;

void send(const connector_ptr& to,
          std::string address,
          std::string target,
          const Json::Value& body,
          time_point deadline,
          json_done done,
          bool idempotent = false)
{
    http_request request;
    request.target = std::move(target);
    request.body = json_text(body);
    request.idempotent = idempotent;
    to->call(std::move(address),
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

failure not_understood(const failure& why)
{
    return {result_code::answer_lost, "reply not understood: " + why.reason};
}

// Decodes each object of a list; stops at the first that is wrong.
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
        why = {result_code::bad_request, std::string(name) + " is not a list"};
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
        why = {result_code::bad_request, "incarnation or epoch is missing"};
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
        reply.error = not_understood(why);
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
        reply.error = not_understood(why);
    }
    return reply;
}

task_reply task_reply_of(const std::optional<Json::Value>& json, failure error)
{
    task_reply reply;
    reply.error = std::move(error);
    if (!json)
    {
        // The backend server's HTTP server refused the connection.
        if (reply.error.code == result_code::shed)
        {
            reply.error.code = result_code::server_full;
        }
        return reply;
    }
    failure why;
    bool named = false;
    json_reader reader(*json, "", why);
    reader.read_name("state",
                     [&](std::string_view name)
                     {
                         named = true;
                         reply.state = task_state_of(name);
                         return name_of(reply.state) == name;
                     });
    if (!named && !why)
    {
        why = {result_code::bad_request, "state is missing"};
    }
    if (why)
    {
        reply.error = not_understood(why);
    }
    return reply;
}

void send_task_call(const connector_ptr& to,
                    std::string address,
                    std::string target,
                    const Json::Value& body,
                    time_point deadline,
                    task_done done)
{
    send(to,
         std::move(address),
         std::move(target),
         body,
         deadline,
         [done = std::move(done)](const std::optional<Json::Value>& json,
                                  failure error)
         { done(task_reply_of(json, std::move(error))); });
}

void send_claim(const connector_ptr& to,
                std::string address,
                const std::string& owner,
                milliseconds lease,
                time_point deadline,
                std::function<void(claim_reply)> done)
{
    Json::Value body;
    body["owner"] = owner;
    body["lease_ms"] = static_cast<Json::Int64>(lease.count());
    send(to,
         std::move(address),
         "/v1/claim",
         body,
         deadline,
         [to, owner, done = std::move(done)](
             const std::optional<Json::Value>& json, failure error)
         {
             claim_reply reply;
             reply.error = std::move(error);
             if (json)
             {
                 reply = claim_reply_of(*json, owner, to->clock);
             }
             done(std::move(reply));
         });
}

void send_renew(const connector_ptr& to,
                std::string address,
                const renew_request& request,
                time_point deadline,
                std::function<void(renew_reply)> done)
{
    auto body = token_body(request.token);
    body["acknowledged"] = static_cast<Json::UInt64>(request.acknowledged);
    body["wait_ms"] = static_cast<Json::Int64>(request.wait.count());
    send(
        to,
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

void add_lease_hooks(backend_api& hooks, const connector_ptr& to)
{
    hooks.claim = [to](std::string address,
                       const std::string& owner,
                       milliseconds lease,
                       time_point deadline,
                       auto done)
    {
        send_claim(to, std::move(address), owner, lease, deadline, done);
    };
    hooks.renew = [to](std::string address,
                       const renew_request& request,
                       time_point deadline,
                       auto done)
    {
        send_renew(to, std::move(address), request, deadline, done);
    };
    hooks.release = [to](std::string address,
                         const lease_token& token,
                         time_point deadline,
                         auto done)
    {
        send(to,
             std::move(address),
             "/v1/release",
             token_body(token),
             deadline,
             [done](const std::optional<Json::Value>&, failure error)
             { done(std::move(error)); });
    };
}

void add_start_hooks(backend_api& hooks, const connector_ptr& to)
{
    hooks.prepare = [to](std::string address,
                         const lease_token& token,
                         const task& item,
                         time_point commit_deadline,
                         time_point deadline,
                         task_done done)
    {
        auto body = token_body(token);
        body["task"] = to_json(item, to->clock);
        body["commit_deadline"] =
            static_cast<Json::Int64>(to->clock.to_unix(commit_deadline));
        send_task_call(to,
                       std::move(address),
                       "/v1/prepare",
                       body,
                       deadline,
                       std::move(done));
    };
    hooks.start = [to](std::string address,
                       const lease_token& token,
                       const task& item,
                       time_point deadline,
                       task_done done)
    {
        auto body = token_body(token);
        body["task"] = to_json(item, to->clock);
        send_task_call(to,
                       std::move(address),
                       "/v1/start",
                       body,
                       deadline,
                       std::move(done));
    };
}

void add_task_hooks(backend_api& hooks, const connector_ptr& to)
{
    hooks.commit = [to](std::string address,
                        const lease_token& token,
                        const std::string& task_id,
                        time_point deadline,
                        task_done done)
    {
        auto body = token_body(token);
        body["task_id"] = task_id;
        send_task_call(to,
                       std::move(address),
                       "/v1/commit",
                       body,
                       deadline,
                       std::move(done));
    };
    hooks.stop = [to](std::string address,
                      const lease_token& token,
                      const std::string& task_id,
                      bool checkpoint,
                      time_point deadline,
                      task_done done)
    {
        auto body = token_body(token);
        body["task_id"] = task_id;
        body["checkpoint"] = checkpoint;
        send_task_call(to,
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
    const auto to =
        std::make_shared<const connector>(connector{std::move(call), clock});
    backend_api hooks;
    add_lease_hooks(hooks, to);
    add_start_hooks(hooks, to);
    add_task_hooks(hooks, to);
    return hooks;
}

} // namespace poplarramp
