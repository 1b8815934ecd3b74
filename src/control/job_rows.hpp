// Rows of accepted jobs in the table: attempt records before a start, the final
// row with the removal from the index of open jobs, and the scan of that index.
#ifndef POPLARRAMP_CONTROL_JOB_ROWS_HPP
#define POPLARRAMP_CONTROL_JOB_ROWS_HPP

#include "base/time.hpp"
#include "model/job.hpp"
#include "services/table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

// `attempt_record::note` of an attempt that is known not to have run.
constexpr std::string_view note_not_run = "not_run";

// `attempt_record::note` of an attempt whose server was lost. Several attempts
// of an idempotent job may have it.
constexpr std::string_view note_lost = "lost";

// Row of a job as it was read.
struct job_row_view
{
    failure error;
    // Absent with no error if there is no row.
    std::optional<job> item;
    std::uint64_t version = 0;
};

enum class record_result
{
    recorded,
    // The job has ended; the view holds the outcome.
    already_final,
    // The row has an attempt of another scheduler that may have run.
    foreign_attempt,
    // There is no row, although an attempt needs one.
    missing,
    // Not recorded within the timeout. A write without a reply may still take
    // effect; the row then only shows an attempt that was not started.
    unavailable,
};

// Attempts that may have run: those of the highest number, unless they are
// noted as not run.
std::vector<attempt_record> open_attempts(const job& item);

int last_attempt(const job& item);

// Servers that were lost under its attempts; each incarnation counts once.
int lost_servers(const job& item);

// Outcome that `job_rows::finish` writes, and its callbacks.
struct final_write
{
    job item;
    // The outcome is that the job did not run; attempts up to `not_run_up_to`
    // are known not to have run.
    bool did_not_run = false;
    int not_run_up_to = 0;
    // Checked before each write with `did_not_run`; if false, nothing is
    // written and `withdrawn` is called.
    std::function<bool()> still_valid;
    std::function<void()> withdrawn;
    // Called once if the first attempt to write fails.
    std::function<void()> delayed;
    // Gets the row as stored: the first final outcome written is kept.
    std::function<void(const job& row)> done;
    // Called instead of `done`, and nothing is written, if the job did not run
    // here but the row has another attempt that may have run.
    std::function<void(const job& row)> foreign_attempt;
};

// Not thread safe; used on the control thread only. Replies that arrive after
// destruction are ignored.
class job_rows
{
public:
    job_rows(std::string zone,
             table store,
             clock_mapping clock,
             std::function<time_point()> now);

    void read(const std::string& id, std::function<void(job_row_view)> done);

    // Adds `attempts`, which share one number, to the row and notes earlier
    // ones up to number `not_run_up_to` as not run, unless they are noted as
    // lost. `done` gets the row as written or found.
    void record(const std::string& id,
                std::vector<attempt_record> attempts,
                int not_run_up_to,
                std::function<void(record_result, job_row_view)> done);

    // Writes the final row and removes the job from the index, with retries
    // until the row is final. No effect if the job is being finished.
    void finish(final_write write);

    // Reads one page of the index: the ids of jobs after `after`, and `next` as
    // `after` of the next page, empty after the last one.
    void scan(const std::string& after,
              int limit,
              std::function<void(const failure& error,
                                 std::vector<std::string> ids,
                                 std::string next)> done);

    // Cancels `finish` of a job; false if its write is in flight or there is
    // none.
    bool withdraw(const std::string& id);

    // True while a write with `did_not_run` is in flight.
    bool not_run_in_flight() const;

    // Sends due retries.
    void tick();

private:
    struct record_call;
    struct finish_call;

    static bool may_have_run(const finish_call& call, const job& row);
    std::string open_key(std::string_view id) const;
    job_row_view view_of(const table_read_reply& reply) const;
    void try_record(const std::shared_ptr<record_call>& call);
    void on_record_read(const std::shared_ptr<record_call>& call,
                        const job_row_view& view);
    void on_record_written(const std::shared_ptr<record_call>& call,
                           const table_write_reply& reply);
    void end_record(const std::shared_ptr<record_call>& call,
                    record_result result,
                    const job_row_view& view);
    void try_finish(const std::shared_ptr<finish_call>& call);
    void on_finish_read(const std::shared_ptr<finish_call>& call,
                        const job_row_view& view);
    void write_final(const std::shared_ptr<finish_call>& call,
                     const job_row_view& view,
                     std::uint64_t open_version);
    bool is_current(const std::shared_ptr<finish_call>& call) const;
    bool withdraw_finish(const std::shared_ptr<finish_call>& call);
    void retry_finish(const std::shared_ptr<finish_call>& call);
    void end_finish(const std::shared_ptr<finish_call>& call, const job& item);

    std::string zone_;
    table store_;
    clock_mapping clock_;
    std::function<time_point()> now_;
    std::map<std::string, std::shared_ptr<finish_call>> finishing_;
    std::vector<std::shared_ptr<record_call>> recording_;
    int finishes_in_flight_ = 0;
    std::shared_ptr<char> lifetime_ = std::make_shared<char>();
};

} // namespace poplarramp

#endif
