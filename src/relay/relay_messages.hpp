// Messages between the leader and the VMs that make calls to backend servers
// for it: batches of calls one way, reports of their results the other way.
#ifndef POPLARRAMP_RELAY_RELAY_MESSAGES_HPP
#define POPLARRAMP_RELAY_RELAY_MESSAGES_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "domain/server_api.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

enum class relay_call_kind
{
    start,
    stop,
    renew,
};

// One call to a backend server.
struct relay_call
{
    // Unique within the epoch of the leader.
    std::uint64_t id = 0;
    relay_call_kind kind = relay_call_kind::renew;
    std::string address;
    std::string server;
    // Of a start or stop order.
    run_id run;
    // Of a start order.
    std::string checkpoint;
    // Of a start order or a renewal.
    std::optional<server_clock> lease_until;
    // Of a renewal.
    std::uint64_t acknowledged_end = 0;
    milliseconds wait{0};
    // Time until the leader's deadline when the batch is sent. Relative, since
    // the clocks of two VMs are not comparable.
    milliseconds time_left{0};
};

struct relay_batch
{
    std::uint64_t epoch = 0;
    // Where the reports go: "ip:port".
    std::string leader_address;
    // On the leader's clock, in Unix milliseconds.
    std::int64_t sent_unix_ms = 0;
    // Payloads of the start orders, by job.
    std::map<std::string, std::string> payloads;
    std::vector<relay_call> calls;
};

// `reply` has the lists of runs only for a renewal.
struct relay_result
{
    std::uint64_t id = 0;
    renewal_reply reply;
};

struct relay_report
{
    std::uint64_t epoch = 0;
    // Name of the VM that made the calls.
    std::string relay;
    std::vector<relay_result> results;
};

// A VM that can make calls for the leader, as stored in its row.
struct relay_member
{
    std::string vm;
    // "ip:port" for calls of other VMs.
    std::string address;
    std::string zone;
    // Cores of the VM.
    double processor_share = 0;
};

// The functions below are thread safe. The parsers return nullopt and fill
// `why` with `bad_request` for text that is not such a message.

std::string to_text(const relay_batch& batch);
std::optional<relay_batch> parse_relay_batch(std::string_view text,
                                             failure& why);
std::string to_text(const relay_report& report);
std::optional<relay_report> parse_relay_report(std::string_view text,
                                               failure& why);
std::string to_text(const relay_member& member);
std::optional<relay_member> parse_relay_member(std::string_view text,
                                               failure& why);

} // namespace poplarramp

#endif
