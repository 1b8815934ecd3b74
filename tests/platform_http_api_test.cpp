// HTTP API of the platform: bounds of a job document, and calls that are judged
// by their header.
#include "domain_simulation.hpp"

#include "model/codec.hpp"
#include "platform/http_api.hpp"

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

namespace
{

constexpr int max_steps = 64;
constexpr std::size_t max_body_bytes = 262144;

Json::Value step_with_all_fields(int number)
{
    Json::Value step;
    step["task_count"] = number == 0 ? 1000 - max_steps + 1 : 1;
    step["estimate_ms"] = 300;
    step["after"] = Json::Value(Json::arrayValue);
    for (int earlier = 0; earlier < number; ++earlier)
    {
        step["after"].append(earlier);
    }
    for (const char* name : {"saves_progress",
                             "gang",
                             "same_rack",
                             "speculative",
                             "long_running",
                             "fills"})
    {
        step[name] = false;
    }
    step["requirements"] = "a";
    step["affinity"] = "rack-1";
    step["max_per_server"] = 4;
    step["image"] = std::string(100, 'i');
    step["target_ms"] = 0;
    step["may_miss"] = 0;
    step["cpu"] = 1000;
    step["mem_mb"] = 1000;
    step["gpus"] = 1;
    return step;
}

// A job with the most steps and the longest payload, of this character.
std::string largest_job(char payload)
{
    Json::Value job;
    job["task_spec"] = std::string(16384, payload);
    job["repetitions"] = 1;
    job["start_at_ms"] = 0;
    job["interval_ms"] = 0;
    for (int number = 0; number < max_steps; ++number)
    {
        job["phases"].append(step_with_all_fields(number));
    }
    return json_text(job);
}

} // namespace

TEST_GROUP(platform_http_api)
{
    domain_simulation sim;

    platform::http_api_hooks hooks()
    {
        platform::http_api_hooks result;
        result.now = [this]
        {
            return time_point(milliseconds(sim.now));
        };
        result.count = [](const std::string&, double) {
        };
        result.record = [](const std::string&, milliseconds) {
        };
        return result;
    }

    void setup() override
    {
        CHECK(sim.run_until(milliseconds(5000),
                            [this] { return sim.vms[0]->api->ready(); }));
    }

    http_request request(const std::string& method,
                         const std::string& target,
                         const std::string& key)
    {
        http_request result;
        result.method = method;
        result.target = target;
        result.host = "host";
        result.authorization = "Bearer " + key;
        return result;
    }

    http_response call(const http_request& sent)
    {
        std::optional<http_response> reply;
        platform::make_http_api(*sim.vms[0]->api, hooks())(
            sent,
            [&reply](http_response response) { reply = std::move(response); });
        CHECK(sim.run_until(milliseconds(5000),
                            [&reply] { return reply.has_value(); }));
        return *reply;
    }

    http_response submit(const std::string& body)
    {
        auto sent = request("POST", "/q0/0123456789abcdef", "bead-key");
        sent.body = body;
        return call(sent);
    }
};

// Guards against decoding bounds that refuse a legal job: 64 steps with all
// fields that name all earlier ones, and the longest payload.
TEST(platform_http_api, accepts_the_largest_legal_job)
{
    const auto body = largest_job('x');
    CHECK(body.size() > std::size_t{16384});
    const auto reply = submit(body);
    STRCMP_EQUAL("{}", reply.body.c_str());
    CHECK(reply.status == 200);
}

// Guards against a job whose row the store would refuse for good: in the row
// each byte of this payload is escaped and takes six.
TEST(platform_http_api, names_the_limit_of_the_row)
{
    const auto body = largest_job('\x01');
    CHECK(body.size() > std::size_t{6} * 16384);
    CHECK(body.size() <= max_body_bytes);
    const auto reply = submit(body);
    CHECK(reply.status == 400);
    STRCMP_CONTAINS("bytes in its row; the limit is 65536", reply.body.c_str());
}

// Guards against a document of legal size whose tree takes many times as much.
TEST(platform_http_api, names_the_bound_of_a_document)
{
    std::string list = R"({"phases":[0)";
    while (list.size() < max_body_bytes - 4)
    {
        list += ",0";
    }
    const auto reply = submit(list + "]}");
    CHECK(reply.status == 400);
    STRCMP_CONTAINS("more than 8192 elements", reply.body.c_str());
    CHECK(submit(std::string(max_body_bytes, '[')).status == 400);
}

// Guards against a call that is refused by its header but would be served, and
// against a body that is read for a call that is refused later.
TEST(platform_http_api, judges_by_the_header_as_the_handler_does)
{
    const auto judge = platform::make_http_judge(*sim.vms[0]->api, hooks());
    struct expected_call
    {
        std::string method;
        std::string target;
        std::string key;
        int status;
    };
    for (const auto& [method, target, key, status] :
         {expected_call{"POST", "/none/0123456789abcdef", "bead-key", 404},
          expected_call{"POST", "/q0/0123456789abcdef", "wrong", 401},
          expected_call{"POST", "/q0/short", "bead-key", 404},
          expected_call{"PUT", "/q0/", "bead-key", 404}})
    {
        const auto refusal = judge(request(method, target, key));
        CHECK(refusal.has_value());
        CHECK(refusal->status == status);
        CHECK(call(request(method, target, key)).status == status);
    }
    CHECK_FALSE(
        judge(request("POST", "/q0/0123456789abcdef", "bead-key")).has_value());
}
