#include "relay/member_row.hpp"

#include "base/log.hpp"

#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds write_timeout{2000};
constexpr milliseconds retry_delay{1000};

} // namespace

struct member_row::state : std::enable_shared_from_this<member_row::state>
{
    state(relay_member self, member_row_hooks hook_set)
        : member(std::move(self)), hooks(std::move(hook_set))
    {
    }

    void write()
    {
        in_flight = true;
        table_transaction change;
        change.puts.push_back(
            {member_rows_prefix + member.vm, to_text(member)});
        hooks.store.transact(
            std::move(change),
            hooks.now() + write_timeout,
            [weak = weak_from_this()](const table_transact_reply& reply)
            {
                if (const auto self = weak.lock())
                {
                    self->on_written(reply);
                }
            });
    }

    void on_written(const table_transact_reply& reply)
    {
        in_flight = false;
        written = !reply.error;
        next_write = hooks.now() + retry_delay;
        if (reply.error)
        {
            log_line(log_level::warning,
                     "relay",
                     "The row of this VM was not written; it is repeated.",
                     {{"code", std::string(name_of(reply.error.code))},
                      {"reason", reply.error.reason}});
        }
    }

    const relay_member member;
    const member_row_hooks hooks;
    bool written = false;
    bool in_flight = false;
    time_point next_write{};
};

member_row::member_row(relay_member member, member_row_hooks hooks)
    : state_(std::make_shared<state>(std::move(member), std::move(hooks)))
{
}

void member_row::tick()
{
    if (!state_->written && !state_->in_flight &&
        state_->hooks.now() >= state_->next_write)
    {
        state_->write();
    }
}

} // namespace poplarramp
