#include "base/log.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/exception_handler.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

#include <iostream>
#include <ostream>

namespace poplarramp
{

namespace
{

std::string_view name_of_level(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

} // namespace

// Found by argument-dependent look-up from within Boost.Log.
std::ostream& operator<<(std::ostream& out, log_level level)
{
    return out << name_of_level(level);
}

namespace
{

namespace expr = boost::log::expressions;

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", log_level)

auto line_format()
{
    return expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << ' ' << severity << ' ' << expr::smessage;
}

// Appends a value, quoted where it would otherwise not be one word.
void append_value(std::string& line, std::string_view value)
{
    if (!value.empty() &&
        value.find_first_of(" \"\n=") == std::string_view::npos)
    {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            line += '\\';
        }
        line += c == '\n' ? ' ' : c;
    }
    line += '"';
}

} // namespace

void start_log(log_level level, const std::string& destination)
{
    // A full disk must not end the process.
    boost::log::core::get()->set_exception_handler(
        boost::log::make_exception_suppressor());
    boost::log::add_common_attributes();
    if (destination == "stderr")
    {
        boost::log::add_console_log(std::cerr,
                                    boost::log::keywords::format =
                                        line_format(),
                                    boost::log::keywords::auto_flush = true);
    }
    else
    {
        boost::log::add_file_log(boost::log::keywords::file_name = destination,
                                 boost::log::keywords::open_mode =
                                     std::ios_base::app,
                                 boost::log::keywords::format = line_format(),
                                 boost::log::keywords::auto_flush = true);
    }
    set_log_level(level);
}

void set_log_level(log_level level)
{
    boost::log::core::get()->set_filter(severity >= level);
}

void log_line(log_level level,
              std::string_view part,
              std::string_view sentence,
              std::initializer_list<log_field> fields)
{
    static thread_local boost::log::sources::severity_logger<log_level> logger;
    std::string line;
    line.append(part).append(": ").append(sentence);
    for (const auto& field : fields)
    {
        line.append(" ").append(field.key).append("=");
        append_value(line, field.value);
    }
    BOOST_LOG_SEV(logger, level) << line;
}

} // namespace poplarramp
