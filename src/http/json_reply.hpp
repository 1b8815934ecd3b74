// Replies of the form {code, result, reason, ...} in both directions.
#ifndef POPLARRAMP_HTTP_JSON_REPLY_HPP
#define POPLARRAMP_HTTP_JSON_REPLY_HPP

#include "base/result.hpp"
#include "http/message.hpp"

#include <json/value.h>

#include <optional>

namespace poplarramp
{

// All functions are thread safe.

// HTTP status that goes with a code.
int http_status_of(result_code code);

// `fields` with the code, its name and, for a failure, the reason.
http_response json_response(const failure& error, Json::Value fields = {});

// Reply whose members are the result; null and the cause in `why` if the call
// failed, the reply carries a code other than `ok` or `pending`, or it is not
// such a reply (`answer_lost`: the request may have been handled).
std::optional<Json::Value> json_reply_of(const http_reply& reply, failure& why);

} // namespace poplarramp

#endif
