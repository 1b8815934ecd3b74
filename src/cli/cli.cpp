#include "cli/cli.hpp"

#include "base/log.hpp"
#include "cli/api_client.hpp"
#include "cli/command_line.hpp"
#include "cli/remote.hpp"
#include "config/settings.hpp"
#include "config/sheet_file.hpp"
#include "entry/process.hpp"

#include <iostream>
#include <string>
#include <vector>

namespace poplarramp
{

namespace
{

int report_failure(const failure& why)
{
    std::cerr << "cli: " << name_of(why.code) << ": " << why.reason << '\n';
    return exit_usage;
}

int check_settings(const command_line& line)
{
    failure why;
    if (!read_settings(line.arguments[0], why))
    {
        return report_failure(why);
    }
    std::cout << line.arguments[0] << ": ok\n";
    return exit_ok;
}

int check_sheet_file(const command_line& line)
{
    failure why;
    if (!read_sheet(line.arguments[0], why))
    {
        return report_failure(why);
    }
    std::cout << line.arguments[0] << ": ok\n";
    return exit_ok;
}

int serve(const command_line& line)
{
    failure why;
    const auto values = read_settings(line.settings, why);
    if (!values)
    {
        return report_failure(why);
    }
    start_log(values->log.level, values->log.destination);
    if (!run_entry_vm(*values, line.settings, why))
    {
        report_failure(why);
        return exit_failed;
    }
    return exit_ok;
}

int run(const command_line& line)
{
    if (line.command == "check-settings")
    {
        return check_settings(line);
    }
    if (line.command == "check-sheet")
    {
        return check_sheet_file(line);
    }
    if (line.command == "serve")
    {
        return serve(line);
    }
    api_client client(line.servers, line.token, line.timeout, send_over_http);
    return run_remote(line, client, {std::cout, std::cerr});
}

} // namespace

int run_command(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    early_exit exit;
    const auto line = parse_command_line(arguments, exit);
    if (!line)
    {
        (exit.code == exit_ok ? std::cout : std::cerr) << exit.text;
        return exit.code;
    }
    return run(*line);
}

} // namespace poplarramp
