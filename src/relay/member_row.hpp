// The row by which a VM makes itself known as a possible relay.
#ifndef POPLARRAMP_RELAY_MEMBER_ROW_HPP
#define POPLARRAMP_RELAY_MEMBER_ROW_HPP

#include "base/time.hpp"
#include "relay/relay_messages.hpp"
#include "services/table.hpp"

#include <functional>
#include <memory>
#include <string>

namespace poplarramp
{

// Key prefix of the rows of all VMs.
inline const std::string member_rows_prefix = "vms/";

struct member_row_hooks
{
    table store;
    std::function<time_point()> now;
};

// Writes the row once after the start of the process, and repeats the write
// until the store has confirmed it. Rows of VMs that are gone stay: the leader
// notices a VM that does not answer. Used on the control thread only.
class member_row
{
public:
    member_row(relay_member member, member_row_hooks hooks);

    // Writes the row if that is due. To be called every few milliseconds.
    void tick();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace poplarramp

#endif
