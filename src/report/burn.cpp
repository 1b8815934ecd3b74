#include "report/burn.hpp"

#include "model/json_reader.hpp"

#include <algorithm>
#include <cstdio>

namespace poplarramp
{

namespace
{

constexpr std::int64_t minute_ms = 60'000;

std::int64_t minute_of(time_point time)
{
    return time.time_since_epoch().count() / minute_ms;
}

std::string format_number(const char* format, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, format, value);
    return text;
}

std::string padded(const std::string& text, std::size_t width)
{
    return text +
           std::string(text.size() < width ? width - text.size() : 1, ' ');
}

std::string html_text(const std::string& text)
{
    std::string escaped;
    for (const char c : text)
    {
        switch (c)
        {
        case '<':
            escaped += "&lt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

double short_rate(const burn_row& row)
{
    return burn_rate(row.short_good, row.short_bad, row.objective_share);
}

double long_rate(const burn_row& row)
{
    return burn_rate(row.long_good, row.long_bad, row.objective_share);
}

std::string html_bar(double rate)
{
    // Rate that fills the bar; the mark in the style sheet at 10% is a rate
    // of 1.
    constexpr double full_rate = 10;
    const double percent = std::min(rate / full_rate, 1.0) * 100;
    return "<td><span class=\"bar\"><i class=\"" +
           std::string(rate > 1 ? "over" : "within") +
           "\" style=\"width:" + format_number("%.1f", percent) +
           "%\"></i></span> " + format_number("%.2f", rate) + "</td>";
}

} // namespace

double burn_rate(std::uint64_t good, std::uint64_t bad, double objective_share)
{
    const std::uint64_t total = good + bad;
    if (total == 0)
    {
        return 0;
    }
    // An objective of 1 has no error budget; the lower bound keeps the rate
    // finite.
    const double budget = std::max(1 - objective_share, 1e-4);
    return static_cast<double>(bad) / static_cast<double>(total) / budget;
}

void burn_counter::record(const std::string& customer,
                          const std::string& zone,
                          const std::string& kind,
                          double objective_share,
                          bool met,
                          time_point now)
{
    auto& target = series_[{customer, zone, kind}];
    target.objective_share = objective_share;
    const auto minute = minute_of(now);
    if (target.buckets.empty() || target.buckets.back().minute != minute)
    {
        const auto oldest = minute - long_window.count() / minute_ms;
        std::erase_if(target.buckets,
                      [oldest](const bucket& item)
                      { return item.minute < oldest; });
        target.buckets.push_back({minute, 0, 0});
    }
    ++(met ? target.buckets.back().good : target.buckets.back().bad);
}

std::vector<burn_row> burn_counter::rows(time_point now) const
{
    const auto short_from = minute_of(now - short_window);
    const auto long_from = minute_of(now - long_window);
    std::vector<burn_row> rows;
    for (const auto& [key, item] : series_)
    {
        burn_row row{key[0], key[1], key[2], item.objective_share, 0, 0, 0, 0};
        for (const auto& part : item.buckets)
        {
            const bool in_long = part.minute > long_from;
            const bool in_short = part.minute > short_from;
            row.long_good += in_long ? part.good : 0;
            row.long_bad += in_long ? part.bad : 0;
            row.short_good += in_short ? part.good : 0;
            row.short_bad += in_short ? part.bad : 0;
        }
        rows.push_back(row);
    }
    return rows;
}

std::vector<burn_row> merge_rows(std::span<const std::vector<burn_row>> parts)
{
    std::map<std::vector<std::string>, burn_row> merged;
    for (const auto& part : parts)
    {
        for (const auto& row : part)
        {
            const auto [entry, added] =
                merged.insert({{row.customer, row.zone, row.kind}, row});
            if (added)
            {
                continue;
            }
            entry->second.short_good += row.short_good;
            entry->second.short_bad += row.short_bad;
            entry->second.long_good += row.long_good;
            entry->second.long_bad += row.long_bad;
        }
    }
    std::vector<burn_row> rows;
    rows.reserve(merged.size());
    for (auto& [key, row] : merged)
    {
        rows.push_back(std::move(row));
    }
    return rows;
}

Json::Value to_json(std::span<const burn_row> rows)
{
    Json::Value list(Json::arrayValue);
    for (const auto& row : rows)
    {
        Json::Value json;
        json["customer"] = row.customer;
        json["zone"] = row.zone;
        json["kind"] = row.kind;
        json["objective_share"] = row.objective_share;
        json["short_good"] = static_cast<Json::UInt64>(row.short_good);
        json["short_bad"] = static_cast<Json::UInt64>(row.short_bad);
        json["long_good"] = static_cast<Json::UInt64>(row.long_good);
        json["long_bad"] = static_cast<Json::UInt64>(row.long_bad);
        json["short_burn"] = short_rate(row);
        json["long_burn"] = long_rate(row);
        list.append(json);
    }
    return list;
}

std::optional<std::vector<burn_row>>
burn_rows_from_json(const Json::Value& json, failure& why)
{
    why = {};
    std::vector<burn_row> rows;
    json_reader reader(json, "", why);
    reader.read_each("rows",
                     [&rows](json_reader& item)
                     {
                         auto& row = rows.emplace_back();
                         item.read("customer", row.customer)
                             .read("zone", row.zone)
                             .read("kind", row.kind)
                             .read("objective_share", row.objective_share)
                             .read("short_good", row.short_good)
                             .read("short_bad", row.short_bad)
                             .read("long_good", row.long_good)
                             .read("long_bad", row.long_bad);
                     });
    return why ? std::nullopt : std::optional(std::move(rows));
}

std::string burn_table(std::span<const burn_row> rows)
{
    std::string text = padded("CUSTOMER", 20) + padded("ZONE", 18) +
                       padded("KIND", 16) + padded("OBJECTIVE", 11) +
                       padded("JOBS 1H", 9) + padded("BURN 5M", 9) +
                       "BURN 1H\n";
    for (const auto& row : rows)
    {
        text += padded(row.customer, 20) + padded(row.zone, 18) +
                padded(row.kind, 16) +
                padded(format_number("%.4g", row.objective_share), 11) +
                padded(std::to_string(row.long_good + row.long_bad), 9) +
                padded(format_number("%.2f", short_rate(row)), 9) +
                format_number("%.2f", long_rate(row)) + "\n";
    }
    return text;
}

std::string burn_html(std::span<const burn_row> rows)
{
    std::string text =
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<title>poplarramp service-level burn</title><style>"
        "body{font:14px sans-serif;margin:2em}"
        "table{border-collapse:collapse}"
        "th,td{text-align:left;padding:4px 12px;border-bottom:1px solid #ccc}"
        ".bar{display:inline-block;width:160px;height:12px;background:"
        "linear-gradient(90deg,#eee 10%,#999 10%,#999 10.8%,#eee 10.8%)}"
        ".bar i{display:block;height:12px;opacity:.8}"
        ".over{background:#c0392b}.within{background:#2e7d32}"
        "</style></head><body><h1>Service-level burn</h1>"
        "<p>Rate 1 (the mark) uses up exactly the error budget. Windows: "
        "5 minutes and 1 hour.</p><table><tr><th>Customer</th>"
        "<th>Availability zone</th><th>Kind</th><th>Objective</th>"
        "<th>Jobs, 1 h</th><th>Burn, 5 min</th><th>Burn, 1 h</th></tr>";
    for (const auto& row : rows)
    {
        text += "<tr><td>" + html_text(row.customer) + "</td><td>" +
                html_text(row.zone) + "</td><td>" + html_text(row.kind) +
                "</td><td>" + format_number("%.4g", row.objective_share) +
                "</td><td>" + std::to_string(row.long_good + row.long_bad) +
                "</td>" + html_bar(short_rate(row)) + html_bar(long_rate(row)) +
                "</tr>";
    }
    return text + "</table></body></html>\n";
}

} // namespace poplarramp
