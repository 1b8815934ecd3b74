// Rows of accepted jobs in the platform's table.
#ifndef POPLARRAMP_CONTROL_JOB_STORE_HPP
#define POPLARRAMP_CONTROL_JOB_STORE_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "model/job.hpp"
#include "services/table.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace poplarramp
{

// "job/<customer>/<key>" and "open/<zone>/<customer>/<key>".
std::string job_row_key(std::string_view job_id);
std::string open_row_key(std::string_view zone, std::string_view job_id);

struct job_store_hooks
{
    table store;
    std::function<time_point()> now;
    clock_mapping clock;
};

struct accept_reply
{
    // `key_reused`: the key belongs to a job with a different request.
    // `store_unavailable`: the job was not and will not be accepted.
    // `answer_lost`: the row may exist.
    failure error;
    // The accepted job, or the job that was accepted earlier with this key.
    job item;
    // False if `item` was accepted earlier.
    bool is_new = false;
    // The table has the row, or may have it.
    bool row_may_exist = false;
};

struct job_read_reply
{
    failure error;
    // Empty: the table has no such row.
    std::optional<job> item;
    std::uint64_t row_version = 0;
};

// True if both request the same work. The deadlines may differ, because a
// caller computes a new deadline when it repeats a request.
bool same_request(const job_request& first, const job_request& second);

// Not thread safe; used on the control thread only. Each `done` is called
// exactly once unless this is destroyed first.
class job_store : public std::enable_shared_from_this<job_store>
{
public:
    explicit job_store(job_store_hooks hooks);

    // Inserts the job row and the index row in one transaction. If the reply is
    // lost, the row is read back and identified by the token until
    // `accept_deadline`. While the table is unavailable, an urgent idempotent
    // job is accepted with `durable` false. Precondition: `item` has a token.
    void accept(job item,
                time_point accept_deadline,
                std::function<void(accept_reply)> done);

    // Reads the row of a job.
    void read(const std::string& job_id,
              std::function<void(job_read_reply)> done);

    // Ends a job that no scheduler has accepted: writes the outcome and removes
    // the index row, unless the job has ended or has an attempt. Replies with
    // the resulting row, or with an error if it is not known.
    void end_unstarted(const std::string& job_id,
                       const job_outcome& outcome,
                       std::function<void(job_read_reply)> done);

    // Retries reads that are due.
    void tick();

    // Number of calls of `accept` in progress.
    std::size_t pending_accepts() const;

private:
    struct pending_accept;
    using pending_accept_ptr = std::shared_ptr<pending_accept>;

    void write(const pending_accept_ptr& entry);
    void on_written(const pending_accept_ptr& entry,
                    const table_write_reply& reply);
    void read_back(const pending_accept_ptr& entry);
    void on_read_back(const pending_accept_ptr& entry,
                      const job_read_reply& reply);
    void on_store_unavailable(const pending_accept_ptr& entry,
                              const failure& error);
    void retry_later(const pending_accept_ptr& entry);
    void finish(const pending_accept_ptr& entry, accept_reply reply);
    void write_end(const job_read_reply& row,
                   std::uint64_t index_version,
                   const job_outcome& outcome,
                   std::function<void(job_read_reply)> done);

    job_store_hooks hooks_;
    std::list<pending_accept_ptr> pending_accepts_;
};

} // namespace poplarramp

#endif
