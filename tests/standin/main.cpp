// Stand-ins for the platform and for backend servers, for tests on the loopback
// interface.
#include "base/log.hpp"
#include "model/codec.hpp"
#include "model/json_reader.hpp"
#include "standin/backend.hpp"
#include "standin/faults.hpp"
#include "standin/host.hpp"
#include "standin/platform.hpp"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace poplarramp;
namespace options = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

struct server_entry
{
    std::uint16_t port = 0;
    standin::backend_settings settings;
};

std::optional<Json::Value> read_config(const std::string& path, failure& why)
{
    std::ifstream file(path);
    if (!file)
    {
        why = {result_code::bad_settings, "cannot read " + path};
        return std::nullopt;
    }
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    return parse_json(text, why);
}

std::optional<standin::platform_settings>
read_platform_settings(const options::variables_map& arguments, failure& why)
{
    standin::platform_settings settings;
    if (arguments.count("config") == 0)
    {
        return settings;
    }
    const auto json = read_config(arguments["config"].as<std::string>(), why);
    if (!json)
    {
        return std::nullopt;
    }
    json_reader reader(*json, "", why);
    reader.read("members_lag_ms", settings.members_lag);
    auto members = members_from_json(*json, why);
    if (!members || why)
    {
        return std::nullopt;
    }
    settings.members = std::move(*members);
    return settings;
}

void read_server(json_reader& reader, server_entry& entry)
{
    int port = 0;
    reader.read("port", port)
        .read("rack", entry.settings.rack)
        .read("accelerators", entry.settings.accelerators)
        .read("slots", entry.settings.slots)
        .read("usage_lag_ms", entry.settings.usage_lag)
        .read("orphan_limit_ms", entry.settings.orphan_timeout);
    entry.port = static_cast<std::uint16_t>(port);
}

// The backend servers listed in the configuration file, or the one that the
// command line describes.
std::vector<server_entry> read_servers(const options::variables_map& arguments,
                                       failure& why)
{
    std::vector<server_entry> servers;
    if (arguments.count("config") == 0)
    {
        auto& entry = servers.emplace_back();
        entry.port = arguments["port"].as<std::uint16_t>();
        entry.settings.rack = arguments["rack"].as<std::string>();
        entry.settings.accelerators = arguments["accelerators"].as<int>();
        entry.settings.slots = arguments["slots"].as<int>();
        entry.settings.usage_lag =
            milliseconds(arguments["usage-lag-ms"].as<int>());
        entry.settings.orphan_timeout =
            milliseconds(arguments["orphan-limit-ms"].as<int>());
        return servers;
    }
    const auto json = read_config(arguments["config"].as<std::string>(), why);
    if (!json)
    {
        return {};
    }
    json_reader reader(*json, "", why);
    reader.read_each("servers",
                     [&servers](json_reader& item)
                     { read_server(item, servers.emplace_back()); });
    return servers;
}

int fail(const failure& why)
{
    std::cerr << "poplarramp-standin: " << why.reason << '\n';
    return exit_failed;
}

int run_platform(const options::variables_map& arguments)
{
    failure why;
    const auto settings = read_platform_settings(arguments, why);
    if (!settings)
    {
        return fail(why);
    }
    standin::host process;
    standin::faults faults;
    standin::platform served(*settings, process.clock());
    auto handler = standin::with_faults(
        [&served](const http_request& request, const auto& respond)
        { served.handle(request, respond); },
        faults,
        process.clock(),
        [] {});
    if (!process.serve(
            arguments["port"].as<std::uint16_t>(), std::move(handler), why))
    {
        return fail(why);
    }
    process.run();
    return 0;
}

int run_backends(const options::variables_map& arguments)
{
    failure why;
    const auto entries = read_servers(arguments, why);
    if (why)
    {
        return fail(why);
    }
    const auto wall = clock_mapping::of_this_process();
    standin::host process;
    std::vector<std::unique_ptr<standin::backend>> servers;
    for (const auto& entry : entries)
    {
        auto& served = *servers.emplace_back(std::make_unique<standin::backend>(
            entry.settings, wall, process.clock()));
        auto handler = standin::with_faults(
            [&served](const http_request& request, const auto& respond)
            { served.handle(request, respond); },
            served.fault_state(),
            process.clock(),
            [&served] { served.on_faults_changed(); });
        if (!process.serve(entry.port, std::move(handler), why))
        {
            return fail(why);
        }
    }
    process.run();
    return 0;
}

options::options_description describe_options()
{
    options::options_description description;
    auto add = description.add_options();
    add("command", options::value<std::string>()->default_value(""));
    add("port", options::value<std::uint16_t>()->default_value(0));
    add("config", options::value<std::string>());
    add("rack", options::value<std::string>()->default_value("rack-1"));
    add("accelerators", options::value<int>()->default_value(8));
    add("slots", options::value<int>()->default_value(8));
    add("usage-lag-ms", options::value<int>()->default_value(1000));
    add("orphan-limit-ms", options::value<int>()->default_value(120000));
    return description;
}

int run(int argc, char** argv)
{
    options::positional_options_description positions;
    positions.add("command", 1);
    options::variables_map arguments;
    options::store(options::command_line_parser(argc, argv)
                       .options(describe_options())
                       .positional(positions)
                       .run(),
                   arguments);
    const auto command = arguments["command"].as<std::string>();
    start_log(log_level::info, "stderr");
    if (command == "platform")
    {
        return run_platform(arguments);
    }
    if (command == "backend")
    {
        return run_backends(arguments);
    }
    std::cerr << "usage: poplarramp-standin platform --port N [--config file]\n"
                 "       poplarramp-standin backend --port N --rack R "
                 "[--accelerators 8] [--slots 8]\n"
                 "       poplarramp-standin backend --config file\n";
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& error)
    {
        std::cerr << "poplarramp-standin: " << error.what() << '\n';
        return exit_usage;
    }
}
