#include "api_fixture.hpp"

#include "model/codec.hpp"

#include <utility>

namespace poplarramp::tests
{

namespace
{

constexpr milliseconds time_step{100};
constexpr int max_steps = 600;

controller_simulation& start_simulation(controller_simulation& sim)
{
    sim.start(2);
    return sim;
}

} // namespace

api_fixture::api_fixture()
    : vm_api(*start_simulation(sim).vm("a1").control,
             {"a1", "a", {{"planner", valid_token}}},
             sim.clock,
             [this] { return sim.now; })
{
}

recorded_reply api_fixture::call(const http_request& request)
{
    recorded_reply reply;
    vm_api.handle(
        request,
        [&reply](const http_response& response)
        {
            ++reply.count;
            reply.status = response.status;
            reply.text = response.body;
            failure why;
            reply.body = parse_json(response.body, why).value_or(Json::Value());
        });
    for (int i = 0; i < max_steps && reply.count == 0; ++i)
    {
        sim.run_for(time_step);
    }
    return reply;
}

recorded_reply api_fixture::call(const std::string& method,
                                 const std::string& path,
                                 const std::string& body,
                                 const std::string& token)
{
    http_request request;
    request.method = method;
    request.target = path;
    request.body = body;
    request.authorization = token.empty() ? "" : "Bearer " + token;
    return call(request);
}

std::string api_fixture::unix_ms_after(int ms) const
{
    return std::to_string(sim.clock.to_unix(sim.now + milliseconds(ms)));
}

std::string job_json(const std::string& kind, const std::string& key)
{
    return R"({"customer": "umkhonto", "key": ")" + key + R"(", "kind": ")" +
           kind + R"(", "accelerators": 1, "payload": "p"})";
}

} // namespace poplarramp::tests
