// Text tables with aligned columns.
#ifndef POPLARRAMP_CLI_TEXT_TABLE_HPP
#define POPLARRAMP_CLI_TEXT_TABLE_HPP

#include <json/value.h>

#include <span>
#include <string>
#include <string_view>

namespace poplarramp
{

struct column
{
    std::string_view title;
    // Member of the row that holds the value.
    std::string_view member;
};

// A line of titles and one line per element of `rows`. A column is as wide as
// its longest value; an absent or empty value is printed as "-". Thread safe.
std::string text_table(std::span<const column> columns,
                       const Json::Value& rows);

} // namespace poplarramp

#endif
