// JSON encoding of the messages between entry VMs.
#ifndef POPLARRAMP_INNER_MESSAGE_CODEC_HPP
#define POPLARRAMP_INNER_MESSAGE_CODEC_HPP

#include "inner/peer_api.hpp"

#include <json/value.h>

#include <optional>

namespace poplarramp
{

// All functions are thread safe. On invalid input a decoder returns nullopt and
// sets `why` to `bad_request` with the path of the first invalid member.

// Members "code" and "reason". An unknown code is read as `internal_error`.
void write_failure(Json::Value& json, const failure& error);
bool read_failure(const Json::Value& json, failure& error, failure& why);

Json::Value to_json(const provisional_closing& closing);
Json::Value to_json(const heartbeat& message);
Json::Value to_json(const job_status_reply& reply);
Json::Value to_json(const zone_status& status);
// List rows; the operator API uses the same encoding.
Json::Value to_json(const server_row& row);
Json::Value to_json(const customer_row& row);
Json::Value to_json(const job_row& row);

// Also `bad_request`: a closing without an availability zone, and a heartbeat
// without VM id or incarnation, which cannot be attributed to a VM.
std::optional<provisional_closing>
provisional_closing_from_json(const Json::Value& json, failure& why);
std::optional<heartbeat> heartbeat_from_json(const Json::Value& json,
                                             failure& why);
std::optional<job_status_reply>
job_status_reply_from_json(const Json::Value& json, failure& why);
std::optional<zone_status> zone_status_from_json(const Json::Value& json,
                                                 failure& why);

} // namespace poplarramp

#endif
