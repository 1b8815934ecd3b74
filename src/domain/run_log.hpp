// Log lines about runs. What happens to many runs of a step for the same cause
// within a short time becomes one line, so that wide steps do not crowd out the
// lines about jobs.
#ifndef POPLARRAMP_DOMAIN_RUN_LOG_HPP
#define POPLARRAMP_DOMAIN_RUN_LOG_HPP

#include "base/log.hpp"
#include "base/time.hpp"
#include "domain/server_api.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace poplarramp
{

// Used on the control thread only.
class run_log
{
public:
    // Records an event of a run. `event` is the sentence of the line, in the
    // plural; `cause` says how or why. Precondition: `event` outlives the call
    // of `flush` that follows.
    void add(log_level level,
             std::string_view event,
             const run_id& run,
             const std::string& server,
             const std::string& cause);

    // Writes all lines if their interval has passed.
    void flush(time_point now);

    // Writes the lines of a job, or of all jobs.
    void flush_job(const std::string& job);
    void flush_all();

private:
    // Event, job, repetition, step, attempt and cause.
    using line_key =
        std::tuple<std::string_view, std::string, int, int, int, std::string>;

    struct line
    {
        log_level level = log_level::info;
        std::size_t runs = 0;
        std::set<std::string> servers;
        // "index@server" of the first and last run, in the order of the events.
        std::string first;
        std::string last;
    };

    static void write(const line_key& key, const line& item);

    std::map<line_key, line> lines_;
    time_point next_flush_{};
};

} // namespace poplarramp

#endif
