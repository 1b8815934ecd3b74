// Runs named measurements and prints one JSON line per figure.
#include "fleet_figures.hpp"
#include "policy_figures.hpp"
#include "process_figures.hpp"

#include <algorithm>
#include <iostream>
#include <string>

namespace
{

// Arguments: [--processes FILE] [NAME...]. Measures the processes listed in the
// file, or the policy without it; names select measurements.
int run(const std::vector<std::string>& arguments)
{
    poplarramp::process_set processes;
    auto names = arguments;
    const bool on_processes =
        names.size() >= 2 && names.front() == "--processes";
    if (on_processes)
    {
        processes = poplarramp::read_process_set(names[1]);
        names.erase(names.begin(), names.begin() + 2);
    }
    auto measurements = on_processes
                            ? poplarramp::process_measurements(processes)
                            : poplarramp::policy_measurements();
    if (!on_processes)
    {
        const auto of_fleets = poplarramp::fleet_measurements();
        measurements.insert(
            measurements.end(), of_fleets.begin(), of_fleets.end());
    }
    for (const auto& item : measurements)
    {
        const bool selected =
            (names.empty() && !item.only_by_name) ||
            std::find(names.begin(), names.end(), item.name) != names.end();
        if (selected)
        {
            item.run(std::cout);
        }
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run({argv + 1, argv + argc});
}
