#include "control/local_scheduler.hpp"

#include <memory>
#include <utility>

namespace poplarramp
{

local_scheduler make_local_scheduler(const std::string& vm,
                                     const std::string& zone,
                                     zone_scheduler_hooks hooks)
{
    const auto target =
        std::make_shared<zone_scheduler>(vm, zone, std::move(hooks));
    local_scheduler result;
    result.activate = [target]
    {
        target->activate();
    };
    result.deactivate = [target](std::function<void()> released)
    {
        target->deactivate(std::move(released));
    };
    result.active = [target]
    {
        return target->active();
    };
    result.set_configuration =
        [target](const configuration& config, bool zone_open)
    {
        target->set_configuration(config, zone_open);
    };
    result.set_backend_servers = [target](std::span<const vm_member> servers)
    {
        target->set_backend_servers(servers);
    };
    result.enqueue = [target](const job& item)
    {
        return target->enqueue(item);
    };
    result.cancel = [target](std::string_view id)
    {
        return target->cancel(id);
    };
    result.status_of = [target](std::string_view id)
    {
        return target->status_of(id);
    };
    result.status = [target]
    {
        return target->status();
    };
    result.tick = [target]
    {
        target->tick();
    };
    return result;
}

} // namespace poplarramp
