// Runs seeds of the soak test, which injects faults into real processes, one
// after another.
#include "base/log.hpp"
#include "soak/play.hpp"

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

int play_seeds(const options::variables_map& given)
{
    const auto first = given["first"].as<std::uint64_t>();
    const auto count = given["seeds"].as<std::uint64_t>();
    std::uint64_t failed = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        soak::play_settings settings;
        settings.seed = seed;
        settings.program = given["program"].as<std::string>();
        settings.vms = given["vms"].as<int>();
        const auto folder = std::filesystem::temp_directory_path() /
                            ("poplarramp-soak-" + std::to_string(seed) + "-" +
                             std::to_string(std::random_device{}()));
        std::filesystem::create_directories(folder);
        settings.folder = folder.string();
        soak::play play(settings);
        const auto wrong = play.run();
        std::cout << "seed " << seed << ": " << play.starts() << " starts, "
                  << (wrong.empty() ? "no violations" : "FAILED") << '\n';
        for (const auto& text : wrong)
        {
            std::cout << "    " << text << '\n';
        }
        if (wrong.empty())
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

int main(int count, char** words)
{
    // Writing to a connection of a killed VM raises SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    set_log_level(log_level::error);
    options::options_description known("poplarramp-soak");
    known.add_options()("help", "print this help")(
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
        options::variables_map given;
        options::store(options::parse_command_line(count, words, known), given);
        options::notify(given);
        if (given.count("help") != 0)
        {
            std::cout << known;
            return 0;
        }
        return play_seeds(given);
    }
    catch (const std::exception& error)
    {
        std::cerr << "poplarramp-soak: " << error.what() << '\n';
        return exit_usage;
    }
}
