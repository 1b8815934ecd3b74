// Tests of the HTTP API together with the controller, without sockets.
#include "api_fixture.hpp"
#include "model/codec.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::tests;

TEST_GROUP(api)
{
    api_fixture fixture;

    std::uint64_t version() const
    {
        return fixture.sim.vms[0]->control->config().version;
    }
};

// Guards against operator calls that are executed without authorization.
TEST(api, rejects_operator_calls_without_valid_token)
{
    const auto before = version();
    for (const std::string token :
         {"", "0123456789abcdeX", "0123456789abcde", "0123456789abcdef0"})
    {
        for (const std::string path : {"/v1/zones/b/out", "/v1/sheet"})
        {
            const auto reply = fixture.call("POST", path, "{}", token);
            CHECK(reply.status == 401 && reply.result() == "unauthorized");
        }
    }
    CHECK(version() == before);
}

// Guards against a change without a record of who made it, and against "ok"
// before every entry VM has confirmed the change.
TEST(api, zone_change_reports_confirmations)
{
    const auto before = version();
    const auto out = fixture.call("POST", "/v1/zones/b/out", "", valid_token);
    CHECK(out.status == 200 && out.result() == "ok");
    CHECK(out.body["confirmed"].size() == 4);
    CHECK(version() > before);
    CHECK(fixture.sim.vm("b2").control->config().changed_by == "planner");
    CHECK(fixture.sim.vm("b2").control->config().zones.at("b") ==
          zone_state::out);
    fixture.sim.vm("b2").isolated = true;
    const auto back = fixture.call("POST", "/v1/zones/b/back", "", valid_token);
    CHECK(back.status == 202 && back.result() == "pending");
    CHECK(back.body["unconfirmed"][0].asString() == "b2");
}

// Guards against accepting an availability zone that is not configured.
TEST(api, rejects_unknown_zone)
{
    const auto reply = fixture.call("POST", "/v1/zones/x/out", "", valid_token);
    CHECK(reply.status == 400 && reply.result() == "unknown_zone");
}

// Guards against a result that is lost between the controller and the caller,
// and against a key that is accepted for a second, different job.
TEST(api, returns_result_of_job)
{
    const auto first =
        fixture.call("POST",
                     "/v1/jobs?wait_until=" + fixture.unix_ms_after(5000),
                     job_json("check", "k1"));
    CHECK(first.status == 200 && first.result() == "ok" && first.count == 1);
    CHECK(first.body["job"]["state"].asString() == "done");
    CHECK(first.body["job"]["answer"].asString() == "answer to umkhonto/k1: p");
    const auto again = fixture.call("GET", "/v1/jobs/umkhonto/k1");
    CHECK(again.body["job"]["answer"] == first.body["job"]["answer"]);
    const auto other =
        fixture.call("POST", "/v1/jobs", job_json("glaze", "k1"));
    CHECK(other.result() == "key_reused");
}

// Guards against reporting a job as ended that has only been accepted.
TEST(api, returns_pending_until_job_ends)
{
    const auto reply =
        fixture.call("POST", "/v1/jobs", job_json("glaze", "k2"));
    CHECK(reply.status == 202 && reply.result() == "pending");
    CHECK(reply.body["job"]["state"].asString() != "done");
    const auto later = fixture.call("GET",
                                    "/v1/jobs/umkhonto/k2?wait_until=" +
                                        fixture.unix_ms_after(60000));
    CHECK(later.status == 200 && later.result() == "ok");
}

// Guards against a reply in which the outcome of a job looks like an error of
// the call.
TEST(api, returns_outcome_of_accepted_job)
{
    fixture.sim.run_time = milliseconds(60000);
    fixture.call("POST", "/v1/jobs", job_json("glaze", "k3"));
    fixture.sim.run_for(milliseconds(2000));
    job_outcome outcome;
    outcome.state = job_state::cancelled;
    outcome.code = result_code::cancelled;
    auto& scheduler = fixture.sim.scheduler_of("a");
    fixture.sim.end_job(scheduler, "umkhonto/k3", outcome);
    fixture.sim.run_for(milliseconds(1000));
    const auto read = fixture.call("GET", "/v1/jobs/umkhonto/k3");
    CHECK(read.status == 200 && read.result() == "cancelled");
    CHECK(read.body["job"]["state"].asString() == "cancelled");
}

// Guards against misinterpreting a malformed request: misspelt or wrong
// members, names with a slash, invalid JSON, deep nesting.
TEST(api, rejects_malformed_requests)
{
    const std::string bodies[] = {
        "",
        "{",
        "[]",
        std::string(10000, '['),
        job_json("check", "a/b"),
        R"({"customer": "umkhonto", "key": "k", "kind": "check", "keys": 1})",
        R"({"customer": "umkhonto", "kind": "check"})",
        R"({"customer": "umkhonto", "key": "k", "kind": "check",
            "accelerators": 257})",
        R"({"customer": "umkhonto", "key": "k", "kind": "check",
            "deadline": "soon"})"};
    for (const auto& body : bodies)
    {
        const auto reply = fixture.call("POST", "/v1/jobs", body);
        CHECK_TEXT(reply.status == 400 && reply.result() == "bad_request",
                   body.c_str());
        CHECK(!reply.body["reason"].asString().empty());
    }
    CHECK(fixture.call("GET", "/v1/jobs/umkhonto/k?wait_until=x").status ==
          400);
}

// Guards against handling an unknown path or method as a known one.
TEST(api, rejects_unknown_paths_and_methods)
{
    CHECK(fixture.call("GET", "/v1/job").status == 404);
    CHECK(fixture.call("GET", "/v1/jobs/umkhonto").status == 404);
    CHECK(fixture.call("DELETE", "/v1/zones").status == 405);
    CHECK(fixture.call("GET", "/v1/sheet").status == 405);
    CHECK(fixture.call("GET", "/v1/jobs/umkhonto/none").status == 404);
}

// Guards against a dry run that changes the configuration, and against applying
// a sheet that is invalid or whose expected version is outdated.
TEST(api, validates_sheet_before_applying_it)
{
    const auto text = json_text(to_json(test_sheet()));
    const auto before = version();
    const auto dry =
        fixture.call("POST", "/v1/sheet?dry_run=1", text, valid_token);
    CHECK(dry.result() == "ok" && version() == before);
    const auto wrong = fixture.call("POST", "/v1/sheet", "{}", valid_token);
    CHECK(wrong.status == 400 && wrong.result() == "bad_sheet");
    const auto late =
        fixture.call("POST", "/v1/sheet?expected_version=1", text, valid_token);
    CHECK(late.status == 409 && late.result() == "conflict");
    CHECK(version() == before);
    const auto good = fixture.call("POST", "/v1/sheet", text, valid_token);
    CHECK(good.result() == "ok" && version() > before);
}

// Guards against a list that omits an unreachable availability zone without
// naming it as incomplete.
TEST(api, lists_name_unreachable_zones)
{
    CHECK(fixture.call("GET", "/v1/zones").body["incomplete"].empty());
    fixture.sim.zones_partitioned = true;
    fixture.sim.run_for(milliseconds(10000));
    const auto zones = fixture.call("GET", "/v1/zones");
    CHECK(zones.body["zones"].size() == 2);
    CHECK(zones.body["incomplete"][0]["zone"].asString() == "b");
    for (const std::string list : {"jobs", "backend-servers", "customers"})
    {
        CHECK(!fixture.call("GET", "/v1/" + list).body["incomplete"].empty());
    }
}

// Guards against metrics that omit jobs with a result other than "ok".
TEST(api, counts_jobs_by_result)
{
    job item;
    item.request = request_of("check", "k");
    item.zone = "a";
    item.accepted = fixture.sim.now - milliseconds(1500);
    fixture.vm_api.on_job_ended(item);
    item.outcome.code = result_code::outcome_unknown;
    fixture.vm_api.on_job_ended(item);
    const auto page = fixture.call("GET", "/metrics");
    CHECK(page.status == 200);
    STRCMP_CONTAINS("kind=\"check\",zone=\"a\",result=\"ok\"} 1\n",
                    page.text.c_str());
    STRCMP_CONTAINS("result=\"outcome_unknown\"} 1\n", page.text.c_str());
    STRCMP_CONTAINS("poplarramp_job_completion_seconds_count{"
                    "customer=\"umkhonto\",kind=\"check\",zone=\"a\"} 1\n",
                    page.text.c_str());
    STRCMP_CONTAINS("poplarramp_config_version{zone=\"a\"} 5\n",
                    page.text.c_str());
}

// Guards against a health check that passes during a planned stop: the load
// balancer would keep sending requests to the VM.
TEST(api, health_reports_planned_stop)
{
    CHECK(fixture.call("GET", "/health").status == 200);
    fixture.vm_api.begin_stop();
    CHECK(fixture.call("GET", "/health").status == 503);
}
