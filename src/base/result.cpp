#include "base/result.hpp"

#include <array>

namespace poplarramp
{

namespace
{

struct named_code
{
    result_code code;
    std::string_view name;
};

constexpr std::array named_codes{
    named_code{result_code::ok, "ok"},
    named_code{result_code::pending, "pending"},
    named_code{result_code::bad_request, "bad_request"},
    named_code{result_code::unknown_customer, "unknown_customer"},
    named_code{result_code::unknown_kind, "unknown_kind"},
    named_code{result_code::unknown_zone, "unknown_zone"},
    named_code{result_code::body_too_large, "body_too_large"},
    named_code{result_code::unauthorized, "unauthorized"},
    named_code{result_code::not_found, "not_found"},
    named_code{result_code::method_not_allowed, "method_not_allowed"},
    named_code{result_code::bad_settings, "bad_settings"},
    named_code{result_code::bad_sheet, "bad_sheet"},
    named_code{result_code::key_reused, "key_reused"},
    named_code{result_code::shed, "shed"},
    named_code{result_code::queue_full, "queue_full"},
    named_code{result_code::never_fits, "never_fits"},
    named_code{result_code::store_unavailable, "store_unavailable"},
    named_code{result_code::zone_closed, "zone_closed"},
    named_code{result_code::vm_stopping, "vm_stopping"},
    named_code{result_code::retries_exhausted, "retries_exhausted"},
    named_code{result_code::overloaded, "overloaded"},
    named_code{result_code::job_failed, "job_failed"},
    named_code{result_code::cancelled, "cancelled"},
    named_code{result_code::outcome_unknown, "outcome_unknown"},
    named_code{result_code::conflict, "conflict"},
    named_code{result_code::stale_epoch, "stale_epoch"},
    named_code{result_code::lease_held, "lease_held"},
    named_code{result_code::server_full, "server_full"},
    named_code{result_code::unknown_task, "unknown_task"},
    named_code{result_code::wrong_state, "wrong_state"},
    named_code{result_code::timeout, "timeout"},
    named_code{result_code::unreachable, "unreachable"},
    named_code{result_code::internal_error, "internal_error"},
    named_code{result_code::answer_lost, "answer_lost"},
    named_code{result_code::circuit_open, "circuit_open"},
};

} // namespace

std::string_view name_of(result_code code)
{
    for (const auto& entry : named_codes)
    {
        if (entry.code == code)
        {
            return entry.name;
        }
    }
    return "internal_error";
}

result_code code_of(std::string_view name)
{
    for (const auto& entry : named_codes)
    {
        if (entry.name == name)
        {
            return entry.code;
        }
    }
    return result_code::internal_error;
}

bool is_not_run(result_code code)
{
    const int number = static_cast<int>(code);
    return number >= 200 && number < 300;
}

} // namespace poplarramp
