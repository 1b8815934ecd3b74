#include "control/job_store.hpp"

#include "model/codec.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

constexpr milliseconds table_timeout{2000};
constexpr milliseconds retry_interval{250};

// True if the error means that the table did not execute the call.
bool was_not_executed(const failure& error)
{
    return error.code == result_code::store_unavailable ||
           error.code == result_code::circuit_open;
}

bool may_run_without_row(const job& item)
{
    return item.urgency_class == urgency::urgent && item.idempotent;
}

} // namespace

struct job_store::pending_accept
{
    job item;
    time_point accept_deadline;
    std::function<void(accept_reply)> done;
    bool write_outcome_unknown = false;
    // A write found an existing row with the same key.
    bool key_taken = false;
    // Time of the next read; `no_deadline` while a call is in flight.
    time_point retry_at = no_deadline;
};

std::string job_row_key(std::string_view job_id)
{
    return "job/" + std::string(job_id);
}

std::string open_row_key(std::string_view zone, std::string_view job_id)
{
    return "open/" + std::string(zone) + "/" + std::string(job_id);
}

bool same_request(const job_request& first, const job_request& second)
{
    return first.customer == second.customer && first.key == second.key &&
           first.kind == second.kind &&
           first.accelerators == second.accelerators &&
           first.payload == second.payload;
}

job_store::job_store(job_store_hooks hooks) : hooks_(std::move(hooks))
{
}

void job_store::accept(job item,
                       time_point accept_deadline,
                       std::function<void(accept_reply)> done)
{
    auto entry = std::make_shared<pending_accept>();
    entry->item = std::move(item);
    entry->accept_deadline = accept_deadline;
    entry->done = std::move(done);
    pending_accepts_.push_back(entry);
    write(entry);
}

void job_store::write(const pending_accept_ptr& entry)
{
    entry->retry_at = no_deadline;
    const auto id = job_id(entry->item.request);
    std::vector<table_change> changes(2);
    changes[0].key = job_row_key(id);
    changes[0].value = json_text(to_json(entry->item, hooks_.clock));
    changes[1].key = open_row_key(entry->item.zone, id);
    changes[1].value = id;
    hooks_.store.write(
        std::move(changes),
        hooks_.now() + table_timeout,
        [weak = weak_from_this(), entry](const table_write_reply& reply)
        {
            if (const auto self = weak.lock())
            {
                self->on_written(entry, reply);
            }
        });
}

void job_store::on_written(const pending_accept_ptr& entry,
                           const table_write_reply& reply)
{
    if (!reply.error)
    {
        finish(entry, {{}, entry->item, true, true});
        return;
    }
    if (was_not_executed(reply.error))
    {
        on_store_unavailable(entry, reply.error);
        return;
    }
    if (reply.error.code == result_code::conflict)
    {
        entry->key_taken = true;
    }
    else
    {
        entry->write_outcome_unknown = true;
    }
    read_back(entry);
}

void job_store::read_back(const pending_accept_ptr& entry)
{
    entry->retry_at = no_deadline;
    read(job_id(entry->item.request),
         [weak = weak_from_this(), entry](const job_read_reply& reply)
         {
             if (const auto self = weak.lock())
             {
                 self->on_read_back(entry, reply);
             }
         });
}

void job_store::on_read_back(const pending_accept_ptr& entry,
                             const job_read_reply& reply)
{
    if (was_not_executed(reply.error))
    {
        on_store_unavailable(entry, reply.error);
        return;
    }
    if (reply.error)
    {
        retry_later(entry);
        return;
    }
    if (!reply.item)
    {
        // The write has not taken effect yet but still may. Repeating it is
        // safe, because it has the same token.
        if (entry->write_outcome_unknown &&
            hooks_.now() < entry->accept_deadline)
        {
            write(entry);
            return;
        }
        retry_later(entry);
        return;
    }
    const auto& found = *reply.item;
    if (found.token == entry->item.token)
    {
        finish(entry, {{}, found, true, true});
        return;
    }
    if (!same_request(found.request, entry->item.request))
    {
        finish(entry,
               {{result_code::key_reused,
                 "the key belongs to a job with another request"},
                {},
                false,
                false});
        return;
    }
    finish(entry, {{}, found, false, true});
}

// The table did not execute a call. An urgent idempotent job is accepted
// without a row, even after a write whose outcome is not known, because the
// token is the same. It is not if the key is taken, because the job with that
// key may have ended.
void job_store::on_store_unavailable(const pending_accept_ptr& entry,
                                     const failure& error)
{
    if (may_run_without_row(entry->item) && !entry->key_taken)
    {
        entry->item.durable = false;
        finish(entry, {{}, entry->item, true, entry->write_outcome_unknown});
        return;
    }
    if (entry->write_outcome_unknown || entry->key_taken)
    {
        retry_later(entry);
        return;
    }
    finish(entry,
           {{result_code::store_unavailable,
             "the job was not accepted: " + error.reason},
            {},
            false,
            false});
}

void job_store::retry_later(const pending_accept_ptr& entry)
{
    if (hooks_.now() < entry->accept_deadline)
    {
        entry->retry_at = hooks_.now() + retry_interval;
        return;
    }
    if (entry->write_outcome_unknown || entry->key_taken)
    {
        finish(entry,
               {{result_code::answer_lost,
                 "it is not known whether the job was accepted; repeat the "
                 "request with the same key"},
                {},
                false,
                false});
        return;
    }
    finish(entry,
           {{result_code::store_unavailable,
             "the job was not accepted: the table does not answer"},
            {},
            false,
            false});
}

void job_store::finish(const pending_accept_ptr& entry, accept_reply reply)
{
    pending_accepts_.remove(entry);
    entry->done(std::move(reply));
}

void job_store::read(const std::string& job_id,
                     std::function<void(job_read_reply)> done)
{
    hooks_.store.read(job_row_key(job_id),
                      hooks_.now() + table_timeout,
                      [clock = hooks_.clock,
                       done = std::move(done)](const table_read_reply& reply)
                      {
                          job_read_reply result;
                          result.error = reply.error;
                          result.row_version = reply.row.version;
                          if (reply.error || reply.row.version == 0)
                          {
                              done(std::move(result));
                              return;
                          }
                          failure why;
                          const auto json = parse_json(reply.row.value, why);
                          result.item = json ? job_from_json(*json, clock, why)
                                             : std::nullopt;
                          if (!result.item)
                          {
                              result.error = {result_code::internal_error,
                                              "the row of the job is broken: " +
                                                  why.reason};
                          }
                          done(std::move(result));
                      });
}

void job_store::end_unstarted(const std::string& job_id,
                              const job_outcome& outcome,
                              std::function<void(job_read_reply)> done)
{
    read(job_id,
         [weak = weak_from_this(), job_id, outcome, done = std::move(done)](
             job_read_reply row)
         {
             const auto self = weak.lock();
             if (!self)
             {
                 return;
             }
             const bool settled = row.error || !row.item ||
                                  is_final(row.item->outcome.state) ||
                                  !row.item->attempts.empty();
             if (settled)
             {
                 done(std::move(row));
                 return;
             }
             self->hooks_.store.read(
                 open_row_key(row.item->zone, job_id),
                 self->hooks_.now() + table_timeout,
                 [weak, row, outcome, done](const table_read_reply& index)
                 {
                     const auto again = weak.lock();
                     if (again && index.error)
                     {
                         done({index.error, {}, 0});
                     }
                     else if (again)
                     {
                         again->write_end(
                             row, index.row.version, outcome, done);
                     }
                 });
         });
}

void job_store::write_end(const job_read_reply& row,
                          std::uint64_t index_version,
                          const job_outcome& outcome,
                          std::function<void(job_read_reply)> done)
{
    job item = *row.item;
    item.outcome = outcome;
    const auto id = job_id(item.request);
    std::vector<table_change> changes(1);
    changes[0].key = job_row_key(id);
    changes[0].value = json_text(to_json(item, hooks_.clock));
    changes[0].expected_version = row.row_version;
    if (index_version != 0)
    {
        changes.push_back(
            {open_row_key(item.zone, id), "", index_version, true});
    }
    hooks_.store.write(
        std::move(changes),
        hooks_.now() + table_timeout,
        [item, done = std::move(done)](const table_write_reply& reply)
        {
            if (reply.error)
            {
                done({reply.error, {}, 0});
                return;
            }
            done({{}, item, reply.versions.empty() ? 0 : reply.versions[0]});
        });
}

void job_store::tick()
{
    const auto now = hooks_.now();
    const auto entries = pending_accepts_;
    for (const auto& entry : entries)
    {
        if (entry->retry_at <= now)
        {
            read_back(entry);
        }
    }
}

std::size_t job_store::pending_accepts() const
{
    return pending_accepts_.size();
}

} // namespace poplarramp
