#include "report/counters.hpp"

#include <cstdio>
#include <utility>

namespace poplarramp
{

namespace
{

const std::string prefix = "poplarramp_";

std::string text_of(double value)
{
    char number[32];
    std::snprintf(number, sizeof number, "%.9g", value);
    return number;
}

void append_value(std::string& text,
                  const std::string& name,
                  const char* type,
                  double value)
{
    text += "# TYPE " + name + " " + type + "\n" + name + " " + text_of(value) +
            "\n";
}

// Quotes and backslashes would end the label early.
std::string escaped(const std::string& label)
{
    std::string text;
    for (const char item : label)
    {
        if (item == '"' || item == '\\')
        {
            text += '\\';
        }
        text += item == '\n' ? ' ' : item;
    }
    return text;
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

void counters::set_by_customer(
    std::map<std::string, std::map<std::string, double>> gauges)
{
    customer_gauges_ = std::move(gauges);
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
    for (const auto& [name, values] : customer_gauges_)
    {
        const auto full = prefix + name;
        text += "# TYPE " + full + " gauge\n";
        for (const auto& [customer, value] : values)
        {
            text += full + "{customer=\"" + escaped(customer) + "\"} " +
                    text_of(value) + "\n";
        }
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
