#include "domain/leadership.hpp"

#include "base/log.hpp"
#include "limits/backoff.hpp"
#include "model/codec.hpp"
#include "model/json_reader.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

const std::string leader_key = "leader/scheduler";

// How often a follower looks at the row.
constexpr milliseconds look_every{300};

constexpr milliseconds read_timeout{1500};
constexpr milliseconds commit_timeout{1500};

// A follower with a longer way to the store waits longer before it stands for
// the leadership: this many times its round trip, at most `max_stand_back`.
constexpr int stand_back_round_trips = 4;
constexpr milliseconds max_stand_back{300};

// A VM with a small share of a core cannot schedule for hundreds of servers: it
// stands this much later, divided by the square of its share (40 ms for half a
// core, 700 ms for an eighth), so that a larger one that looks every 300 ms
// comes first.
constexpr double whole_core_stand_back_ms = 10;
constexpr milliseconds max_processor_stand_back{700};

// A renewal and a look each take a round trip, of which one may be slower than
// the last that was seen.
constexpr int takeover_round_trips = 3;

// A VM with this many times the processor share of the leader takes over from
// it: a leader that falls behind serves all callers late.
constexpr double much_larger = 2;

// A new leader is left alone this long, and a VM whose way to the store takes
// longer does not challenge it: a takeover costs a second of scheduling.
constexpr milliseconds challenge_after{2000};
constexpr milliseconds max_challenge_round_trip{150};

constexpr backoff_settings retry_delays{milliseconds(50), milliseconds(500)};

struct leader_row
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    // The leader has given up; the next may take over at once.
    bool resigned = false;
    // Share of a core that the leader has.
    double processor_share = 0;
};

std::string to_text(const leader_row& row)
{
    Json::Value json;
    json["vm"] = row.vm;
    json["incarnation"] = static_cast<Json::UInt64>(row.incarnation);
    json["epoch"] = static_cast<Json::UInt64>(row.epoch);
    json["resigned"] = row.resigned;
    json["processor_share"] = row.processor_share;
    return json_text(json);
}

std::optional<leader_row> parse_leader(const std::string& text)
{
    failure why;
    const auto json = parse_json(text, why);
    if (!json)
    {
        return std::nullopt;
    }
    leader_row row;
    json_reader(*json, "", why)
        .read("vm", row.vm)
        .read("incarnation", row.incarnation)
        .read("epoch", row.epoch)
        .read("resigned", row.resigned)
        .read("processor_share", row.processor_share);
    return why ? std::nullopt : std::optional(row);
}

} // namespace

struct leadership::state : std::enable_shared_from_this<state>
{
    state(leadership_settings wanted, leadership_hooks given)
        : settings(std::move(wanted)), hooks(std::move(given)),
          retry(retry_delays)
    {
    }

    void look();
    void on_row(const table_read_reply& reply, time_point sent);
    bool may_stand(const table_row& row, const leader_row& seen);
    bool may_challenge(const leader_row& seen);
    void stand(const table_row& row, std::uint64_t last_epoch);
    void on_election(const table_transact_reply& reply,
                     std::uint64_t wanted,
                     boot_time sent);
    void commit(leader_batch batch, std::function<void(bool written)> done);
    void on_commit(const table_transact_reply& reply, boot_time sent);
    bool adopt(const table_transact_reply& reply);
    void depose(const std::string& reason);
    void write_resignation();
    table_put own_row(std::uint64_t epoch, bool resigned) const;

    const leadership_settings settings;
    const leadership_hooks hooks;
    backoff retry;
    time_point next_call{};
    bool in_flight = false;
    bool leading = false;
    bool resigned = false;
    std::uint64_t epoch = 0;
    // Version of the leader's row that this VM has seen last.
    std::uint64_t version = 0;
    time_point version_since{};
    // The same on the clock that counts suspension.
    boot_time version_seen{};
    std::optional<boot_time> earlier_confirmed;
    // Epoch of the leader that was seen last, and since when.
    std::uint64_t seen_epoch = 0;
    time_point seen_epoch_since{};
    milliseconds round_trip{0};
    std::optional<boot_time> confirmed;
    time_point renew_at{};
    std::function<void(bool)> commit_done;
};

table_put leadership::state::own_row(std::uint64_t wanted, bool gives_up) const
{
    return {
        leader_key,
        to_text({settings.vm,
                 settings.incarnation,
                 wanted,
                 gives_up,
                 settings.processor_share}),
    };
}

void leadership::state::look()
{
    in_flight = true;
    const auto sent = hooks.now();
    hooks.store.read(
        leader_key,
        sent + read_timeout,
        [self = shared_from_this(), sent](const table_read_reply& reply)
        {
            self->in_flight = false;
            self->on_row(reply, sent);
        });
}

void leadership::state::on_row(const table_read_reply& reply, time_point sent)
{
    const auto now = hooks.now();
    next_call = now + look_every;
    if (resigned)
    {
        return;
    }
    if (reply.error)
    {
        // What was not seen does not count as unchanged.
        version_since = now;
        return;
    }
    round_trip = now - sent;
    const auto& row = reply.row;
    if (row.version != version)
    {
        version = row.version;
        version_since = now;
        version_seen = hooks.boot_now();
    }
    const auto seen = row.version == 0 ? leader_row{} : parse_leader(row.value);
    if (!seen)
    {
        log_line(log_level::error,
                 "leader",
                 "The row of the leader cannot be read; it is replaced.",
                 {{"version", std::to_string(row.version)}});
    }
    const auto current = seen.value_or(leader_row{});
    if (may_stand(row, current) || may_challenge(current))
    {
        // An unreadable row must not make epochs fall: versions rise faster.
        stand(row, seen ? current.epoch : row.version);
    }
}

bool leadership::state::may_stand(const table_row& row, const leader_row& seen)
{
    const auto waited = hooks.now() - version_since;
    const auto share = settings.processor_share;
    const auto for_processor = milliseconds(
        static_cast<std::int64_t>(whole_core_stand_back_ms / (share * share)));
    const auto stand_back =
        std::min(max_stand_back, round_trip * stand_back_round_trips) +
        std::min(max_processor_stand_back, for_processor);
    if (row.version == 0 || seen.resigned)
    {
        return waited >= stand_back;
    }
    const bool own_former_life =
        seen.vm == settings.vm && seen.incarnation != settings.incarnation;
    return own_former_life || waited >= settings.takeover_after +
                                            takeover_round_trips * round_trip +
                                            stand_back;
}

bool leadership::state::may_challenge(const leader_row& seen)
{
    const auto now = hooks.now();
    if (seen.epoch != seen_epoch)
    {
        seen_epoch = seen.epoch;
        seen_epoch_since = now;
    }
    const bool much_smaller =
        seen.processor_share > 0 &&
        settings.processor_share >= much_larger * seen.processor_share;
    if (!much_smaller || now - seen_epoch_since < challenge_after ||
        round_trip > max_challenge_round_trip)
    {
        return false;
    }
    log_line(log_level::info,
             "leader",
             "This VM challenges a leader with a smaller processor share.",
             {{"leader", seen.vm},
              {"epoch", std::to_string(seen.epoch)},
              {"share", std::to_string(seen.processor_share)}});
    return true;
}

void leadership::state::stand(const table_row& row, std::uint64_t last_epoch)
{
    in_flight = true;
    const auto wanted = last_epoch + 1;
    const auto sent = hooks.boot_now();
    table_transaction change;
    change.checks.push_back({leader_key, row.version});
    change.puts.push_back(own_row(wanted, false));
    hooks.store.transact(std::move(change),
                         hooks.now() + commit_timeout,
                         [self = shared_from_this(), wanted, sent](
                             const table_transact_reply& reply)
                         {
                             self->in_flight = false;
                             self->on_election(reply, wanted, sent);
                         });
}

// An election whose answer is lost shows up as an own row at the next look; its
// epoch is not used, because this VM does not know it was elected. The row does
// not change then, and is taken over like that of any silent leader.
void leadership::state::on_election(const table_transact_reply& reply,
                                    std::uint64_t wanted,
                                    boot_time sent)
{
    if (reply.error)
    {
        log_line(log_level::info,
                 "leader",
                 "This VM was not elected.",
                 {{"epoch", std::to_string(wanted)},
                  {"code", std::string(name_of(reply.error.code))}});
        return;
    }
    if (resigned)
    {
        return;
    }
    leading = true;
    epoch = wanted;
    earlier_confirmed = version_seen;
    version = reply.version;
    confirmed = sent;
    renew_at = hooks.now() + settings.renew_interval;
    // The pause between looks does not hold up the first commit.
    next_call = hooks.now();
    retry.reset();
    log_line(log_level::info,
             "leader",
             "This VM leads.",
             {{"epoch", std::to_string(epoch)},
              {"version", std::to_string(version)}});
    hooks.on_elected(epoch);
}

void leadership::state::commit(leader_batch batch,
                               std::function<void(bool written)> done)
{
    in_flight = true;
    commit_done = std::move(done);
    const auto sent = hooks.boot_now();
    table_transaction change;
    change.checks.push_back({leader_key, version});
    change.puts = std::move(batch.puts);
    change.puts.push_back(own_row(epoch, false));
    change.removals = std::move(batch.removals);
    hooks.store.transact(
        std::move(change),
        hooks.now() + commit_timeout,
        [self = shared_from_this(), sent](const table_transact_reply& reply)
        {
            self->in_flight = false;
            self->on_commit(reply, sent);
        });
}

void leadership::state::on_commit(const table_transact_reply& reply,
                                  boot_time sent)
{
    const auto done = std::exchange(commit_done, nullptr);
    if (resigned)
    {
        version = reply.error ? version : reply.version;
        done(false);
        write_resignation();
        return;
    }
    if (!reply.error)
    {
        version = reply.version;
        confirmed = sent;
        renew_at = hooks.now() + settings.renew_interval;
        retry.reset();
        next_call = hooks.now();
        done(true);
        return;
    }
    if (reply.error.code == result_code::conflict && !adopt(reply))
    {
        done(false);
        depose("another VM has replaced the row of the leader");
        return;
    }
    log_line(log_level::warning,
             "leader",
             "A write of the leader was not confirmed; it is repeated.",
             {{"epoch", std::to_string(epoch)},
              {"code", std::string(name_of(reply.error.code))},
              {"reason", reply.error.reason}});
    next_call = hooks.now() + retry.next(hooks.random());
    done(false);
}

// An earlier write whose answer was lost has changed the version.
bool leadership::state::adopt(const table_transact_reply& reply)
{
    for (const auto& row : reply.found)
    {
        const auto seen = parse_leader(row.value);
        if (row.key == leader_key && seen && seen->vm == settings.vm &&
            seen->incarnation == settings.incarnation && seen->epoch == epoch)
        {
            version = row.version;
            return true;
        }
    }
    return false;
}

void leadership::state::depose(const std::string& reason)
{
    leading = false;
    version = 0;
    version_since = hooks.now();
    confirmed.reset();
    log_line(log_level::warning,
             "leader",
             "This VM no longer leads.",
             {{"epoch", std::to_string(epoch)}, {"reason", reason}});
    hooks.on_deposed(reason);
}

// Without an answer the next leader waits for the row to grow old.
void leadership::state::write_resignation()
{
    table_transaction change;
    change.checks.push_back({leader_key, version});
    change.puts.push_back(own_row(epoch, true));
    hooks.store.transact(std::move(change),
                         hooks.now() + commit_timeout,
                         [](const table_transact_reply& reply)
                         {
                             if (reply.error)
                             {
                                 log_line(log_level::warning,
                                          "leader",
                                          "The resignation was not confirmed.",
                                          {{"reason", reply.error.reason}});
                             }
                         });
}

leadership::leadership(leadership_settings settings, leadership_hooks hooks)
    : state_(std::make_shared<state>(std::move(settings), std::move(hooks)))
{
    state_->version_since = state_->hooks.now();
}

void leadership::tick()
{
    auto& self = *state_;
    const auto now = self.hooks.now();
    if (self.in_flight || self.resigned || now < self.next_call)
    {
        return;
    }
    if (!self.leading)
    {
        self.look();
    }
    else if (now >= self.renew_at)
    {
        self.commit({}, [](bool) {});
    }
}

bool leadership::can_commit() const
{
    return state_->leading && !state_->in_flight && !state_->resigned &&
           state_->hooks.now() >= state_->next_call;
}

void leadership::commit(leader_batch batch,
                        std::function<void(bool written)> done)
{
    state_->commit(std::move(batch), std::move(done));
}

bool leadership::leads() const
{
    return state_->leading;
}

std::uint64_t leadership::epoch() const
{
    return state_->epoch;
}

std::optional<boot_time> leadership::confirmed_at() const
{
    return state_->confirmed;
}

std::optional<boot_time> leadership::earlier_confirmed_by() const
{
    return state_->earlier_confirmed;
}

void leadership::resign()
{
    auto& self = *state_;
    self.resigned = true;
    if (!std::exchange(self.leading, false))
    {
        return;
    }
    log_line(log_level::info,
             "leader",
             "This VM gives up the leadership.",
             {{"epoch", std::to_string(self.epoch)}});
    if (!self.in_flight)
    {
        self.write_resignation();
    }
}

} // namespace poplarramp
