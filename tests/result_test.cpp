#include "base/result.hpp"
#include "base/time.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

TEST_GROUP(result){};

// Guards against a result code without a name.
TEST(result, names_and_codes_match)
{
    for (const auto code : {result_code::ok,
                            result_code::store_unavailable,
                            result_code::stale_epoch,
                            result_code::circuit_open})
    {
        CHECK(code_of(name_of(code)) == code);
    }
}

// Guards against reporting "not run" when the outcome is unknown.
TEST(result, only_2xx_codes_mean_not_run)
{
    CHECK(is_not_run(result_code::store_unavailable));
    CHECK_FALSE(is_not_run(result_code::answer_lost));
    CHECK_FALSE(is_not_run(result_code::cancelled));
}

TEST_GROUP(clock_mapping){};

// Guards against a job without a deadline that has one after encoding and
// decoding.
TEST(clock_mapping, preserves_absent_deadline)
{
    const clock_mapping base(time_point(milliseconds(500)), 1'000'000);
    CHECK(base.from_unix(base.to_unix(no_deadline)) == no_deadline);
    CHECK(base.from_unix(1'000'100) == time_point(milliseconds(600)));
}
