#include "http/input_budget.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

// A quarter of the memory limit is for input; the leader's own state at the
// target size takes up to half of the smallest one.
constexpr std::size_t input_divisor = 4;

// Sixteenths of the input memory for calls between VMs, and for readiness and
// metrics; callers have the rest.
constexpr std::size_t machines_sixteenths = 4;
constexpr std::size_t probes_sixteenths = 2;
constexpr std::size_t sixteenths = 16;

// One document of callers is decoded at a time, on the control thread; its tree
// has at most this size by the decoding bounds of the job document.
constexpr std::size_t decoding_bytes = 2 * bytes_per_mb;

// Descriptors for files.
constexpr int reserved_descriptors = 200;

// Callers' connections take at most a quarter of the other descriptors: the
// leader's calls to backend servers and the store need the most.
constexpr std::size_t callers_divisor = 4;
constexpr std::size_t machines_divisor = 8;

// Probes come from a load balancer and a metrics collector; a new one must
// outlast the attackers that connect meanwhile.
constexpr std::size_t probe_connections = 128;

// At least this many connections of a part are allowed.
constexpr std::size_t min_connections = 16;

// A connection is not closed in favour of others before this time in its
// phase: a request that is sent at once has arrived by then. With 100 ms, a few
// hundred clients that connect again at once kept all others out.
constexpr milliseconds min_receiving_time{10};

// The same for a connection that holds much memory: a body of the largest size
// takes this time at 8 Mbit/s.
constexpr milliseconds min_holding_time{250};

// A reply that is ready is sent in this time unless the caller does not read.
constexpr milliseconds min_replying_time{1000};

// After a search for memory without a result; each looks at all connections,
// and many may wait for room.
constexpr milliseconds search_interval{2};

// Connections being closed that are not yet gone. More at a time would let the
// connections exceed their limit by more.
constexpr std::size_t max_closing = 64;

milliseconds protected_time(input_phase phase)
{
    switch (phase)
    {
    case input_phase::handling:
        return milliseconds::max();
    case input_phase::replying:
        return min_replying_time;
    case input_phase::idle:
    case input_phase::receiving:
        break;
    }
    return min_receiving_time;
}

input_limits limits_of(std::size_t bytes, std::size_t connections)
{
    // Half of the memory is for what requests hold beyond their connection.
    return {bytes,
            std::max(min_connections,
                     std::min(connections, bytes / 2 / connection_bytes))};
}

} // namespace

input_part_limits input_limits_for(int memory_mb, int descriptors)
{
    const auto total =
        static_cast<std::size_t>(memory_mb) * bytes_per_mb / input_divisor;
    const auto connections = static_cast<std::size_t>(
        std::max(0, descriptors - reserved_descriptors));
    const auto machines = total * machines_sixteenths / sixteenths;
    const auto probes = total * probes_sixteenths / sixteenths;
    const auto callers = total - machines - probes - decoding_bytes;
    return {
        limits_of(callers, connections / callers_divisor),
        limits_of(machines, connections / machines_divisor),
        limits_of(probes,
                  std::min(probe_connections, connections / machines_divisor))};
}

input_budget::input_budget(input_part_limits limits)
{
    for (std::size_t i = 0; i < limits.size(); ++i)
    {
        parts_[i].limits = limits[i];
    }
}

input_budget::part_state& input_budget::state_of(input_part part)
{
    return parts_[static_cast<std::size_t>(part)];
}

const input_budget::part_state& input_budget::state_of(input_part part) const
{
    return parts_[static_cast<std::size_t>(part)];
}

void input_budget::add(part_state& state, entry& item, std::size_t bytes)
{
    item.bytes += bytes;
    state.usage.bytes += bytes;
    state.usage.max_bytes_seen =
        std::max(state.usage.max_bytes_seen, state.usage.bytes);
}

bool input_budget::has_room(const part_state& state, std::size_t bytes)
{
    return state.usage.bytes + bytes <= state.limits.max_bytes;
}

// For memory, closes the connection with the largest product of bytes and
// time; for connections the one that has been longest in its phase, idle ones
// after all others.
bool input_budget::close_one(part_state& state, bool for_memory)
{
    const auto now = monotonic_now();
    if (state.closing >= max_closing ||
        (for_memory && now < state.next_memory_search))
    {
        return false;
    }
    entry* slowest = nullptr;
    std::int64_t slowest_rank = 0;
    for (auto& item : state.entries)
    {
        const auto age = now - item.phase_since;
        const auto protected_for =
            for_memory ? std::max(protected_time(item.phase), min_holding_time)
                       : protected_time(item.phase);
        if (item.closing || age < protected_for)
        {
            continue;
        }
        constexpr std::int64_t before_idle = std::int64_t{1} << 40;
        auto rank = static_cast<std::int64_t>(age.count());
        if (for_memory)
        {
            rank *= static_cast<std::int64_t>(item.bytes);
        }
        else if (item.phase != input_phase::idle)
        {
            rank += before_idle;
        }
        if (slowest == nullptr || rank > slowest_rank)
        {
            slowest = &item;
            slowest_rank = rank;
        }
    }
    if (slowest == nullptr)
    {
        if (for_memory)
        {
            state.next_memory_search = now + search_interval;
        }
        return false;
    }
    slowest->closing = true;
    ++state.closing;
    state.closing_bytes += slowest->bytes;
    ++(for_memory ? state.usage.closed_for_memory
                  : state.usage.closed_for_connections);
    slowest->close();
    return true;
}

std::unique_ptr<input_account> input_budget::open(input_part part,
                                                  std::function<void()> close)
{
    const std::lock_guard lock(mutex_);
    auto& state = state_of(part);
    // Those that are being closed make room for one connection each.
    const bool room =
        state.usage.connections <
            state.limits.max_connections + state.closing &&
        state.usage.bytes + connection_bytes <=
            state.limits.max_bytes + state.closing * connection_bytes;
    if (!room && !close_one(state, false))
    {
        ++state.usage.connections_refused;
        return nullptr;
    }
    state.entries.push_back({part,
                             0,
                             input_phase::receiving,
                             monotonic_now(),
                             false,
                             std::move(close)});
    ++state.usage.connections;
    add(state, state.entries.back(), connection_bytes);
    return std::make_unique<input_account>(shared_from_this(),
                                           std::prev(state.entries.end()));
}

input_usage input_budget::usage(input_part part) const
{
    const std::lock_guard lock(mutex_);
    return state_of(part).usage;
}

input_account::input_account(std::shared_ptr<input_budget> budget,
                             std::list<input_budget::entry>::iterator item)
    : budget_(std::move(budget)), item_(item)
{
}

input_account::~input_account()
{
    const std::lock_guard lock(budget_->mutex_);
    auto& state = budget_->state_of(item_->part);
    if (item_->closing)
    {
        --state.closing;
        state.closing_bytes -= item_->bytes;
    }
    state.usage.bytes -= item_->bytes;
    --state.usage.connections;
    state.entries.erase(item_);
}

charge_result input_account::hold(std::size_t bytes)
{
    const std::lock_guard lock(budget_->mutex_);
    auto& state = budget_->state_of(item_->part);
    if (item_->closing)
    {
        return charge_result::refused;
    }
    const auto target = connection_bytes + bytes;
    if (target <= item_->bytes)
    {
        return charge_result::granted;
    }
    const auto more = target - item_->bytes;
    if (input_budget::has_room(state, more))
    {
        input_budget::add(state, *item_, more);
        return charge_result::granted;
    }
    if (target > state.limits.max_bytes)
    {
        return charge_result::refused;
    }
    while (state.usage.bytes + more >
           state.limits.max_bytes + state.closing_bytes)
    {
        if (!input_budget::close_one(state, true))
        {
            break;
        }
    }
    // The connection that is closed may be this one. If none may be closed yet,
    // one will be a little later.
    return item_->closing ? charge_result::refused : charge_result::later;
}

void input_account::hold_anyway(std::size_t bytes)
{
    const std::lock_guard lock(budget_->mutex_);
    auto& state = budget_->state_of(item_->part);
    const auto target = connection_bytes + bytes;
    if (item_->closing)
    {
        state.closing_bytes = state.closing_bytes - item_->bytes + target;
    }
    state.usage.bytes -= item_->bytes;
    item_->bytes = 0;
    input_budget::add(state, *item_, target);
}

bool input_account::set_phase(input_phase phase)
{
    const std::lock_guard lock(budget_->mutex_);
    item_->phase = phase;
    item_->phase_since = monotonic_now();
    return !item_->closing;
}

bool input_account::crowded() const
{
    const std::lock_guard lock(budget_->mutex_);
    const auto& state = budget_->state_of(item_->part);
    return state.usage.connections >= state.limits.max_connections ||
           !input_budget::has_room(state, connection_bytes);
}

void input_account::count_refused_request()
{
    const std::lock_guard lock(budget_->mutex_);
    ++budget_->state_of(item_->part).usage.requests_refused;
}

void input_account::count_slow()
{
    const std::lock_guard lock(budget_->mutex_);
    ++budget_->state_of(item_->part).usage.closed_slow;
}

} // namespace poplarramp
