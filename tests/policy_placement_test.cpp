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

struct world
{
    cluster servers;
    std::vector<int> room;
};

world random_world(test_random& random)
{
    world made;
    const int count = 1 + random.below(8);
    const int per_rack = 1 + random.below(4);
    for (int i = 0; i < count; ++i)
    {
        made.servers.add_server(make_server(i, per_rack, 4));
        made.room.push_back(random.below(5));
    }
    return made;
}

std::vector<int> rack_rooms(const world& here)
{
    std::vector<int> sums;
    for (const auto& members : here.servers.racks())
    {
        int sum = 0;
        for (const int server : members)
        {
            sum += here.room[static_cast<std::size_t>(server)];
        }
        sums.push_back(sum);
    }
    std::sort(sums.rbegin(), sums.rend());
    return sums;
}

// Lowest number of racks that can hold `wanted` accelerators, filling those
// with the most free capacity first; 0 if all of them together cannot.
int fewest_racks(const world& here, int wanted)
{
    int sum = 0;
    int used = 0;
    for (const int room : rack_rooms(here))
    {
        sum += room;
        ++used;
        if (sum >= wanted)
        {
            return used;
        }
    }
    return 0;
}

bool feasible(const world& here, int wanted, const locality_limits& limits)
{
    if (wanted <= limits.largest_server)
    {
        return *std::max_element(here.room.begin(), here.room.end()) >= wanted;
    }
    const int racks = fewest_racks(here, wanted);
    return racks == 1 || (racks > 1 && wanted > limits.largest_rack);
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
        const auto here = random_world(random);
        const int wanted = 1 + random.below(20);
        const locality_limits limits{here.servers.largest_server(),
                                     here.servers.largest_rack()};
        const auto room = [&](int server)
        {
            return here.room[static_cast<std::size_t>(server)];
        };
        const auto parts = find_place(here.servers, wanted, limits, room);
        CHECK_EQUAL(feasible(here, wanted, limits), parts.has_value());
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
            racks.insert(here.servers.at(share.server).rack);
            CHECK(servers.insert(share.server).second);
            CHECK(share.accelerators > 0);
            CHECK(share.accelerators <= room(share.server));
        }
        CHECK_EQUAL(wanted, sum);
        if (wanted <= limits.largest_server)
        {
            CHECK_EQUAL(1U, parts->size());
        }
        else
        {
            CHECK_EQUAL(fewest_racks(here, wanted),
                        static_cast<int>(racks.size()));
        }
    }
}

// Guards against placing a small job on an empty server although it fits on a
// partly used one, which fragments the capacity.
TEST(placement, takes_least_room_that_fits)
{
    cluster servers;
    const std::vector<int> room{8, 2, 3, 8};
    for (int i = 0; i < 4; ++i)
    {
        servers.add_server(make_server(i, 4, 8));
    }
    const auto found = find_place(
        servers,
        2,
        {8, 32},
        [&](int server) { return room[static_cast<std::size_t>(server)]; });
    CHECK_EQUAL(1, found->front().server);
}
