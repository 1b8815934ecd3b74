#include "report/metrics.hpp"

#include <cstdio>

namespace poplarramp
{

namespace
{

// Quotes and escapes a label value for the Prometheus text format.
std::string quoted(const std::string& value)
{
    std::string text = "\"";
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            text += '\\';
        }
        if (c == '\n')
        {
            text += "\\n";
            continue;
        }
        text += c;
    }
    return text + "\"";
}

std::string
label_text(const std::tuple<std::string, std::string, std::string>& labels)
{
    const auto& [customer, kind, zone] = labels;
    return "customer=" + quoted(customer) + ",kind=" + quoted(kind) +
           ",zone=" + quoted(zone);
}

void append_header(std::string& text,
                   const std::string& name,
                   const std::string& help,
                   const std::string& type)
{
    text +=
        "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

} // namespace

void metrics::record(const job_sample& sample)
{
    const job_labels labels{sample.customer, sample.kind, sample.zone};
    ++ended_[{labels, std::string(name_of(sample.code))}];
    if (sample.code == result_code::ok)
    {
        completion_[labels].record(sample.completion);
    }
}

void metrics::set_gauge(const std::string& name,
                        const std::string& zone,
                        double value)
{
    gauges_[{name, zone}] = value;
}

std::string metrics::prometheus() const
{
    std::string text;
    append_header(text,
                  "poplarramp_jobs_ended_total",
                  "Jobs that ended at this scheduler, by result.",
                  "counter");
    for (const auto& [key, count] : ended_)
    {
        text += "poplarramp_jobs_ended_total{" + label_text(key.first) +
                ",result=" + quoted(key.second) + "} " + std::to_string(count) +
                "\n";
    }
    append_header(text,
                  "poplarramp_job_completion_seconds",
                  "Time from acceptance to the end.",
                  "histogram");
    for (const auto& [labels, times] : completion_)
    {
        times.append_prometheus(
            text, "poplarramp_job_completion_seconds", label_text(labels));
    }
    std::string last_name;
    for (const auto& [key, value] : gauges_)
    {
        if (key.first != last_name)
        {
            text += "# TYPE " + key.first + " gauge\n";
            last_name = key.first;
        }
        char number[32];
        std::snprintf(number, sizeof number, "%.9g", value);
        text +=
            key.first + "{zone=" + quoted(key.second) + "} " + number + "\n";
    }
    return text;
}

} // namespace poplarramp
