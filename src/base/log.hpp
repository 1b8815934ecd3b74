// Structured log lines: time, level, prefix of the part, a short sentence, and
// fields, as text or as one JSON object a line.
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

// Sends lines of `level` and above to standard error ("stderr"), as JSON to
// standard output ("stdout"), or appends them to a file. Lines to standard
// output pass through a bounded queue that drops lines when it is full, and
// each sentence is limited to `max_lines_per_second`. Call once, before other
// threads start.
void start_log(log_level level, const std::string& destination);

// Lines of one part and sentence that standard output takes in a second; the
// next line tells how many were left out.
constexpr std::uint64_t max_lines_per_second = 200;

// Name of the process in JSON lines. Call before other threads start.
void set_log_source(const std::string& name);

// Writes what is queued; call once, after the last line.
void stop_log();

// Lines that were dropped because the queue was full. Thread safe.
std::uint64_t dropped_log_lines();

// Changes the level. Thread safe.
void set_log_level(log_level level);

// Writes one line. `part` is the fixed prefix of a part, such as "sched".
// Values that hold spaces or quotes are quoted. Thread safe.
void log_line(log_level level,
              std::string_view part,
              std::string_view sentence,
              std::initializer_list<log_field> fields = {});

} // namespace poplarramp

#endif
