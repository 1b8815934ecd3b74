#include "trace.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>

namespace poplarramp
{

namespace
{

constexpr int servers_per_rack = 8;
constexpr int accelerators_per_server = 8;
constexpr std::array<const char*, 4> guaranteed_customers{
    "bead-east", "bead-west", "tiles-nabeul", "tiles-sfax"};
constexpr const char* lender = "lender";

job_kind make_kind(const char* name, urgency urgency_class, bool checkpoint)
{
    job_kind kind;
    kind.name = name;
    kind.urgency_class = urgency_class;
    kind.can_checkpoint = checkpoint;
    kind.expected_run = milliseconds(1000);
    kind.checkpoint_time = milliseconds(500);
    return kind;
}

void add_servers(zone_setup& zone,
                 int count,
                 int accelerators,
                 const char* prefix)
{
    for (int i = 0; i < count; ++i)
    {
        const std::string rack =
            std::string(prefix) + "rack" + std::to_string(i / servers_per_rack);
        zone.servers.push_back(
            {prefix + std::to_string(i), rack, accelerators, 8});
        auto& racks = zone.sheet.zones.front().racks;
        if (racks.empty() || racks.back().name != rack)
        {
            racks.push_back({rack, 0, accelerators});
        }
        ++racks.back().servers;
    }
}

// Divides 60% of the accelerators among the customers with guarantees, in
// blocks of 8, 4, 2 and 1.
void add_guarantees(zone_setup& zone)
{
    const int per_customer = zone.accelerators() * 6 / 10 /
                             static_cast<int>(guaranteed_customers.size());
    for (const char* customer : guaranteed_customers)
    {
        const int eights = std::max(1, per_customer / 8 * 3 / 4);
        int rest = per_customer - eights * 8;
        zone.sheet.guarantees.push_back({customer, "zone", 8, eights});
        for (const int shape : {4, 2, 1})
        {
            const int count = std::max(0, rest / 2 / shape);
            rest -= count * shape;
            if (count > 0)
            {
                zone.sheet.guarantees.push_back(
                    {customer, "zone", shape, count});
            }
        }
    }
}

trace_job make_job(const std::string& customer,
                   const job_kind& kind,
                   int number,
                   int accelerators,
                   time_point arrival,
                   milliseconds run)
{
    trace_job result;
    result.item.request.customer = customer;
    result.item.request.key = kind.name + std::to_string(number);
    result.item.request.kind = kind.name;
    result.item.request.accelerators = accelerators;
    result.item.urgency_class = kind.urgency_class;
    result.item.can_checkpoint = kind.can_checkpoint;
    result.item.expected_run = run;
    result.item.checkpoint_time = kind.checkpoint_time;
    result.item.zone = "zone";
    result.item.accepted = arrival;
    result.arrival = arrival;
    result.true_run = run;
    return result;
}

milliseconds exponential(std::mt19937_64& random, double mean_ms)
{
    std::exponential_distribution<double> next(1.0 / mean_ms);
    return milliseconds(std::max<std::int64_t>(1, std::llround(next(random))));
}

} // namespace

int zone_setup::accelerators() const
{
    int sum = 0;
    for (const auto& server : servers)
    {
        sum += server.accelerators;
    }
    return sum;
}

zone_setup make_zone(int accelerated, int plain)
{
    zone_setup zone;
    zone.sheet.zones.push_back({"zone", "region", {}});
    add_servers(zone, accelerated, accelerators_per_server, "a");
    add_servers(zone, plain, 0, "p");
    for (const char* customer : guaranteed_customers)
    {
        zone.sheet.customers.push_back({customer, 0, 1'000'000});
    }
    zone.sheet.customers.push_back({lender, 0, 1'000'000});
    zone.sheet.kinds = {make_kind("check", urgency::urgent, false),
                        make_kind("batch", urgency::patient, true),
                        make_kind("slot", urgency::patient, false)};
    add_guarantees(zone);
    return zone;
}

std::vector<trace_job> make_urgent_burst(const zone_setup& zone,
                                         milliseconds before_burst,
                                         milliseconds burst,
                                         std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<trace_job> jobs;
    const auto& batch = zone.sheet.kinds[1];
    const auto& check = zone.sheet.kinds[0];
    int number = 0;
    // Twice the capacity, so that every accelerator is lent all the time.
    for (int taken = 0; taken < 2 * zone.accelerators();)
    {
        const int shape = 1 << (random() % 4);
        const auto run = milliseconds(600'000 + random() % 3'000'000);
        jobs.push_back(
            make_job(lender, batch, number++, shape, time_point{}, run));
        taken += shape;
    }
    // Before the burst the checks use 0.5% of the accelerators.
    const double base_gap_ms = 1000.0 / (0.005 * zone.accelerators());
    const time_point burst_from = time_point{} + before_burst;
    const time_point end = burst_from + burst;
    for (time_point at{milliseconds(1000)}; at < end;)
    {
        const double gap = at < burst_from ? base_gap_ms : base_gap_ms / 50;
        at += exponential(random, gap);
        const auto run = milliseconds(500 + random() % 1000);
        const char* customer =
            guaranteed_customers.at(random() % guaranteed_customers.size());
        jobs.push_back(make_job(customer, check, number++, 1, at, run));
    }
    return jobs;
}

std::vector<trace_job> make_mixed_load(const zone_setup& zone,
                                       double utilization,
                                       milliseconds length,
                                       std::uint64_t seed)
{
    constexpr double mean_run_ms = 60'000;
    // Shapes are drawn from this list; `mean_shape` is its mean.
    constexpr std::array<int, 10> shapes{1, 1, 1, 1, 2, 2, 2, 4, 4, 8};
    constexpr double mean_shape = 2.6;
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> error(0.0, 1.1);
    std::vector<trace_job> jobs;
    const auto& batch = zone.sheet.kinds[1];
    const double gap =
        mean_run_ms * mean_shape / (utilization * zone.accelerators());
    int number = 0;
    for (time_point at{}; at < time_point{} + length;)
    {
        at += exponential(random, gap);
        const std::size_t customer =
            random() % (guaranteed_customers.size() + 1);
        const std::string name = customer < guaranteed_customers.size()
                                     ? guaranteed_customers.at(customer)
                                     : lender;
        const auto run = exponential(random, mean_run_ms);
        auto next = make_job(name,
                             batch,
                             number++,
                             shapes.at(random() % shapes.size()),
                             at,
                             run);
        next.item.expected_run = milliseconds(std::max<std::int64_t>(
            1, std::llround(static_cast<double>(run.count()) * error(random))));
        // 2 to 6 times the true run time, plus one minute.
        next.item.request.deadline =
            at + run * (2 + random() % 5) + milliseconds(60'000);
        jobs.push_back(next);
    }
    return jobs;
}

std::vector<trace_job> make_slot_load(const zone_setup& zone,
                                      int running,
                                      milliseconds length,
                                      std::uint64_t seed)
{
    constexpr double mean_run_ms = 600'000;
    std::mt19937_64 random(seed);
    std::vector<trace_job> jobs;
    jobs.reserve(static_cast<std::size_t>(running) * 2);
    const auto& slot = zone.sheet.kinds[2];
    int number = 0;
    const double gap = mean_run_ms / running;
    for (int i = 0; i < running; ++i)
    {
        jobs.push_back(make_job(lender,
                                slot,
                                number++,
                                0,
                                time_point{},
                                exponential(random, mean_run_ms)));
    }
    for (time_point at{}; at < time_point{} + length;)
    {
        at += exponential(random, gap);
        jobs.push_back(make_job(
            lender, slot, number++, 0, at, exponential(random, mean_run_ms)));
    }
    return jobs;
}

} // namespace poplarramp
