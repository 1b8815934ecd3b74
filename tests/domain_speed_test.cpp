// Servers of uneven speed in a domain in virtual time.
#include "domain_simulation.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

namespace
{

constexpr int server_count = 24;

class speed_fixture
{
public:
    // A third of the servers takes three times as long as the others; the
    // queues of the simulation bear a factor of 2.
    explicit speed_fixture(bool learn)
    {
        sim.learn_speeds = learn;
        for (int i = 0; i < server_count; ++i)
        {
            const auto id = "s" + std::to_string(100 + i);
            sim.add_server(id);
            sim.servers.at(id).task_time =
                milliseconds(i % 3 == 0 ? 13000 : 4000);
        }
        sim.run(milliseconds(3000));
    }

    // Single tasks on all servers. A step has tasks on fast and on slow ones:
    // otherwise there is nothing to compare.
    void load(const std::string& prefix)
    {
        for (int i = 0; i < 8; ++i)
        {
            sim.submit(sim.vms[0]->up ? 0 : 1,
                       prefix + std::to_string(i),
                       "q1",
                       one_step(20, 4));
        }
    }

    bool in_force()
    {
        auto* leader = sim.leader();
        return leader != nullptr && leader->scheduler->speeds().in_force();
    }

    // Servers that run the job and are slow.
    int slow_servers_of(const std::string& job) const
    {
        int result = 0;
        for (const auto& [id, server] : sim.servers)
        {
            for (const auto& [run, record] : server.active)
            {
                result +=
                    run.task.job == job && server.task_time > milliseconds(4000)
                        ? 1
                        : 0;
            }
        }
        return result;
    }

    domain_simulation sim;
};

} // namespace

TEST_GROUP(domain_speed){};

// Guards against speeds that are not learned from the lists of the servers, or
// not used; urgent tasks were placed on slow servers beside free fast ones.
TEST(domain_speed, urgent_tasks_avoid_servers_that_were_slow)
{
    speed_fixture fixture(true);
    fixture.load("warm");
    CHECK(fixture.sim.run_until(milliseconds(12000),
                                [&fixture] { return fixture.in_force(); }));
    fixture.sim.run(milliseconds(60000));
    fixture.sim.submit(0, "urgent", "q0", one_step(16, 8, true));
    fixture.sim.run(milliseconds(1500));
    CHECK_EQUAL(0, fixture.slow_servers_of("urgent"));
    fixture.sim.submit(0, "wide", "q0", one_step(8, 8, true));
    fixture.sim.run(milliseconds(1500));
    CHECK_EQUAL(8, fixture.slow_servers_of("wide"));
}

// Guards against speeds of the last leader that are needed, or kept: a new
// leader learns them again.
TEST(domain_speed, new_leader_learns_again)
{
    speed_fixture fixture(true);
    fixture.load("warm");
    CHECK(fixture.sim.run_until(milliseconds(12000),
                                [&fixture] { return fixture.in_force(); }));
    fixture.sim.leader()->kill();
    CHECK(fixture.sim.run_until(milliseconds(6000),
                                [&fixture]
                                { return fixture.sim.leader() != nullptr; }));
    CHECK_FALSE(fixture.in_force());
    fixture.load("more");
    CHECK(fixture.sim.run_until(milliseconds(25000),
                                [&fixture] { return fixture.in_force(); }));
}

// Guards against speeds that are used without the setting.
TEST(domain_speed, speeds_are_not_learned_without_the_setting)
{
    speed_fixture fixture(false);
    fixture.load("warm");
    fixture.sim.run(milliseconds(20000));
    CHECK_FALSE(fixture.in_force());
    CHECK_EQUAL(0, fixture.sim.leader()->scheduler->speeds().fleet().known);
}
