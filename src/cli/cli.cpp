#include "cli/cli.hpp"

#include <iostream>
#include <string_view>

namespace poplarramp
{

int run_command(int argc, char** argv)
{
    if (argc == 2 && std::string_view(argv[1]) == "--version")
    {
        std::cout << "poplarramp " << POPLARRAMP_VERSION << '\n';
        return exit_ok;
    }
    std::cerr << "usage: poplarramp --version\n";
    return exit_usage;
}

} // namespace poplarramp
