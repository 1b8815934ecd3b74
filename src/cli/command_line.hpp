// The arguments of the command line as plain data.
#ifndef POPLARRAMP_CLI_COMMAND_LINE_HPP
#define POPLARRAMP_CLI_COMMAND_LINE_HPP

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplarramp
{

// Values of all options; each command uses some of them.
struct command_line
{
    std::string command;
    // In the order of the usage text, such as FILE or CUSTOMER KEY.
    std::vector<std::string> arguments;

    // Entry VMs, "ip:port"; the next is tried when one does not reply.
    std::vector<std::string> servers;
    std::string token;
    milliseconds timeout{0};
    bool json = false;

    std::string settings;
    bool dry_run = false;
    std::uint64_t expected_version = 0;

    // File for the burn report as an HTML page; empty: none.
    std::string html_file;

    std::string customer;
    std::string key;
    std::string kind;
    int accelerators = 0;
    std::string payload;
    // Relative to now; 0: none.
    milliseconds deadline{0};
    milliseconds wait{0};
};

// What to do instead of running a command: print `text` and exit.
struct early_exit
{
    int code = 0;
    std::string text;
};

// Parses the arguments after the program name. Returns nullopt and fills `exit`
// for help, version and wrong arguments.
std::optional<command_line>
parse_command_line(std::span<const std::string> arguments, early_exit& exit);

} // namespace poplarramp

#endif
