// Keeps a copy of all rows with a key prefix up to date: one scan, then a long
// poll for changes.
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
    // Longest wait of one call for a change. A reply without a change also
    // confirms that the copy is complete.
    milliseconds wait{800};
    // Pause after a reply, so that frequent changes arrive in batches.
    milliseconds batch_delay{0};
};

struct row_watcher_hooks
{
    table store;
    std::function<time_point()> now;
    std::function<boot_time()> boot_now;
    std::function<std::uint64_t()> random;
    // Called with all rows when a scan is complete: at the start, after
    // `restart`, and when the store has dropped the change history.
    std::function<void(std::vector<table_row> rows)> on_all;
    std::function<void(const table_row_change& change)> on_change;
    // Called after the changes of each successful call; may be empty.
    std::function<void()> on_confirmed;
};

// Used on the control thread only.
class row_watcher
{
public:
    row_watcher(row_watcher_settings settings, row_watcher_hooks hooks);
    // Replies to calls in flight are ignored.
    ~row_watcher();
    row_watcher(const row_watcher&) = delete;
    row_watcher& operator=(const row_watcher&) = delete;

    // Makes the next call if it is due. To be called every few milliseconds.
    void tick();

    // Ignores replies to calls in flight and starts over with a scan.
    void restart();

    // Changes these settings for the next and later calls.
    void set_pace(milliseconds wait, milliseconds batch_delay);

    // True if a scan is complete and the changes since it are still available.
    bool loaded() const;

    // When the last successful call was sent: all changes before it are known.
    std::optional<boot_time> confirmed_at() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
