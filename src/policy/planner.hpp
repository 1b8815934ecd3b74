// Searches a place for one job: in a guaranteed block of its customer or
// borrowed, on free capacity or with preemption victims.
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
    // Servers excluded from free places.
    std::set<int> avoided;
    // Expected end if the job starts now; used for backfill.
    time_point expected_end = no_deadline;
};

struct job_plan
{
    part_list parts;
    std::vector<std::int64_t> victims;
    std::int64_t cost = 0;
    bool in_guarantee = false;
    // If `in_guarantee`: number of an occupied block, or 0 to open one at
    // `extent`.
    int block = 0;
    guarantee_key owner;
    part_list extent;
    // Runs as the probe task of an excluded server.
    bool probe = false;
};

// Every search reads the current state of the cluster and the blocks. Not
// thread safe.
class planner
{
public:
    planner(const cluster& servers,
            guarantee_registry& registry,
            const locality_limits& limits,
            time_point now);

    // Borrowed place on a server that may start a probe task.
    std::optional<job_plan> probe(const job_need& need);
    // Free place in a block of the customer. The caller applies the plan and
    // then calls `accept_packing` of the registry.
    std::optional<job_plan> in_guarantee(const job_need& need);
    // Place in a block of the customer with victims, at the lowest preemption
    // cost.
    std::optional<job_plan> reclaimed(const job_need& need);
    // Free place outside the guarantee.
    std::optional<job_plan> borrowed(const job_need& need);
    // Place outside the guarantee with victims; urgent jobs only.
    std::optional<job_plan> preempted(const job_need& need);

    // Free accelerators that remain on the servers of a plan without victims.
    int capacity_left(const job_plan& plan) const;

private:
    // Search of a place on given servers: free capacity only, or with victims.
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
    server_groups_for(const job_need& need,
                      const std::vector<int>& indexes) const;
    void search_occupied_blocks(const job_need& need,
                                const finder& find,
                                std::vector<candidate>& found) const;
    void search_occupied_block(const job_need& need,
                               int number,
                               const finder& find,
                               std::vector<candidate>& found) const;
    void search_new_blocks(const job_need& need,
                           const finder& find,
                           std::vector<candidate>& found) const;
    void search_new_small_block(const job_need& need,
                                int shape,
                                const finder& find,
                                std::vector<candidate>& found) const;
    void search_new_large_block(const job_need& need,
                                int shape,
                                const finder& find,
                                std::vector<candidate>& found) const;
    void search_packed_places(const job_need& need,
                              int shape,
                              const finder& find,
                              std::vector<candidate>& found) const;
    candidate opening_candidate(const job_need& need,
                                int shape,
                                part_list extent,
                                int spare,
                                victim_plan place) const;
    void search_racks(const job_need& need,
                      int shape,
                      const std::vector<int>& indexes,
                      const finder& find,
                      std::vector<candidate>& found) const;
    std::optional<job_plan> plan_in_guarantee(const job_need& need,
                                              const finder& find);
    std::optional<job_plan> first_feasible(std::vector<candidate> found);

    bool may_use_server(const job_need& need,
                        int server,
                        bool ignore_drain_reservations) const;
    std::optional<part_list> free_place(const job_need& need,
                                        bool ignore_drain_reservations) const;
    std::optional<part_list> pinned_place(const job_need& need,
                                          bool ignore_drain_reservations);
    std::optional<part_list> pinned_server(const job_need& need,
                                           bool ignore_drain_reservations);
    std::optional<part_list> pinned_slot(const job_need& need);
    int capacity_with_victims(const job_need& need, int server) const;
    std::optional<victim_plan> victims_on_any_server(const job_need& need,
                                                     const finder& find) const;
    std::optional<victim_plan> victims_on_any_rack(const job_need& need,
                                                   const finder& find) const;
    bool feasible_with_pinned(const part_list& parts);

    const cluster& servers_;
    guarantee_registry& registry_;
    locality_limits limits_;
    time_point now_;
    bool feasible_;
};

} // namespace poplarramp

#endif
