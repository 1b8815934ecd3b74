// Entry point of the command line.
#ifndef POPLARRAMP_CLI_CLI_HPP
#define POPLARRAMP_CLI_CLI_HPP

namespace poplarramp
{

// Exit codes of the process, documented in docs/OPERATIONS.md.
enum exit_code : int
{
    exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_unreachable = 3,
    exit_pending = 4,
};

// Runs the subcommand named by the arguments and returns its exit code.
int run_command(int argc, char** argv);

} // namespace poplarramp

#endif
