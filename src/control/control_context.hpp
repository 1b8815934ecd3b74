// State shared by the components of the controller.
#ifndef POPLARRAMP_CONTROL_CONTROL_CONTEXT_HPP
#define POPLARRAMP_CONTROL_CONTROL_CONTEXT_HPP

#include "control/config_state.hpp"
#include "control/controller.hpp"
#include "control/local_scheduler.hpp"
#include "control/membership.hpp"

#include <functional>

namespace poplarramp
{

// Outlives every component. Used on the control thread only.
struct control_context
{
    controller_settings settings;
    controller_hooks hooks;
    membership members;
    config_state view;
    local_scheduler scheduler;
    // Must be called after each change of `view`.
    std::function<void()> on_view_changed;

    time_point now() const
    {
        return hooks.now();
    }
};

} // namespace poplarramp

#endif
