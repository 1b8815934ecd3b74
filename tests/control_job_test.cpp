// Jobs from the caller to the answer, with a fault at every step.
#include "control_fakes.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::tests;

namespace
{

// Replies that one caller got.
struct caller
{
    std::vector<job_reply> replies;

    std::function<void(job_reply)> done()
    {
        return [this](job_reply reply)
        {
            replies.push_back(std::move(reply));
        };
    }
    result_code code() const
    {
        return replies.size() == 1 ? replies[0].error.code
                                   : result_code::internal_error;
    }
};

void submit(fake_world& world,
            const std::string& vm,
            const job_request& request,
            caller& by,
            milliseconds wait = milliseconds(20000))
{
    world.vm(vm).control->submit(request, world.now + wait, by.done());
}

std::string answer_to(const job_request& request)
{
    return "answer to " + job_id(request) + ": " + request.payload;
}

} // namespace

TEST_GROUP(control_job)
{
    fake_world world;
};

// Guards against a thin path that breaks: from a VM that is not the scheduler
// to the scheduler and back, and on the scheduler itself.
TEST(control_job, is_answered_through_the_scheduler)
{
    world.start(3);
    for (const std::string vm : {"a1", "a2", "a3"})
    {
        caller by;
        const auto request = request_of("check", "k-" + vm);
        submit(world, vm, request, by);
        world.run_for(milliseconds(1000));
        CHECK(by.code() == result_code::ok);
        CHECK(by.replies[0].item.outcome.answer == answer_to(request));
        CHECK(world.runs_of(job_id(request)) == 1);
    }
}
