#include "cli/text_table.hpp"

#include <algorithm>
#include <vector>

namespace poplarramp
{

namespace
{

using text_row = std::vector<std::string>;

std::string cell(const Json::Value& row, std::string_view member)
{
    const auto& value = row.isObject() ? row[std::string(member)]
                                       : Json::Value::nullSingleton();
    if (value.isNull() || value.isObject() || value.isArray())
    {
        return "-";
    }
    const auto text = value.asString();
    return text.empty() ? "-" : text;
}

std::string line_of(const text_row& row, const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i)
    {
        line += row[i];
        if (i + 1 < row.size())
        {
            line.append(widths[i] - row[i].size() + 2, ' ');
        }
    }
    return line + "\n";
}

} // namespace

std::string text_table(std::span<const column> columns, const Json::Value& rows)
{
    std::vector<text_row> cells(1);
    for (const auto& item : columns)
    {
        cells.front().emplace_back(item.title);
    }
    for (const auto& row : rows)
    {
        text_row line;
        line.reserve(columns.size());
        for (const auto& item : columns)
        {
            line.push_back(cell(row, item.member));
        }
        cells.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& row : cells)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto& row : cells)
    {
        text += line_of(row, widths);
    }
    return text;
}

} // namespace poplarramp
