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

// Jobs that a leader is about to begin while it looks for one that ends
// leaders: those with keys (see `job_bisection`) after `after` and up to `to`.
// Empty `to`: none.
struct bisection_group
{
    std::string after;
    std::string to;
    // The group has one job, which this leader has not begun: if it ends now,
    // that job is not the cause.
    bool control = false;
    // The group has one job, and all others were begun some time before it.
    bool alone = false;
    // Leaders that ended before just after they had begun the group alone.
    int ends = 0;

    bool operator==(const bisection_group& other) const = default;
};

// A job that no leader begins before a time, as leaders ended just after they
// had begun it.
struct timed_quarantine
{
    std::string job;
    // Leaders that ended.
    int ends = 0;
    std::int64_t until_unix_ms = 0;
};

// Jobs that leaders have begun, and that none is known to have outlived.
struct probation_list
{
    std::vector<std::string> jobs;
    // There are too many for the leader row: any job may be one.
    bool any = false;

    bool operator==(const probation_list& other) const = default;
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

    // The same for a time; jobs whose time is over stay in the list until they
    // are removed from it. `set_timed_quarantines` keeps the newest 64.
    // Precondition of the setter: this VM leads.
    const std::vector<timed_quarantine>& timed_quarantines() const;
    void set_timed_quarantines(std::vector<timed_quarantine> jobs);

    // Jobs on probation, in the rows of the leader before and of this one. The
    // list is stored with the next write. Precondition of the setter: this VM
    // leads.
    const probation_list& predecessor_probation() const;
    void set_probation(probation_list jobs);

    // Number of leaders in a row before this one that ended, without resigning,
    // before they counted as lasting; and the group of the last of them.
    // Leaders that ended during the control of a job do not count.
    int short_terms() const;
    const bisection_group& predecessor_bisection() const;

    // This leader counts as lasting if it still leads at `when`, without a
    // group in its row; the row is written then. Precondition: this VM leads.
    void set_lasting_from(time_point when);

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
