// The leader's records of the backend servers: registration, runs, free
// capacity and leases.
#ifndef POPLARRAMP_DOMAIN_SERVER_REGISTRY_HPP
#define POPLARRAMP_DOMAIN_SERVER_REGISTRY_HPP

#include "domain/deployment.hpp"
#include "domain/lease_clock.hpp"
#include "domain/run_lifecycle.hpp"
#include "domain/server_api.hpp"
#include "policy/server_speed.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace poplarramp
{

// Longest time after which an order that was sent may still be executed.
constexpr milliseconds max_order_delay{13000};

// After this time, no copy of an order that was confirmed is on the way any
// more: a relay may have received one beside the copy that was sent directly.
constexpr milliseconds max_copy_delay{3000};

// Whether tasks of other steps may join a run on its server.
enum class server_use
{
    shared,
    // Not before the run was seen at work.
    exclusive_at_start,
    exclusive,
};

// A run that is listed this long after its start order was executed.
constexpr milliseconds min_time_at_work{1000};

// A run that uses, or may use, resources of a server.
struct server_run
{
    // What the run uses of its server; unset if that is not known.
    std::optional<resources> need;
    run_lifecycle lifecycle;
    bool start_in_flight = false;
    bool stop_in_flight = false;
    int starts_sent = 0;
    // The server has replied to a start order, or listed the run.
    bool confirmed = false;
    // When the newest start order was sent.
    time_point ordered_at{};
    time_point next_stop{};
    // When the start order was first sent.
    time_point started_at{};
    std::string checkpoint;
    // Progress in the newest list that contained the run.
    int percent = 0;
    time_point listed_at{};
    progress_mark progress;
    // Listed by the server, but not recorded here before.
    bool untracked = false;
    // It is known from others to have ended, but the server has not listed how.
    bool ended = false;
    server_use use = server_use::shared;

    // Records that the run has ended, although its server has not listed how:
    // it takes no resources any more.
    void mark_ended();

    // The server has listed the run some time after its start, so that the
    // start itself did no harm. The start of a run of an earlier leader was
    // before the election.
    bool seen_at_work() const;

    // No task of another step may be placed on the server now.
    bool keeps_others_out() const;
};

struct server_record
{
    server_registration registration;
    // The registration row exists.
    bool registered = false;
    // This incarnation has seen the leader's epoch, and its runs are known.
    bool adopted = false;
    lease_clock lease;
    // When the last reply of this incarnation was received.
    std::optional<time_point> last_contact;
    std::map<run_id, server_run> runs;
    // Highest number of the end records that were looked at; up to which all
    // were applied; and up to which their effect is stored in the table.
    std::uint64_t last_seen_end = 0;
    std::uint64_t last_applied_end = 0;
    std::uint64_t last_stored_end = 0;
    // An end was not applied, since the progress of its job has not been read.
    bool has_held_end = false;
    bool renewal_in_flight = false;
    // This incarnation has replied to the newest renewal.
    bool renewal_answered = false;
    time_point next_renewal{};
    // After a refusal: no placement before this time.
    time_point placement_blocked_until{};
    // Failed runs since the last successful one.
    int failures = 0;
    time_point last_failure{};
    speed_estimate speed;

    // A run of unknown size may use all that the server has now.
    resources used_by(const server_run& run) const;
    // Negative where the capacity has shrunk below what runs on the server.
    resources free() const;
    // A run keeps tasks of other steps off the server.
    bool keeps_others_out() const;
    // All runs were seen at work.
    bool is_proven() const;
    // The server has replied lately. Without replies it may still receive calls
    // (one-way partition), so that no order extends its lease any more and its
    // runs end at a known time.
    bool in_contact(time_point now) const;
};

// Identifies one incarnation of a server.
struct server_incarnation
{
    std::string id;
    std::int64_t incarnation = 0;

    bool operator==(const server_incarnation& other) const = default;
    bool operator<(const server_incarnation& other) const
    {
        return std::tie(id, incarnation) <
               std::tie(other.id, other.incarnation);
    }
};

// Not thread safe. References are valid until the server is erased.
class server_registry
{
public:
    // Servers not known yet may have runs of an earlier leader until this time.
    void set_unknown_server_lease(time_point until);

    // Records a registration; an older incarnation than the known one is
    // ignored. For a new incarnation, calls `on_lost` and `on_dropped` as
    // `begin_incarnation` does.
    template <class OnLost, class OnGone>
    void register_server(server_registration registration,
                         time_point now,
                         OnLost on_lost,
                         OnGone on_dropped)
    {
        auto& record = at(registration.id);
        if (record.registration.incarnation == 0)
        {
            // Not a restart but the first registration seen: leases of an
            // earlier leader may still be valid.
            record.registration.incarnation = registration.incarnation;
        }
        if (registration.incarnation > record.registration.incarnation)
        {
            begin_incarnation(
                record, registration.incarnation, now, on_lost, on_dropped);
        }
        else if (registration.incarnation < record.registration.incarnation)
        {
            return;
        }
        record.registration = std::move(registration);
        record.registered = true;
    }

    // Records a restart of the server, whose capacity and labels are unknown
    // until the new incarnation registers. A start order that was sent shortly
    // before may reach the new incarnation, so that its run stays recorded
    // until the new incarnation lists its runs. Calls `on_lost` with the runs
    // of the old incarnation, then `on_dropped` with each that certainly does
    // not exist any more.
    template <class OnLost, class OnGone>
    void begin_incarnation(server_record& record,
                           std::int64_t incarnation,
                           time_point now,
                           OnLost on_lost,
                           OnGone on_dropped)
    {
        const auto old = std::move(record);
        record = server_record{};
        record.registration = old.registration;
        record.registration.incarnation = incarnation;
        record.renewal_in_flight = old.renewal_in_flight;
        record.next_renewal = old.next_renewal;
        on_lost(old.runs);
        for (const auto& [id, run] : old.runs)
        {
            if (run.lifecycle.phase == run_phase::placing ||
                now - run.ordered_at > max_order_delay)
            {
                on_dropped(id, run);
                continue;
            }
            auto& carried = record.runs[id] = run;
            carried.lifecycle.phase = run_phase::unconfirmed;
            carried.lifecycle.stop_confirmed = false;
            carried.lifecycle.listable_since = now;
            carried.start_in_flight = false;
            carried.stop_in_flight = false;
            record.lease.assume_lease_until(now + max_order_delay);
        }
    }

    // Record of the server, created if it is unknown.
    server_record& at(const std::string& id);
    server_record* find(const std::string& id);
    const server_record* find(const std::string& id) const;
    // Precondition: the server is known.
    const server_record& record_of(const std::string& id) const;

    std::map<std::string, server_record>& all()
    {
        return servers_;
    }
    const std::map<std::string, server_record>& all() const
    {
        return servers_;
    }

    void erase(const std::string& id);

private:
    std::map<std::string, server_record> servers_;
    time_point unknown_server_lease_{};
};

} // namespace poplarramp

#endif
