// Availability zones and seeded traces of jobs for the measurements.
#ifndef POPLARRAMP_MEASURE_TRACE_HPP
#define POPLARRAMP_MEASURE_TRACE_HPP

#include "model/job.hpp"
#include "model/sheet.hpp"
#include "policy/scheduler.hpp"

#include <cstdint>
#include <vector>

namespace poplarramp
{

struct zone_setup
{
    capacity_sheet sheet;
    std::vector<server_info> servers;

    int accelerators() const;
};

struct trace_job
{
    job item;
    time_point arrival;
    // Actual run time; the declared one is in `item`.
    milliseconds true_run{0};
};

// One availability zone with `accelerated` servers of 8 accelerators and
// `plain` servers without, 8 servers to a rack. Four customers hold guarantees
// of shapes 1 to 8 on 60% of the accelerators; "lender" holds none.
zone_setup make_zone(int accelerated, int plain);

// Patient checkpointable jobs of the customer without a guarantee that occupy
// every accelerator, and urgent shape checks: at a low rate for `before_burst`,
// then at 50 times that rate for `burst`.
std::vector<trace_job> make_urgent_burst(const zone_setup& zone,
                                         milliseconds before_burst,
                                         milliseconds burst,
                                         std::uint64_t seed);

// Jobs of shapes 1, 2, 4 and 8 of all customers that keep the share
// `utilization` of the accelerators busy for `length`. Declared run times are
// off by a factor of about 3 in both directions.
std::vector<trace_job> make_mixed_load(const zone_setup& zone,
                                       double utilization,
                                       milliseconds length,
                                       std::uint64_t seed);

// Jobs without accelerators that keep about `running` slots in use, to reach
// the number of running tasks of the target size.
std::vector<trace_job> make_slot_load(const zone_setup& zone,
                                      int running,
                                      milliseconds length,
                                      std::uint64_t seed);

} // namespace poplarramp

#endif
