// Backend servers that carry out orders and whose replies are lost, in a domain
// in virtual time.
#include "domain_simulation.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

namespace
{

// Shorter than the time after which an order without a reply is repeated.
constexpr milliseconds gang_time{500};
constexpr milliseconds repeat_timeout{2000};

class lost_replies_fixture
{
public:
    lost_replies_fixture()
    {
        for (const std::string id : {"s0", "s1"})
        {
            sim.add_server(id);
            sim.servers.at(id).task_time = gang_time;
        }
        sim.run(milliseconds(3000));
    }

    // Starts a gang with one member on each server. Each runs to its end, but
    // the leader learns nothing of the one on s0.
    void run_gang_with_mute_member(const step_job_spec& spec)
    {
        sim.servers.at("s0").mute = true;
        sim.submit(0, "gang", "q1", spec);
        CHECK(sim.run_until(milliseconds(3000),
                            [this] { return sim.starts == 2; }));
    }

    // The orders of the gang were sent once, and no run of it is recorded once
    // the replies of s0 arrive again.
    void check_gang_has_ended()
    {
        sim.run(repeat_timeout);
        CHECK(sim.leader() != nullptr);
        CHECK_EQUAL(2, sim.start_orders);
        sim.servers.at("s0").mute = false;
        sim.run(milliseconds(3000));
        CHECK(sim.leader()->scheduler->servers().find("s0")->runs.empty());
        CHECK_EQUAL(2, sim.start_orders);
        CHECK(sim.servers.at("s0").ended.empty());
        for (const auto& text : sim.violations)
        {
            FAIL_TEST(text.c_str());
        }
    }

    domain_simulation sim;
};

} // namespace

TEST_GROUP(domain_lost_replies){};

// Guards against a leader that ends, or starts a task again, since it repeats
// the order of a gang member whose gang has ended with its repetition. Played
// on a test site, leader after leader ended with a segmentation fault.
TEST(domain_lost_replies, order_is_not_repeated_after_end_of_repetition)
{
    lost_replies_fixture fixture;
    auto spec = one_step(2, 8, true);
    spec.repetitions = 2;
    spec.interval = milliseconds(600000);
    spec.first_due_unix_ms = fixture.sim.now;
    fixture.run_gang_with_mute_member(spec);
    fixture.check_gang_has_ended();
}

// Guards against the same while the end of the job is not stored yet.
TEST(domain_lost_replies, order_is_not_repeated_before_end_is_stored)
{
    lost_replies_fixture fixture;
    fixture.run_gang_with_mute_member(one_step(2, 8, true));
    fixture.sim.leader()->store_link.write_delay = milliseconds(1500);
    fixture.check_gang_has_ended();
}

// Guards against the same while a later step of the job goes on.
TEST(domain_lost_replies, order_is_not_repeated_after_end_of_step)
{
    lost_replies_fixture fixture;
    auto spec = one_step(2, 8, true);
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    // Only the first step can be placed while s0 does not reply.
    spec.steps[1].label = "none";
    fixture.run_gang_with_mute_member(spec);
    fixture.check_gang_has_ended();
}

// Guards against discarding ends that no leader has seen: a server that had
// started again with its id got the number acknowledged to its earlier
// incarnation, and its task was started once more after it had succeeded.
TEST(domain_lost_replies, unseen_ends_of_restarted_server_are_kept)
{
    domain_simulation sim;
    sim.add_server("s0");
    auto& server = sim.servers.at("s0");
    server.task_time = milliseconds(300);
    sim.run(milliseconds(3000));
    sim.submit(0, "before", "q1", one_step(2, 1));
    CHECK(sim.run_until(milliseconds(3000),
                        [&] { return server.last_end_number == 2; }));
    sim.run(milliseconds(500));
    server.mute = true;
    server.restart(sim.now);
    sim.submit(0, "after", "q1", one_step(1, 1));
    sim.run(milliseconds(1500));
    CHECK_EQUAL(3, sim.starts);
    server.mute = false;
    CHECK(sim.run_until(
        milliseconds(10000),
        [&sim] { return sim.state("after") == step_job_state::completed; }));
    CHECK_EQUAL(3, sim.starts);
    CHECK(sim.violations.empty());
}
