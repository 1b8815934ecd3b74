// Placement on servers of uneven speed.
#include "policy/step_placement.hpp"

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

TEST_GROUP(speed_placement)
{
    std::vector<candidate_server> servers;
    step_spec step;
    placement_request request;

    // Two racks, each with two servers of each speed.
    void setup() override
    {
        for (const double slowdown : {1.0, 1.5, 0.67, 1.5, 0.67, 1.0})
        {
            add_server("r1", slowdown);
            add_server("r2", slowdown);
        }
        step.need = {1000, 1000, 4};
        step.gang = true;
        request.step = &step;
        request.service = "svc";
        request.remote_slowdown = 3;
    }

    void add_server(const std::string& rack, double slowdown)
    {
        candidate_server server;
        server.id = "s" + std::to_string(100 + servers.size());
        server.rack = rack;
        server.service = "svc";
        server.capacity = {64000, 262144, 8};
        server.free = server.capacity;
        server.slowdown = slowdown;
        servers.push_back(server);
    }

    // Factors of the servers of all tasks.
    std::multiset<double> place(int tasks)
    {
        request.tasks = tasks;
        std::multiset<double> result;
        if (const auto placed = place_step(request, servers))
        {
            for (const auto& part : placed->parts)
            {
                for (int i = 0; i < part.count; ++i)
                {
                    result.insert(servers[part.server].slowdown);
                }
            }
        }
        return result;
    }
};

// Guards against urgent gangs that are late for one slow member while fast
// servers are free, and against fast servers whose tasks wait for the others.
TEST(speed_placement, urgent_gang_runs_at_its_best_pace)
{
    request.urgent = true;
    CHECK(place(4) == std::multiset<double>({0.67, 0.67, 0.67, 0.67}));
    // Twelve places are usual or fast; usual ones are as good as fast ones.
    const auto wide = place(12);
    CHECK_EQUAL(8, wide.count(1.0));
    CHECK_EQUAL(4, wide.count(0.67));
    // Slow servers remain usable.
    CHECK_EQUAL(24, place(24).size());
    step.same_rack = true;
    CHECK(place(4) == std::multiset<double>({0.67, 0.67, 0.67, 0.67}));
    CHECK_EQUAL(12, place(12).size());
}

// Guards against long batches on the servers that urgent steps need, and
// against batches that become late by that.
TEST(speed_placement, other_steps_leave_fast_servers_free)
{
    step.gang = false;
    request.tolerated_slowdown = 3;
    CHECK_EQUAL(8, place(8).count(1.5));
    request.tolerated_slowdown = 1.2;
    CHECK_EQUAL(8, place(8).count(1.0));
    CHECK_EQUAL(8, place(16).count(0.67));
    step.gang = true;
    request.tolerated_slowdown = 3;
    servers[3].free = {};
    // The slow servers have room for six tasks, the usual ones for eight.
    CHECK_EQUAL(6, place(6).count(1.5));
    CHECK_EQUAL(7, place(7).count(1.0));
    CHECK_EQUAL(0, place(14).count(0.67));
}

// Guards against a slow server that is taken for a distant one: the limit on
// distance kept work off it.
TEST(speed_placement, slow_server_near_the_data_is_not_remote)
{
    step.gang = false;
    step.data_rack = "r1";
    for (auto& server : servers)
    {
        server.slowdown = server.rack == "r1" ? 7 : 1;
    }
    const auto near = place(2);
    CHECK_EQUAL(2, near.count(7));
    request.max_slowdown = 3;
    CHECK_EQUAL(2, place(2).count(7));
}
