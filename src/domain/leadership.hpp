// Which entry VM schedules: one row in the table, replaced under a condition
// with each write of the leader, so that the check of the leadership and the
// write are one step.
#ifndef POPLARRAMP_DOMAIN_LEADERSHIP_HPP
#define POPLARRAMP_DOMAIN_LEADERSHIP_HPP

#include "base/time.hpp"
#include "services/table.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarramp
{

struct leadership_settings
{
    std::string vm;
    // Another number with each start of the process.
    std::uint64_t incarnation = 0;
    // Share of a core that this VM has; VMs with more stand sooner.
    double processor_share = 1;
    // A follower takes over from a leader whose row has not changed for this
    // long, and some round trips more: a slow store delays renewals and looks.
    milliseconds takeover_after{1100};
    // The leader renews its row at least this often.
    milliseconds renew_interval{300};
};

struct leadership_hooks
{
    table store;
    std::function<time_point()> now;
    std::function<boot_time()> boot_now;
    std::function<std::uint64_t()> random;
    // This VM leads now, with this epoch; epochs rise with each new leader.
    std::function<void(std::uint64_t epoch)> on_elected;
    // Another VM may lead.
    std::function<void(std::string reason)> on_deposed;
};

// What a leader writes with the renewal of its row.
struct leader_batch
{
    std::vector<table_put> puts;
    std::vector<std::string> removals;
};

// Used on the control thread only.
class leadership
{
public:
    leadership(leadership_settings settings, leadership_hooks hooks);

    // Makes the call that is due. To be called every few milliseconds.
    void tick();

    // Leading and no commit is in flight.
    bool can_commit() const;

    // Writes a batch; `done` tells whether it is known to have been written.
    // Otherwise the batch may have been written, or not, and cannot take effect
    // after a later batch; commit the current state again. A batch that was
    // under way when the leadership was lost calls `done` with false.
    // Precondition: `can_commit()`.
    void commit(leader_batch batch, std::function<void(bool written)> done);

    bool leads() const;
    std::uint64_t epoch() const;

    // When the last successful write of the leader's row was sent.
    std::optional<boot_time> confirmed_at() const;

    // When this VM first saw the row that its election replaced: every earlier
    // leader had confirmed its own leadership for the last time by then.
    std::optional<boot_time> earlier_confirmed_by() const;

    // Gives the leadership up, or stops to stand for it; no way back.
    // Precondition: no order is sent afterwards.
    void resign();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
