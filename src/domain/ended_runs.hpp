// Finds the runs in the progress row of an ended job, whose steps are not kept.
#ifndef POPLARRAMP_DOMAIN_ENDED_RUNS_HPP
#define POPLARRAMP_DOMAIN_ENDED_RUNS_HPP

#include "domain/server_api.hpp"
#include "domain/server_registry.hpp"

#include <string>
#include <utility>
#include <vector>

namespace poplarramp
{

// Runs that the row records as placed, with their servers. Parts of the row
// that cannot be decoded are left out. Thread safe.
std::vector<std::pair<run_id, server_incarnation>>
runs_in_row(const std::string& job, const std::string& progress_row);

} // namespace poplarramp

#endif
