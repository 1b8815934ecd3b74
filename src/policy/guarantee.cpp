#include "policy/guarantee.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>

namespace poplarramp
{

namespace
{

using capacity_list = std::vector<capacity>;

void take(capacity& server, int accelerators)
{
    server.left.accelerators -= accelerators;
    server.left.slots -= 1;
}

int room_of(const capacity& server)
{
    return server.left.slots > 0 ? std::max(0, server.left.accelerators) : 0;
}

// Racks for a shape above one server: the one with the least room that fits,
// else those with the most room.
std::vector<int>
racks_for(const capacity_list& servers, int shape, int largest_rack)
{
    std::map<int, int> rooms;
    for (const auto& server : servers)
    {
        rooms[server.rack] += room_of(server);
    }
    std::vector<std::pair<int, int>> sorted;
    sorted.reserve(rooms.size());
    for (const auto& [rack, room] : rooms)
    {
        sorted.emplace_back(room, rack);
    }
    std::sort(sorted.begin(), sorted.end());
    const auto fits =
        std::lower_bound(sorted.begin(), sorted.end(), std::pair(shape, 0));
    if (fits != sorted.end())
    {
        return {fits->second};
    }
    std::vector<int> chosen;
    if (shape <= largest_rack)
    {
        return chosen;
    }
    for (auto rack = sorted.rbegin(); rack != sorted.rend(); ++rack)
    {
        chosen.push_back(rack->second);
    }
    return chosen;
}

// Takes the smallest rooms of each rack first. Nothing changes if the racks
// have not enough.
bool place_large(capacity_list& servers,
                 int shape,
                 int largest_rack,
                 part_list& parts)
{
    auto left = servers;
    int missing = shape;
    for (const int rack : racks_for(servers, shape, largest_rack))
    {
        std::vector<std::pair<int, std::size_t>> rooms;
        for (std::size_t i = 0; i < left.size(); ++i)
        {
            if (left[i].rack == rack && room_of(left[i]) > 0)
            {
                rooms.emplace_back(room_of(left[i]), i);
            }
        }
        std::sort(rooms.begin(), rooms.end());
        for (const auto& [room, i] : rooms)
        {
            const int taken = std::min(room, missing);
            if (taken == 0)
            {
                break;
            }
            parts.push_back({left[i].server, taken});
            take(left[i], taken);
            missing -= taken;
        }
    }
    if (missing > 0)
    {
        return false;
    }
    servers = std::move(left);
    return true;
}

// Places up to `count` blocks within single servers, those with the fewest
// spare slots first, because a large block uses few slots. Returns how many
// found no place.
int place_small(capacity_list& servers,
                int shape,
                int count,
                std::vector<block_place>& places)
{
    std::sort(servers.begin(),
              servers.end(),
              [](const capacity& a, const capacity& b)
              {
                  const auto key = [](const capacity& item)
                  {
                      return std::tuple(item.left.slots -
                                            item.left.accelerators,
                                        item.left.accelerators,
                                        item.server);
                  };
                  return key(a) < key(b);
              });
    for (auto& server : servers)
    {
        while (count > 0 && room_of(server) >= shape)
        {
            take(server, shape);
            places.push_back({shape, {{server.server, shape}}});
            --count;
        }
    }
    return count;
}

bool fits(const amount& needed, const amount& left)
{
    return needed.accelerators <= left.accelerators &&
           needed.slots <= left.slots;
}

// The place that a block opened by the changes leaves: the same one if there is
// one, else one at its first server, else any of the shape.
std::vector<block_place>::iterator
place_to_drop(std::vector<block_place>& places,
              std::span<const firm_change> changes,
              int shape)
{
    auto best = places.end();
    int best_rank = 0;
    for (auto place = places.begin(); place != places.end(); ++place)
    {
        if (place->shape != shape)
        {
            continue;
        }
        const bool same = std::equal(
            place->parts.begin(),
            place->parts.end(),
            changes.begin(),
            changes.end(),
            [](const part& share, const firm_change& change)
            {
                return share.server == change.server &&
                       share.accelerators == change.bound.accelerators;
            });
        const bool first =
            place->parts.front().server == changes.front().server;
        const int rank = same ? 3 : first ? 2 : 1;
        if (rank > best_rank)
        {
            best = place;
            best_rank = rank;
        }
    }
    return best;
}

block_share* find_share(block& owner, int server)
{
    const auto found = std::find_if(owner.shares.begin(),
                                    owner.shares.end(),
                                    [server](const block_share& share)
                                    { return share.server == server; });
    return found == owner.shares.end() ? nullptr : &*found;
}

} // namespace

bool changes_fit(const cluster& servers, std::span<const firm_change> changes)
{
    return std::all_of(
        changes.begin(),
        changes.end(),
        [&](const firm_change& change)
        { return fits(change.bound, servers.at(change.server).unbound()); });
}

packing pack_blocks(std::vector<capacity> servers,
                    const shape_counts& blocks,
                    const span_limits& limits)
{
    packing result;
    result.complete = true;
    for (const auto& [shape, count] : blocks)
    {
        int missing = count;
        while (shape > limits.largest_server && missing > 0)
        {
            part_list parts;
            if (!place_large(servers, shape, limits.largest_rack, parts))
            {
                break;
            }
            result.places.push_back({shape, std::move(parts)});
            --missing;
        }
        if (shape <= limits.largest_server && missing > 0)
        {
            missing = place_small(servers, shape, missing, result.places);
        }
        result.complete = result.complete && missing == 0;
    }
    return result;
}

void guarantee_registry::set_counts(std::map<guarantee_key, int> counts)
{
    assert(blocks_.empty());
    counts_ = std::move(counts);
    invalidate();
}

int guarantee_registry::floating(const guarantee_key& owner) const
{
    const auto total = counts_.find(owner);
    if (total == counts_.end())
    {
        return 0;
    }
    const auto used = occupied_.find(owner);
    return total->second - (used == occupied_.end() ? 0 : used->second);
}

bool guarantee_registry::has_blocks(std::string_view customer) const
{
    const auto first =
        counts_.lower_bound(guarantee_key(std::string(customer), 0));
    return first != counts_.end() && first->first.first == customer;
}

int guarantee_registry::largest_held(const std::string& customer) const
{
    int largest = 0;
    for (auto entry = counts_.lower_bound({customer, 0});
         entry != counts_.end() && entry->first.first == customer;
         ++entry)
    {
        largest = floating(entry->first) > 0 ? entry->first.second : largest;
    }
    for (const int number : blocks_of(customer))
    {
        largest = std::max(largest, blocks_.at(number).unused);
    }
    return largest;
}

const std::set<int>&
guarantee_registry::blocks_of(const std::string& customer) const
{
    static const std::set<int> none;
    const auto found = blocks_of_.find(customer);
    return found == blocks_of_.end() ? none : found->second;
}

shape_counts guarantee_registry::floating_shapes() const
{
    shape_counts shapes;
    for (const auto& [owner, total] : counts_)
    {
        const int count = floating(owner);
        if (count > 0)
        {
            shapes[owner.second] += count;
        }
    }
    return shapes;
}

std::vector<capacity> guarantee_registry::capacities(const cluster& servers)
{
    std::vector<capacity> result;
    for (const int index : servers.accelerator_servers())
    {
        const auto& server = servers.at(index);
        if (server.placeable())
        {
            result.push_back({index, server.rack, server.unbound()});
        }
    }
    return result;
}

amount guarantee_registry::planned(int server) const
{
    const auto index = static_cast<std::size_t>(server);
    return index < planned_.size() ? planned_[index] : amount{};
}

void guarantee_registry::index_place(const block_place& place, int sign)
{
    for (const auto& share : place.parts)
    {
        const auto index = static_cast<std::size_t>(share.server);
        planned_.resize(std::max(planned_.size(), index + 1));
        planned_[index].accelerators += sign * share.accelerators;
        planned_[index].slots += sign;
    }
}

void guarantee_registry::index_plan()
{
    planned_.clear();
    for (const auto& place : plan_.places)
    {
        index_place(place, 1);
    }
}

bool guarantee_registry::plan_valid(const cluster& servers) const
{
    if (!plan_.complete)
    {
        return false;
    }
    shape_counts placed;
    for (const auto& place : plan_.places)
    {
        ++placed[place.shape];
    }
    if (placed != floating_shapes())
    {
        return false;
    }
    for (std::size_t i = 0; i < planned_.size(); ++i)
    {
        const auto& server = servers.at(static_cast<int>(i));
        const auto left = server.unbound();
        const bool needed = planned_[i].slots > 0;
        if (needed && (!server.placeable() || !fits(planned_[i], left)))
        {
            return false;
        }
    }
    return true;
}

bool guarantee_registry::refresh(const cluster& servers,
                                 const span_limits& limits)
{
    if (valid_)
    {
        return plan_.complete;
    }
    valid_ = true;
    if (plan_valid(servers))
    {
        return true;
    }
    plan_ = pack_blocks(capacities(servers), floating_shapes(), limits);
    index_plan();
    return plan_.complete;
}

// True if the changes fit beside the packing held, without one place of the
// shape that is opened; remembers which.
bool guarantee_registry::fits_beside(const cluster& servers,
                                     std::span<const firm_change> changes,
                                     int opened_shape)
{
    auto& places = plan_.places;
    auto dropped = places.end();
    if (opened_shape > 0)
    {
        dropped = place_to_drop(places, changes, opened_shape);
        if (dropped == places.end())
        {
            return false;
        }
    }
    for (const auto& change : changes)
    {
        auto needed = planned(change.server);
        needed.accelerators += change.bound.accelerators;
        needed.slots += change.bound.slots;
        if (dropped != places.end())
        {
            for (const auto& share : dropped->parts)
            {
                const bool here = share.server == change.server;
                needed.accelerators -= here ? share.accelerators : 0;
                needed.slots -= here ? 1 : 0;
            }
        }
        const auto left = servers.at(change.server).unbound();
        if (!fits(needed, left))
        {
            return false;
        }
    }
    dropped_place_ = dropped == places.end()
                         ? -1
                         : static_cast<int>(dropped - places.begin());
    return true;
}

bool guarantee_registry::keeps(const cluster& servers,
                               const span_limits& limits,
                               std::span<const firm_change> changes,
                               int opened_shape)
{
    discard();
    if (!changes_fit(servers, changes))
    {
        return false;
    }
    if (changes.empty() || fits_beside(servers, changes, opened_shape))
    {
        return true;
    }
    auto left = capacities(servers);
    for (const auto& change : changes)
    {
        for (auto& item : left)
        {
            const bool here = item.server == change.server;
            item.left.accelerators -= here ? change.bound.accelerators : 0;
            item.left.slots -= here ? change.bound.slots : 0;
        }
    }
    auto shapes = floating_shapes();
    if (opened_shape > 0 && --shapes[opened_shape] == 0)
    {
        shapes.erase(opened_shape);
    }
    auto packed = pack_blocks(std::move(left), shapes, limits);
    if (!packed.complete)
    {
        return false;
    }
    candidate_ = std::move(packed);
    return true;
}

void guarantee_registry::discard()
{
    candidate_.reset();
    dropped_place_ = -1;
}

void guarantee_registry::accept()
{
    if (candidate_)
    {
        plan_ = std::move(*candidate_);
        candidate_.reset();
        index_plan();
    }
    if (dropped_place_ >= 0)
    {
        const auto dropped = plan_.places.begin() + dropped_place_;
        index_place(*dropped, -1);
        plan_.places.erase(dropped);
        dropped_place_ = -1;
    }
}

void guarantee_registry::apply(cluster& servers,
                               block_share& share,
                               int accelerators,
                               int tasks)
{
    const int before = share.slots();
    share.used += accelerators;
    share.tasks += tasks;
    servers.change_firm(share.server, 0, share.slots() - before);
    servers.change_lendable(share.server, -accelerators);
}

int guarantee_registry::open(cluster& servers,
                             const guarantee_key& owner,
                             std::span<const part> extent)
{
    block opened;
    opened.owner = owner;
    for (const auto& share : extent)
    {
        opened.shares.push_back({share.server, share.accelerators, 0, 0});
        servers.change_firm(share.server, share.accelerators, 1);
        servers.change_lendable(share.server, share.accelerators);
    }
    ++occupied_[owner];
    opened.unused = owner.second;
    blocks_of_[owner.first].insert(next_block_);
    blocks_.emplace(next_block_, std::move(opened));
    return next_block_++;
}

void guarantee_registry::enter(cluster& servers,
                               int block_number,
                               std::int64_t task,
                               std::span<const part> parts)
{
    auto& target = blocks_.at(block_number);
    for (const auto& share : parts)
    {
        apply(
            servers, *find_share(target, share.server), share.accelerators, 1);
        target.unused -= share.accelerators;
    }
    ++target.tasks;
    entered_.emplace(
        task, entered{block_number, part_list(parts.begin(), parts.end())});
}

bool guarantee_registry::leave(cluster& servers, std::int64_t task)
{
    const auto found = entered_.find(task);
    if (found == entered_.end())
    {
        return false;
    }
    const auto owner = blocks_.find(found->second.block);
    for (const auto& share : found->second.parts)
    {
        apply(servers,
              *find_share(owner->second, share.server),
              -share.accelerators,
              -1);
        owner->second.unused += share.accelerators;
    }
    entered_.erase(found);
    if (--owner->second.tasks > 0)
    {
        return false;
    }
    // The place that the block had is kept in the packing: it is known to be
    // valid, while packing again could miss it.
    block_place place{owner->second.owner.second, {}};
    for (const auto& share : owner->second.shares)
    {
        servers.change_firm(share.server, -share.size, -share.slots());
        servers.change_lendable(share.server, -share.size);
        place.parts.push_back({share.server, share.size});
    }
    --occupied_[owner->second.owner];
    blocks_of_[owner->second.owner.first].erase(owner->first);
    blocks_.erase(owner);
    index_place(place, 1);
    plan_.places.push_back(std::move(place));
    invalidate();
    return true;
}

int guarantee_registry::block_of(std::int64_t task) const
{
    const auto found = entered_.find(task);
    return found == entered_.end() ? 0 : found->second.block;
}

int guarantee_registry::reclaimable(const std::string& customer) const
{
    int sum = 0;
    for (const int number : blocks_of(customer))
    {
        sum += blocks_.at(number).unused;
    }
    // Blocks of one shape are interchangeable; when the packing misses some,
    // customers in order of name have the places.
    std::map<int, int> placed;
    for (const auto& place : plan_.places)
    {
        ++placed[place.shape];
    }
    for (const auto& [owner, total] : counts_)
    {
        int& left = placed[owner.second];
        const int mine = std::min(left, std::max(0, floating(owner)));
        left -= mine;
        sum += owner.first == customer ? mine * owner.second : 0;
    }
    return sum;
}

} // namespace poplarramp
