// Figures of the planner on replayed days of whole fleets.
#ifndef POPLARRAMP_MEASURE_FLEET_FIGURES_HPP
#define POPLARRAMP_MEASURE_FLEET_FIGURES_HPP

#include "measurement.hpp"

#include <vector>

namespace poplarramp
{

// Service and lost work on overloaded days, and the duration of a plan.
std::vector<measurement> fleet_measurements();

} // namespace poplarramp

#endif
