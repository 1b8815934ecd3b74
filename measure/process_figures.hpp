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
    // Address for callers.
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

// Reads the file that scripts/measure writes; no entries if it is wrong.
process_set read_process_set(const std::string& path);

// Path latency, configuration, availability zone out, control costs and, last
// because it kills processes, takeover.
std::vector<measurement> process_measurements(const process_set& processes);

} // namespace poplarramp

#endif
