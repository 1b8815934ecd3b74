// Named measurements and their output, one line per figure.
#ifndef POPLARRAMP_MEASURE_MEASUREMENT_HPP
#define POPLARRAMP_MEASURE_MEASUREMENT_HPP

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace poplarramp
{

struct measurement
{
    std::string name;
    std::function<void(std::ostream& out)> run;
    // Runs only if it is named, because it would distort the other figures.
    bool only_by_name = false;
};

struct figure
{
    std::string name;
    double value = 0;
    std::string unit;
    // 0: there is no baseline to compare with.
    double baseline = 0;
    std::uint64_t seed = 0;
};

// Prints one JSON line.
void print(std::ostream& out, const figure& item);

// Value that the given share (0 to 1) of the values does not exceed; 0 if
// empty.
double quantile(std::vector<double> values, double share);

} // namespace poplarramp

#endif
