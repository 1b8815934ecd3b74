#include "limits/backoff.hpp"
#include "limits/retry_budget.hpp"

#include <cstdint>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

TEST_GROUP(backoff){};

// Guards against retries at a constant rate, and against delays that grow
// without bound or overflow during a long outage.
TEST(backoff, doubles_up_to_max_delay)
{
    backoff delays({milliseconds(50), milliseconds(1000)});
    const std::uint64_t no_jitter = 0;
    CHECK(delays.next(no_jitter) == milliseconds(25));
    CHECK(delays.next(no_jitter) == milliseconds(50));
    CHECK(delays.next(no_jitter) == milliseconds(100));
    for (int i = 0; i < 100; ++i)
    {
        CHECK(delays.next(UINT64_MAX) <= milliseconds(1000));
    }
    CHECK(delays.next(no_jitter) == milliseconds(500));
}

// Guards against clients that failed together and retry at the same time.
TEST(backoff, jitter_covers_half_the_interval)
{
    for (std::uint64_t random = 0; random < 1000; ++random)
    {
        backoff delays({milliseconds(100), milliseconds(1000)});
        const auto delay = delays.next(random);
        CHECK(delay >= milliseconds(50));
        CHECK(delay <= milliseconds(100));
    }
    backoff low({milliseconds(100), milliseconds(1000)});
    backoff high({milliseconds(100), milliseconds(1000)});
    CHECK(low.next(0) == milliseconds(50));
    CHECK(high.next(50) == milliseconds(100));
}

// Guards against treating a destination as failing after it has recovered.
TEST(backoff, resets_after_success)
{
    backoff delays({milliseconds(50), milliseconds(1000)});
    delays.next(0);
    delays.next(0);
    delays.reset();
    CHECK(delays.next(0) == milliseconds(25));
}

TEST_GROUP(retry_budget){};

// Guards against retries that multiply the load of a failing destination.
TEST(retry_budget, allows_one_retry_in_ten_requests_after_the_burst)
{
    retry_budget budget({0.1, 3});
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_request();
        retries += budget.try_retry() ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 103);
}

// Guards against an unbounded burst of retries after a long time without any.
TEST(retry_budget, capacity_limits_burst)
{
    retry_budget budget({0.5, 2});
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_request();
    }
    CHECK(budget.try_retry());
    CHECK(budget.try_retry());
    CHECK_FALSE(budget.try_retry());
}
