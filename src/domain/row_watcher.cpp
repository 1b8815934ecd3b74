#include "domain/row_watcher.hpp"

#include "base/log.hpp"
#include "domain/scan_pace.hpp"

#include <utility>

namespace poplarramp
{

namespace
{

// Added to the wait for a change, for a slow store.
constexpr milliseconds extra_watch_timeout{500};
// For some time after a failure: the store may be slow.
constexpr milliseconds extra_slow_watch_timeout{1000};
constexpr milliseconds slow_time{10000};

// After this many failures in a row, each second call may take longer: over a
// slow link the changes of some seconds, up to 1 MB, do not arrive in less. The
// calls between them notice sooner that the store is back.
constexpr int failures_before_long_watch = 3;
constexpr milliseconds extra_long_watch_timeout{6000};

constexpr backoff_settings retry_delays{milliseconds(100), milliseconds(800)};

} // namespace

// Shared with the callbacks of calls in flight, which may outlive the watcher.
struct row_watcher::state : std::enable_shared_from_this<state>
{
    state(row_watcher_settings own_settings, row_watcher_hooks own_hooks)
        : settings(std::move(own_settings)), hooks(std::move(own_hooks)),
          retry(retry_delays)
    {
    }

    void scan();
    void on_page(table_scan_reply reply, boot_time sent);
    void watch();
    void on_changes(const table_watch_reply& reply, boot_time sent);
    void on_error(const failure& error);
    void on_success(boot_time sent);

    const row_watcher_settings settings;
    const row_watcher_hooks hooks;
    backoff retry;
    scan_pace pace;
    int failed_watches = 0;
    milliseconds wait = settings.wait;
    milliseconds batch_delay = settings.batch_delay;
    time_point slow_until{};
    time_point next_call{};
    // Replies to calls of an earlier generation are ignored.
    std::uint64_t generation = 0;
    bool in_flight = false;
    bool is_loaded = false;
    bool connected = true;
    std::optional<boot_time> confirmed;
    std::uint64_t version = 0;
    // Rows, version and time of the first page, and position of the scan in
    // progress.
    std::vector<table_row> scanned;
    std::optional<std::uint64_t> scan_version;
    boot_time scan_began{};
    std::string scan_after;
};

void row_watcher::state::scan()
{
    in_flight = true;
    const auto sent = hooks.boot_now();
    const auto now = hooks.now();
    hooks.store.scan(
        settings.prefix,
        scan_after,
        pace.rows(),
        now + pace.timeout(),
        [self = shared_from_this(), sent, now, number = generation](
            table_scan_reply reply)
        {
            if (number != self->generation)
            {
                return;
            }
            self->in_flight = false;
            if (reply.error)
            {
                self->pace.on_error(reply.error);
            }
            else
            {
                self->pace.on_page(self->hooks.now() - now);
            }
            self->on_page(std::move(reply), sent);
        });
}

void row_watcher::state::on_page(table_scan_reply reply, boot_time sent)
{
    if (reply.error)
    {
        on_error(reply.error);
        return;
    }
    // The pages are not one snapshot: changes since the first page are
    // replayed.
    if (!scan_version)
    {
        scan_version = reply.version;
        scan_began = sent;
    }
    for (auto& row : reply.rows)
    {
        scanned.push_back(std::move(row));
    }
    scan_after = reply.next;
    if (!scan_after.empty())
    {
        next_call = hooks.now();
        return;
    }
    version = *scan_version;
    scan_version.reset();
    is_loaded = true;
    hooks.on_all(std::exchange(scanned, {}));
    on_success(scan_began);
}

void row_watcher::state::watch()
{
    in_flight = true;
    const auto sent = hooks.boot_now();
    const bool long_watch =
        failed_watches >= failures_before_long_watch && failed_watches % 2 != 0;
    const auto extra = long_watch                 ? extra_long_watch_timeout
                       : hooks.now() < slow_until ? extra_slow_watch_timeout
                                                  : extra_watch_timeout;
    hooks.store.watch(settings.prefix,
                      version,
                      wait,
                      hooks.now() + wait + extra,
                      [self = shared_from_this(), sent, number = generation](
                          const table_watch_reply& reply)
                      {
                          if (number == self->generation)
                          {
                              self->in_flight = false;
                              self->on_changes(reply, sent);
                          }
                      });
}

void row_watcher::state::on_changes(const table_watch_reply& reply,
                                    boot_time sent)
{
    if (reply.error.code == result_code::not_found)
    {
        log_line(
            log_level::warning,
            "store",
            "The store has dropped the change history; the rows are rescanned.",
            {{"prefix", settings.prefix}, {"after", std::to_string(version)}});
        is_loaded = false;
        next_call = hooks.now();
        return;
    }
    if (reply.error)
    {
        ++failed_watches;
        on_error(reply.error);
        return;
    }
    failed_watches = 0;
    const auto number = generation;
    for (const auto& change : reply.changes)
    {
        hooks.on_change(change);
        if (number != generation)
        {
            return;
        }
    }
    version = reply.version;
    on_success(sent);
}

void row_watcher::state::on_error(const failure& error)
{
    if (connected)
    {
        log_line(log_level::warning,
                 "store",
                 "The rows cannot be followed.",
                 {{"prefix", settings.prefix},
                  {"code", std::string(name_of(error.code))},
                  {"reason", error.reason},
                  {"version", std::to_string(version)}});
    }
    connected = false;
    slow_until = hooks.now() + slow_time;
    next_call = hooks.now() + retry.next(hooks.random());
}

void row_watcher::state::on_success(boot_time sent)
{
    if (!connected)
    {
        log_line(log_level::info,
                 "store",
                 "The rows are followed again.",
                 {{"prefix", settings.prefix},
                  {"version", std::to_string(version)}});
    }
    connected = true;
    retry.reset();
    confirmed = sent;
    next_call = hooks.now() + batch_delay;
    if (hooks.on_confirmed)
    {
        hooks.on_confirmed();
    }
}

row_watcher::row_watcher(row_watcher_settings settings, row_watcher_hooks hooks)
    : state_(std::make_shared<state>(std::move(settings), std::move(hooks)))
{
}

row_watcher::~row_watcher()
{
    ++state_->generation;
}

void row_watcher::tick()
{
    auto& self = *state_;
    if (self.in_flight || self.hooks.now() < self.next_call)
    {
        return;
    }
    if (self.is_loaded)
    {
        self.watch();
    }
    else
    {
        self.scan();
    }
}

void row_watcher::restart()
{
    auto& self = *state_;
    ++self.generation;
    self.in_flight = false;
    self.is_loaded = false;
    self.confirmed.reset();
    self.scanned.clear();
    self.scan_version.reset();
    self.scan_after.clear();
    self.next_call = self.hooks.now();
}

void row_watcher::set_pace(milliseconds wait, milliseconds batch_delay)
{
    state_->wait = wait;
    state_->batch_delay = batch_delay;
}

bool row_watcher::loaded() const
{
    return state_->is_loaded;
}

std::optional<boot_time> row_watcher::confirmed_at() const
{
    return state_->confirmed;
}

} // namespace poplarramp
