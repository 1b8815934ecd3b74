// Calls to backend servers by the leader, shared out over the entry VMs: in
// large domains, one or a few VMs in each zone make the calls of that zone, in
// batches. All decisions and their state stay with the leader.
#ifndef POPLARRAMP_RELAY_RELAYED_SERVERS_HPP
#define POPLARRAMP_RELAY_RELAYED_SERVERS_HPP

#include "domain/server_api.hpp"
#include "relay/relay_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarramp
{

struct relayed_servers_settings
{
    // Name of this VM, which is not its own relay.
    std::string vm;
    // "ip:port" of this VM, for reports.
    std::string address;
    std::uint64_t epoch = 0;
    // With fewer servers the leader makes all calls itself: a batch then holds
    // one or two calls and costs as much as they do.
    std::size_t min_servers = 128;
};

struct relayed_servers_hooks
{
    // Calls without a relay.
    server_api direct;
    std::function<time_point()> now;
    std::function<std::int64_t()> unix_now;
    // Runs a function later on the control thread.
    std::function<void(std::function<void()>)> post;
    // Sends a batch. Calls `done` exactly once, on the control thread, no later
    // than the deadline: with an error if the batch may not have been accepted.
    std::function<void(std::string address,
                       relay_batch batch,
                       time_point deadline,
                       std::function<void(const failure& error)> done)>
        send;
    // Adds to a metrics counter.
    std::function<void(const std::string& counter, double amount)> count;
};

// Used on the control thread only. Exists on the leader only, for one epoch.
class relayed_servers : public std::enable_shared_from_this<relayed_servers>
{
public:
    relayed_servers(relayed_servers_settings settings,
                    relayed_servers_hooks hooks);

    // Calls that go through a relay where one is in use. The contract of
    // `server_api` holds: a call whose result is not known in time is reported
    // as `unknown`. Every call is safe to repeat, so that the calls of a relay
    // that fails are made directly.
    server_api api();

    // Replaces the VMs that can be relays.
    void set_members(const std::vector<relay_member>& members);
    // Adds a VM, or replaces it after its restart.
    void add_member(const relay_member& member);
    void remove_member(const std::string& vm);

    void on_report(const relay_report& report);

    // Sends batches that are due and notices relays that fail. To be called
    // every few milliseconds.
    void tick();

    // Number of relays in use.
    std::size_t relays_in_use() const;

private:
    // A call that was handed to a relay.
    struct pending_call
    {
        relay_call call;
        server_target to;
        std::string payload;
        time_point deadline{};
        // Set according to the kind of the call.
        std::function<void(order_reply)> order_done;
        std::function<void(renewal_reply)> renewal_done;
    };

    struct relay
    {
        relay_member member;
        // Ids of calls to be sent, and of those without a result.
        std::vector<std::uint64_t> queued;
        std::set<std::uint64_t> in_flight;
        time_point last_flush{};
        time_point last_heard{};
        // Not used before this time, after a failure.
        time_point suspect_until{};
        int failures = 0;
        int batches_in_flight = 0;
    };

    struct zone_servers
    {
        // Known servers, with the time of their last renewal.
        std::map<std::string, time_point> servers;
        // Names of the relays in use, in the order of preference.
        std::vector<std::string> relays;
    };

    void start(server_target to,
               start_order order,
               time_point deadline,
               std::function<void(order_reply)> done);
    void stop(server_target to,
              run_id run,
              time_point deadline,
              std::function<void(order_reply)> done);
    void renew(server_target to,
               renew_order order,
               time_point deadline,
               std::function<void(renewal_reply)> done);
    // The relay for a call to the server; null: call directly.
    relay* relay_for(const server_target& to);
    void enqueue(relay& by, pending_call item);
    // `may_have_run`: the relay may have made the call before.
    void call_directly(pending_call item, bool may_have_run);
    void call_directly(const std::vector<std::uint64_t>& ids,
                       bool may_have_run);
    static void finish(const pending_call& item, const renewal_reply& reply);
    void choose_relays();
    void choose_relays_of(const std::string& zone, zone_servers& in_zone);
    void post_flush();
    void flush(bool with_renewals);
    void send_batch(relay& by);
    void on_sent(const std::string& vm,
                 const std::vector<std::uint64_t>& ids,
                 const failure& error);
    // Makes the calls of the relay directly, and avoids it for a while.
    void on_failed_relay(relay& failed, std::string_view reason);
    void expire_calls();
    void forget_gone_servers();

    const relayed_servers_settings settings_;
    const relayed_servers_hooks hooks_;
    std::map<std::string, relay> relays_;
    std::map<std::string, zone_servers> zones_;
    std::size_t server_count_ = 0;
    // Servers that a relay could not reach, called directly until the time.
    std::map<std::string, time_point> direct_until_;
    std::map<std::uint64_t, pending_call> pending_;
    std::uint64_t last_id_ = 0;
    bool choice_due_ = false;
    bool flush_posted_ = false;
    time_point next_renewal_flush_{};
    time_point next_cleanup_{};
};

} // namespace poplarramp

#endif
