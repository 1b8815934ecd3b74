// Guaranteed blocks: which are occupied and where, and whether all others can
// be reclaimed together.
#ifndef POPLARRAMP_POLICY_GUARANTEE_HPP
#define POPLARRAMP_POLICY_GUARANTEE_HPP

#include "model/sheet.hpp"
#include "policy/cluster.hpp"
#include "policy/placement.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarramp
{

// (customer, shape).
using guarantee_key = std::pair<std::string, int>;

// Capacity of one server for floating blocks.
struct capacity
{
    int server = 0;
    int rack = 0;
    amount left;
};

// Where a floating block could be reclaimed.
struct block_place
{
    int shape = 0;
    part_list parts;
};

// Number of blocks of each shape, the largest first.
using shape_counts = std::map<int, int, std::greater<>>;

struct packing
{
    bool complete = false;
    std::vector<block_place> places;
};

// Packs the blocks, the largest first; those that find no place are left out.
// Exact for shapes within one server as long as no server has fewer slots than
// accelerators left. Otherwise a packing may be missed, but one that is found
// is always valid. Every part of a block needs one slot.
packing pack_blocks(std::vector<capacity> servers,
                    const shape_counts& blocks,
                    const span_limits& limits);

// Capacity that a placement binds on a server.
struct firm_change
{
    int server = 0;
    amount bound;
};

// True if every server has that much capacity unbound.
bool changes_fit(const cluster& servers, std::span<const firm_change> changes);

// Part of an occupied block on one server.
struct block_share
{
    int server = 0;
    int size = 0;
    int used = 0;
    int tasks = 0;

    // Slots that the share keeps: its tasks, and one for what is unused.
    int slots() const
    {
        return tasks + (used < size ? 1 : 0);
    }
};

// An occupied block. It floats again when its last task leaves.
struct block
{
    guarantee_key owner;
    std::vector<block_share> shares;
    int tasks = 0;
    // Accelerators that no task uses.
    int unused = 0;
};

// Not thread safe. Keeps the firm amounts of the cluster for occupied blocks.
// Holds a valid packing of the floating blocks, so that a placement beside it
// is accepted without packing again.
class guarantee_registry
{
public:
    // Counts in force. Precondition: no block is occupied.
    void set_counts(std::map<guarantee_key, int> counts);
    const std::map<guarantee_key, int>& counts() const
    {
        return counts_;
    }
    int floating(const guarantee_key& owner) const;
    bool has_blocks(std::string_view customer) const;
    // Largest job that a block of the customer may hold: the shape of a
    // floating one or what an occupied one has unused.
    int largest_held(const std::string& customer) const;
    // Numbers of the occupied blocks of a customer.
    const std::set<int>& blocks_of(const std::string& customer) const;
    const std::map<int, block>& blocks() const
    {
        return blocks_;
    }
    const std::vector<block_place>& places() const
    {
        return plan_.places;
    }

    // Packs again if the packing held is no longer valid or was not complete.
    // True if all floating blocks have a place.
    bool refresh(const cluster& servers, const span_limits& limits);

    // True if all floating blocks still have a place after the changes; a block
    // of `opened_shape` (0: none) floats no longer. Remembers the packing for
    // `accept`. Precondition: `refresh` returned true.
    bool keeps(const cluster& servers,
               const span_limits& limits,
               std::span<const firm_change> changes,
               int opened_shape);
    // Takes over the packing of the last `keeps`.
    void accept();
    // Drops the packing of the last `keeps`, whose changes are not made.
    void discard();
    // The state has changed in a way that `keeps` did not check.
    void invalidate()
    {
        valid_ = false;
    }

    // Occupies a floating block at `extent`. Returns its number.
    int open(cluster& servers,
             const guarantee_key& owner,
             std::span<const part> extent);
    // Adds a task to a block, whose shares hold its parts.
    void enter(cluster& servers,
               int block_number,
               std::int64_t task,
               std::span<const part> parts);
    // The task leaves its block, if it is in one. True if the block floats now.
    bool leave(cluster& servers, std::int64_t task);
    // Number of the block of a task; 0 if it is in none.
    int block_of(std::int64_t task) const;

    // Accelerators of a customer's guarantee that nothing of its own uses and
    // that have a place in the packing or in its occupied blocks.
    int reclaimable(const std::string& customer) const;

    // Capacity of the placeable servers for floating blocks.
    static std::vector<capacity> capacities(const cluster& servers);
    shape_counts floating_shapes() const;
    // Accelerators and slots that the packing held needs on a server.
    amount planned(int server) const;

private:
    struct entered
    {
        int block = 0;
        part_list parts;
    };

    bool fits_beside(const cluster& servers,
                     std::span<const firm_change> changes,
                     int opened_shape);
    bool plan_valid(const cluster& servers) const;
    void index_plan();
    void index_place(const block_place& place, int sign);
    void
    apply(cluster& servers, block_share& share, int accelerators, int tasks);

    std::map<guarantee_key, int> counts_;
    std::map<guarantee_key, int> occupied_;
    std::map<int, block> blocks_;
    std::map<std::string, std::set<int>> blocks_of_;
    std::map<std::int64_t, entered> entered_;
    int next_block_ = 1;
    packing plan_;
    std::vector<amount> planned_;
    bool valid_ = false;
    // Result of the last `keeps`: a new packing, or the place to drop from the
    // one held (-1: none).
    std::optional<packing> candidate_;
    int dropped_place_ = -1;
};

} // namespace poplarramp

#endif
