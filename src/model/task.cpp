#include "model/task.hpp"

#include <array>

namespace poplarramp
{

namespace
{

constexpr std::array<std::string_view, 6> state_names{
    "prepared", "running", "finished", "failed", "stopped", "expired"};

} // namespace

std::string_view name_of(task_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

task_state task_state_of(std::string_view name)
{
    for (std::size_t i = 0; i < state_names.size(); ++i)
    {
        if (state_names.at(i) == name)
        {
            return static_cast<task_state>(i);
        }
    }
    return task_state::failed;
}

std::string task_id(std::string_view job_id, int attempt, int member)
{
    return std::string(job_id) + "#" + std::to_string(attempt) + "." +
           std::to_string(member);
}

} // namespace poplarramp
