// Baseline of the measurements: a priority queue with first-fit placement,
// without guarantees, preemption or packing. Same interface as `scheduler`.
#ifndef POPLARRAMP_MEASURE_BASELINE_HPP
#define POPLARRAMP_MEASURE_BASELINE_HPP

#include "policy/scheduler.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace poplarramp
{

// Not thread safe.
class first_fit_queue
{
public:
    explicit first_fit_queue(const std::string& zone);

    void set_sheet(const capacity_sheet& sheet);
    void set_zone_open(bool zone_open);
    void add_server(const server_info& server);
    std::optional<failure> submit(const job& item, time_point now);
    void on_started(std::string_view job_id, time_point now);
    void on_ended(std::string_view job_id, bool succeeded, time_point now);
    void requeue(std::string_view job_id,
                 std::string_view server_at_fault,
                 time_point now);
    std::vector<decision> decide(time_point now);
    time_point next_wake() const;
    int queued() const;
    int free_accelerators() const;
    int largest_open_shape() const;

private:
    struct server_state
    {
        server_info info;
        int free_accelerators = 0;
        int free_slots = 0;
    };
    // Larger than every shape: no job was refused in this pass.
    static constexpr int no_refusal = 1 << 20;
    // Urgent first, then by arrival.
    using queue_key = std::tuple<int, std::int64_t, std::string>;

    std::vector<placement_part> find_place(int accelerators) const;
    std::vector<placement_part> first_server(int accelerators) const;
    std::vector<placement_part> spread(std::string_view rack,
                                       int accelerators) const;
    // Allocates the parts (`sign` 1) or frees them (`sign` -1).
    void take(const std::vector<placement_part>& parts, int sign);

    std::vector<server_state> servers_;
    std::map<std::string, std::size_t, std::less<>> server_index_;
    std::vector<std::string> racks_;
    std::map<std::string, job, std::less<>> jobs_;
    std::map<std::string, std::vector<placement_part>, std::less<>> running_;
    std::set<queue_key> queue_;
    std::int64_t arrivals_ = 0;
};

} // namespace poplarramp

#endif
