#include "control/job_rows.hpp"

#include "model/codec.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds table_timeout{2000};
constexpr milliseconds record_retry_interval{500};
// Short, because an attempt holds accelerators while its record is written.
constexpr milliseconds record_timeout{4000};
constexpr milliseconds initial_finish_backoff{250};
constexpr milliseconds max_finish_backoff{8000};
// Limits the load on the table when it recovers from an outage.
constexpr int max_finish_calls = 32;

std::string job_key(std::string_view id)
{
    return "job/" + std::string(id);
}

bool contains(std::span<const attempt_record> records,
              const attempt_record& target)
{
    return std::any_of(records.begin(),
                       records.end(),
                       [&target](const attempt_record& record)
                       {
                           return record.number == target.number &&
                                  record.server == target.server &&
                                  record.incarnation == target.incarnation &&
                                  record.epoch == target.epoch;
                       });
}

} // namespace

struct job_rows::record_call
{
    std::string id;
    std::vector<attempt_record> attempts;
    int not_run_up_to = 0;
    std::function<void(record_result, job_row_view)> done;
    time_point deadline{};
    time_point next_try{};
    bool in_flight = false;
    // The row as set by the last write.
    job_row_view written;
};

struct job_rows::finish_call
{
    final_write write;
    bool writing = false;
    milliseconds backoff = initial_finish_backoff;
    time_point next_try{};
    bool in_flight = false;
};

bool job_rows::may_have_run(const finish_call& call, const job& row)
{
    const auto open = open_attempts(row);
    return !open.empty() && open.front().number > call.write.not_run_up_to;
}

std::vector<attempt_record> open_attempts(const job& item)
{
    const int last = last_attempt(item);
    std::vector<attempt_record> open;
    for (const auto& record : item.attempts)
    {
        if (record.number == last && record.note != note_not_run)
        {
            open.push_back(record);
        }
    }
    return open;
}

int last_attempt(const job& item)
{
    int last = 0;
    for (const auto& record : item.attempts)
    {
        last = std::max(last, record.number);
    }
    return last;
}

int lost_servers(const job& item)
{
    std::set<std::pair<std::string, std::string>> servers;
    for (const auto& record : item.attempts)
    {
        if (record.note == note_lost)
        {
            servers.emplace(record.server, record.incarnation);
        }
    }
    return static_cast<int>(servers.size());
}

job_rows::job_rows(std::string zone,
                   table store,
                   clock_mapping clock,
                   std::function<time_point()> now)
    : zone_(std::move(zone)), store_(std::move(store)), clock_(clock),
      now_(std::move(now))
{
}

std::string job_rows::open_key(std::string_view id) const
{
    return "open/" + zone_ + "/" + std::string(id);
}

job_row_view job_rows::view_of(const table_read_reply& reply) const
{
    job_row_view view;
    view.error = reply.error;
    view.version = reply.row.version;
    if (view.error || view.version == 0)
    {
        return view;
    }
    const auto json = parse_json(reply.row.value, view.error);
    if (json)
    {
        view.item = job_from_json(*json, clock_, view.error);
    }
    return view;
}

void job_rows::read(const std::string& id,
                    std::function<void(job_row_view)> done)
{
    store_.read(job_key(id),
                now_() + table_timeout,
                [this,
                 lifetime = std::weak_ptr<char>(lifetime_),
                 done = std::move(done)](const table_read_reply& reply)
                {
                    if (!lifetime.expired())
                    {
                        done(view_of(reply));
                    }
                });
}

void job_rows::record(const std::string& id,
                      std::vector<attempt_record> attempts,
                      int not_run_up_to,
                      std::function<void(record_result, job_row_view)> done)
{
    auto call = std::make_shared<record_call>();
    call->id = id;
    call->attempts = std::move(attempts);
    call->not_run_up_to = not_run_up_to;
    call->done = std::move(done);
    call->deadline = now_() + record_timeout;
    recording_.push_back(call);
    try_record(call);
}

void job_rows::try_record(const std::shared_ptr<record_call>& call)
{
    call->in_flight = true;
    read(call->id,
         [this, call](const job_row_view& view)
         { on_record_read(call, view); });
}

// Reads before each write, which also detects an earlier write whose reply was
// lost: the row then holds these attempts.
void job_rows::on_record_read(const std::shared_ptr<record_call>& call,
                              const job_row_view& view)
{
    if (view.error)
    {
        call->in_flight = false;
        call->next_try = now_() + record_retry_interval;
        return;
    }
    if (!view.item)
    {
        end_record(call, record_result::missing, view);
        return;
    }
    if (is_final(view.item->outcome.state))
    {
        end_record(call, record_result::already_final, view);
        return;
    }
    if (contains(view.item->attempts, call->attempts.front()))
    {
        end_record(call, record_result::recorded, view);
        return;
    }
    job changed = *view.item;
    for (auto& record : changed.attempts)
    {
        if (record.note == note_not_run || record.note == note_lost)
        {
            continue;
        }
        if (record.number > call->not_run_up_to)
        {
            end_record(call, record_result::foreign_attempt, view);
            return;
        }
        record.note = note_not_run;
    }
    changed.attempts.insert(
        changed.attempts.end(), call->attempts.begin(), call->attempts.end());
    changed.outcome.state = job_state::starting;
    call->written.item = changed;
    store_.write({{job_key(call->id),
                   json_text(to_json(changed, clock_)),
                   view.version,
                   false}},
                 now_() + table_timeout,
                 [this, lifetime = std::weak_ptr<char>(lifetime_), call](
                     const table_write_reply& reply)
                 {
                     if (!lifetime.expired())
                     {
                         on_record_written(call, reply);
                     }
                 });
}

void job_rows::on_record_written(const std::shared_ptr<record_call>& call,
                                 const table_write_reply& reply)
{
    if (!reply.error)
    {
        end_record(call, record_result::recorded, call->written);
        return;
    }
    const bool conflict = reply.error.code == result_code::conflict;
    call->in_flight = false;
    call->next_try =
        now_() + (conflict ? milliseconds(0) : record_retry_interval);
}

void job_rows::end_record(const std::shared_ptr<record_call>& call,
                          record_result result,
                          const job_row_view& view)
{
    std::erase(recording_, call);
    call->done(result, view);
}

void job_rows::finish(final_write write)
{
    auto& call = finishing_[job_id(write.item.request)];
    if (call)
    {
        return;
    }
    call = std::make_shared<finish_call>();
    call->write = std::move(write);
    if (finishes_in_flight_ < max_finish_calls)
    {
        const auto started = call;
        try_finish(started);
    }
}

void job_rows::try_finish(const std::shared_ptr<finish_call>& call)
{
    call->in_flight = true;
    ++finishes_in_flight_;
    read(job_id(call->write.item.request),
         [this, call](const job_row_view& view)
         { on_finish_read(call, view); });
}

bool job_rows::withdraw(const std::string& id)
{
    const auto found = finishing_.find(id);
    if (found == finishing_.end() || found->second->writing)
    {
        return false;
    }
    if (found->second->in_flight)
    {
        --finishes_in_flight_;
    }
    finishing_.erase(found);
    return true;
}

bool job_rows::is_current(const std::shared_ptr<finish_call>& call) const
{
    const auto found = finishing_.find(job_id(call->write.item.request));
    return found != finishing_.end() && found->second == call;
}

void job_rows::on_finish_read(const std::shared_ptr<finish_call>& call,
                              const job_row_view& view)
{
    if (!is_current(call))
    {
        return;
    }
    if (view.error)
    {
        retry_finish(call);
        return;
    }
    if (view.item && is_final(view.item->outcome.state))
    {
        end_finish(call, *view.item);
        return;
    }
    if (withdraw_finish(call))
    {
        return;
    }
    if (call->write.did_not_run && view.item && may_have_run(*call, *view.item))
    {
        --finishes_in_flight_;
        finishing_.erase(job_id(call->write.item.request));
        call->write.foreign_attempt(*view.item);
        return;
    }
    store_.read(open_key(job_id(call->write.item.request)),
                now_() + table_timeout,
                [this, lifetime = std::weak_ptr<char>(lifetime_), call, view](
                    const table_read_reply& reply)
                {
                    if (lifetime.expired() || !is_current(call))
                    {
                        return;
                    }
                    if (reply.error)
                    {
                        retry_finish(call);
                        return;
                    }
                    if (!withdraw_finish(call))
                    {
                        write_final(call, view, reply.row.version);
                    }
                });
}

void job_rows::write_final(const std::shared_ptr<finish_call>& call,
                           const job_row_view& view,
                           std::uint64_t open_version)
{
    job final_row = view.item ? *view.item : call->write.item;
    final_row.outcome = call->write.item.outcome;
    final_row.durable = true;
    const auto id = job_id(call->write.item.request);
    call->writing = true;
    std::vector<table_change> changes{{job_key(id),
                                       json_text(to_json(final_row, clock_)),
                                       view.version,
                                       false}};
    if (open_version != 0)
    {
        changes.push_back({open_key(id), {}, open_version, true});
    }
    store_.write(
        std::move(changes),
        now_() + table_timeout,
        [this, lifetime = std::weak_ptr<char>(lifetime_), call, final_row](
            const table_write_reply& reply)
        {
            if (lifetime.expired())
            {
                return;
            }
            call->writing = false;
            if (reply.error.code == result_code::conflict)
            {
                --finishes_in_flight_;
                try_finish(call);
                return;
            }
            if (reply.error)
            {
                retry_finish(call);
                return;
            }
            end_finish(call, final_row);
        });
}

bool job_rows::withdraw_finish(const std::shared_ptr<finish_call>& call)
{
    const bool valid = !call->write.did_not_run || call->write.still_valid();
    if (valid)
    {
        return false;
    }
    --finishes_in_flight_;
    finishing_.erase(job_id(call->write.item.request));
    call->write.withdrawn();
    return true;
}

void job_rows::retry_finish(const std::shared_ptr<finish_call>& call)
{
    call->in_flight = false;
    --finishes_in_flight_;
    call->next_try = now_() + call->backoff;
    call->backoff = std::min(call->backoff * 2, max_finish_backoff);
    if (auto delayed = std::exchange(call->write.delayed, nullptr))
    {
        delayed();
    }
}

void job_rows::end_finish(const std::shared_ptr<finish_call>& call,
                          const job& item)
{
    --finishes_in_flight_;
    finishing_.erase(job_id(call->write.item.request));
    call->write.done(item);
}

void job_rows::scan(
    const std::string& after,
    int limit,
    std::function<void(const failure&, std::vector<std::string>, std::string)>
        done)
{
    const auto prefix = open_key({});
    store_.scan(prefix,
                after,
                limit,
                now_() + table_timeout,
                [lifetime = std::weak_ptr<char>(lifetime_),
                 prefix,
                 done = std::move(done)](const table_scan_reply& reply)
                {
                    if (lifetime.expired())
                    {
                        return;
                    }
                    std::vector<std::string> ids;
                    for (const auto& row : reply.rows)
                    {
                        ids.push_back(row.key.substr(prefix.size()));
                    }
                    done(reply.error, std::move(ids), reply.next);
                });
}

bool job_rows::not_run_in_flight() const
{
    return std::any_of(finishing_.begin(),
                       finishing_.end(),
                       [](const auto& item)
                       {
                           const auto& call = *item.second;
                           return call.writing && call.write.did_not_run;
                       });
}

void job_rows::tick()
{
    const auto now = now_();
    const auto records = recording_;
    for (const auto& call : records)
    {
        if (call->in_flight || now < call->next_try)
        {
            continue;
        }
        if (now >= call->deadline)
        {
            end_record(call, record_result::unavailable, {});
            continue;
        }
        try_record(call);
    }
    for (const auto& [id, call] : finishing_)
    {
        if (finishes_in_flight_ >= max_finish_calls)
        {
            return;
        }
        if (!call->in_flight && now >= call->next_try)
        {
            try_finish(call);
        }
    }
}

} // namespace poplarramp
