// Placement of the tasks of one step. Stateless functions on plain data.
#ifndef POPLARRAMP_POLICY_STEP_PLACEMENT_HPP
#define POPLARRAMP_POLICY_STEP_PLACEMENT_HPP

#include "model/step_job.hpp"

#include <cstddef>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplarramp
{

// Which servers a step may use to tell whether it crashes them.
enum class isolation
{
    none,
    // Those on which all runs have been at work for a while.
    proven_servers,
    // Those without runs.
    empty_servers,
};

// A backend server that may run tasks.
struct candidate_server
{
    std::string id;
    std::string region;
    std::string rack;
    std::string service;
    std::vector<std::string> labels;
    resources capacity;
    resources free;
    // Indices of the run groups with a member on the server, one entry for each
    // member.
    std::vector<std::size_t> groups;
    // Factor on run times, relative to the usual servers. Equal for servers
    // that are to be treated as equally fast.
    double slowdown = 1;
    // Failed runs since the last successful one.
    int failures = 0;
    // All runs on it have been at work for a while.
    bool proven = true;
    // Kept for urgent steps: no other step is placed here, except near its
    // data.
    bool reserved_for_urgent = false;
};

struct placement_request
{
    const step_spec* step = nullptr;
    std::string service;
    // Empty: all regions.
    std::vector<std::string> regions;
    int tasks = 1;
    // Tasks of the step that each server already has, by server index; empty:
    // none.
    std::vector<int> existing_tasks;
    bool urgent = false;
    // Other than `none`: no other step may use the servers afterwards.
    isolation isolated = isolation::none;
    // Treat all servers as empty.
    bool assume_empty = false;
    // Servers with more failures are left out.
    int max_failures = 0;
    // Factor on run times outside the rack of the data, or for a gang over
    // several racks.
    double remote_slowdown = 1;
    // Largest factor on run times by distance that is accepted.
    double max_slowdown = 1;
    // Up to this factor of a server, a step that is not urgent takes the
    // slowest servers first, so that the fast ones remain free for urgent
    // steps.
    double tolerated_slowdown = std::numeric_limits<double>::infinity();
};

struct placed_tasks
{
    // Index of the server.
    std::size_t server = 0;
    int count = 0;
};

struct placement_result
{
    std::vector<placed_tasks> parts;
    int tasks = 0;
    // Factor on the run time by distant racks, and by the slowest server.
    double remote_slowdown = 1;
    double server_slowdown = 1;
};

// Resources that one task of the step takes from a server. Thread safe.
resources occupied_by_task(const step_spec& step);

// True if the server is of the kind that the step needs, whatever its resources
// and its present use. Thread safe.
bool may_ever_run_on(const placement_request& request,
                     const candidate_server& server);

// True if the server may run tasks of the step, whatever its free resources.
// Thread safe.
bool is_eligible(const placement_request& request,
                 const candidate_server& server);

// Factor on the run time of one task on the server by the distance of its data,
// without the spread of a gang over racks. Thread safe.
double remote_slowdown_on(const placement_request& request,
                          const candidate_server& server);

// Indices of the servers by rack, the racks in the order of their first server.
// Thread safe.
std::vector<std::vector<std::size_t>>
by_rack(std::span<const candidate_server> servers,
        std::span<const std::size_t> indices);

// How many more tasks the limit of tasks per server allows on the server with
// this index. Thread safe.
int tasks_allowed_on(const placement_request& request, std::size_t server);

// Places up to `tasks` tasks, for a gang all or none. nullopt if no task is
// placed. Precondition: `step` is set. Thread safe.
std::optional<placement_result>
place_step(const placement_request& request,
           std::span<const candidate_server> servers);

// True if the step could run if all servers were empty. Thread safe.
bool can_ever_fit(const placement_request& request,
                  std::span<const candidate_server> servers);

} // namespace poplarramp

#endif
