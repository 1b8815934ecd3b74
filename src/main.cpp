#include "cli/cli.hpp"

int main(int argc, char** argv)
{
    return poplarramp::run_command(argc, argv);
}
