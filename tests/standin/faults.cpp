#include "standin/faults.hpp"

#include "http/json_reply.hpp"
#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace poplarramp::standin
{

namespace
{

using respond_function = std::function<void(http_response)>;

constexpr std::array<std::string_view, 4> outage_names{
    "none", "error", "drop", "silent"};

// Status that makes the server close the connection without a reply.
constexpr int close_without_reply = 0;

bool parse_outage(std::string_view name, outage_kind& target)
{
    for (std::size_t i = 0; i < outage_names.size(); ++i)
    {
        if (outage_names.at(i) == name)
        {
            target = static_cast<outage_kind>(i);
            return true;
        }
    }
    return false;
}

http_response closing_response()
{
    http_response response;
    response.status = close_without_reply;
    return response;
}

// Consumes one fault of a remaining number; false if none remains.
bool consume(int& count)
{
    if (count <= 0)
    {
        return false;
    }
    --count;
    return true;
}

// Applies a fault that prevents handling of the request; true if there is one.
bool apply_outage(faults& state,
                  const http_request& request,
                  const respond_function& respond)
{
    if (state.silent_peers.contains(request.peer) ||
        consume(state.silent_requests))
    {
        return true;
    }
    switch (state.outage)
    {
    case outage_kind::none:
        return false;
    case outage_kind::error:
        respond(json_response(
            {result_code::store_unavailable, "the stand-in has an outage"}));
        return true;
    case outage_kind::drop:
        respond(closing_response());
        return true;
    case outage_kind::silent:
        return true;
    }
    return false;
}

void handle_with_faults(const http_handler& handler,
                        faults& state,
                        http_request request,
                        respond_function respond)
{
    if (apply_outage(state, request, respond))
    {
        return;
    }
    if (consume(state.lose_answers))
    {
        respond = [respond](const http_response&)
        {
            respond(closing_response());
        };
    }
    else if (consume(state.hold_answers))
    {
        respond = [](const http_response&) {
        };
    }
    handler(std::move(request), std::move(respond));
}

http_response change_faults(const http_request& request, faults& state)
{
    if (request.method == "GET")
    {
        return json_response({}, to_json(state));
    }
    failure why;
    const auto json = parse_json(request.body, why);
    faults changed = state;
    if (!json || !read_faults(*json, changed, why))
    {
        return json_response(why);
    }
    state = changed;
    return json_response({}, to_json(state));
}

} // namespace

bool read_faults(const Json::Value& json, faults& target, failure& why)
{
    bool silence_open = false;
    json_reader reader(json, "", why);
    reader.read("silence_open", silence_open)
        .read("latency_ms", target.latency)
        .read("lose_answers", target.lose_answers)
        .read("hold_answers", target.hold_answers)
        .read("silent_requests", target.silent_requests)
        .read("prefix", target.prefix)
        .read("fail_tasks", target.fail_tasks)
        .read("leaving", target.leaving)
        .read_name("outage",
                   [&target](std::string_view name)
                   { return parse_outage(name, target.outage); });
    if (silence_open)
    {
        target.silent_peers = target.used_peers;
    }
    return reader.good();
}

Json::Value to_json(const faults& state)
{
    Json::Value json;
    json["latency_ms"] = static_cast<Json::Int64>(state.latency.count());
    json["lose_answers"] = state.lose_answers;
    json["hold_answers"] = state.hold_answers;
    json["silent_requests"] = state.silent_requests;
    json["silent_connections"] =
        static_cast<Json::UInt64>(state.silent_peers.size());
    json["prefix"] = state.prefix;
    json["fail_tasks"] = state.fail_tasks;
    json["leaving"] = state.leaving;
    json["outage"] =
        std::string(outage_names.at(static_cast<std::size_t>(state.outage)));
    return json;
}

http_handler with_faults(http_handler handler,
                         faults& state,
                         timers& clock,
                         std::function<void()> changed)
{
    return [handler = std::move(handler),
            &state,
            &clock,
            changed = std::move(changed)](http_request request,
                                          respond_function respond)
    {
        if (request.target == "/v1/faults")
        {
            respond(change_faults(request, state));
            changed();
            return;
        }
        state.used_peers.insert(request.peer);
        if (!request.target.starts_with(state.prefix))
        {
            handler(std::move(request), std::move(respond));
            return;
        }
        if (state.latency.count() == 0)
        {
            handle_with_faults(
                handler, state, std::move(request), std::move(respond));
            return;
        }
        clock.after(state.latency,
                    [handler, &state, request, respond]
                    { handle_with_faults(handler, state, request, respond); });
    };
}

} // namespace poplarramp::standin
