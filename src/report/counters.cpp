#include "report/counters.hpp"

#include <cstdio>

namespace poplarramp
{

namespace
{

const std::string prefix = "poplarramp_";

void append_value(std::string& text,
                  const std::string& name,
                  const char* type,
                  double value)
{
    char number[32];
    std::snprintf(number, sizeof number, "%.9g", value);
    text += "# TYPE " + name + " " + type + "\n" + name + " " + number + "\n";
}

} // namespace

void counters::add(const std::string& name, double amount)
{
    totals_[name] += amount;
}

void counters::set(const std::string& name, double value)
{
    gauges_[name] = value;
}

void counters::record(const std::string& name, milliseconds value)
{
    histograms_[name].record(value);
}

std::string counters::prometheus() const
{
    std::string text;
    for (const auto& [name, value] : totals_)
    {
        append_value(text, prefix + name + "_total", "counter", value);
    }
    for (const auto& [name, value] : gauges_)
    {
        append_value(text, prefix + name, "gauge", value);
    }
    for (const auto& [name, values] : histograms_)
    {
        const auto full = prefix + name + "_seconds";
        text += "# TYPE " + full + " histogram\n";
        values.append_prometheus(text, full, "");
    }
    return text;
}

} // namespace poplarramp
