#include "policy/guarantee.hpp"

#include "policy_helpers.hpp"

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

// Exhaustive search: tries every server for every block.
bool can_pack(std::vector<int>& left,
              const std::vector<int>& blocks,
              std::size_t i)
{
    if (i == blocks.size())
    {
        return true;
    }
    for (auto& server : left)
    {
        if (server >= blocks[i])
        {
            server -= blocks[i];
            const bool rest = can_pack(left, blocks, i + 1);
            server += blocks[i];
            if (rest)
            {
                return true;
            }
        }
    }
    return false;
}

// Checks that the places stay within the capacity of the servers, and that each
// has its whole shape, on one server or in one rack where the limits require
// it.
void check_places(const std::vector<server_capacity>& servers,
                  const packing& found,
                  const locality_limits& limits)
{
    std::map<int, resource_amount> left;
    std::map<int, int> rack_of;
    for (const auto& server : servers)
    {
        left[server.server] = server.left;
        rack_of[server.server] = server.rack;
    }
    for (const auto& place : found.places)
    {
        int sum = 0;
        std::set<int> racks;
        for (const auto& share : place.parts)
        {
            sum += share.accelerators;
            racks.insert(rack_of.at(share.server));
            left[share.server].accelerators -= share.accelerators;
            left[share.server].slots -= 1;
        }
        CHECK_EQUAL(place.shape, sum);
        CHECK(place.shape > limits.largest_server || place.parts.size() == 1);
        CHECK(place.shape > limits.largest_rack || racks.size() == 1);
    }
    for (const auto& [server, rest] : left)
    {
        CHECK(rest.accelerators >= 0);
        CHECK(rest.slots >= 0);
    }
}

std::vector<server_capacity>
random_servers(test_random& random, int count, int slots)
{
    std::vector<server_capacity> servers;
    servers.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        servers.push_back({i, i / 2, {random.below(9), slots}});
    }
    return servers;
}

} // namespace

TEST_GROUP(guarantee){};

// Guards against accepting guarantees that cannot all be reclaimed, and against
// delaying a borrowed job although they can.
TEST(guarantee, packing_is_exact_within_servers)
{
    test_random random(2);
    for (int i = 0; i < iterations; ++i)
    {
        const auto servers = random_servers(random, 1 + random.below(4), 8);
        std::vector<int> left;
        left.reserve(servers.size());
        for (const auto& server : servers)
        {
            left.push_back(server.left.accelerators);
        }
        shape_counts counts;
        std::vector<int> blocks;
        const int count = random.below(7);
        for (int b = 0; b < count; ++b)
        {
            const int shape = 1 << random.below(4);
            ++counts[shape];
            blocks.push_back(shape);
        }
        const auto found = pack_blocks(servers, counts, {8, 16});
        CHECK_EQUAL(can_pack(left, blocks, 0), found.complete);
        check_places(servers, found, {8, 16});
    }
}

// Guards against a packing of large shapes, or on few slots, that is reported
// as complete but exceeds the capacity or leaves out blocks.
TEST(guarantee, packing_is_never_wrongly_complete)
{
    test_random random(3);
    int complete = 0;
    for (int i = 0; i < iterations; ++i)
    {
        const int slots = 1 + random.below(8);
        const auto servers = random_servers(random, 2 + random.below(6), slots);
        shape_counts counts;
        for (int b = random.below(5); b > 0; --b)
        {
            ++counts[1 << random.below(6)];
        }
        const auto found = pack_blocks(servers, counts, {8, 16});
        check_places(servers, found, {8, 16});
        shape_counts placed;
        for (const auto& place : found.places)
        {
            ++placed[place.shape];
        }
        CHECK_EQUAL(placed == counts, found.complete);
        complete += found.complete ? 1 : 0;
    }
    // The test is only meaningful if both results occur.
    CHECK(complete > iterations / 10);
    CHECK(complete < iterations * 9 / 10);
}
