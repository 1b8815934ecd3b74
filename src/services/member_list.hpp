// The platform's membership list, which is eventually consistent.
#ifndef POPLARRAMP_SERVICES_MEMBER_LIST_HPP
#define POPLARRAMP_SERVICES_MEMBER_LIST_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <functional>
#include <string>
#include <vector>

namespace poplarramp
{

enum class vm_role
{
    entry,
    backend_server,
};

struct vm_member
{
    std::string id;
    vm_role role = vm_role::entry;
    std::string zone;
    std::string rack;
    // "ip:port": port of the internal protocol of an entry VM, task port of a
    // backend server.
    std::string address;
    bool leaving = false;
};

struct member_list_reply
{
    failure error;
    std::vector<vm_member> members;
};

// Calls `done` exactly once, on the control thread, never before it returns.
struct member_list
{
    std::function<void(time_point deadline,
                       std::function<void(member_list_reply)> done)>
        read;
};

} // namespace poplarramp

#endif
