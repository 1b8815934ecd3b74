// JSON replies of the HTTP API. Every reply has "code", "result" and, on
// errors, "reason".
#ifndef POPLARRAMP_ENTRY_REPLIES_HPP
#define POPLARRAMP_ENTRY_REPLIES_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "control/controller.hpp"
#include "http/message.hpp"
#include "inner/peer_api.hpp"

#include <json/value.h>

#include <span>

namespace poplarramp
{

// All functions are thread safe.

// Result code and reason of a job; `pending` until it has ended.
failure result_of_job(const job_reply& reply);

// The HTTP status concerns the call, not the job: it is 200 for every ended
// job, including a failed one. Replies about a known job have the member "job".
http_response job_response(const job_reply& reply, const clock_mapping& clock);

http_response change_response(const change_reply& reply);

// Lists have the rows in one member and, in "incomplete", the availability
// zones whose scheduler did not reply.
http_response zones_response(std::span<const zone_status> zones,
                             const configuration& config);
http_response servers_response(std::span<const zone_status> zones);
http_response customers_response(std::span<const zone_status> zones);
http_response jobs_response(std::span<const zone_status> zones);
http_response vms_response(std::span<const vm_row> vms);

} // namespace poplarramp

#endif
