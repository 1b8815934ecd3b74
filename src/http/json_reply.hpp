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

// HTTP status sent with a result code.
int http_status_of(result_code code);

// `fields` with the code, its name and, for a failure, the reason.
http_response json_response(const failure& error, Json::Value fields = {});

// Body of a reply with code `ok` or `pending`. Otherwise nullopt, and `why` is
// - the error of the call, if there is no reply;
// - the code of the reply, if it is below 500;
// - `answer_lost` if the code is 500 or above, which is about a call that the
//   server itself made, or if the reply is not of this form: the request may
//   have been handled.
std::optional<Json::Value> json_reply_of(const http_reply& reply, failure& why);

} // namespace poplarramp

#endif
