// Leader election among the entry VMs. One row in the table names the leader;
// each write of the leader also replaces that row under a version check, so
// that the check of the leadership and the write are atomic.
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
    // Differs with each start of the process.
    std::uint64_t incarnation = 0;
    // Share of a core that this VM has; VMs with a larger share stand for
    // election sooner.
    double processor_share = 1;
    // A follower takes over from a leader whose row has not changed for this
    // long plus some round trips, since a slow store delays renewals and polls.
    milliseconds takeover_timeout{1100};
    // Longest interval between the leader's writes of its row.
    milliseconds renew_interval{300};
};

struct leadership_hooks
{
    table store;
    std::function<time_point()> now;
    std::function<boot_time()> boot_now;
    std::function<std::uint64_t()> random;
    // This VM now leads, in this epoch. Epochs rise with each new leader.
    std::function<void(std::uint64_t epoch)> on_elected;
    // Another VM may lead.
    std::function<void(std::string reason)> on_leadership_lost;
};

enum class commit_outcome
{
    written,
    // The batch may or may not have been written, but cannot take effect after
    // a later batch, so that the current state can be committed again.
    unconfirmed,
    // Nothing was written, and the store will never accept this batch.
    refused,
};

// Group of jobs that a leader begins after leaders that ended early: those with
// keys (see `job_bisection`) after `after` and up to `to`. Empty `to`: none.
struct bisection_group
{
    std::string after;
    std::string to;
    // Leaders that ended under this group before.
    int ends = 0;

    bool operator==(const bisection_group& other) const = default;
};

// Writes that are committed together with a renewal of the leader row.
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

    // Polls or renews the leader row when due. To be called every few
    // milliseconds.
    void tick();

    // True if this VM leads, no call is in flight and no retry is pending.
    bool can_commit() const;

    // Writes a batch and calls `done` with the outcome; `unconfirmed` also if
    // the leadership was lost meanwhile. Precondition: `can_commit()`.
    void commit(leader_batch batch,
                std::function<void(commit_outcome outcome)> done);

    // Jobs that no leader starts tasks of. The list is part of the leader row:
    // it is stored with the next write and taken over by the next leader.
    // Preconditions: this VM leads.
    const std::vector<std::string>& quarantined_jobs() const;
    void add_quarantined_job(const std::string& job);
    void remove_quarantined_job(const std::string& job);

    // Number of leaders in a row before this one that ended within 5 s of their
    // election without resigning; and the group of the last of them.
    int short_terms() const;
    const bisection_group& predecessor_bisection() const;

    // Names a group of jobs in the leader row, which is written soon.
    // `bisection_stored` tells whether that has been confirmed. Precondition:
    // this VM leads.
    void set_bisection(const bisection_group& note);
    bool bisection_stored() const;

    bool leads() const;
    std::uint64_t epoch() const;

    // When the last successful write of the leader row was sent; nothing after
    // another VM has replaced it.
    std::optional<boot_time> confirmed_at() const;

    // When this VM first saw the row version that its election replaced. No
    // earlier leader confirmed its leadership after that.
    std::optional<boot_time> predecessor_confirmed_by() const;

    // Gives up the leadership, if this VM leads, and never stands for election
    // again. Precondition: no order is sent afterwards.
    void resign();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
