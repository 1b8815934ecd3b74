#include "standin/timers.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <utility>

namespace poplarramp::standin
{

struct timers::state : std::enable_shared_from_this<timers::state>
{
    explicit state(boost::asio::io_context& control) : timer(control)
    {
    }

    void arm()
    {
        if (due.empty())
        {
            return;
        }
        timer.expires_at(due.begin()->first);
        timer.async_wait(
            [self = shared_from_this()](boost::system::error_code error)
            {
                if (!error)
                {
                    self->run_due();
                }
            });
    }

    void run_due()
    {
        const auto now = monotonic_now();
        while (!due.empty() && due.begin()->first <= now)
        {
            auto action = std::move(due.begin()->second);
            due.erase(due.begin());
            action();
        }
        arm();
    }

    boost::asio::steady_timer timer;
    std::multimap<time_point, std::function<void()>> due;
};

timers::timers(boost::asio::io_context& control)
    : state_(std::make_shared<state>(control))
{
}

timers::~timers()
{
    state_->due.clear();
    state_->timer.cancel();
}

void timers::at(time_point when, std::function<void()> action)
{
    const bool first = state_->due.empty() || when < state_->due.begin()->first;
    state_->due.emplace(when, std::move(action));
    if (first)
    {
        state_->arm();
    }
}

void timers::after(milliseconds delay, std::function<void()> action)
{
    at(monotonic_now() + delay, std::move(action));
}

} // namespace poplarramp::standin
