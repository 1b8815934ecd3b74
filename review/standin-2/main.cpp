// Runs one case of the review: review-2 CASE FOLDER PROGRAM. Exits with 1 if
// the rule was broken, 0 if it held, 2 if the case could not run.
#include "cases.hpp"

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

int main(int argc, char** argv)
{
    using review::verdict;
    const std::map<std::string, verdict (*)(review::world&, bool)> cases{
        {"leader-kills", review::leader_kills},
        {"held-servers", review::held_servers},
        {"lent-guarantee", review::lent_guarantee},
        {"failing-tasks", review::failing_tasks},
        {"flood", review::flood},
    };
    constexpr int argument_count = 4;
    if (argc != argument_count || !cases.contains(argv[1]))
    {
        std::cerr << "usage: review-2 CASE FOLDER PROGRAM\n";
        return static_cast<int>(verdict::not_run);
    }
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    auto& world = *new review::world(argv[2], argv[3]);
    const auto result = cases.at(argv[1])(world, trouble);
    const std::string text = result == verdict::broken ? "broken"
                             : result == verdict::held ? "held"
                                                       : "could not run";
    world.log("verdict: " + text);
    std::cout << argv[1] << ": " << text << std::endl;
    world.close();
    std::_Exit(static_cast<int>(result));
}
