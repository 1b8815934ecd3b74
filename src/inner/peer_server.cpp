#include "inner/peer_server.hpp"

#include "base/log.hpp"
#include "inner/message_codec.hpp"
#include "inner/peer_client.hpp"
#include "model/codec.hpp"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <exception>
#include <initializer_list>
#include <memory>
#include <utility>

namespace poplarramp
{

namespace
{

// Only jobs need this much, because they carry a payload.
constexpr std::size_t max_body_bytes = 8U << 20U;

// Passes request bodies to the JSON-RPC library without a thread or socket.
class in_process_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }
    bool StopListening() override
    {
        return true;
    }
    // Not used: `handle` returns the reply.
    bool SendResponse(const std::string& /*response*/, void* /*info*/) override
    {
        return false;
    }

    std::string handle(const std::string& body)
    {
        std::string reply;
        GetHandler()->HandleRequest(body, reply);
        return reply;
    }
};

Json::Value failure_json(const failure& error)
{
    Json::Value json;
    write_failure(json, error);
    return json;
}

// Maps the JSON-RPC methods to the handlers.
class peer_server : public jsonrpc::AbstractServer<peer_server>
{
public:
    peer_server(in_process_connector& connector,
                peer_handlers handlers,
                clock_mapping clock)
        : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2),
          handlers_(std::move(handlers)), clock_(clock)
    {
        using jsonrpc::JSON_OBJECT;
        using jsonrpc::JSON_STRING;
        add("heartbeat",
            {{"heartbeat", JSON_OBJECT}},
            &peer_server::on_heartbeat);
        add("get_config", {}, &peer_server::get_config);
        add("put_config", {{"config", JSON_OBJECT}}, &peer_server::put_config);
        add("close_zone", {{"closing", JSON_OBJECT}}, &peer_server::close_zone);
        add("enqueue", {{"job", JSON_OBJECT}}, &peer_server::enqueue);
        add("cancel", {{"job_id", JSON_STRING}}, &peer_server::cancel);
        add("job_status", {{"job_id", JSON_STRING}}, &peer_server::job_status);
        add("job_done",
            {{"job_id", JSON_STRING}, {"outcome", JSON_OBJECT}},
            &peer_server::job_done);
        add("status", {}, &peer_server::status);
    }

private:
    using parameter = std::pair<const char*, jsonrpc::jsontype_t>;

    void add(const char* name,
             std::initializer_list<parameter> parameters,
             methodPointer_t method)
    {
        jsonrpc::Procedure procedure;
        procedure.SetProcedureName(name);
        procedure.SetProcedureType(jsonrpc::RPC_METHOD);
        procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
        procedure.SetReturnType(jsonrpc::JSON_OBJECT);
        for (const auto& [parameter_name, type] : parameters)
        {
            procedure.AddParameter(parameter_name, type);
        }
        bindAndAddMethod(procedure, method);
    }

    void on_heartbeat(const Json::Value& params, Json::Value& result)
    {
        failure why;
        const auto message = heartbeat_from_json(params["heartbeat"], why);
        if (!message)
        {
            result = failure_json(why);
            return;
        }
        const auto reply = handlers_.on_heartbeat(*message);
        result = failure_json(reply.error);
        result["from"] = to_json(reply.from);
    }

    void get_config(const Json::Value& /*params*/, Json::Value& result)
    {
        const auto reply = handlers_.on_get_config();
        result = failure_json(reply.error);
        result["config"] = to_json(reply.config);
    }

    void put_config(const Json::Value& params, Json::Value& result)
    {
        failure why;
        const auto config = configuration_from_json(params["config"], why);
        result = failure_json(config ? handlers_.on_put_config(*config) : why);
    }

    void close_zone(const Json::Value& params, Json::Value& result)
    {
        failure why;
        const auto closing =
            provisional_closing_from_json(params["closing"], why);
        result =
            failure_json(closing ? handlers_.on_close_zone(*closing) : why);
    }

    void enqueue(const Json::Value& params, Json::Value& result)
    {
        failure why;
        const auto item = job_from_json(params["job"], clock_, why);
        if (item && (item->request.customer.empty() ||
                     item->request.key.empty() || item->token.empty()))
        {
            why = {result_code::bad_request,
                   "a job needs a customer, a key and a token"};
        }
        result = failure_json(why ? why : handlers_.on_enqueue(*item));
    }

    void cancel(const Json::Value& params, Json::Value& result)
    {
        result = failure_json(handlers_.on_cancel(params["job_id"].asString()));
    }

    void job_status(const Json::Value& params, Json::Value& result)
    {
        result = to_json(handlers_.on_job_status(params["job_id"].asString()));
    }

    void job_done(const Json::Value& params, Json::Value& result)
    {
        failure why;
        const auto outcome = job_outcome_from_json(params["outcome"], why);
        if (outcome && !is_final(outcome->state))
        {
            why = {result_code::bad_request, "the outcome is not final"};
        }
        result = failure_json(
            why ? why
                : handlers_.on_job_done(params["job_id"].asString(), *outcome));
    }

    void status(const Json::Value& /*params*/, Json::Value& result)
    {
        result = to_json(handlers_.on_status());
    }

    peer_handlers handlers_;
    clock_mapping clock_;
};

// JSON-RPC error reply for a request that is not passed to the library.
std::string rpc_error(int number, const failure& why)
{
    Json::Value json;
    json["jsonrpc"] = "2.0";
    json["id"] = Json::Value();
    json["error"]["code"] = number;
    json["error"]["message"] = why.reason;
    json["error"]["data"] = failure_json(why);
    return json_text(json);
}

struct endpoint
{
    endpoint(peer_handlers handlers, clock_mapping clock)
        : server(connector, std::move(handlers), clock)
    {
    }

    in_process_connector connector;
    peer_server server;
};

// Checks what the library does not: size, nesting depth and duplicate members.
// Batches are rejected, because one body could then request unbounded work.
std::string handle(endpoint& target, const std::string& body)
{
    using jsonrpc::Errors;
    if (body.size() > max_body_bytes)
    {
        return rpc_error(Errors::ERROR_RPC_INVALID_REQUEST,
                         {result_code::body_too_large,
                          "the request is larger than " +
                              std::to_string(max_body_bytes) + " bytes"});
    }
    failure why;
    const auto json = parse_json(body, why);
    if (!json)
    {
        return rpc_error(Errors::ERROR_RPC_JSON_PARSE_ERROR, why);
    }
    if (!json->isObject() || !json->isMember("id"))
    {
        return rpc_error(Errors::ERROR_RPC_INVALID_REQUEST,
                         {result_code::bad_request,
                          "the request is not a single call with an id"});
    }
    try
    {
        return target.connector.handle(body);
    }
    catch (const std::exception& error)
    {
        log_line(log_level::error,
                 "inner",
                 "A request of the inner protocol failed.",
                 {{"reason", error.what()}});
        return rpc_error(Errors::ERROR_RPC_INTERNAL_ERROR,
                         {result_code::internal_error, error.what()});
    }
}

} // namespace

http_handler make_peer_server(peer_handlers handlers, clock_mapping clock)
{
    const auto target = std::make_shared<endpoint>(std::move(handlers), clock);
    return [target](const http_request& request,
                    const std::function<void(http_response)>& respond)
    {
        http_response response;
        if (request.method != "POST")
        {
            response.status = 405;
            response.body =
                rpc_error(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST,
                          {result_code::method_not_allowed,
                           "the inner protocol takes POST only"});
        }
        else
        {
            response.body = handle(*target, request.body);
        }
        respond(std::move(response));
    };
}

} // namespace poplarramp
