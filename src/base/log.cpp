#include "base/log.hpp"

#include "base/time.hpp"

#include <json/value.h>
#include <json/writer.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/exception_handler.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time_types.hpp>

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <ostream>
#include <utility>

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

// Found by argument-dependent lookup from within Boost.Log.
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

// Appends a value, quoted if it is empty or would not be a single word.
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

std::atomic<bool> json_lines{false};
std::string log_source;
std::atomic<std::uint64_t> dropped_lines{0};

// Overflow strategy of the queue: drops the line and counts it.
class count_and_drop
{
public:
    template <class Lock>
    static bool on_overflow(const boost::log::record_view& /*line*/,
                            Lock& /*lock*/)
    {
        ++dropped_lines;
        return false;
    }
    static void on_queue_space_available()
    {
    }
    static void interrupt()
    {
    }
};

// About 2 MB of lines of 500 bytes.
constexpr std::size_t max_queued_lines = 4096;

using stdout_sink = boost::log::sinks::asynchronous_sink<
    boost::log::sinks::text_ostream_backend,
    boost::log::sinks::bounded_fifo_queue<max_queued_lines, count_and_drop>>;

boost::shared_ptr<stdout_sink> queued_sink;

void add_stdout_log()
{
    const auto backend =
        boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    queued_sink = boost::make_shared<stdout_sink>(backend);
    queued_sink->set_formatter(expr::stream << expr::smessage);
    boost::log::core::get()->add_sink(queued_sink);
    json_lines = true;
}

// Limits the lines per second with the same component and message.
class line_rate_limiter
{
public:
    // Nullopt if the line is over the limit, else the number of lines
    // suppressed since the last one that was written.
    std::optional<std::uint64_t> admit(std::string_view component,
                                       std::string_view message)
    {
        const std::lock_guard lock(mutex_);
        auto& count = counts_[std::string(component).append(message)];
        const auto now = monotonic_now();
        if (now - count.since >= std::chrono::seconds(1))
        {
            count.since = now;
            count.written = 0;
        }
        if (count.written >= max_lines_per_second)
        {
            ++count.suppressed;
            return std::nullopt;
        }
        ++count.written;
        return std::exchange(count.suppressed, 0);
    }

private:
    struct line_count
    {
        time_point since{};
        std::uint64_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::mutex mutex_;
    std::map<std::string, line_count> counts_;
};

std::string json_line(log_level level,
                      std::string_view component,
                      std::string_view message,
                      std::initializer_list<log_field> fields,
                      std::uint64_t suppressed)
{
    Json::Value line;
    line["time"] = boost::posix_time::to_iso_extended_string(
        boost::posix_time::microsec_clock::universal_time());
    line["level"] = std::string(name_of_level(level));
    line["vm"] = log_source;
    line["part"] = std::string(component);
    line["event"] = std::string(message);
    for (const auto& field : fields)
    {
        line[std::string(field.key)] = field.value;
    }
    if (suppressed > 0)
    {
        line["left_out"] = static_cast<Json::UInt64>(suppressed);
    }
    Json::StreamWriterBuilder format;
    format["indentation"] = "";
    return Json::writeString(format, line);
}

} // namespace

void set_log_source(const std::string& name)
{
    log_source = name;
}

void stop_log()
{
    if (queued_sink)
    {
        boost::log::core::get()->remove_sink(queued_sink);
        queued_sink->stop();
        queued_sink->flush();
        queued_sink.reset();
    }
}

std::uint64_t dropped_log_lines()
{
    return dropped_lines;
}

void start_log(log_level level, const std::string& destination)
{
    // A full disk must not end the process.
    boost::log::core::get()->set_exception_handler(
        boost::log::make_exception_suppressor());
    boost::log::add_common_attributes();
    if (destination == "stdout")
    {
        add_stdout_log();
    }
    else if (destination == "stderr")
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
              std::string_view component,
              std::string_view message,
              std::initializer_list<log_field> fields)
{
    static thread_local boost::log::sources::severity_logger<log_level> logger;
    if (json_lines)
    {
        static line_rate_limiter limit;
        if (const auto suppressed = limit.admit(component, message))
        {
            BOOST_LOG_SEV(logger, level)
                << json_line(level, component, message, fields, *suppressed);
        }
        return;
    }
    std::string line;
    line.append(component).append(": ").append(message);
    for (const auto& field : fields)
    {
        line.append(" ").append(field.key).append("=");
        append_value(line, field.value);
    }
    BOOST_LOG_SEV(logger, level) << line;
}

} // namespace poplarramp
