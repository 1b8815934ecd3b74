#include "control/server_leases.hpp"

#include <array>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

using renew_done = std::function<void(renew_reply)>;

// One backend server that keeps claims and polls until a test replies to them.
struct polled_server
{
    std::vector<renew_request> polls;
    std::vector<renew_done> replies;
    std::function<void(claim_reply)> claim_done;

    backend_api api()
    {
        backend_api result;
        result.claim = [this](const std::string&,
                              const std::string&,
                              milliseconds,
                              time_point,
                              std::function<void(claim_reply)> done)
        {
            claim_done = std::move(done);
        };
        result.renew = [this](const std::string&,
                              renew_request request,
                              time_point,
                              renew_done done)
        {
            polls.push_back(std::move(request));
            replies.push_back(std::move(done));
        };
        return result;
    }
};

} // namespace

TEST_GROUP(zone_leases){};

// Guards against a poll that is delayed to the next tick after an event, so
// that the following event arrives up to one tick (25 ms) late.
TEST(zone_leases, polls_again_once_an_event_is_acknowledged)
{
    polled_server server;
    std::vector<event_ref> event_refs;
    lease_hooks hooks;
    hooks.now = []
    {
        return time_point(milliseconds(1000));
    };
    hooks.on_claimed = [](const std::string&, const claim_reply&) {
    };
    hooks.on_event = [&event_refs](const task_event&, const event_ref& ref)
    {
        event_refs.push_back(ref);
    };
    server_leases leases("vm", server.api(), hooks);
    const std::array members{vm_member{
        "s1", vm_role::backend_server, "z", "r", "127.0.0.1:1", false}};
    leases.set_members(members);
    leases.activate();
    leases.tick();
    claim_reply grant;
    grant.token = {"vm", "i", 1};
    server.claim_done(grant);
    leases.tick();
    LONGS_EQUAL(1, server.polls.size());

    renew_reply reply;
    reply.events.emplace_back().sequence = 1;
    server.replies.front()(reply);
    LONGS_EQUAL(1, server.polls.size());
    leases.acknowledge(event_refs.at(0));

    LONGS_EQUAL(2, server.polls.size());
    LONGS_EQUAL(1, server.polls.back().acknowledged);
}
