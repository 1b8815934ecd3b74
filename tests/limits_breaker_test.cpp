#include "limits/circuit_breaker.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

constexpr circuit_breaker_settings test_settings{
    3, milliseconds(1000), milliseconds(5000)};

time_point at(int ms)
{
    return time_point(milliseconds(ms));
}

circuit_breaker make_open_breaker(int ms)
{
    circuit_breaker breaker(test_settings);
    for (int i = 0; i < test_settings.failure_threshold; ++i)
    {
        breaker.allow(at(ms));
        breaker.on_failure(at(ms));
    }
    return breaker;
}

} // namespace

TEST_GROUP(circuit_breaker){};

// Guards against calls that each wait for their deadline during an outage.
TEST(circuit_breaker, opens_after_consecutive_failures)
{
    circuit_breaker breaker(test_settings);
    breaker.on_failure(at(0));
    breaker.on_failure(at(0));
    CHECK(breaker.allow(at(0)));
    breaker.on_failure(at(0));
    CHECK_FALSE(breaker.allow(at(0)));
    CHECK_FALSE(breaker.allow(at(999)));
    CHECK(breaker.state(at(999)) == circuit_state::open);
}

// Guards against a circuit that opens on rare failures among many successes.
TEST(circuit_breaker, success_resets_the_count)
{
    circuit_breaker breaker(test_settings);
    for (int i = 0; i < 10; ++i)
    {
        breaker.on_failure(at(i));
        breaker.on_failure(at(i));
        breaker.on_success();
    }
    CHECK(breaker.state(at(10)) == circuit_state::closed);
}

// Guards against many concurrent calls to a service that is just recovering.
TEST(circuit_breaker, half_open_allows_one_probe)
{
    auto breaker = make_open_breaker(0);
    CHECK(breaker.allow(at(1000)));
    CHECK_FALSE(breaker.allow(at(1000)));
    CHECK_FALSE(breaker.allow(at(2000)));
    breaker.on_success();
    CHECK(breaker.allow(at(2000)));
    CHECK(breaker.state(at(2000)) == circuit_state::closed);
}

// Guards against a circuit that closes although the probe failed.
TEST(circuit_breaker, failed_probe_opens_again)
{
    auto breaker = make_open_breaker(0);
    CHECK(breaker.allow(at(1000)));
    breaker.on_failure(at(1500));
    CHECK_FALSE(breaker.allow(at(2499)));
    CHECK(breaker.allow(at(2500)));
}

// Guards against a circuit that stays open forever because the outcome of a
// probe is never reported.
TEST(circuit_breaker, probe_without_outcome_is_replaced)
{
    auto breaker = make_open_breaker(0);
    CHECK(breaker.allow(at(1000)));
    CHECK_FALSE(breaker.allow(at(5999)));
    CHECK(breaker.allow(at(6000)));
}

// Guards against using a call that must not be a probe, such as a write whose
// outcome could be unknown, as the probe.
TEST(circuit_breaker, non_probe_calls_wait_for_probe)
{
    auto breaker = make_open_breaker(0);
    CHECK_FALSE(breaker.allow(at(1000), false));
    CHECK(breaker.allow(at(1000), true));
    breaker.on_success();
    CHECK(breaker.allow(at(1001), false));
}

// Guards against late outcomes of calls made before the circuit opened: a
// success must not close it, and a failure must not keep it open longer.
TEST(circuit_breaker, late_outcomes_do_not_count_while_open)
{
    auto breaker = make_open_breaker(0);
    breaker.on_success();
    CHECK_FALSE(breaker.allow(at(500)));
    breaker.on_failure(at(900));
    CHECK(breaker.allow(at(1000)));
}
