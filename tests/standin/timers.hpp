// Schedules functions on the control thread of the stand-in.
#ifndef POPLARRAMP_STANDIN_TIMERS_HPP
#define POPLARRAMP_STANDIN_TIMERS_HPP

#include "base/time.hpp"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace poplarramp::standin
{

// Not thread safe; used on the control thread.
class timers
{
public:
    explicit timers(boost::asio::io_context& control);
    ~timers();
    timers(const timers&) = delete;
    timers& operator=(const timers&) = delete;

    // Functions due at the same time run in the order of the calls.
    void at(time_point when, std::function<void()> action);
    void after(milliseconds delay, std::function<void()> action);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp::standin

#endif
