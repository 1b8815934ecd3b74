// Queued jobs, grouped by equal requirements: if the first job of a group
// cannot be placed, the others cannot either.
#ifndef POPLARRAMP_POLICY_QUEUE_HPP
#define POPLARRAMP_POLICY_QUEUE_HPP

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace poplarramp
{

// In order of priority: urgent, patient near the latest start, patient.
enum class queue_class
{
    urgent,
    near_deadline,
    patient,
};

struct job_group_key
{
    queue_class priority = queue_class::patient;
    std::string customer;
    int accelerators = 0;
    bool pinned = false;
    bool idempotent = true;
    // Run time estimates, on which backfill depends, differ by kind.
    std::string kind;
};

bool operator<(const job_group_key& a, const job_group_key& b);

struct queued_job
{
    std::int64_t number = 0;
    time_point deadline = no_deadline;
    time_point accepted{};
    job_group_key group;
};

// (deadline, accepted, number). A job without a deadline is ordered as if its
// deadline were a day after its acceptance, so that it is not starved.
using job_order = std::tuple<time_point, time_point, std::int64_t>;
constexpr milliseconds default_deadline_offset{24L * 60 * 60 * 1000};
job_order order_of(const queued_job& item);

enum class wait_reason
{
    not_tried,
    quota,
    capacity,
};

struct job_group
{
    std::set<job_order> jobs;
    // Version of the zone state in which the first job could not be placed; 0:
    // not tried.
    std::uint64_t failed_version = 0;
    wait_reason reason = wait_reason::not_tried;
};

// Not thread safe.
class job_queue
{
public:
    // Precondition: the number is not in the queue.
    void add(const queued_job& item);
    // False if the number is not in the queue.
    bool remove(std::int64_t number);
    // Precondition: the number is in the queue.
    void change_class(std::int64_t number, queue_class priority);
    const queued_job* find(std::int64_t number) const;
    int waiting(const std::string& customer) const;
    int size() const
    {
        return static_cast<int>(items_.size());
    }
    // Precondition: the number is in the queue.
    const job_group& group_of(std::int64_t number) const;
    std::map<job_group_key, job_group>& groups()
    {
        return groups_;
    }
    const std::map<std::int64_t, queued_job>& items() const
    {
        return items_;
    }

private:
    std::map<std::int64_t, queued_job> items_;
    std::map<job_group_key, job_group> groups_;
    std::map<std::string, int> waiting_;
};

// Share of its guarantee that a customer uses: slots in use, with eight slots
// per accelerator and one for a job without accelerators, over guaranteed
// accelerators.
struct customer_share
{
    std::int64_t used = 0;
    std::int64_t guaranteed = 1;
};
bool smaller_share(const customer_share& a, const customer_share& b);
constexpr int slots_per_accelerator = 8;

} // namespace poplarramp

#endif
