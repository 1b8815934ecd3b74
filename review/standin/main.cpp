// Stand-ins of the review's scripts, and what happens in each case. Exit codes:
// 0 the rule held, 1 it was broken, 2 the case could not run.
#include "base/log.hpp"
#include "review/standin/scenario.hpp"

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace
{

constexpr int exit_failed = 2;

} // namespace

// Arguments: case, record file, port of the store, 0 for no trouble, and the
// front addresses of the machines.
int main(int count, char** arguments)
{
    using namespace poplarramp;
    constexpr int first_front = 5;
    std::signal(SIGPIPE, SIG_IGN);
    set_log_level(log_level::error);
    try
    {
        if (count <= first_front)
        {
            throw std::runtime_error("too few arguments");
        }
        review::scenario_settings settings;
        settings.name = arguments[1];
        settings.record_file = arguments[2];
        settings.store_port =
            static_cast<std::uint16_t>(std::stoi(arguments[3]));
        settings.trouble = std::string(arguments[4]) != "0";
        settings.fronts.assign(arguments + first_front, arguments + count);
        return review::run_scenario(settings);
    }
    catch (const std::exception& error)
    {
        std::cerr << "review-standin: " << error.what() << '\n';
        return exit_failed;
    }
}
