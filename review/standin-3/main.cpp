// Runs one case: poplarramp-review-3 CASE PROGRAM FOLDER RECORD. Exits with 1
// if the rule was broken, 0 if it held, 2 if the case could not run.
#include "cases.hpp"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace
{

constexpr int exit_not_run = 2;

int run(const std::string& name, const review::deployment_paths& paths)
{
    const auto found = review::all_cases().find(name);
    if (found == review::all_cases().end())
    {
        std::cerr << "no case " << name << '\n';
        return exit_not_run;
    }
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    review::deployment site(paths);
    site.record(std::string("the case begins ") +
                (trouble ? "with" : "without") + " its disruption");
    const auto result = found->second(site, trouble);
    const std::string text = result == review::verdict::broken ? "broken"
                             : result == review::verdict::held ? "held"
                                                               : "not run";
    site.record("verdict: " + text);
    std::cout << name << ": " << text << '\n';
    return result == review::verdict::broken ? 1
           : result == review::verdict::held ? 0
                                             : exit_not_run;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int argument_count = 5;
    if (argc != argument_count)
    {
        std::cerr << "usage: poplarramp-review-3 CASE PROGRAM FOLDER RECORD\n";
        return exit_not_run;
    }
    try
    {
        return run(argv[1], {argv[2], argv[3], argv[4]});
    }
    catch (const std::exception& error)
    {
        std::cerr << "poplarramp-review-3: " << error.what() << '\n';
        return exit_not_run;
    }
}
