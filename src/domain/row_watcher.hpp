// Keeps a copy of all rows with a prefix up to date: one scan, then the
// changes.
#ifndef POPLARRAMP_DOMAIN_ROW_WATCHER_HPP
#define POPLARRAMP_DOMAIN_ROW_WATCHER_HPP

#include "base/time.hpp"
#include "limits/backoff.hpp"
#include "services/table.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarramp
{

struct row_watcher_settings
{
    // Such as "jobs/".
    std::string prefix;
    // Longest wait of one call for a change; an answer without a change renews
    // the age of the copy.
    milliseconds wait{800};
    // Pause after an answer, so that frequent changes arrive in groups.
    milliseconds batch_delay{0};
};

struct row_watcher_hooks
{
    table store;
    std::function<time_point()> now;
    std::function<boot_time()> boot_now;
    std::function<std::uint64_t()> random;
    // A scan is complete: these are all rows. Called again when the history was
    // lost.
    std::function<void(std::vector<table_row> rows)> on_all;
    std::function<void(const table_row_change& change)> on_change;
    // After each successful call, behind its changes; may be empty.
    std::function<void()> on_confirmed;
};

// Used on the control thread only.
class row_watcher
{
public:
    row_watcher(row_watcher_settings settings, row_watcher_hooks hooks);
    // Answers of calls in flight are dropped.
    ~row_watcher();
    row_watcher(const row_watcher&) = delete;
    row_watcher& operator=(const row_watcher&) = delete;

    // Makes the next call if it is due. To be called every few milliseconds.
    void tick();

    // Drops the answers of calls in flight and starts over with a scan.
    void restart();

    // Changes the pause from the next answer on.
    void set_batch_delay(milliseconds batch_delay);

    // A scan has been completed.
    bool loaded() const;

    // When the last successful call was sent: all earlier changes are known.
    std::optional<boot_time> confirmed_at() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
