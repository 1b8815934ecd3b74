// Failures of tasks that the leader learns late or not at all, in a domain in
// virtual time: each counts once, and none is forgotten.
#include "domain_simulation.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

namespace
{

constexpr int max_attempts = 3;
constexpr milliseconds failure_time{1000};
const std::string gang_job = "gang";

class attempts_fixture
{
public:
    attempts_fixture()
    {
        for (int i = 0; i < 6; ++i)
        {
            sim.add_server("s" + std::to_string(i));
        }
        sim.run(milliseconds(3000));
    }

    // Submits a gang of two whose first member fails in each run.
    void submit_failing_gang()
    {
        sim.failing_tasks[{gang_job, 0, 0, 0}] = failure_time;
        sim.submit(0, gang_job, "q1", one_step(2, 8, true));
    }

    // Server on which the attempt of the first member is at work.
    fake_server* server_of_attempt(int attempt)
    {
        for (auto& [id, server] : sim.servers)
        {
            if (server.active.contains({{gang_job, 0, 0, 0}, attempt}))
            {
                return &server;
            }
        }
        return nullptr;
    }

    // Cuts the server of the first member off before it fails.
    fake_server& cut_off_failing_member(int attempt)
    {
        fake_server* server = nullptr;
        CHECK(sim.run_until(milliseconds(20000),
                            [&]
                            {
                                server = server_of_attempt(attempt);
                                return server != nullptr;
                            }));
        sim.run(milliseconds(600));
        server->partitioned = true;
        return *server;
    }

    void check_fails_after_all_attempts()
    {
        CHECK(sim.run_until(
            milliseconds(40000),
            [this] { return sim.state(gang_job) == step_job_state::failed; }));
        sim.run(milliseconds(3000));
        CHECK_EQUAL(max_attempts, sim.budget.failures_of(gang_job));
        check_no_violations();
    }

    void check_no_violations() const
    {
        for (const auto& text : sim.violations)
        {
            FAIL_TEST(text.c_str());
        }
    }

    domain_simulation sim;
};

} // namespace

TEST_GROUP(domain_attempts){};

// Guards against a failure that does not count, since the gang was started
// again before its server listed the end.
TEST(domain_attempts, failure_behind_partition_counts)
{
    attempts_fixture fixture;
    fixture.submit_failing_gang();
    auto& server = fixture.cut_off_failing_member(1);
    fixture.sim.run(milliseconds(3300));
    server.partitioned = false;
    fixture.check_fails_after_all_attempts();
}

// Guards against the start after the last but one known failure, while an
// earlier end is still to be listed.
TEST(domain_attempts, gang_waits_for_end_that_may_be_its_last_failure)
{
    attempts_fixture fixture;
    fixture.submit_failing_gang();
    auto& server = fixture.cut_off_failing_member(1);
    fixture.sim.failing_tasks[{gang_job, 0, 0, 0}] = milliseconds(100);
    CHECK(fixture.sim.run_until(
        milliseconds(10000),
        [&fixture]
        { return fixture.sim.budget.failures_of(gang_job) == max_attempts; }));
    const auto starts = fixture.sim.starts;
    fixture.sim.run(milliseconds(800));
    CHECK_EQUAL(starts, fixture.sim.starts);
    server.partitioned = false;
    fixture.check_fails_after_all_attempts();
    CHECK_EQUAL(starts, fixture.sim.starts);
}

// Guards against the same after the leader that knew of the end was killed.
TEST(domain_attempts, next_leader_waits_for_unlisted_end)
{
    attempts_fixture fixture;
    auto& sim = fixture.sim;
    fixture.submit_failing_gang();
    auto& server = fixture.cut_off_failing_member(1);
    sim.failing_tasks[{gang_job, 0, 0, 0}] = milliseconds(100);
    CHECK(sim.run_until(milliseconds(10000),
                        [&sim]
                        { return sim.budget.failures_of(gang_job) == 2; }));
    sim.run(milliseconds(20));
    sim.leader()->kill();
    CHECK(sim.run_until(milliseconds(10000),
                        [&sim]
                        { return sim.budget.failures_of(gang_job) == 3; }));
    const auto starts = sim.starts;
    sim.run(milliseconds(500));
    CHECK_EQUAL(starts, sim.starts);
    server.partitioned = false;
    fixture.check_fails_after_all_attempts();
    CHECK_EQUAL(starts, sim.starts);
}

// Guards against a gang that waits for a server that never replies again.
TEST(domain_attempts, gang_goes_on_once_leases_of_silent_server_end)
{
    attempts_fixture fixture;
    auto& sim = fixture.sim;
    fixture.submit_failing_gang();
    fixture.cut_off_failing_member(1);
    CHECK(sim.run_until(
        milliseconds(20000),
        [&sim] { return sim.state(gang_job) == step_job_state::failed; }));
    CHECK_EQUAL(max_attempts + 1, sim.budget.failures_of(gang_job));
    fixture.check_no_violations();
}

// Guards against counting the failure of a run twice: as a lost server first,
// and as a failure once the server replies.
TEST(domain_attempts, late_failure_is_no_loss)
{
    attempts_fixture fixture;
    auto& sim = fixture.sim;
    fixture.submit_failing_gang();
    auto& server = fixture.cut_off_failing_member(1);
    sim.run(milliseconds(3300));
    sim.failing_tasks.clear();
    server.partitioned = false;
    CHECK(sim.run_until(milliseconds(20000),
                        [&sim] { return is_final(sim.state(gang_job)); }));
    CHECK(sim.state(gang_job) == step_job_state::completed);
    CHECK_EQUAL(1, sim.budget.failures_of(gang_job));
    fixture.check_no_violations();
}
