// Measurements of the scheduling policy against the baseline.
#ifndef POPLARRAMP_MEASURE_POLICY_FIGURES_HPP
#define POPLARRAMP_MEASURE_POLICY_FIGURES_HPP

#include "measurement.hpp"

#include <vector>

namespace poplarramp
{

// Placement, urgent start, fragmentation and deadline measurements.
std::vector<measurement> policy_measurements();

} // namespace poplarramp

#endif
