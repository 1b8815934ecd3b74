#include "policy/guarantee.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>

namespace poplarramp
{

namespace
{

using capacity_list = std::vector<server_capacity>;

void take_capacity(server_capacity& server, int accelerators)
{
    server.left.accelerators -= accelerators;
    server.left.slots -= 1;
}

int usable_capacity(const server_capacity& server)
{
    return server.left.slots > 0 ? std::max(0, server.left.accelerators) : 0;
}

// Racks for a shape larger than one server: the best-fitting rack, or, for a
// shape larger than any rack, all racks by decreasing capacity.
std::vector<int>
racks_for(const capacity_list& servers, int shape, int largest_rack)
{
    std::map<int, int> by_rack;
    for (const auto& server : servers)
    {
        by_rack[server.rack] += usable_capacity(server);
    }
    std::vector<std::pair<int, int>> sorted;
    sorted.reserve(by_rack.size());
    for (const auto& [rack, available] : by_rack)
    {
        sorted.emplace_back(available, rack);
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

// Fills the servers with the least capacity first, rack by rack. Changes no
// server if the racks do not have enough.
bool place_large(capacity_list& servers,
                 int shape,
                 int largest_rack,
                 part_list& parts)
{
    auto left = servers;
    int missing = shape;
    for (const int rack : racks_for(servers, shape, largest_rack))
    {
        std::vector<std::pair<int, std::size_t>> by_available;
        for (std::size_t i = 0; i < left.size(); ++i)
        {
            if (left[i].rack == rack && usable_capacity(left[i]) > 0)
            {
                by_available.emplace_back(usable_capacity(left[i]), i);
            }
        }
        std::sort(by_available.begin(), by_available.end());
        for (const auto& [available, i] : by_available)
        {
            const int taken = std::min(available, missing);
            if (taken == 0)
            {
                break;
            }
            parts.push_back({left[i].server, taken});
            take_capacity(left[i], taken);
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

// Places up to `count` blocks within single servers. Servers with the fewest
// spare slots come first, because a large block uses few slots. Returns the
// number of blocks that did not fit.
int place_small(capacity_list& servers,
                int shape,
                int count,
                std::vector<block_place>& places)
{
    std::sort(servers.begin(),
              servers.end(),
              [](const server_capacity& a, const server_capacity& b)
              {
                  const auto key = [](const server_capacity& item)
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
        while (count > 0 && usable_capacity(server) >= shape)
        {
            take_capacity(server, shape);
            places.push_back({shape, {{server.server, shape}}});
            --count;
        }
    }
    return count;
}

bool fits(const resource_amount& needed, const resource_amount& left)
{
    return needed.accelerators <= left.accelerators &&
           needed.slots <= left.slots;
}

// The place of the packing that a block opened by the changes replaces: one
// with the same parts, else one on the same first server, else any of the
// shape.
std::vector<block_place>::iterator
place_to_replace(std::vector<block_place>& places,
                 std::span<const commitment> changes,
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
            [](const part& share, const commitment& change)
            {
                return share.server == change.server &&
                       share.accelerators == change.amount.accelerators;
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

bool changes_fit(const cluster& servers, std::span<const commitment> changes)
{
    return std::all_of(changes.begin(),
                       changes.end(),
                       [&](const commitment& change) {
                           return fits(change.amount,
                                       servers.at(change.server).uncommitted());
                       });
}

packing pack_blocks(std::vector<server_capacity> servers,
                    const shape_counts& blocks,
                    const locality_limits& limits)
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

int guarantee_registry::unassigned_blocks(const guarantee_key& owner) const
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

int guarantee_registry::largest_guaranteed_job(
    const std::string& customer) const
{
    int largest = 0;
    for (auto entry = counts_.lower_bound({customer, 0});
         entry != counts_.end() && entry->first.first == customer;
         ++entry)
    {
        largest =
            unassigned_blocks(entry->first) > 0 ? entry->first.second : largest;
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

shape_counts guarantee_registry::unassigned_shapes() const
{
    shape_counts shapes;
    for (const auto& [owner, total] : counts_)
    {
        const int count = unassigned_blocks(owner);
        if (count > 0)
        {
            shapes[owner.second] += count;
        }
    }
    return shapes;
}

std::vector<server_capacity>
guarantee_registry::capacities(const cluster& servers)
{
    std::vector<server_capacity> result;
    for (const int index : servers.accelerator_servers())
    {
        const auto& server = servers.at(index);
        if (server.placeable())
        {
            result.push_back({index, server.rack, server.uncommitted()});
        }
    }
    return result;
}

resource_amount guarantee_registry::packed(int server) const
{
    const auto index = static_cast<std::size_t>(server);
    return index < packed_.size() ? packed_[index] : resource_amount{};
}

void guarantee_registry::index_place(const block_place& place, int sign)
{
    for (const auto& share : place.parts)
    {
        const auto index = static_cast<std::size_t>(share.server);
        packed_.resize(std::max(packed_.size(), index + 1));
        packed_[index].accelerators += sign * share.accelerators;
        packed_[index].slots += sign;
    }
}

void guarantee_registry::index_packing()
{
    packed_.clear();
    for (const auto& place : packing_.places)
    {
        index_place(place, 1);
    }
}

bool guarantee_registry::packing_valid(const cluster& servers) const
{
    if (!packing_.complete)
    {
        return false;
    }
    shape_counts placed;
    for (const auto& place : packing_.places)
    {
        ++placed[place.shape];
    }
    if (placed != unassigned_shapes())
    {
        return false;
    }
    for (std::size_t i = 0; i < packed_.size(); ++i)
    {
        const auto& server = servers.at(static_cast<int>(i));
        const auto left = server.uncommitted();
        const bool needed = packed_[i].slots > 0;
        if (needed && (!server.placeable() || !fits(packed_[i], left)))
        {
            return false;
        }
    }
    return true;
}

bool guarantee_registry::refresh(const cluster& servers,
                                 const locality_limits& limits)
{
    if (valid_)
    {
        return packing_.complete;
    }
    valid_ = true;
    if (packing_valid(servers))
    {
        return true;
    }
    packing_ = pack_blocks(capacities(servers), unassigned_shapes(), limits);
    index_packing();
    return packing_.complete;
}

// True if the changes fit beside the current packing, less one place of the
// opened shape. Stores the index of that place.
bool guarantee_registry::fits_current_packing(
    const cluster& servers,
    std::span<const commitment> changes,
    int opened_shape)
{
    auto& places = packing_.places;
    auto dropped = places.end();
    if (opened_shape > 0)
    {
        dropped = place_to_replace(places, changes, opened_shape);
        if (dropped == places.end())
        {
            return false;
        }
    }
    for (const auto& change : changes)
    {
        auto needed = packed(change.server);
        needed.accelerators += change.amount.accelerators;
        needed.slots += change.amount.slots;
        if (dropped != places.end())
        {
            for (const auto& share : dropped->parts)
            {
                const bool same_server = share.server == change.server;
                needed.accelerators -= same_server ? share.accelerators : 0;
                needed.slots -= same_server ? 1 : 0;
            }
        }
        const auto left = servers.at(change.server).uncommitted();
        if (!fits(needed, left))
        {
            return false;
        }
    }
    replaced_place_ = dropped == places.end()
                          ? -1
                          : static_cast<int>(dropped - places.begin());
    return true;
}

bool guarantee_registry::remains_feasible(const cluster& servers,
                                          const locality_limits& limits,
                                          std::span<const commitment> changes,
                                          int opened_shape)
{
    discard_packing();
    if (!changes_fit(servers, changes))
    {
        return false;
    }
    if (changes.empty() || fits_current_packing(servers, changes, opened_shape))
    {
        return true;
    }
    auto left = capacities(servers);
    for (const auto& change : changes)
    {
        for (auto& item : left)
        {
            const bool same_server = item.server == change.server;
            item.left.accelerators -=
                same_server ? change.amount.accelerators : 0;
            item.left.slots -= same_server ? change.amount.slots : 0;
        }
    }
    auto shapes = unassigned_shapes();
    if (opened_shape > 0 && --shapes[opened_shape] == 0)
    {
        shapes.erase(opened_shape);
    }
    auto packed = pack_blocks(std::move(left), shapes, limits);
    if (!packed.complete)
    {
        return false;
    }
    candidate_packing_ = std::move(packed);
    return true;
}

void guarantee_registry::discard_packing()
{
    candidate_packing_.reset();
    replaced_place_ = -1;
}

void guarantee_registry::accept_packing()
{
    if (candidate_packing_)
    {
        packing_ = std::move(*candidate_packing_);
        candidate_packing_.reset();
        index_packing();
    }
    if (replaced_place_ >= 0)
    {
        const auto dropped = packing_.places.begin() + replaced_place_;
        index_place(*dropped, -1);
        packing_.places.erase(dropped);
        replaced_place_ = -1;
    }
}

void guarantee_registry::update_share(cluster& servers,
                                      block_share& share,
                                      int accelerators,
                                      int tasks)
{
    const int before = share.slots();
    share.used += accelerators;
    share.tasks += tasks;
    servers.add_committed(share.server, 0, share.slots() - before);
    servers.change_lendable(share.server, -accelerators);
}

int guarantee_registry::open_block(cluster& servers,
                                   const guarantee_key& owner,
                                   std::span<const part> extent)
{
    block opened;
    opened.owner = owner;
    for (const auto& share : extent)
    {
        opened.shares.push_back({share.server, share.accelerators, 0, 0});
        servers.add_committed(share.server, share.accelerators, 1);
        servers.change_lendable(share.server, share.accelerators);
    }
    ++occupied_[owner];
    opened.unused = owner.second;
    blocks_of_[owner.first].insert(next_block_number_);
    blocks_.emplace(next_block_number_, std::move(opened));
    return next_block_number_++;
}

void guarantee_registry::add_task(cluster& servers,
                                  int block_number,
                                  std::int64_t task,
                                  std::span<const part> parts)
{
    auto& target = blocks_.at(block_number);
    for (const auto& share : parts)
    {
        update_share(
            servers, *find_share(target, share.server), share.accelerators, 1);
        target.unused -= share.accelerators;
    }
    ++target.tasks;
    memberships_.emplace(
        task,
        block_membership{block_number, part_list(parts.begin(), parts.end())});
}

bool guarantee_registry::remove_task(cluster& servers, std::int64_t task)
{
    const auto found = memberships_.find(task);
    if (found == memberships_.end())
    {
        return false;
    }
    const auto owner = blocks_.find(found->second.block);
    for (const auto& share : found->second.parts)
    {
        update_share(servers,
                     *find_share(owner->second, share.server),
                     -share.accelerators,
                     -1);
        owner->second.unused += share.accelerators;
    }
    memberships_.erase(found);
    if (--owner->second.tasks > 0)
    {
        return false;
    }
    // The block's place is added to the packing: it is known to be valid, while
    // packing again could miss it.
    block_place place{owner->second.owner.second, {}};
    for (const auto& share : owner->second.shares)
    {
        servers.add_committed(share.server, -share.size, -share.slots());
        servers.change_lendable(share.server, -share.size);
        place.parts.push_back({share.server, share.size});
    }
    --occupied_[owner->second.owner];
    blocks_of_[owner->second.owner.first].erase(owner->first);
    blocks_.erase(owner);
    index_place(place, 1);
    packing_.places.push_back(std::move(place));
    invalidate();
    return true;
}

int guarantee_registry::block_of(std::int64_t task) const
{
    const auto found = memberships_.find(task);
    return found == memberships_.end() ? 0 : found->second.block;
}

int guarantee_registry::reclaimable(const std::string& customer) const
{
    int sum = 0;
    for (const int number : blocks_of(customer))
    {
        sum += blocks_.at(number).unused;
    }
    // Blocks of one shape are interchangeable. If the packing is incomplete,
    // its places are attributed to customers in order of their names.
    std::map<int, int> placed;
    for (const auto& place : packing_.places)
    {
        ++placed[place.shape];
    }
    for (const auto& [owner, total] : counts_)
    {
        int& left = placed[owner.second];
        const int placed_blocks =
            std::min(left, std::max(0, unassigned_blocks(owner)));
        left -= placed_blocks;
        sum += owner.first == customer ? placed_blocks * owner.second : 0;
    }
    return sum;
}

} // namespace poplarramp
