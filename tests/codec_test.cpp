#include "model/codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

const clock_mapping test_clock(time_point(milliseconds(1000)),
                               1'700'000'000'000);

job sample_job()
{
    job item;
    item.request = {
        "bead-east", "k1", "glaze", 8, "payload \"x\"", no_deadline};
    item.urgency_class = urgency::urgent;
    item.idempotent = false;
    item.expected_run = milliseconds(70);
    item.zone = "kzn-durban";
    item.token = "t";
    item.accepted = time_point(milliseconds(2500));
    item.attempts.push_back({1, "s1", "inc", 7, "started"});
    item.outcome = {job_state::done, result_code::ok, "", "answer", ""};
    return item;
}

} // namespace

TEST_GROUP(codec){};

// Guards against a member of the job row that is written but not read, or the
// reverse: after the failure of an entry VM the row is the only record of a
// job.
TEST(codec, job_round_trips_through_json)
{
    failure why;
    const auto text = json_text(to_json(sample_job(), test_clock));
    const auto json = parse_json(text, why);
    CHECK(json.has_value());
    const auto back = job_from_json(*json, test_clock, why);
    CHECK(back.has_value());
    CHECK(json_text(to_json(*back, test_clock)) == text);
    CHECK(back->request.deadline == no_deadline);
    CHECK(back->attempts.at(0).epoch == 7);
}

// Guards against losing a guarantee or zone state when a configuration is sent
// between entry VMs.
TEST(codec, configuration_round_trips_through_json)
{
    configuration config;
    config.version = 12;
    config.sheet.zones = {{"z", "r", {{"rack", 8, 8}}}};
    config.sheet.customers = {{"c", 16, 10}};
    config.sheet.guarantees = {{"c", "z", 8, 2}};
    config.sheet.kinds.emplace_back().name = "tint";
    config.sheet.expected = {{"c", "tint", 1, 2.5}};
    config.zones["z"] = zone_state::out;
    const auto json = to_json(config);
    failure why;
    const auto back = configuration_from_json(json, why);
    CHECK(back.has_value());
    CHECK(json_text(to_json(*back)) == json_text(json));
}

// Guards against reading a value of the wrong type as the default, and against
// an error without its path.
TEST(codec, wrong_type_error_names_path)
{
    failure why;
    auto json = to_json(sample_job(), test_clock);
    json["attempts"][0]["epoch"] = "seven";
    CHECK_FALSE(job_from_json(json, test_clock, why).has_value());
    CHECK(why.code == result_code::bad_request);
    CHECK(why.reason.find("attempts[0].epoch") != std::string::npos);
}

// Guards against a stack overflow caused by a deeply nested body.
TEST(codec, deep_nesting_is_rejected)
{
    failure why;
    const std::string deep(100'000, '[');
    CHECK_FALSE(parse_json(deep, why).has_value());
    CHECK(why.code == result_code::bad_request);
}

// Guards against a deadline that overflows the monotonic clock.
TEST(codec, out_of_range_deadline_is_rejected)
{
    failure why;
    auto json = to_json(sample_job().request, test_clock);
    json["deadline"] = static_cast<Json::Int64>(INT64_MAX);
    CHECK_FALSE(job_request_from_json(json, test_clock, why).has_value());
}
