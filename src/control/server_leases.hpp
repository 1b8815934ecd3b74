// Server leases of one scheduler: claims, renews and releases them, delivers
// the events of the backend servers, and checks before each call whether the
// lease still holds.
#ifndef POPLARRAMP_CONTROL_SERVER_LEASES_HPP
#define POPLARRAMP_CONTROL_SERVER_LEASES_HPP

#include "backend/backend_api.hpp"
#include "base/time.hpp"
#include "services/member_list.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace poplarramp
{

constexpr milliseconds server_lease_duration{3000};
// The holder sends no calls in this time before the lease ends, which covers
// clock drift and the time a call takes to reach the backend server.
constexpr milliseconds lease_margin{500};

// Identifies an event within one grant; needed to acknowledge it.
struct event_ref
{
    std::string server;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

enum class lease_phase
{
    unclaimed,
    claiming,
    held,
    releasing,
};

struct server_lease
{
    std::string id;
    std::string address;
    std::string rack;
    bool listed = true;
    bool leaving_in_list = false;
    bool leaving_reported = false;
    lease_phase phase = lease_phase::unclaimed;
    // Token of the last grant; calls use the one returned by
    // `server_leases::call_token`.
    lease_token token;
    time_point lease_end{};
    // Another owner held the lease at the last claim, or took it over from this
    // scheduler.
    bool contested = false;
    // Another owner may have held the lease between the last two grants, or
    // between `activate` and the first grant.
    bool other_owner_before = false;
    // The last grant was the first one since `activate`.
    bool first_grant = true;
    // Time since which this scheduler does not hold the lease.
    time_point unclaimed_since{};
    time_point next_claim{};
    time_point renew_sent{};
    time_point next_renew{};
    bool renew_in_flight = false;
    bool renew_failed = false;
    // Number of the last claim or release; replies to earlier ones are ignored.
    std::uint64_t last_call = 0;
    int accelerators = 0;
    int slots = 0;
    std::uint64_t last_sequence = 0;
    // Delivered events that are not acknowledged yet.
    std::set<std::uint64_t> unacknowledged;

    bool leaving() const
    {
        return leaving_in_list || leaving_reported;
    }
};

struct lease_hooks
{
    std::function<time_point()> now;
    std::function<void(const std::string& server, const claim_reply& reply)>
        on_claimed;
    // Called once for each event of a grant; the receiver acknowledges it when
    // its effect is durable.
    std::function<void(const task_event& event, const event_ref& ref)> on_event;
    // The lease has ended or was taken over; tasks may keep running.
    std::function<void(const std::string& server)> on_lease_lost;
    // The server is not in the member list any more and its lease is not held.
    std::function<void(const std::string& server)> on_server_removed;
    std::function<void(const std::string& server, bool leaving)> on_leaving;
};

// Not thread safe; used on the control thread only. Replies that arrive after
// destruction are ignored.
class server_leases
{
public:
    server_leases(std::string owner, backend_api backend, lease_hooks hooks);

    // Sets the backend servers of the availability zone.
    void set_members(std::span<const vm_member> servers);

    void activate();
    // Releases all leases; `released` is called when each is released or has
    // expired.
    void release_all(std::function<void()> released);

    // Token for calls sent now; empty unless the lease is held and does not end
    // within `lease_margin`.
    std::optional<lease_token> call_token(std::string_view server) const;
    // As `call_token`, but also empty if the server is leaving.
    std::optional<lease_token> start_token(std::string_view server) const;

    // Claims again under a new epoch, which fences every earlier call. No
    // effect if `token` is not the current one.
    void fence(std::string_view server, const lease_token& token);
    // Reports that a call was refused with `stale_epoch`.
    void on_stale_epoch(std::string_view server, const lease_token& token);

    void acknowledge(const event_ref& ref);

    // True while another scheduler holds a lease or may hold one, because a
    // lease has just ended and the next claim has no reply yet.
    bool contested() const;
    // True if the list of members is known and the lease of each is held.
    bool all_held() const;
    bool members_known() const;

    const server_lease* find(std::string_view server) const;
    const std::map<std::string, server_lease, std::less<>>& servers() const;

    // Sends due claims and renewals, and ends expired leases.
    void tick();

private:
    void send_claim(server_lease& lease);
    void on_claim_reply(const std::string& id,
                        std::uint64_t call,
                        time_point sent,
                        const claim_reply& reply);
    void
    on_granted(server_lease& lease, time_point sent, const claim_reply& reply);
    void poll_again(server_lease& lease);
    void send_renew(server_lease& lease);
    void on_renew_reply(const std::string& id,
                        const lease_token& token,
                        time_point sent,
                        const renew_reply& reply);
    void deliver(const std::string& id, const renew_reply& reply);
    void send_release(server_lease& lease);
    void end_lease(server_lease& lease, bool taken);
    void set_leaving(server_lease& lease, bool in_list, bool reported);
    void tick_lease(server_lease& lease);
    void remove_unlisted_servers();
    void report_released();

    std::string owner_;
    backend_api backend_;
    lease_hooks hooks_;
    bool active_ = false;
    bool members_known_ = false;
    std::map<std::string, server_lease, std::less<>> servers_;
    std::function<void()> released_;
    std::shared_ptr<char> lifetime_ = std::make_shared<char>();
};

} // namespace poplarramp

#endif
