// Structured log lines: time, level, prefix of the part, a short sentence, and
// fields as key=value.
#ifndef POPLARRAMP_BASE_LOG_HPP
#define POPLARRAMP_BASE_LOG_HPP

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

// Sends lines of `level` and above to standard error ("stderr") or appends them
// to a file. Call once, before other threads start.
void start_log(log_level level, const std::string& destination);

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
