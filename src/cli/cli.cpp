#include "cli/cli.hpp"

#include "base/log.hpp"
#include "cli/api_client.hpp"
#include "cli/command_line.hpp"
#include "cli/explain.hpp"
#include "cli/remote.hpp"
#include "config/settings.hpp"
#include "config/sheet_file.hpp"
#include "config/site_settings.hpp"
#include "entry/process.hpp"
#include "entry/site_vm.hpp"
#include "platform/adapter.hpp"

#include <fstream>
#include <functional>
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

int report_checked(const command_line& line, bool valid, const failure& why)
{
    if (!valid)
    {
        return report_failure(why);
    }
    std::cout << line.arguments[0] << ": ok\n";
    return exit_ok;
}

int check_settings(const command_line& line)
{
    failure why;
    const bool valid = read_settings(line.arguments[0], why).has_value();
    return report_checked(line, valid, why);
}

int check_site_settings(const command_line& line)
{
    failure why;
    const bool valid = read_site_settings(line.arguments[0], why).has_value();
    return report_checked(line, valid, why);
}

int check_sheet_file(const command_line& line)
{
    failure why;
    const bool valid = read_sheet(line.arguments[0], why).has_value();
    return report_checked(line, valid, why);
}

// Checked at the start, because later lines that cannot be written are dropped
// without an error.
bool can_log_to(const std::string& destination)
{
    if (destination == "stderr" || destination == "stdout")
    {
        return true;
    }
    return std::ofstream(destination, std::ios::app).is_open();
}

// Starts the log, runs the VM, and flushes the log.
int run_logged(const command_line& line,
               const std::string& vm,
               const log_settings& log,
               const std::function<bool(failure& why)>& run_vm)
{
    if (!can_log_to(log.destination))
    {
        return report_failure({result_code::bad_settings,
                               line.settings +
                                   ": log.destination: cannot "
                                   "write to " +
                                   log.destination});
    }
    set_log_source(vm);
    start_log(log.level, log.destination);
    failure why;
    const bool graceful = run_vm(why);
    stop_log();
    if (!graceful)
    {
        report_failure(why);
        return exit_failed;
    }
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
    return run_logged(line,
                      values->vm,
                      values->log,
                      [&](failure& error)
                      { return run_entry_vm(*values, line.settings, error); });
}

int serve_site(const command_line& line)
{
    failure why;
    const auto values = read_site_settings(line.settings, why);
    if (!values)
    {
        return report_failure(why);
    }
    return run_logged(line,
                      values->vm,
                      values->log,
                      [&](failure& error)
                      {
                          return run_site_vm(*values,
                                             line.settings,
                                             platform::make_adapter(),
                                             error);
                      });
}

int run(const command_line& line)
{
    if (line.command == "check-settings")
    {
        return check_settings(line);
    }
    if (line.command == "check-site-settings")
    {
        return check_site_settings(line);
    }
    if (line.command == "explain")
    {
        return explain_job(line.arguments[0], std::cin, std::cout)
                   ? exit_ok
                   : exit_failed;
    }
    if (line.command == "serve-site")
    {
        return serve_site(line);
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
