// Makes calls to backend servers for the leader and reports their results. Has
// no authority of its own: every call carries the leader's epoch, and the
// servers refuse lower ones.
#ifndef POPLARRAMP_RELAY_CALL_RELAY_HPP
#define POPLARRAMP_RELAY_CALL_RELAY_HPP

#include "domain/server_api.hpp"
#include "relay/relay_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarramp
{

struct call_relay_hooks
{
    server_api servers;
    std::function<time_point()> now;
    std::function<boot_time()> boot_now;
    std::function<std::int64_t()> unix_now;
    // Sends a report to the leader, without a retry.
    std::function<void(std::string address, relay_report report)> send;
    // Adds to a metrics counter.
    std::function<void(const std::string& counter, double amount)> count;
};

// Used on the control thread only.
class call_relay : public std::enable_shared_from_this<call_relay>
{
public:
    call_relay(std::string vm, call_relay_hooks hooks);

    // Makes the calls of the batch. Returns false and fills `why` if it makes
    // none: this VM is stopping, the batch is of an earlier leader, or it may
    // have been delayed.
    bool accept(relay_batch batch, failure& why);

    // Sends due reports. To be called every few milliseconds: a longer pause
    // between two calls shows that the process was suspended, and batches that
    // arrived meanwhile are refused.
    void tick();

    // Refuses further batches; calls that have been made are still reported.
    void stop_accepting();

private:
    bool is_fresh(const relay_batch& batch);
    void make_call(const relay_batch& batch, relay_call call);
    void on_reply(std::uint64_t epoch, std::uint64_t id, renewal_reply reply);
    void send_report();

    const std::string vm_;
    const call_relay_hooks hooks_;
    // Of the newest leader.
    std::uint64_t epoch_ = 0;
    std::string leader_address_;
    bool accepting_ = true;
    // Calls of this epoch without a reply.
    std::size_t in_flight_ = 0;
    std::vector<relay_result> results_;
    bool report_urgent_ = false;
    time_point last_report_{};
    std::optional<boot_time> last_tick_;
    // Batches are refused until then, after a suspension.
    boot_time refused_until_{};
};

} // namespace poplarramp

#endif
