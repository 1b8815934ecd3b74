// Structured log lines with time, level, component, a short message and fields,
// as text or as one JSON object per line.
#ifndef POPLARRAMP_BASE_LOG_HPP
#define POPLARRAMP_BASE_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace poplarramp
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

struct log_field
{
    std::string_view key;
    std::string value;
};

// Writes lines of `level` and above to standard error ("stderr"), as JSON to
// standard output ("stdout"), or appends them to a file. Lines to standard
// output pass through a bounded queue that drops lines when it is full, and
// each message is limited to `max_lines_per_second`. Call once, before other
// threads start.
void start_log(log_level level, const std::string& destination);

// Limit of lines with the same component and message on standard output; the
// next line states how many were suppressed.
constexpr std::uint64_t max_lines_per_second = 200;

// Sets the name of the process in JSON lines. Call before other threads start.
void set_log_source(const std::string& name);

// Flushes the queue; call once, after the last line.
void stop_log();

// Lines that were dropped because the queue was full. Thread safe.
std::uint64_t dropped_log_lines();

// Changes the level. Thread safe.
void set_log_level(log_level level);

// Writes one line. `component` is the fixed name of a component, such as
// "sched". Values that contain spaces or quotes are quoted. Thread safe.
void log_line(log_level level,
              std::string_view component,
              std::string_view message,
              std::initializer_list<log_field> fields = {});

} // namespace poplarramp

#endif
