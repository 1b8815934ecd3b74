#include "control/config_sync.hpp"

#include "base/log.hpp"
#include "control/config_row.hpp"

namespace poplarramp
{

namespace
{

constexpr milliseconds read_interval{1000};
constexpr milliseconds read_timeout{2000};
constexpr milliseconds pull_timeout{1000};

} // namespace

config_sync::config_sync(control_context& context) : context_(context)
{
}

void config_sync::on_peer_heartbeat(const heartbeat& message,
                                    time_point valid_at)
{
    const auto version = context_.view.current().version;
    if (message.config_version > version)
    {
        pull(message);
        return;
    }
    // A peer in the same availability zone does not confirm the view: a
    // partition can cut it off together with this VM.
    if (message.config_version == version &&
        message.zone != context_.settings.zone)
    {
        context_.view.confirm(valid_at);
    }
}

failure config_sync::on_put_config(const configuration& config)
{
    if (config.version == 0)
    {
        return {result_code::bad_request, "a configuration needs a version"};
    }
    adopt(config);
    return {};
}

void config_sync::pull(const heartbeat& from)
{
    if (pull_in_flight_ || from.address.empty())
    {
        return;
    }
    pull_in_flight_ = true;
    const auto sent_at = context_.now();
    const bool other_zone = from.zone != context_.settings.zone;
    context_.hooks.peers.get_config(
        from.address,
        sent_at + pull_timeout,
        [weak = weak_from_this(), sent_at, other_zone](
            const config_reply& reply)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            self->pull_in_flight_ = false;
            if (reply.error)
            {
                return;
            }
            self->adopt(reply.config);
            const auto& current = self->context_.view.current();
            if (other_zone && reply.config.version == current.version)
            {
                self->context_.view.confirm(sent_at);
            }
        });
}

void config_sync::adopt(const configuration& config)
{
    if (!context_.view.adopt(config))
    {
        return;
    }
    log_line(log_level::info,
             "config",
             "A newer configuration is in force.",
             {{"version", std::to_string(config.version)},
              {"changed_by", config.changed_by}});
    context_.on_view_changed();
}

void config_sync::read_row()
{
    read_in_flight_ = true;
    const auto sent_at = context_.now();
    context_.hooks.store.read(
        config_row_key,
        sent_at + read_timeout,
        [weak = weak_from_this(), sent_at](const table_read_reply& reply)
        {
            if (const auto self = weak.lock())
            {
                self->read_in_flight_ = false;
                self->on_row(reply, sent_at);
            }
        });
}

void config_sync::on_row(const table_read_reply& reply, time_point sent_at)
{
    table_available_ = !reply.error;
    if (reply.error)
    {
        return;
    }
    failure why;
    const auto row = decode_config_row(reply.row, why);
    if (!row)
    {
        log_line(log_level::error,
                 "config",
                 "The configuration row cannot be decoded.",
                 {{"reason", why.reason}});
        return;
    }
    adopt(row->config);
    // A lower version comes from a delayed reply or a stale replica of the
    // table.
    if (row->config.version == context_.view.current().version)
    {
        context_.view.confirm(sent_at);
    }
}

void config_sync::tick()
{
    const auto now = context_.now();
    if (now >= next_read_ && !read_in_flight_)
    {
        next_read_ = now + read_interval;
        read_row();
    }
}

bool config_sync::table_available() const
{
    return table_available_;
}

} // namespace poplarramp
