#include "api_world.hpp"

#include "model/codec.hpp"

#include <utility>

namespace poplarramp::tests
{

namespace
{

constexpr milliseconds step{100};
constexpr int max_steps = 600;

controller_simulation& started(controller_simulation& world)
{
    world.start(2);
    return world;
}

} // namespace

api_world::api_world()
    : target(*started(world).vm("a1").control,
             {"a1", "a", {{"planner", good_token}}},
             world.clock,
             [this] { return world.now; })
{
}

api_answer api_world::call(const http_request& request)
{
    api_answer answer;
    target.handle(
        request,
        [&answer](const http_response& response)
        {
            ++answer.count;
            answer.status = response.status;
            answer.text = response.body;
            failure why;
            answer.body =
                parse_json(response.body, why).value_or(Json::Value());
        });
    for (int i = 0; i < max_steps && answer.count == 0; ++i)
    {
        world.run_for(step);
    }
    return answer;
}

api_answer api_world::call(const std::string& method,
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

std::string api_world::after(int ms) const
{
    return std::to_string(world.clock.to_unix(world.now + milliseconds(ms)));
}

std::string job_text(const std::string& kind, const std::string& key)
{
    return R"({"customer": "umkhonto", "key": ")" + key + R"(", "kind": ")" +
           kind + R"(", "accelerators": 1, "payload": "p"})";
}

} // namespace poplarramp::tests
