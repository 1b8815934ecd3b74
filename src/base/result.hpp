// Numbered result codes, and failures with a code and a reason.
#ifndef POPLARRAMP_BASE_RESULT_HPP
#define POPLARRAMP_BASE_RESULT_HPP

#include <string>
#include <string_view>

namespace poplarramp
{

// The numbers are part of the API and never reused; they are documented in
// docs/result-codes.md. 1xx: the request is wrong. 2xx: the request did not
// run. 3xx: how an accepted job ended. 4xx: refused because of a concurrent
// change. 5xx: the outcome of a call is not known or the call was not made.
enum class result_code : int
{
    ok = 0,
    pending = 1,

    bad_request = 100,
    unknown_customer = 101,
    unknown_kind = 102,
    unknown_zone = 103,
    body_too_large = 104,
    unauthorized = 105,
    not_found = 106,
    method_not_allowed = 107,
    bad_settings = 108,
    bad_sheet = 109,
    key_reused = 110,

    shed = 200,
    queue_full = 201,
    never_fits = 202,
    store_unavailable = 203,
    zone_closed = 204,
    vm_stopping = 205,
    retries_exhausted = 206,
    overloaded = 207,

    job_failed = 300,
    cancelled = 301,
    outcome_unknown = 302,

    conflict = 400,
    stale_epoch = 401,
    lease_held = 402,
    server_full = 403,
    unknown_task = 404,
    wrong_state = 405,

    timeout = 500,
    unreachable = 501,
    internal_error = 502,
    answer_lost = 503,
    circuit_open = 504,
};

// Name of a code as it appears in replies and in docs/result-codes.md.
// Thread safe.
std::string_view name_of(result_code code);

// Inverse of `name_of`; `internal_error` for an unknown name. Thread safe.
result_code code_of(std::string_view name);

// True if the code says that the request did not run and cannot run later.
// Thread safe.
bool is_not_run(result_code code);

// Why a call failed. Functions that can fail return std::optional and fill a
// failure that the caller passes in.
struct failure
{
    result_code code = result_code::ok;
    std::string reason;

    explicit operator bool() const
    {
        return code != result_code::ok;
    }
};

} // namespace poplarramp

#endif
