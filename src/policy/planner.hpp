// Finds the place of one job: in a block of its customer, else borrowed, with
// preemption victims where they are allowed.
#ifndef POPLARRAMP_POLICY_PLANNER_HPP
#define POPLARRAMP_POLICY_PLANNER_HPP

#include "policy/cluster.hpp"
#include "policy/extent.hpp"
#include "policy/guarantee.hpp"
#include "policy/placement.hpp"
#include "policy/victims.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace poplarramp
{

struct job_need
{
    std::int64_t number = 0;
    std::string customer;
    int accelerators = 0;
    bool pinned = false;
    bool urgent = false;
    bool idempotent = true;
    bool can_checkpoint = false;
    // Servers that are left out of free places.
    std::set<int> avoided;
    // When the job is expected to end if it starts now, for backfill.
    time_point expected_end = no_deadline;
};

struct job_plan
{
    part_list parts;
    std::vector<std::int64_t> victims;
    std::int64_t cost = 0;
    bool in_guarantee = false;
    // In guarantee: an occupied block, or 0 to open one at `extent`.
    int block = 0;
    guarantee_key owner;
    part_list extent;
    // Runs as probe task on a server that was excluded.
    bool probe = false;
};

// Not thread safe. Reads the cluster and the blocks as they are at each call.
class planner
{
public:
    planner(const cluster& servers,
            guarantee_registry& registry,
            const span_limits& limits,
            time_point now);

    // Borrowed place on a server that waits for a probe task.
    std::optional<job_plan> probe(const job_need& need);
    // Free place in a block of the customer. After a plan was found the caller
    // carries it out and calls `accept` of the book.
    std::optional<job_plan> in_guarantee(const job_need& need);
    // Place in a block of the customer, at the lowest preemption cost.
    std::optional<job_plan> reclaimed(const job_need& need);
    // Free place outside the guarantee.
    std::optional<job_plan> borrowed(const job_need& need);
    // Place outside the guarantee with victims; urgent jobs only.
    std::optional<job_plan> preempted(const job_need& need);

    // Free accelerators that remain on the servers of a plan without victims.
    int room_left(const job_plan& plan) const;

private:
    // How a place is sought: only in what is free, or with victims.
    struct finder
    {
        std::function<std::optional<victim_plan>(int server, int accelerators)>
            on_server;
        std::function<std::optional<victim_plan>(
            const std::vector<int>& servers,
            int accelerators,
            const std::function<int(int)>& limit)>
            on_servers;
    };
    struct candidate;

    finder free_finder(const job_need& need) const;
    finder victim_finder(const victim_cost& cost) const;

    std::vector<std::vector<int>>
    spans_for(const job_need& need, const std::vector<int>& indexes) const;
    void in_own_blocks(const job_need& need,
                       const finder& find,
                       std::vector<candidate>& found) const;
    void in_own_block(const job_need& need,
                      int number,
                      const finder& find,
                      std::vector<candidate>& found) const;
    void in_new_blocks(const job_need& need,
                       const finder& find,
                       std::vector<candidate>& found) const;
    void in_new_small_block(const job_need& need,
                            int shape,
                            const finder& find,
                            std::vector<candidate>& found) const;
    void in_new_large_block(const job_need& need,
                            int shape,
                            const finder& find,
                            std::vector<candidate>& found) const;
    void in_planned_places(const job_need& need,
                           int shape,
                           const finder& find,
                           std::vector<candidate>& found) const;
    candidate opening(const job_need& need,
                      int shape,
                      part_list extent,
                      int spare,
                      victim_plan place) const;
    void in_racks(const job_need& need,
                  int shape,
                  const std::vector<int>& indexes,
                  const finder& find,
                  std::vector<candidate>& found) const;
    std::optional<job_plan> in_own_guarantee(const job_need& need,
                                             const finder& find);
    std::optional<job_plan> first_kept(std::vector<candidate> found);

    bool open_to(const job_need& need, int server, bool urgent_first) const;
    std::optional<part_list> free_place(const job_need& need,
                                        bool urgent_first) const;
    std::optional<part_list> pinned_place(const job_need& need,
                                          bool urgent_first);
    std::optional<part_list> pinned_server(const job_need& need,
                                           bool urgent_first);
    std::optional<part_list> pinned_slot(const job_need& need);
    int room_with_victims(const job_need& need, int server) const;
    std::optional<victim_plan> victims_on_any_server(const job_need& need,
                                                     const finder& find) const;
    std::optional<victim_plan> victims_on_any_rack(const job_need& need,
                                                   const finder& find) const;
    bool keeps_pinned(const part_list& parts);

    const cluster& servers_;
    guarantee_registry& registry_;
    span_limits limits_;
    time_point now_;
    bool feasible_;
};

} // namespace poplarramp

#endif
