#include "control/config_change.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace poplarramp
{

namespace
{

// An entry VM that has not replied by then counts as unreachable; the write
// does not wait for it.
constexpr milliseconds closing_timeout{500};
constexpr milliseconds table_timeout{2000};
constexpr milliseconds push_timeout{1000};
constexpr milliseconds confirmation_timeout{2000};

// The operator gets a reply within this time plus the wait for confirmations.
constexpr milliseconds write_timeout{5000};
constexpr milliseconds retry_interval{250};

// Each further round is caused by a concurrent change. After a few rounds the
// race is left to the compare-and-swap of the row.
constexpr int max_closing_rounds = 3;

bool was_not_executed(const failure& error)
{
    return error.code == result_code::store_unavailable ||
           error.code == result_code::circuit_open;
}

} // namespace

config_change::config_change(config_change_hooks hooks,
                             config_edit edit,
                             std::function<void(change_reply)> done)
    : hooks_(std::move(hooks)), edit_(std::move(edit)), done_(std::move(done)),
      write_deadline_(hooks_.now() + write_timeout)
{
    token_ = hooks_.vm + "-" + std::to_string(hooks_.random());
    confirmed_.insert(hooks_.vm);
}

bool config_change::finished() const
{
    return step_ == step::finished;
}

const config_edit& config_change::edit() const
{
    return edit_;
}

void config_change::start()
{
    if (edit_.closed_zone.empty() || edit_.background)
    {
        read_row();
        return;
    }
    send_closings();
}

template <class Reply>
std::function<void(Reply)>
config_change::completion(void (config_change::*action)(const Reply&))
{
    return [weak = weak_from_this(), action](const Reply& reply)
    {
        const auto self = weak.lock();
        if (self && !self->finished())
        {
            (self.get()->*action)(reply);
        }
    };
}

// Closes the availability zone provisionally at this and all reachable entry
// VMs.
void config_change::send_closings()
{
    step_ = step::closing;
    ++closing_rounds_;
    closing_base_version_ = hooks_.view->current().version;
    const provisional_closing closing{
        edit_.closed_zone, edit_.changed_by, closing_base_version_, false};
    hooks_.view->add_closing(closing, hooks_.now());
    hooks_.on_view_changed();
    const auto peers = hooks_.members->confirming_peers(hooks_.now());
    closing_calls_in_flight_ = peers.size();
    step_deadline_ = hooks_.now() + closing_timeout;
    if (peers.empty())
    {
        read_row();
        return;
    }
    for (const auto& peer : peers)
    {
        hooks_.peers.close_zone(peer.address,
                                closing,
                                hooks_.now() + closing_timeout,
                                [weak = weak_from_this(),
                                 vm = peer.id,
                                 round = closing_rounds_](const failure& error)
                                {
                                    const auto self = weak.lock();
                                    if (self && self->closing_rounds_ == round)
                                    {
                                        self->on_closing_reply(vm, error);
                                    }
                                });
    }
}

void config_change::on_closing_reply(const std::string& vm,
                                     const failure& error)
{
    if (!error)
    {
        confirmed_.insert(vm);
    }
    --closing_calls_in_flight_;
    if (closing_calls_in_flight_ == 0 && step_ == step::closing)
    {
        read_row();
    }
}

void config_change::read_row()
{
    step_ = step::writing;
    step_deadline_ = write_deadline_;
    hooks_.store.read(config_row_key,
                      hooks_.now() + table_timeout,
                      completion<table_read_reply>(&config_change::on_row));
}

void config_change::on_row(const table_read_reply& reply)
{
    failure why;
    const auto row =
        reply.error ? std::nullopt : decode_config_row(reply.row, why);
    if (!row)
    {
        on_store_error(reply.error ? reply.error : why);
        return;
    }
    adopt(row->config);
    // A concurrent change since the closing was sent ends the closing at each
    // entry VM that knows the change, so the closing must be sent again.
    const bool ended = !edit_.closed_zone.empty() && !edit_.background &&
                       hooks_.view->current().version > closing_base_version_;
    if (ended && closing_rounds_ < max_closing_rounds)
    {
        send_closings();
        return;
    }
    write_row(*row);
}

void config_change::write_row(const config_row& base)
{
    base_ = base;
    // Starts from the view, not from `base`: a stale read of the row must not
    // revert a newer configuration.
    target_ = hooks_.view->current();
    const auto error = edit_.apply(target_);
    if (error)
    {
        finish(error);
        return;
    }
    // A newer configuration ends the provisional closings of other operators
    // unless it includes them. A closing whose change is still in progress is
    // not included: that change races with this one at the compare-and-swap.
    const auto required =
        hooks_.view->required_closings(hooks_.now() - closing_takeover_delay);
    for (const auto& closing : required)
    {
        if (closing.zone != edit_.opened_zone &&
            find_zone(target_.sheet, closing.zone) != nullptr)
        {
            target_.zones[closing.zone] = zone_state::out;
        }
    }
    if (edit_.background && target_.zones == hooks_.view->current().zones)
    {
        // Another entry VM has already made the closings durable.
        finish({});
        return;
    }
    target_.version = hooks_.view->current().version + 1;
    target_.changed_by = edit_.changed_by;
    table_change change{config_row_key,
                        encode_config_row(target_, base.recent, token_),
                        base.row_version,
                        false};
    write_in_flight_ = true;
    hooks_.store.write(
        {std::move(change)},
        hooks_.now() + table_timeout,
        completion<table_write_reply>(&config_change::on_written));
}

void config_change::on_written(const table_write_reply& reply)
{
    write_in_flight_ = false;
    if (!reply.error)
    {
        push();
        return;
    }
    if (was_not_executed(reply.error))
    {
        on_store_error(reply.error);
        return;
    }
    if (reply.error.code != result_code::conflict)
    {
        write_outcome_unknown_ = true;
    }
    read_back();
}

void config_change::read_back()
{
    hooks_.store.read(
        config_row_key,
        hooks_.now() + table_timeout,
        completion<table_read_reply>(&config_change::on_read_back));
}

void config_change::on_read_back(const table_read_reply& reply)
{
    failure why;
    const auto row =
        reply.error ? std::nullopt : decode_config_row(reply.row, why);
    if (!row)
    {
        schedule_retry(&config_change::read_back);
        return;
    }
    if (was_written_with(*row, token_))
    {
        adopt(row->config);
        push();
        return;
    }
    if (row->row_version == base_.row_version)
    {
        // The write has not taken effect yet but still may. Repeating the same
        // compare-and-swap is safe: at most one of the writes succeeds.
        write_outcome_unknown_ ? write_row(*row)
                               : schedule_retry(&config_change::read_back);
        return;
    }
    fail_with_conflict(*row);
}

void config_change::fail_with_conflict(const config_row& winner)
{
    adopt(winner.config);
    finish(conflict_with(winner.config));
}

void config_change::on_store_error(const failure& error)
{
    if (write_outcome_unknown_)
    {
        schedule_retry(&config_change::read_back);
        return;
    }
    if (was_not_executed(error))
    {
        abandon(error.reason);
        return;
    }
    schedule_retry(&config_change::read_row);
}

void config_change::schedule_retry(void (config_change::*action)())
{
    retry_action_ = action;
    retry_at_ = hooks_.now() + retry_interval;
}

// Ends a change that is not durable in time, or whose outcome is not known.
void config_change::abandon(const std::string& reason)
{
    if (!edit_.closed_zone.empty())
    {
        mark_closing_pending();
        finish(
            {result_code::pending,
             "closed where it was confirmed, but not yet durable: " + reason});
        return;
    }
    if (write_outcome_unknown_ || write_in_flight_)
    {
        finish({result_code::answer_lost,
                "it is not known whether the change was written; look at the "
                "configuration and repeat the change if needed"});
        return;
    }
    finish({result_code::store_unavailable, "nothing was changed: " + reason});
}

// Marks the closing as pending at every entry VM, so that later changes include
// it.
void config_change::mark_closing_pending()
{
    if (edit_.background)
    {
        return;
    }
    const provisional_closing closing{
        edit_.closed_zone, edit_.changed_by, closing_base_version_, true};
    hooks_.view->add_closing(closing, hooks_.now());
    for (const auto& peer : hooks_.members->confirming_peers(hooks_.now()))
    {
        // Heartbeats repeat the closing if this message is lost.
        hooks_.peers.close_zone(peer.address,
                                closing,
                                hooks_.now() + closing_timeout,
                                [](const failure&) {});
    }
}

void config_change::push()
{
    adopt(target_);
    log_line(log_level::info,
             "config",
             "A configuration change was written.",
             {{"version", std::to_string(target_.version)},
              {"changed_by", target_.changed_by}});
    step_ = step::confirming;
    step_deadline_ = hooks_.now() + confirmation_timeout;
    retry_at_ = no_deadline;
    confirmed_ = {hooks_.vm};
    for (const auto& peer : hooks_.members->confirming_peers(hooks_.now()))
    {
        hooks_.peers.put_config(
            peer.address,
            hooks_.view->current(),
            hooks_.now() + push_timeout,
            [weak = weak_from_this(), vm = peer.id](const failure& error)
            {
                const auto self = weak.lock();
                if (self && !error && !self->finished())
                {
                    self->confirmed_.insert(vm);
                    self->check_confirmations();
                }
            });
    }
    check_confirmations();
}

// Replies when every entry VM has the version, or when the wait times out.
void config_change::check_confirmations()
{
    if (step_ != step::confirming)
    {
        return;
    }
    bool all = true;
    for (const auto& peer : hooks_.members->confirming_peers(hooks_.now()))
    {
        if (peer.config_version >= target_.version)
        {
            confirmed_.insert(peer.id);
        }
        all = all && confirmed_.contains(peer.id);
    }
    if (all)
    {
        finish({});
    }
    else if (hooks_.now() >= step_deadline_)
    {
        finish({result_code::pending,
                "durable, but not confirmed by every entry VM"});
    }
}

void config_change::finish(failure error)
{
    step_ = step::finished;
    change_reply reply;
    reply.error = std::move(error);
    reply.version = hooks_.view->current().version;
    reply.confirmed.assign(confirmed_.begin(), confirmed_.end());
    for (const auto& peer : hooks_.members->confirming_peers(hooks_.now()))
    {
        if (!confirmed_.contains(peer.id))
        {
            reply.unconfirmed.push_back(peer.id);
        }
    }
    done_(std::move(reply));
}

void config_change::adopt(const configuration& config)
{
    if (hooks_.view->adopt(config))
    {
        hooks_.on_view_changed();
    }
}

void config_change::tick()
{
    const auto now = hooks_.now();
    if (step_ == step::closing && now >= step_deadline_)
    {
        read_row();
    }
    else if (step_ == step::writing && now >= write_deadline_)
    {
        abandon("the table does not answer");
    }
    else if (step_ == step::writing && now >= retry_at_)
    {
        retry_at_ = no_deadline;
        (this->*retry_action_)();
    }
    else if (step_ == step::confirming)
    {
        check_confirmations();
    }
}

} // namespace poplarramp
