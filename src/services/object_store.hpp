// The platform's object store, which holds answers too large for a table row.
#ifndef POPLARRAMP_SERVICES_OBJECT_STORE_HPP
#define POPLARRAMP_SERVICES_OBJECT_STORE_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <functional>
#include <string>

namespace poplarramp
{

struct object_reply
{
    failure error;
    std::string content;
};

// Each hook calls `done` exactly once, on the control thread, never before it
// returns.
struct object_store
{
    std::function<void(std::string key,
                       std::string content,
                       time_point deadline,
                       std::function<void(failure)> done)>
        put;
    std::function<void(std::string key,
                       time_point deadline,
                       std::function<void(object_reply)> done)>
        get;
};

} // namespace poplarramp

#endif
