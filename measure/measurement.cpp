#include "measurement.hpp"

#include <json/writer.h>

#include <algorithm>
#include <cmath>
#include <ostream>

namespace poplarramp
{

namespace
{

// Four significant digits; further ones would be noise.
double rounded(double value)
{
    if (value == 0)
    {
        return 0;
    }
    const double scale =
        std::pow(10.0, 3 - std::floor(std::log10(std::fabs(value))));
    return std::round(value * scale) / scale;
}

Json::StreamWriterBuilder one_line()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = 6;
    return builder;
}

} // namespace

void print(std::ostream& out, const figure& item)
{
    Json::Value line;
    line["name"] = item.name;
    line["value"] = rounded(item.value);
    line["unit"] = item.unit;
    line["baseline"] = item.baseline != 0 ? Json::Value(rounded(item.baseline))
                                          : Json::Value(Json::nullValue);
    line["ratio"] = item.baseline != 0
                        ? Json::Value(rounded(item.value / item.baseline))
                        : Json::Value(Json::nullValue);
    line["seed"] = static_cast<Json::UInt64>(item.seed);
    static const Json::StreamWriterBuilder builder = one_line();
    out << Json::writeString(builder, line) << std::endl;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

} // namespace poplarramp
