#include "inner/peer_client.hpp"

#include "inner/message_codec.hpp"
#include "model/codec.hpp"

#include <memory>
#include <optional>
#include <utility>

namespace poplarramp
{

namespace
{

using result_callback =
    std::function<void(const Json::Value& result, const failure& error)>;

// Sends JSON-RPC requests and matches each reply to its request.
class rpc_client
{
public:
    explicit rpc_client(http_send_function http) : http_(std::move(http))
    {
    }

    void call(std::string address,
              const std::string& method,
              const Json::Value& params,
              time_point deadline,
              result_callback done);

private:
    http_send_function http_;
    std::uint64_t last_id_ = 0;
};

std::string make_request_body(std::uint64_t id,
                              const std::string& method,
                              const Json::Value& params)
{
    Json::Value json;
    json["jsonrpc"] = "2.0";
    json["id"] = static_cast<Json::UInt64>(id);
    json["method"] = method;
    if (!params.isNull())
    {
        json["params"] = params;
    }
    return json_text(json);
}

failure rpc_error(const Json::Value& error)
{
    const auto& message = error["message"];
    return {result_code::bad_request,
            message.isString() ? message.asString()
                               : "the peer gave no reason"};
}

// Extracts the result from the reply to request `id`.
std::optional<Json::Value>
result_of(const http_reply& reply, std::uint64_t id, failure& why)
{
    if (reply.error)
    {
        why = reply.error;
        return std::nullopt;
    }
    failure parse_error;
    const auto json = parse_json(reply.response.body, parse_error);
    if (!json || !json->isObject())
    {
        why = {result_code::answer_lost,
               "the reply of the peer cannot be read, HTTP status " +
                   std::to_string(reply.response.status)};
        return std::nullopt;
    }
    if (json->isMember("error") && (*json)["error"].isObject())
    {
        why = rpc_error((*json)["error"]);
        return std::nullopt;
    }
    const auto& reply_id = (*json)["id"];
    if (!reply_id.isUInt64() || reply_id.asUInt64() != id)
    {
        why = {result_code::answer_lost, "the reply is to another request"};
        return std::nullopt;
    }
    return (*json)["result"];
}

void rpc_client::call(std::string address,
                      const std::string& method,
                      const Json::Value& params,
                      time_point deadline,
                      result_callback done)
{
    const auto id = ++last_id_;
    http_request request;
    request.target = inner_target;
    request.body = make_request_body(id, method, params);
    http_(std::move(address),
          std::move(request),
          deadline,
          [id, done = std::move(done)](const http_reply& reply)
          {
              failure why;
              const auto result = result_of(reply, id, why);
              done(result.value_or(Json::Value()), why);
          });
}

failure not_an_object()
{
    return {result_code::bad_request, "the result is not an object"};
}

failure invalid_reply(const failure& why)
{
    return {result_code::answer_lost, "the reply is broken: " + why.reason};
}

void decode(const Json::Value& json, heartbeat_reply& reply, failure& why)
{
    read_failure(json, reply.error, why);
    reply.from = heartbeat_from_json(json["from"], why).value_or(heartbeat{});
}

void decode(const Json::Value& json, config_reply& reply, failure& why)
{
    read_failure(json, reply.error, why);
    reply.config =
        configuration_from_json(json["config"], why).value_or(configuration{});
}

void decode(const Json::Value& json, job_status_reply& reply, failure& why)
{
    reply = job_status_reply_from_json(json, why).value_or(job_status_reply{});
}

void decode(const Json::Value& json, zone_status& reply, failure& why)
{
    reply = zone_status_from_json(json, why).value_or(zone_status{});
}

// Decodes a result into a reply. On failure the reply has only `error` set.
template <class Reply>
result_callback decode_with(reply_callback<Reply> done)
{
    return [done = std::move(done)](const Json::Value& result,
                                    const failure& error)
    {
        Reply reply;
        failure why;
        if (!error)
        {
            // Looking up a member of a non-object would throw.
            result.isObject() ? decode(result, reply, why)
                              : static_cast<void>(why = not_an_object());
        }
        if (error || why)
        {
            reply = Reply{};
            reply.error = error ? error : invalid_reply(why);
        }
        done(std::move(reply));
    };
}

result_callback decode_failure(reply_callback<failure> done)
{
    return [done = std::move(done)](const Json::Value& result,
                                    const failure& error)
    {
        if (error)
        {
            done(error);
            return;
        }
        failure reply;
        failure why;
        read_failure(result, reply, why);
        done(why ? invalid_reply(why) : reply);
    };
}

Json::Value params_with(const char* name, const Json::Value& value)
{
    Json::Value params;
    params[name] = value;
    return params;
}

using shared_client = std::shared_ptr<rpc_client>;

void add_config_calls(peer_api& api, const shared_client& client)
{
    api.get_config = [client](std::string address,
                              time_point deadline,
                              reply_callback<config_reply> done)
    {
        client->call(std::move(address),
                     "get_config",
                     {},
                     deadline,
                     decode_with<config_reply>(std::move(done)));
    };
    api.put_config = [client](std::string address,
                              const configuration& config,
                              time_point deadline,
                              reply_callback<failure> done)
    {
        client->call(std::move(address),
                     "put_config",
                     params_with("config", to_json(config)),
                     deadline,
                     decode_failure(std::move(done)));
    };
    api.close_zone = [client](std::string address,
                              const provisional_closing& closing,
                              time_point deadline,
                              reply_callback<failure> done)
    {
        client->call(std::move(address),
                     "close_zone",
                     params_with("closing", to_json(closing)),
                     deadline,
                     decode_failure(std::move(done)));
    };
}

void add_job_calls(peer_api& api,
                   const shared_client& client,
                   const clock_mapping& clock)
{
    api.enqueue = [client, clock](std::string address,
                                  const job& item,
                                  time_point deadline,
                                  reply_callback<failure> done)
    {
        client->call(std::move(address),
                     "enqueue",
                     params_with("job", to_json(item, clock)),
                     deadline,
                     decode_failure(std::move(done)));
    };
    api.cancel = [client](std::string address,
                          const std::string& id,
                          time_point deadline,
                          reply_callback<failure> done)
    {
        client->call(std::move(address),
                     "cancel",
                     params_with("job_id", id),
                     deadline,
                     decode_failure(std::move(done)));
    };
    api.job_done = [client](std::string address,
                            const std::string& id,
                            const job_outcome& outcome,
                            time_point deadline,
                            reply_callback<failure> done)
    {
        auto params = params_with("job_id", id);
        params["outcome"] = to_json(outcome);
        client->call(std::move(address),
                     "job_done",
                     params,
                     deadline,
                     decode_failure(std::move(done)));
    };
}

void add_status_calls(peer_api& api, const shared_client& client)
{
    api.send_heartbeat = [client](std::string address,
                                  const heartbeat& message,
                                  time_point deadline,
                                  reply_callback<heartbeat_reply> done)
    {
        client->call(std::move(address),
                     "heartbeat",
                     params_with("heartbeat", to_json(message)),
                     deadline,
                     decode_with<heartbeat_reply>(std::move(done)));
    };
    api.job_status = [client](std::string address,
                              const std::string& id,
                              time_point deadline,
                              reply_callback<job_status_reply> done)
    {
        client->call(std::move(address),
                     "job_status",
                     params_with("job_id", id),
                     deadline,
                     decode_with<job_status_reply>(std::move(done)));
    };
    api.status = [client](std::string address,
                          time_point deadline,
                          reply_callback<zone_status> done)
    {
        client->call(std::move(address),
                     "status",
                     {},
                     deadline,
                     decode_with<zone_status>(std::move(done)));
    };
}

} // namespace

peer_api make_peer_client(http_send_function http, clock_mapping clock)
{
    const auto client = std::make_shared<rpc_client>(std::move(http));
    peer_api api;
    add_status_calls(api, client);
    add_config_calls(api, client);
    add_job_calls(api, client, clock);
    return api;
}

} // namespace poplarramp
