// Where the tasks of one step go. Functions on plain data.
#ifndef POPLARRAMP_POLICY_STEP_PLACEMENT_HPP
#define POPLARRAMP_POLICY_STEP_PLACEMENT_HPP

#include "model/step_job.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplarramp
{

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
    // What could be had beyond `free` by stopping runs, and what that costs, in
    // core seconds of lost work for each task placed.
    resources reclaimable;
    double reclaim_cost = 0;
    // Factor on run times against the fastest servers.
    double slowdown = 1;
    // Failed runs since the last good one.
    int failures = 0;
    // Kept free for urgent jobs.
    bool reserved_for_urgent = false;
};

struct placement_request
{
    const step_spec* step = nullptr;
    std::string service;
    // Empty: all regions.
    std::vector<std::string> regions;
    int tasks = 1;
    // Tasks of the step that are on each server already, by index of the
    // server; empty: none.
    std::vector<int> present;
    bool urgent = false;
    // Count what could be reclaimed as free.
    bool reclaim = false;
    // Count the servers as empty.
    bool on_empty = false;
    // Only servers with at most this many failures.
    int max_failures = 0;
    // Factor on run times away from the data, or over several racks.
    double remote_slowdown = 1;
    // Largest factor on run times that is accepted.
    double max_slowdown = 1;
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
    // Factor on the run time, from slow servers and far racks.
    double slowdown = 1;
    // Core seconds of work that are lost by stopping runs.
    double reclaim_cost = 0;
};

// Places up to `tasks` tasks, all or none for a gang. Nothing if none fits.
// Thread safe.
std::optional<placement_result>
place_step(const placement_request& request,
           std::span<const candidate_server> servers);

// True if the step could run on the empty servers. Thread safe.
bool can_ever_fit(const placement_request& request,
                  std::span<const candidate_server> servers);

} // namespace poplarramp

#endif
