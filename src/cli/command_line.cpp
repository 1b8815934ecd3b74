#include "cli/command_line.hpp"

#include "cli/cli.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sstream>
#include <string_view>

namespace poplarramp
{

namespace
{

namespace options = boost::program_options;

constexpr std::string_view default_server = "127.0.0.1:7100";
constexpr const char* token_variable = "POPLARRAMP_TOKEN";
constexpr int default_timeout_ms = 5000;
constexpr int default_wait_ms = 60000;

// Adds the options of one command.
using add_options = void (*)(options::options_description&, command_line&);

struct command
{
    std::string_view name;
    // Names of the positional arguments, separated by spaces.
    std::string_view arguments;
    std::string_view summary;
    // The command calls an entry VM.
    bool remote = false;
    add_options add = nullptr;
};

void add_serve(options::options_description& all, command_line& line)
{
    all.add_options()("settings",
                      options::value(&line.settings)->required(),
                      "settings file");
}

void add_apply(options::options_description& all, command_line& line)
{
    auto add = all.add_options();
    add("dry-run",
        options::bool_switch(&line.dry_run),
        "check at the entry VM, change nothing");
    add("expected-version",
        options::value(&line.expected_version)->default_value(0),
        "refuse if the configuration has another version; 0: any");
}

void add_wait(options::options_description& all, command_line& line)
{
    all.add_options()(
        "wait-ms",
        options::value<int>()
            ->default_value(default_wait_ms)
            ->notifier([&line](int value) { line.wait = milliseconds(value); }),
        "longest time to wait for the end of the job");
}

void add_submit(options::options_description& all, command_line& line)
{
    auto add = all.add_options();
    add("customer", options::value(&line.customer)->required(), "customer");
    add("key",
        options::value(&line.key)->required(),
        "idempotency key; a repeated key names the same job");
    add("kind", options::value(&line.kind)->required(), "kind of job");
    add("accelerators",
        options::value(&line.accelerators)->default_value(0),
        "adjacent accelerators; 0: one slot");
    add("payload", options::value(&line.payload), "input of the job");
    add("deadline-ms",
        options::value<int>()->notifier(
            [&line](int value) { line.deadline = milliseconds(value); }),
        "time from now by which the result is needed");
    add_wait(all, line);
}

void add_burn(options::options_description& all, command_line& line)
{
    all.add_options()("html",
                      options::value(&line.html_file),
                      "also write the report as an HTML page to this file");
}

constexpr std::array commands{
    command{"serve", "", "run an entry VM", false, add_serve},
    command{"serve-site",
            "",
            "run an entry VM on the users' site",
            false,
            add_serve},
    command{"check-settings", "FILE", "check a settings file"},
    command{"check-site-settings", "FILE", "check a settings file of a site"},
    command{"check-sheet", "FILE", "check a sheet"},
    command{"explain",
            "ID",
            "print the history of a job from log lines on standard input"},
    command{"apply-sheet", "FILE", "apply a sheet", true, add_apply},
    command{
        "zone-out", "ZONE", "take an availability zone out of service", true},
    command{"zone-back", "ZONE", "bring an availability zone back", true},
    command{"submit", "", "submit a job and wait for it", true, add_submit},
    command{"wait", "CUSTOMER KEY", "wait for a job", true, add_wait},
    command{"cancel", "CUSTOMER KEY", "cancel a job", true},
    command{"show",
            "LIST",
            "print zones, backend-servers, customers, jobs, vms or config",
            true},
    command{"burn",
            "",
            "print the service-level burn of the --server entry VMs",
            true,
            add_burn},
};

constexpr std::array<std::string_view, 6> lists{
    "zones", "backend-servers", "customers", "jobs", "vms", "config"};

std::size_t count_of(std::string_view arguments)
{
    if (arguments.empty())
    {
        return 0;
    }
    return 1 + static_cast<std::size_t>(
                   std::count(arguments.begin(), arguments.end(), ' '));
}

std::string usage()
{
    std::ostringstream text;
    text << "usage: poplarramp COMMAND [ARGUMENT...] [OPTION...]\n\n"
            "Commands:\n";
    for (const auto& item : commands)
    {
        std::string left(item.name);
        left += item.arguments.empty() ? "" : " ";
        left += item.arguments;
        left.resize(std::max<std::size_t>(left.size() + 1, 24), ' ');
        text << "  " << left << item.summary << '\n';
    }
    text << "\nOptions:\n"
            "  --help                  this text, or the options of a command\n"
            "  --version               print the version\n";
    return text.str();
}

void add_remote(options::options_description& all, command_line& line)
{
    auto add = all.add_options();
    add("server",
        options::value(&line.servers)->composing(),
        "entry VM, ip:port; repeat to name others that are tried when one "
        "does not answer (default 127.0.0.1:7100)");
    add("token",
        options::value(&line.token),
        "token of an operator (default: environment variable "
        "POPLARRAMP_TOKEN)");
    add("timeout-ms",
        options::value<int>()
            ->default_value(default_timeout_ms)
            ->notifier([&line](int value)
                       { line.timeout = milliseconds(value); }),
        "longest time for one call");
    add("output",
        options::value<std::string>()->default_value("table")->notifier(
            [&line](const std::string& value)
            {
                if (value != "table" && value != "json")
                {
                    throw options::error("--output must be table or json");
                }
                line.json = value == "json";
            }),
        "table or json");
}

options::options_description visible_options(const command& chosen,
                                             command_line& line)
{
    options::options_description all("Options");
    if (chosen.add != nullptr)
    {
        chosen.add(all, line);
    }
    if (chosen.remote)
    {
        add_remote(all, line);
    }
    all.add_options()("help", "this text");
    return all;
}

std::string help_of(const command& chosen,
                    const options::options_description& visible)
{
    std::ostringstream text;
    text << "usage: poplarramp " << chosen.name;
    text << (chosen.arguments.empty() ? "" : " ") << chosen.arguments;
    text << " [OPTION...]\n" << chosen.summary << "\n\n" << visible;
    return text.str();
}

// Throws options::error for wrong arguments.
bool parse_options(const command& chosen,
                   std::span<const std::string> arguments,
                   command_line& line,
                   early_exit& exit)
{
    const auto visible = visible_options(chosen, line);
    options::options_description all;
    all.add(visible).add_options()("argument", options::value(&line.arguments));
    options::positional_options_description positional;
    positional.add("argument", -1);
    options::variables_map values;
    options::store(
        options::command_line_parser({arguments.begin(), arguments.end()})
            .options(all)
            .positional(positional)
            .run(),
        values);
    if (values.count("help") != 0)
    {
        exit = {exit_ok, help_of(chosen, visible)};
        return false;
    }
    options::notify(values);
    if (line.arguments.size() != count_of(chosen.arguments))
    {
        throw options::error("expected arguments: " +
                             (chosen.arguments.empty()
                                  ? "none"
                                  : std::string(chosen.arguments)));
    }
    return true;
}

void check_values(const command_line& line)
{
    if (line.command == "show" &&
        std::find(lists.begin(), lists.end(), line.arguments[0]) == lists.end())
    {
        throw options::error("unknown list '" + line.arguments[0] + "'");
    }
    if (line.timeout < milliseconds(0) || line.wait < milliseconds(0) ||
        line.deadline < milliseconds(0))
    {
        throw options::error("a time must not be negative");
    }
}

void fill_defaults(command_line& line)
{
    if (line.servers.empty())
    {
        line.servers.emplace_back(default_server);
    }
    const char* token = std::getenv(token_variable);
    if (line.token.empty() && token != nullptr)
    {
        line.token = token;
    }
}

early_exit wrong_usage(const std::string& reason)
{
    return {exit_usage, "cli: " + reason + "; see poplarramp --help\n"};
}

} // namespace

std::optional<command_line>
parse_command_line(std::span<const std::string> arguments, early_exit& exit)
{
    if (arguments.empty())
    {
        exit = {exit_usage, usage()};
        return std::nullopt;
    }
    const auto& name = arguments.front();
    if (name == "--help")
    {
        exit = {exit_ok, usage()};
        return std::nullopt;
    }
    if (name == "--version")
    {
        exit = {exit_ok, "poplarramp " POPLARRAMP_VERSION "\n"};
        return std::nullopt;
    }
    const auto* chosen =
        std::find_if(commands.begin(),
                     commands.end(),
                     [&](const command& item) { return item.name == name; });
    if (chosen == commands.end())
    {
        exit = wrong_usage("unknown command '" + name + "'");
        return std::nullopt;
    }
    command_line line;
    line.command = name;
    try
    {
        if (!parse_options(*chosen, arguments.subspan(1), line, exit))
        {
            return std::nullopt;
        }
        check_values(line);
    }
    catch (const options::error& error)
    {
        exit = wrong_usage(name + ": " + error.what());
        return std::nullopt;
    }
    fill_defaults(line);
    return line;
}

} // namespace poplarramp
