// Command that merges the service-level burn of several entry VMs.
#ifndef POPLARRAMP_CLI_BURN_REPORT_HPP
#define POPLARRAMP_CLI_BURN_REPORT_HPP

#include "cli/api_client.hpp"
#include "cli/command_line.hpp"
#include "cli/remote.hpp"

namespace poplarramp
{

// Queries every entry VM of the command line, because each counts the jobs that
// ended there, and prints the merged rows. Returns the exit code:
// `exit_pending` if some entry VM sent no rows, `exit_unreachable` if none did.
int run_burn_report(const command_line& line, api_client& client, output out);

} // namespace poplarramp

#endif
