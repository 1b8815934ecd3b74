// Test data for the placement policy: random numbers, jobs and servers.
#ifndef POPLARRAMP_TESTS_POLICY_HELPERS_HPP
#define POPLARRAMP_TESTS_POLICY_HELPERS_HPP

#include "policy/scheduler.hpp"

#include <random>
#include <string>

namespace poplarramp::testing
{

const time_point start{milliseconds(1'000'000)};

// Gives the same numbers with every standard library, unlike
// std::uniform_int_distribution.
class test_random
{
public:
    explicit test_random(unsigned seed) : engine_(seed)
    {
    }
    // From 0 to `bound` - 1.
    int below(int bound)
    {
        return static_cast<int>(engine_() % static_cast<unsigned>(bound));
    }
    bool chance(int percent)
    {
        return below(100) < percent;
    }

private:
    std::mt19937 engine_;
};

inline job make_job(const std::string& customer,
                    const std::string& key,
                    int accelerators,
                    time_point accepted = start)
{
    job item;
    item.request.customer = customer;
    item.request.key = key;
    item.request.kind = "shape";
    item.request.accelerators = accelerators;
    item.accepted = accepted;
    return item;
}

inline server_info make_server(int index, int per_rack, int accelerators)
{
    return {"s" + std::to_string(index),
            "r" + std::to_string(index / per_rack),
            accelerators,
            8};
}

inline void
add_servers(scheduler& zone, int racks, int per_rack, int accelerators)
{
    for (int i = 0; i < racks * per_rack; ++i)
    {
        zone.add_server(make_server(i, per_rack, accelerators));
    }
}

} // namespace poplarramp::testing

#endif
