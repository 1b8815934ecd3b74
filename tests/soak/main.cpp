// Runs seeds of the soak test, which injects faults into real processes, one
// after another.
#include "base/log.hpp"
#include "soak/soak_run.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <random>
#include <string>

namespace
{

using namespace poplarramp;
namespace options = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

int run_seeds(const options::variables_map& values)
{
    const auto first = values["first"].as<std::uint64_t>();
    const auto count = values["seeds"].as<std::uint64_t>();
    std::uint64_t failed = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        soak::soak_run_settings settings;
        settings.seed = seed;
        settings.program = values["program"].as<std::string>();
        settings.vms = values["vms"].as<int>();
        const auto folder = std::filesystem::temp_directory_path() /
                            ("poplarramp-soak-" + std::to_string(seed) + "-" +
                             std::to_string(std::random_device{}()));
        std::filesystem::create_directories(folder);
        settings.folder = folder.string();
        soak::soak_run test(settings);
        const auto violations = test.run();
        std::cout << "seed " << seed << ": " << test.starts() << " starts, "
                  << (violations.empty() ? "no violations" : "FAILED") << '\n';
        for (const auto& text : violations)
        {
            std::cout << "    " << text << '\n';
        }
        if (violations.empty())
        {
            std::filesystem::remove_all(folder);
        }
        else
        {
            ++failed;
            std::cout << "    logs: " << settings.folder << '\n';
        }
        std::cout << std::flush;
    }
    std::cout << "soak: " << count - failed << " passed, " << failed
              << " failed" << std::endl;
    return failed == 0 ? 0 : exit_failed;
}

} // namespace

int main(int count, char** arguments)
{
    // Writing to a connection of a killed VM raises SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    set_log_level(log_level::error);
    options::options_description description("poplarramp-soak");
    description.add_options()("help", "print this help")(
        "program",
        options::value<std::string>()->default_value("build/poplarramp"),
        "program of the entry VMs")(
        "first",
        options::value<std::uint64_t>()->default_value(1),
        "first seed")("seeds",
                      options::value<std::uint64_t>()->default_value(1),
                      "number of seeds")(
        "vms", options::value<int>()->default_value(3), "entry VMs");
    try
    {
        options::variables_map values;
        options::store(
            options::parse_command_line(count, arguments, description), values);
        options::notify(values);
        if (values.count("help") != 0)
        {
            std::cout << description;
            return 0;
        }
        return run_seeds(values);
    }
    catch (const std::exception& error)
    {
        std::cerr << "poplarramp-soak: " << error.what() << '\n';
        return exit_usage;
    }
}
