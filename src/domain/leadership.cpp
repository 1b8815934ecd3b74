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

// How often a follower polls the leader row.
constexpr milliseconds poll_interval{300};

constexpr milliseconds read_timeout{1500};
constexpr milliseconds commit_timeout{1500};

// Before it stands for election, a follower waits this many of its round trips
// to the store, at most `max_election_delay`: the one closest to the store
// stands first.
constexpr int election_delay_round_trips = 4;
constexpr milliseconds max_election_delay{300};

// A VM with a small share of a core cannot schedule for hundreds of servers. It
// stands for election later by this time divided by the square of its share
// (40 ms for half a core, 640 ms for an eighth, at most 700 ms), so that a
// larger VM, which polls every 300 ms, stands first.
constexpr double whole_core_election_delay_ms = 10;
constexpr milliseconds max_processor_election_delay{700};

// A VM whose earlier incarnation led stands after all others: their longest
// delays and a poll.
constexpr milliseconds former_leader_delay =
    max_election_delay + max_processor_election_delay + poll_interval;

// A renewal and a poll take one round trip each; one more allows for a round
// trip that is slower than the last.
constexpr int takeover_round_trips = 3;

// A VM with at least this many times the processor share of the leader takes
// over from it: an overloaded leader delays all callers.
constexpr double challenge_share_factor = 2;

// A takeover costs a second of scheduling: a leader is not challenged this soon
// after its election, nor by a VM with a longer round trip to the store.
constexpr milliseconds min_leader_age{2000};
constexpr milliseconds max_challenge_round_trip{150};

// Bounds each list of the leader row, which is written several times a second.
// Beyond it the job that was quarantined first is forgotten.
constexpr std::size_t max_listed_jobs = 64;

constexpr backoff_settings retry_delays{milliseconds(50), milliseconds(500)};

struct leader_row
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    // The leader has resigned; another VM may take over at once.
    bool resigned = false;
    // Share of a core that the leader has.
    double processor_share = 0;
    std::vector<std::string> quarantined;
    std::vector<timed_quarantine> timed;
    probation_list probation;
    int short_terms = 0;
    // See `leadership::set_lasting_from`. True in rows of earlier builds, which
    // do not have it.
    bool lasted = true;
    bisection_group bisection;
};

std::string to_text(const leader_row& row)
{
    Json::Value json;
    json["vm"] = row.vm;
    json["incarnation"] = static_cast<Json::UInt64>(row.incarnation);
    json["epoch"] = static_cast<Json::UInt64>(row.epoch);
    json["resigned"] = row.resigned;
    json["processor_share"] = row.processor_share;
    json["short_terms"] = row.short_terms;
    json["lasted"] = row.lasted;
    if (!row.bisection.to.empty())
    {
        json["bisection_after"] = row.bisection.after;
        json["bisection_to"] = row.bisection.to;
        json["bisection_control"] = row.bisection.control;
        json["bisection_alone"] = row.bisection.alone;
        json["bisection_ends"] = row.bisection.ends;
    }
    for (const auto& job : row.quarantined)
    {
        json["quarantined"].append(job);
    }
    for (const auto& item : row.timed)
    {
        Json::Value entry;
        entry["job"] = item.job;
        entry["ends"] = item.ends;
        entry["until"] = static_cast<Json::Int64>(item.until_unix_ms);
        json["timed_quarantines"].append(entry);
    }
    for (const auto& job : row.probation.jobs)
    {
        json["probation"].append(job);
    }
    json["probation_any"] = row.probation.any;
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
        .read("processor_share", row.processor_share)
        .read("quarantined", row.quarantined)
        .read("short_terms", row.short_terms)
        .read("lasted", row.lasted)
        .read("bisection_after", row.bisection.after)
        .read("bisection_to", row.bisection.to)
        .read("bisection_control", row.bisection.control)
        .read("bisection_alone", row.bisection.alone)
        .read("bisection_ends", row.bisection.ends)
        .read("probation", row.probation.jobs)
        .read("probation_any", row.probation.any)
        .read_each("timed_quarantines",
                   [&row](json_reader& item)
                   {
                       auto& entry = row.timed.emplace_back();
                       item.read("job", entry.job)
                           .read("ends", entry.ends)
                           .read("until", entry.until_unix_ms);
                   });
    return why ? std::nullopt : std::optional(row);
}

} // namespace

struct leadership::state : std::enable_shared_from_this<state>
{
    state(leadership_settings own_settings, leadership_hooks own_hooks)
        : settings(std::move(own_settings)), hooks(std::move(own_hooks)),
          retry(retry_delays)
    {
    }

    void poll();
    void on_row(const table_read_reply& reply, time_point sent);
    bool may_start_election(const table_row& row, const leader_row& seen);
    bool may_challenge(const leader_row& seen);
    void start_election(const table_row& row,
                        const leader_row& seen,
                        std::uint64_t last_epoch);
    void on_election(const table_transact_reply& reply,
                     std::uint64_t new_epoch,
                     boot_time sent);
    void commit(leader_batch batch,
                std::function<void(commit_outcome outcome)> done);
    void on_commit(const table_transact_reply& reply, boot_time sent);
    bool adopt_version(const table_transact_reply& reply);
    void step_down(const std::string& reason);
    void write_resignation();
    table_put own_row(std::uint64_t epoch, bool resigned) const;
    time_point next_renewal() const;

    const leadership_settings settings;
    const leadership_hooks hooks;
    backoff retry;
    time_point next_call{};
    bool in_flight = false;
    // The leader that this VM replaces is at work.
    bool challenging = false;
    int short_terms = 0;
    std::optional<time_point> lasting_from;
    bisection_group predecessor_bisection;
    bisection_group bisection;
    std::optional<bisection_group> sent_bisection;
    std::optional<bisection_group> stored_bisection;
    // The write in flight is more than a renewal.
    bool batch_in_flight = false;
    bool leading = false;
    bool resigned = false;
    std::uint64_t epoch = 0;
    // Version of the leader row that this VM saw last.
    std::uint64_t version = 0;
    // Since when this VM knows that the version has not changed; starts over
    // after a failed read.
    time_point unchanged_since{};
    // When this VM first saw the version, on the clock that includes
    // suspension.
    boot_time version_first_seen{};
    std::optional<boot_time> predecessor_confirmed;
    // Epoch of the leader that this VM saw last, and since when.
    std::uint64_t seen_epoch = 0;
    time_point seen_epoch_since{};
    milliseconds round_trip{0};
    std::optional<boot_time> confirmed;
    time_point renew_at{};
    std::function<void(commit_outcome)> commit_done;
    std::vector<std::string> quarantined;
    std::vector<timed_quarantine> timed;
    probation_list probation;
    probation_list predecessor_probation;
};

table_put leadership::state::own_row(std::uint64_t new_epoch,
                                     bool resigns) const
{
    return {
        leader_key,
        to_text({settings.vm,
                 settings.incarnation,
                 new_epoch,
                 resigns,
                 settings.processor_share,
                 quarantined,
                 timed,
                 probation,
                 short_terms,
                 lasting_from && hooks.now() >= *lasting_from,
                 bisection}),
    };
}

// The next leader learns from the row that this one lasts.
time_point leadership::state::next_renewal() const
{
    const auto now = hooks.now();
    const auto usual = now + settings.renew_interval;
    return lasting_from && *lasting_from > now ? std::min(usual, *lasting_from)
                                               : usual;
}

void leadership::state::poll()
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
    next_call = now + poll_interval;
    if (resigned)
    {
        return;
    }
    if (reply.error)
    {
        // The row may have changed unseen, so the takeover timeout restarts.
        unchanged_since = now;
        return;
    }
    round_trip = now - sent;
    const auto& row = reply.row;
    if (row.version != version)
    {
        version = row.version;
        unchanged_since = now;
        version_first_seen = hooks.boot_now();
    }
    const auto seen = row.version == 0 ? leader_row{} : parse_leader(row.value);
    if (!seen)
    {
        log_line(log_level::error,
                 "leader",
                 "The leader row cannot be decoded; it is replaced.",
                 {{"version", std::to_string(row.version)}});
    }
    const auto current = seen.value_or(leader_row{});
    const bool standing = may_start_election(row, current);
    challenging = !standing && may_challenge(current);
    if (standing || challenging)
    {
        // After an undecodable row the epoch must not fall. The row version is
        // at least as high, since it rises with each write.
        start_election(row, current, seen ? current.epoch : row.version);
    }
}

bool leadership::state::may_start_election(const table_row& row,
                                           const leader_row& seen)
{
    const auto waited = hooks.now() - unchanged_since;
    const auto share = settings.processor_share;
    const auto processor_delay = milliseconds(static_cast<std::int64_t>(
        whole_core_election_delay_ms / (share * share)));
    const auto election_delay =
        std::min(max_election_delay, round_trip * election_delay_round_trips) +
        std::min(max_processor_election_delay, processor_delay);
    if (row.version == 0 || seen.resigned)
    {
        return waited >= election_delay;
    }
    // A process that ended while it led, such as for its use of memory, would
    // take over and end again; the other VMs stand first.
    const bool own_earlier_incarnation =
        seen.vm == settings.vm && seen.incarnation != settings.incarnation;
    return waited >= settings.takeover_timeout +
                         takeover_round_trips * round_trip + election_delay +
                         (own_earlier_incarnation ? former_leader_delay
                                                  : milliseconds(0));
}

bool leadership::state::may_challenge(const leader_row& seen)
{
    const auto now = hooks.now();
    if (seen.epoch != seen_epoch)
    {
        seen_epoch = seen.epoch;
        seen_epoch_since = now;
    }
    const bool leader_is_smaller =
        seen.processor_share > 0 &&
        settings.processor_share >=
            challenge_share_factor * seen.processor_share;
    if (!leader_is_smaller || now - seen_epoch_since < min_leader_age ||
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

void leadership::state::start_election(const table_row& row,
                                       const leader_row& seen,
                                       std::uint64_t last_epoch)
{
    in_flight = true;
    quarantined = seen.quarantined;
    timed = seen.timed;
    probation = seen.probation;
    predecessor_probation = seen.probation;
    const bool ended_early = row.version != 0 && !seen.resigned &&
                             !challenging && !seen.bisection.control &&
                             (!seen.lasted || !seen.bisection.to.empty());
    short_terms = ended_early ? seen.short_terms + 1 : 0;
    predecessor_bisection = ended_early ? seen.bisection : bisection_group{};
    bisection = {};
    lasting_from.reset();
    const auto new_epoch = last_epoch + 1;
    const auto sent = hooks.boot_now();
    table_transaction change;
    change.checks.push_back({leader_key, row.version});
    change.puts.push_back(own_row(new_epoch, false));
    hooks.store.transact(std::move(change),
                         hooks.now() + commit_timeout,
                         [self = shared_from_this(), new_epoch, sent](
                             const table_transact_reply& reply)
                         {
                             self->in_flight = false;
                             self->on_election(reply, new_epoch, sent);
                         });
}

// If the reply to an election is lost, the next poll may show this VM's own
// row. The VM does not lead in that epoch, because it does not know that it was
// elected: the row stays unchanged and is taken over after the timeout.
void leadership::state::on_election(const table_transact_reply& reply,
                                    std::uint64_t new_epoch,
                                    boot_time sent)
{
    if (reply.error)
    {
        log_line(log_level::info,
                 "leader",
                 "This VM was not elected.",
                 {{"epoch", std::to_string(new_epoch)},
                  {"code", std::string(name_of(reply.error.code))}});
        return;
    }
    if (resigned)
    {
        return;
    }
    leading = true;
    epoch = new_epoch;
    predecessor_confirmed = version_first_seen;
    version = reply.version;
    confirmed = sent;
    stored_bisection.reset();
    renew_at = next_renewal();
    // Allows the first commit at once, without the poll interval.
    next_call = hooks.now();
    retry.reset();
    log_line(log_level::info,
             "leader",
             "This VM leads.",
             {{"epoch", std::to_string(epoch)},
              {"version", std::to_string(version)},
              {"short_terms", std::to_string(short_terms)}});
    hooks.on_elected(epoch);
}

void leadership::state::commit(leader_batch batch,
                               std::function<void(commit_outcome outcome)> done)
{
    in_flight = true;
    batch_in_flight = !batch.puts.empty() || !batch.removals.empty();
    commit_done = std::move(done);
    sent_bisection = bisection;
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
        done(commit_outcome::unconfirmed);
        write_resignation();
        return;
    }
    if (!reply.error)
    {
        version = reply.version;
        stored_bisection = sent_bisection;
        confirmed = sent;
        renew_at = next_renewal();
        retry.reset();
        next_call = hooks.now();
        done(commit_outcome::written);
        return;
    }
    if (reply.error.code == result_code::conflict && !adopt_version(reply))
    {
        done(commit_outcome::unconfirmed);
        step_down("another VM has replaced the leader row");
        return;
    }
    log_line(log_level::warning,
             "leader",
             "A write of the leader was not confirmed.",
             {{"epoch", std::to_string(epoch)},
              {"code", std::string(name_of(reply.error.code))},
              {"reason", reply.error.reason}});
    const bool refused = is_permanent_refusal(reply.error);
    // The next batch is another one: the caller splits a refused one.
    next_call = refused && batch_in_flight
                    ? hooks.now()
                    : hooks.now() + retry.next(hooks.random());
    done(refused ? commit_outcome::refused : commit_outcome::unconfirmed);
}

// After a conflict, takes over the version if the row is still this leader's
// own: an earlier write whose reply was lost has changed it.
bool leadership::state::adopt_version(const table_transact_reply& reply)
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

void leadership::state::step_down(const std::string& reason)
{
    leading = false;
    version = 0;
    unchanged_since = hooks.now();
    confirmed.reset();
    log_line(log_level::warning,
             "leader",
             "This VM no longer leads.",
             {{"epoch", std::to_string(epoch)}, {"reason", reason}});
    hooks.on_leadership_lost(reason);
}

// Not retried: if the write fails, the next leader waits for the takeover
// timeout.
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
    state_->unchanged_since = state_->hooks.now();
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
        self.poll();
    }
    else if (now >= self.renew_at)
    {
        self.commit({}, [](commit_outcome) {});
    }
}

bool leadership::can_commit() const
{
    return state_->leading && !state_->in_flight && !state_->resigned &&
           state_->hooks.now() >= state_->next_call;
}

void leadership::commit(leader_batch batch,
                        std::function<void(commit_outcome outcome)> done)
{
    state_->commit(std::move(batch), std::move(done));
}

const std::vector<std::string>& leadership::quarantined_jobs() const
{
    return state_->quarantined;
}

void leadership::add_quarantined_job(const std::string& job)
{
    auto& jobs = state_->quarantined;
    if (std::find(jobs.begin(), jobs.end(), job) != jobs.end())
    {
        return;
    }
    if (jobs.size() >= max_listed_jobs)
    {
        jobs.erase(jobs.begin());
    }
    jobs.push_back(job);
}

void leadership::remove_quarantined_job(const std::string& job)
{
    std::erase(state_->quarantined, job);
}

const std::vector<timed_quarantine>& leadership::timed_quarantines() const
{
    return state_->timed;
}

void leadership::set_timed_quarantines(std::vector<timed_quarantine> jobs)
{
    if (jobs.size() > max_listed_jobs)
    {
        jobs.erase(jobs.begin(), jobs.end() - max_listed_jobs);
    }
    state_->timed = std::move(jobs);
}

const probation_list& leadership::predecessor_probation() const
{
    return state_->predecessor_probation;
}

void leadership::set_probation(probation_list jobs)
{
    if (jobs.jobs.size() > max_listed_jobs)
    {
        jobs = {{}, true};
    }
    state_->probation = std::move(jobs);
}

int leadership::short_terms() const
{
    return state_->short_terms;
}

const bisection_group& leadership::predecessor_bisection() const
{
    return state_->predecessor_bisection;
}

void leadership::set_lasting_from(time_point when)
{
    state_->lasting_from = when;
    state_->renew_at = std::min(state_->renew_at, when);
}

void leadership::set_bisection(const bisection_group& note)
{
    state_->bisection = note;
    state_->renew_at = state_->hooks.now();
}

bool leadership::bisection_stored() const
{
    return state_->stored_bisection == state_->bisection;
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

std::optional<boot_time> leadership::predecessor_confirmed_by() const
{
    return state_->predecessor_confirmed;
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
