// Bounds what a process holds for its HTTP connections: memory for headers,
// bodies, decoded documents, unread replies and socket buffers, and the number
// of connections.
#ifndef POPLARRAMP_HTTP_INPUT_BUDGET_HPP
#define POPLARRAMP_HTTP_INPUT_BUDGET_HPP

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

namespace poplarramp
{

// Listeners that share a part of the budget. Connections of one part cannot
// use what belongs to another.
enum class input_part : std::size_t
{
    callers,
    machines,
    probes,
};

constexpr std::size_t input_part_count = 3;

struct input_limits
{
    std::size_t max_bytes = 0;
    std::size_t max_connections = 0;
};

using input_part_limits = std::array<input_limits, input_part_count>;

// Limits for a process with this memory limit and number of descriptors;
// docs/design/input-limits.md has the arithmetic. Thread safe.
input_part_limits input_limits_for(int memory_mb, int descriptors);

// Memory charged for an open connection: 8 KiB for its objects and its first
// read buffer, 16 KiB for what the kernel holds in its receive buffer.
constexpr std::size_t connection_bytes = std::size_t{24} * 1024;

struct input_usage
{
    std::size_t bytes = 0;
    std::size_t connections = 0;
    // Totals since the start of the process.
    std::size_t max_bytes_seen = 0;
    std::uint64_t connections_refused = 0;
    std::uint64_t requests_refused = 0;
    std::uint64_t closed_for_connections = 0;
    std::uint64_t closed_for_memory = 0;
    std::uint64_t closed_slow = 0;
};

// What a connection is doing. Its request must be passed on to the handler
// only in `handling`, in which it is never closed in favour of others.
enum class input_phase
{
    receiving,
    idle,
    handling,
    replying,
};

enum class charge_result
{
    granted,
    // Others are or will be closed to make room; try again a little later.
    later,
    refused,
};

class input_account;

// Thread safe. Outlives its accounts.
class input_budget : public std::enable_shared_from_this<input_budget>
{
public:
    explicit input_budget(input_part_limits limits);

    // Accounts for a new connection. When connections or memory run short, the
    // slowest connection of the part is closed in its favour. Returns nullptr
    // if there is none; the connection must then be refused. `close` is called
    // at most once, on any thread, with a lock held: it must only post.
    std::unique_ptr<input_account> open(input_part part,
                                        std::function<void()> close);

    input_usage usage(input_part part) const;

private:
    friend class input_account;

    struct entry
    {
        input_part part = input_part::callers;
        std::size_t bytes = 0;
        input_phase phase = input_phase::receiving;
        time_point phase_since{};
        bool closing = false;
        std::function<void()> close;
    };

    struct part_state
    {
        input_limits limits;
        input_usage usage;
        std::list<entry> entries;
        // Of the accounts that are being closed.
        std::size_t closing_bytes = 0;
        std::size_t closing = 0;
        time_point next_memory_search{};
    };

    using entry_position = std::list<entry>::iterator;

    part_state& state_of(input_part part);
    const part_state& state_of(input_part part) const;
    static void add(part_state& state, entry& item, std::size_t bytes);
    static bool close_one(part_state& state, bool for_memory);
    static bool has_room(const part_state& state, std::size_t bytes);

    mutable std::mutex mutex_;
    std::array<part_state, input_part_count> parts_;
};

// What one connection holds; released by the destructor. Used by one thread at
// a time.
class input_account
{
public:
    input_account(std::shared_ptr<input_budget> budget,
                  std::list<input_budget::entry>::iterator item);
    ~input_account();
    input_account(const input_account&) = delete;
    input_account& operator=(const input_account&) = delete;

    // Raises what the connection holds beyond `connection_bytes` to `bytes`.
    // For `later` and `refused` nothing has changed.
    charge_result hold(std::size_t bytes);

    // Sets what it holds, also above the limit: for a reply that is ready.
    void hold_anyway(std::size_t bytes);

    // Returns false if the connection is being closed in favour of another; it
    // must then not pass on its request.
    bool set_phase(input_phase phase);

    // True if a new connection could displace others.
    bool crowded() const;

    void count_refused_request();
    void count_slow();

private:
    const std::shared_ptr<input_budget> budget_;
    const std::list<input_budget::entry>::iterator item_;
};

} // namespace poplarramp

#endif
