// What happens in each case that is put as a script.
#ifndef POPLARRAMP_REVIEW_SCENARIO_HPP
#define POPLARRAMP_REVIEW_SCENARIO_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace poplarramp::review
{

struct scenario_settings
{
    std::string name;
    std::string record_file;
    std::uint16_t store_port = 0;
    bool trouble = true;
    std::vector<std::string> fronts;
};

// Returns the exit code. Throws std::runtime_error if the case cannot run.
int run_scenario(const scenario_settings& settings);

} // namespace poplarramp::review

#endif
