// Backend servers as the leader knows them: what is registered, what runs
// there, what is free, and how long leases last.
#ifndef POPLARRAMP_DOMAIN_SERVER_REGISTRY_HPP
#define POPLARRAMP_DOMAIN_SERVER_REGISTRY_HPP

#include "domain/deployment.hpp"
#include "domain/lease_clock.hpp"
#include "domain/run_lifecycle.hpp"
#include "domain/server_api.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace poplarramp
{

// An order may be carried out this long after it was sent.
constexpr milliseconds latest_order{13000};

// A run that takes up resources of a server.
struct server_run
{
    resources need;
    run_lifecycle lifecycle;
    bool start_in_flight = false;
    bool stop_in_flight = false;
    int starts_sent = 0;
    // When the newest start order was sent.
    time_point ordered_at{};
    time_point next_stop{};
    // When the start order was first sent.
    time_point started_at{};
    std::string checkpoint;
    int percent = 0;
    // The scheduler has no record of this run.
    bool untracked = false;
};

struct server_record
{
    server_entry entry;
    // The entry stands in the table of servers.
    bool registered = false;
    // This leader's epoch has reached this life, and its runs are known.
    bool adopted = false;
    lease_clock lease;
    // When the last reply of this life was received.
    std::optional<time_point> contact;
    std::map<run_id, server_run> runs;
    // Ends up to these numbers are handled, and stored.
    std::uint64_t ends_handled = 0;
    std::uint64_t ends_stored = 0;
    bool renewal_in_flight = false;
    time_point next_renewal{};
    // No placement before this time, after a refusal.
    time_point closed_until{};
    // Failed runs since the last that ended well.
    int failures = 0;
    time_point last_failure{};

    resources free() const;
};

// Name and version of one life of a server.
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
    // A server that is not known yet may hold runs of an earlier leader until
    // this time.
    void set_unknown_until(time_point until);

    // Registers an entry. If it is of a new life, `on_dead` gets the runs of
    // the old one that have certainly ended.
    template <class OnDead>
    void enter(server_entry entry, time_point now, OnDead on_dead)
    {
        auto& record = at(entry.id);
        if (record.entry.incarnation == 0)
        {
            // The first that is heard of it: leases of an earlier leader count.
            record.entry.incarnation = entry.incarnation;
        }
        if (entry.incarnation > record.entry.incarnation)
        {
            begin_incarnation(record, entry.incarnation, now, on_dead);
        }
        else if (entry.incarnation < record.entry.incarnation)
        {
            return;
        }
        record.entry = std::move(entry);
        record.registered = true;
    }

    // The server has started anew. A start order that was sent shortly before
    // may have reached the new life, or still reach it: such a run stays in the
    // books until the new life tells.
    template <class OnDead>
    void begin_incarnation(server_record& record,
                           std::int64_t incarnation,
                           time_point now,
                           OnDead on_dead)
    {
        const auto old = std::move(record);
        record = server_record{};
        record.entry = old.entry;
        record.entry.incarnation = incarnation;
        record.registered = old.registered;
        record.renewal_in_flight = old.renewal_in_flight;
        record.next_renewal = old.next_renewal;
        for (const auto& [id, run] : old.runs)
        {
            if (run.lifecycle.phase == run_phase::placing ||
                now - run.ordered_at > latest_order)
            {
                on_dead(id, run);
                continue;
            }
            auto& kept = record.runs[id] = run;
            kept.lifecycle.phase = run_phase::unconfirmed;
            kept.lifecycle.stop_confirmed = false;
            kept.lifecycle.settled_at = now;
            kept.start_in_flight = false;
            kept.stop_in_flight = false;
            record.lease.assume_until(now + latest_order);
        }
    }

    // Record of the server, made if it is unknown.
    server_record& at(const std::string& id);
    server_record* find(const std::string& id);
    const server_record* find(const std::string& id) const;
    // Precondition: the server is known.
    const server_record& at_id(const std::string& id) const;

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
    time_point unknown_until_{};
};

} // namespace poplarramp

#endif
