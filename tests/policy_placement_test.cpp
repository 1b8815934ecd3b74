#include "policy/placement.hpp"

#include "policy_helpers.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

namespace
{

constexpr int iterations = 4000;

struct test_cluster
{
    cluster servers;
    std::vector<int> available;
};

test_cluster random_cluster(test_random& random)
{
    test_cluster result;
    const int count = 1 + random.below(8);
    const int per_rack = 1 + random.below(4);
    for (int i = 0; i < count; ++i)
    {
        result.servers.add_server(make_server(i, per_rack, 4));
        result.available.push_back(random.below(5));
    }
    return result;
}

std::vector<int> available_per_rack(const test_cluster& test)
{
    std::vector<int> sums;
    for (const auto& members : test.servers.racks())
    {
        int sum = 0;
        for (const int server : members)
        {
            sum += test.available[static_cast<std::size_t>(server)];
        }
        sums.push_back(sum);
    }
    std::sort(sums.rbegin(), sums.rend());
    return sums;
}

// Lowest number of racks that can hold `requested` accelerators, filling those
// with the most free capacity first; 0 if all of them together cannot.
int min_racks(const test_cluster& test, int requested)
{
    int sum = 0;
    int used = 0;
    for (const int available : available_per_rack(test))
    {
        sum += available;
        ++used;
        if (sum >= requested)
        {
            return used;
        }
    }
    return 0;
}

bool feasible(const test_cluster& test,
              int requested,
              const locality_limits& limits)
{
    if (requested <= limits.largest_server)
    {
        return *std::max_element(test.available.begin(),
                                 test.available.end()) >= requested;
    }
    const int racks = min_racks(test, requested);
    return racks == 1 || (racks > 1 && requested > limits.largest_rack);
}

} // namespace

TEST_GROUP(placement){};

// Guards against a gang that is refused although it fits, is spread over more
// racks than needed, or gets more than the free capacity.
TEST(placement, agrees_with_brute_force)
{
    test_random random(1);
    for (int i = 0; i < iterations; ++i)
    {
        const auto test = random_cluster(random);
        const int requested = 1 + random.below(20);
        const locality_limits limits{test.servers.largest_server(),
                                     test.servers.largest_rack()};
        const auto available = [&](int server)
        {
            return test.available[static_cast<std::size_t>(server)];
        };
        const auto parts =
            find_place(test.servers, requested, limits, available);
        CHECK_EQUAL(feasible(test, requested, limits), parts.has_value());
        if (!parts)
        {
            continue;
        }
        int sum = 0;
        std::set<int> racks;
        std::set<int> servers;
        for (const auto& share : *parts)
        {
            sum += share.accelerators;
            racks.insert(test.servers.at(share.server).rack);
            CHECK(servers.insert(share.server).second);
            CHECK(share.accelerators > 0);
            CHECK(share.accelerators <= available(share.server));
        }
        CHECK_EQUAL(requested, sum);
        if (requested <= limits.largest_server)
        {
            CHECK_EQUAL(1U, parts->size());
        }
        else
        {
            CHECK_EQUAL(min_racks(test, requested),
                        static_cast<int>(racks.size()));
        }
    }
}

// Guards against placing a small job on an empty server although it fits on a
// partly used one, which fragments the capacity.
TEST(placement, uses_smallest_sufficient_capacity)
{
    cluster servers;
    const std::vector<int> available{8, 2, 3, 8};
    for (int i = 0; i < 4; ++i)
    {
        servers.add_server(make_server(i, 4, 8));
    }
    const auto found =
        find_place(servers,
                   2,
                   {8, 32},
                   [&](int server)
                   { return available[static_cast<std::size_t>(server)]; });
    CHECK_EQUAL(1, found->front().server);
}
