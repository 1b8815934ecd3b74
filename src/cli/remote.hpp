// Commands that call an entry VM.
#ifndef POPLARRAMP_CLI_REMOTE_HPP
#define POPLARRAMP_CLI_REMOTE_HPP

#include "cli/api_client.hpp"
#include "cli/command_line.hpp"

#include <iosfwd>

namespace poplarramp
{

// Streams of a command; tests replace them.
struct output
{
    std::ostream& text;
    std::ostream& errors;
};

// Runs apply-sheet, zone-out, zone-back, burn, submit, wait, cancel or show and
// returns the exit code.
int run_remote(const command_line& line, api_client& client, output out);

} // namespace poplarramp

#endif
