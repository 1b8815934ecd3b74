// Each entry VM's copy of the accepted jobs and their states in the table.
#ifndef POPLARRAMP_DOMAIN_JOB_DIRECTORY_HPP
#define POPLARRAMP_DOMAIN_JOB_DIRECTORY_HPP

#include "model/step_job.hpp"
#include "services/table.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

// Rows of one job. `accepted` and `cancelled` are written once, by the entry VM
// that served the call; `state` is written by the leader.
enum class job_row_kind
{
    accepted,
    cancelled,
    state,
};

const std::string job_rows_prefix = "jobs/";

// Builds and parses the key of a job row. The parser returns nothing for any
// other key.
std::string job_row_key(std::string_view job, job_row_kind kind);
struct job_row_name
{
    std::string job;
    job_row_kind kind = job_row_kind::accepted;
};
std::optional<job_row_name> parse_job_row_key(std::string_view key);

// Content of a state row: the state, and since when the job has it.
struct job_state_row
{
    step_job_state state = step_job_state::queued;
    std::int64_t since_unix_ms = 0;
};
std::string to_text(const job_state_row& row);
std::optional<job_state_row> parse_job_state(std::string_view text);

// One job, as decoded from its rows.
struct job_record
{
    // Unset until the `accepted` row is seen. Steps and payload are dropped
    // when the job has ended.
    std::optional<step_job> job;
    // Of an ended job: at least what each of its tasks needs, since a run may
    // outlast its job.
    resources largest_need = {};
    bool cancel_requested = false;
    std::optional<job_state_row> state;

    // State to report: a job counts as cancelled once this is requested.
    step_job_state reported_state() const;
};

// Not thread safe. References are valid until the next change.
class job_directory
{
public:
    // Replaces all jobs by the rows of a scan.
    void load(const std::vector<table_row>& rows);

    // Applies one change and returns the id of the job; nothing if the key or
    // the value of the row is invalid.
    std::optional<std::string> apply(const table_row_change& change);

    const job_record* find(const std::string& id) const;

    const std::map<std::string, job_record>& all() const
    {
        return jobs_;
    }

    // Number of accepted jobs in the queue of which no server has confirmed the
    // start of a task; the leader stores that within 0.5 s.
    std::size_t pending(const std::string& queue) const;

private:
    static resources largest_need(const step_job_spec& spec);
    bool apply_value(job_record& target,
                     job_row_kind kind,
                     const std::string& value);

    std::map<std::string, job_record> jobs_;
};

} // namespace poplarramp

#endif
