// Guaranteed blocks: tracks which are occupied and where, and checks that all
// others can be reclaimed together. A block without tasks is unassigned: it has
// no fixed place, but a place for it must remain reclaimable.
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

// Capacity of one server for unassigned blocks.
struct server_capacity
{
    int server = 0;
    int rack = 0;
    resource_amount left;
};

// Place at which an unassigned block can be reclaimed.
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

// Packs the blocks greedily, largest first; blocks that do not fit are left
// out. Exact for shapes within one server as long as no server has fewer slots
// than accelerators left. Otherwise an existing packing may be missed, but a
// packing that is returned is always valid. Each part of a block needs one
// slot.
packing pack_blocks(std::vector<server_capacity> servers,
                    const shape_counts& blocks,
                    const locality_limits& limits);

// Capacity that a placement commits on a server.
struct commitment
{
    int server = 0;
    resource_amount amount;
};

// True if every server has enough uncommitted capacity for the changes.
bool changes_fit(const cluster& servers, std::span<const commitment> changes);

// Part of an occupied block on one server.
struct block_share
{
    int server = 0;
    int size = 0;
    int used = 0;
    int tasks = 0;

    // Slots that the share commits: one per task, and one more if accelerators
    // are unused.
    int slots() const
    {
        return tasks + (used < size ? 1 : 0);
    }
};

// An occupied block. It becomes unassigned when its last task is removed.
struct block
{
    guarantee_key owner;
    std::vector<block_share> shares;
    int tasks = 0;
    // Accelerators that no task uses.
    int unused = 0;
};

// Updates the committed capacity of the cluster for occupied blocks. Caches a
// packing of the unassigned blocks, so that a placement that fits beside it is
// accepted without packing again. Not thread safe.
class guarantee_registry
{
public:
    // Sets the number of blocks per customer and shape. Precondition: no block
    // is occupied.
    void set_counts(std::map<guarantee_key, int> counts);
    const std::map<guarantee_key, int>& counts() const
    {
        return counts_;
    }
    int unassigned_blocks(const guarantee_key& owner) const;
    bool has_blocks(std::string_view customer) const;
    // Accelerators of the largest job that fits in the customer's blocks: the
    // largest unassigned shape, or the most that an occupied block has unused.
    int largest_guaranteed_job(const std::string& customer) const;
    // Numbers of the occupied blocks of a customer.
    const std::set<int>& blocks_of(const std::string& customer) const;
    const std::map<int, block>& blocks() const
    {
        return blocks_;
    }
    const std::vector<block_place>& places() const
    {
        return packing_.places;
    }

    // Packs again if the current packing is no longer valid or is incomplete.
    // True if all unassigned blocks have a place.
    bool refresh(const cluster& servers, const locality_limits& limits);

    // True if all unassigned blocks still have a place after the changes, which
    // open a block of `opened_shape` (0: none). Stores the resulting packing as
    // the candidate for `accept_packing`. Precondition: `refresh` returned
    // true.
    bool remains_feasible(const cluster& servers,
                          const locality_limits& limits,
                          std::span<const commitment> changes,
                          int opened_shape);
    // Makes the candidate of the last `remains_feasible` the current packing.
    void accept_packing();
    // Drops the candidate of the last `remains_feasible`; its changes are not
    // applied.
    void discard_packing();
    // To be called after a change of the cluster that `remains_feasible` did
    // not check.
    void invalidate()
    {
        valid_ = false;
    }

    // Assigns an unassigned block to `extent`; it is then occupied. Returns its
    // number.
    int open_block(cluster& servers,
                   const guarantee_key& owner,
                   std::span<const part> extent);
    // Adds a task to a block. Precondition: the shares of the block cover the
    // parts.
    void add_task(cluster& servers,
                  int block_number,
                  std::int64_t task,
                  std::span<const part> parts);
    // Removes a task from its block, if it is in one. True if the block became
    // unassigned.
    bool remove_task(cluster& servers, std::int64_t task);
    // Number of the block of a task; 0 if it is in none.
    int block_of(std::int64_t task) const;

    // Accelerators of a customer's guarantee that its own tasks do not use and
    // that have a place in the packing or in its occupied blocks.
    int reclaimable(const std::string& customer) const;

    // Capacity of the placeable servers for unassigned blocks.
    static std::vector<server_capacity> capacities(const cluster& servers);
    shape_counts unassigned_shapes() const;
    // Accelerators and slots that the current packing needs on a server.
    resource_amount packed(int server) const;

private:
    struct block_membership
    {
        int block = 0;
        part_list parts;
    };

    bool fits_current_packing(const cluster& servers,
                              std::span<const commitment> changes,
                              int opened_shape);
    bool packing_valid(const cluster& servers) const;
    void index_packing();
    void index_place(const block_place& place, int sign);
    void update_share(cluster& servers,
                      block_share& share,
                      int accelerators,
                      int tasks);

    std::map<guarantee_key, int> counts_;
    std::map<guarantee_key, int> occupied_;
    std::map<int, block> blocks_;
    std::map<std::string, std::set<int>> blocks_of_;
    std::map<std::int64_t, block_membership> memberships_;
    int next_block_number_ = 1;
    packing packing_;
    std::vector<resource_amount> packed_;
    bool valid_ = false;
    // Result of the last `remains_feasible`: a new packing, or the index of the
    // place to remove from the current one (-1: none).
    std::optional<packing> candidate_packing_;
    int replaced_place_ = -1;
};

} // namespace poplarramp

#endif
