// HTTP servers of one stand-in process and the threads they run on.
#ifndef POPLARRAMP_STANDIN_HOST_HPP
#define POPLARRAMP_STANDIN_HOST_HPP

#include "base/result.hpp"
#include "http/message.hpp"
#include "standin/timers.hpp"

#include <cstdint>
#include <memory>

namespace poplarramp::standin
{

// Handlers run on the thread that calls `run`.
class host
{
public:
    host();
    ~host();
    host(const host&) = delete;
    host& operator=(const host&) = delete;

    timers& clock();

    // Serves a handler on a port of 127.0.0.1 and prints
    // "listening 127.0.0.1:<port>". On failure returns false and fills `why`.
    bool serve(std::uint16_t port, http_handler handler, failure& why);

    // Runs until SIGTERM or SIGINT, then waits up to 3 s for requests in flight
    // to complete.
    void run();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace poplarramp::standin

#endif
