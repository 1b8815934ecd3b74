// Measurements of running processes: entry VMs and stand-ins on loopback.
#ifndef POPLARRAMP_MEASURE_PROCESS_FIGURES_HPP
#define POPLARRAMP_MEASURE_PROCESS_FIGURES_HPP

#include "measurement.hpp"

#include <sys/types.h>

#include <string>
#include <vector>

namespace poplarramp
{

struct entry_process
{
    std::string vm;
    std::string zone;
    // Address of the API.
    std::string address;
    pid_t pid = 0;
};

struct backend_process
{
    std::string zone;
    std::string address;
};

// The processes that scripts/measure started.
struct process_set
{
    std::string token;
    std::vector<entry_process> entries;
    std::vector<backend_process> backends;
    // A backend server that is not in the membership list, for direct calls.
    std::string spare_backend;
};

// Reads the file that scripts/measure writes; returns no entries if it is
// invalid.
process_set read_process_set(const std::string& path);

// Control costs, path latency, configuration changes and taking an availability
// zone out of service. Takeover kills processes and comes after these; the
// measurement of running tasks runs only by name.
std::vector<measurement> process_measurements(const process_set& processes);

} // namespace poplarramp

#endif
