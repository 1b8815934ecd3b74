#include "http/json_reply.hpp"

#include "model/codec.hpp"

#include <string>

namespace poplarramp
{

namespace
{

// Length in bytes at which an unrecognized reply is cut when quoted in an
// error.
constexpr std::size_t max_quoted_length = 120;

failure unrecognized_reply(const http_response& response)
{
    return {result_code::answer_lost,
            "reply with HTTP status " + std::to_string(response.status) +
                " is not {code, result}: " +
                response.body.substr(0, max_quoted_length)};
}

bool is_outcome_unknown(result_code code)
{
    return static_cast<int>(code) >= 500;
}

// Code of a reply; nullopt if members are missing or inconsistent.
std::optional<result_code> code_in(const Json::Value& json)
{
    if (!json.isObject() || !json["result"].isString() || !json["code"].isInt())
    {
        return std::nullopt;
    }
    const auto code = code_of(json["result"].asString());
    if (static_cast<int>(code) != json["code"].asInt())
    {
        return std::nullopt;
    }
    return code;
}

} // namespace

int http_status_of(result_code code)
{
    switch (code)
    {
    case result_code::ok:
        return 200;
    case result_code::pending:
        return 202;
    case result_code::unauthorized:
        return 401;
    case result_code::not_found:
    case result_code::unknown_task:
        return 404;
    case result_code::method_not_allowed:
        return 405;
    case result_code::body_too_large:
        return 413;
    case result_code::never_fits:
        return 422;
    case result_code::shed:
    case result_code::queue_full:
        return 429;
    case result_code::job_failed:
    case result_code::cancelled:
    case result_code::outcome_unknown:
        return 200;
    case result_code::internal_error:
        return 500;
    case result_code::unreachable:
    case result_code::answer_lost:
        return 502;
    case result_code::timeout:
        return 504;
    default:
        break;
    }
    const int number = static_cast<int>(code);
    if (number < 200)
    {
        return 400;
    }
    return number >= 400 && number < 500 ? 409 : 503;
}

http_response json_response(const failure& error, Json::Value fields)
{
    fields["code"] = static_cast<int>(error.code);
    fields["result"] = std::string(name_of(error.code));
    if (error)
    {
        fields["reason"] = error.reason;
    }
    return {http_status_of(error.code), json_text(fields), "application/json"};
}

std::optional<Json::Value> json_reply_of(const http_reply& reply, failure& why)
{
    if (reply.error)
    {
        why = reply.error;
        return std::nullopt;
    }
    failure syntax;
    auto json = parse_json(reply.response.body, syntax);
    const auto code = json ? code_in(*json) : std::nullopt;
    if (!code)
    {
        why = unrecognized_reply(reply.response);
        return std::nullopt;
    }
    if (*code == result_code::ok || *code == result_code::pending)
    {
        return json;
    }
    const auto& reason = (*json)["reason"];
    why = {is_outcome_unknown(*code) ? result_code::answer_lost : *code,
           reason.isString() ? reason.asString() : ""};
    return std::nullopt;
}

} // namespace poplarramp
