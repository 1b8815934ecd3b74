#include "model/job.hpp"

#include <array>

namespace poplarramp
{

namespace
{

constexpr std::array<std::string_view, 9> state_names{"queued",
                                                      "starting",
                                                      "running",
                                                      "stopping",
                                                      "done",
                                                      "failed",
                                                      "cancelled",
                                                      "not_run",
                                                      "unknown"};

} // namespace

std::string_view name_of(job_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

job_state job_state_of(std::string_view name)
{
    for (std::size_t i = 0; i < state_names.size(); ++i)
    {
        if (state_names.at(i) == name)
        {
            return static_cast<job_state>(i);
        }
    }
    return job_state::unknown;
}

bool is_final(job_state state)
{
    return state >= job_state::done;
}

std::string job_id(const job_request& request)
{
    return request.customer + "/" + request.key;
}

bool is_pinned(const job& item)
{
    return !item.can_checkpoint && !item.can_stop;
}

} // namespace poplarramp
