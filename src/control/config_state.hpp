// The configuration in force at this entry VM, the provisional closings on top
// of it, and when that view was last confirmed.
#ifndef POPLARRAMP_CONTROL_CONFIG_STATE_HPP
#define POPLARRAMP_CONTROL_CONFIG_STATE_HPP

#include "base/time.hpp"
#include "inner/peer_api.hpp"
#include "model/config.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

// Not thread safe.
class config_state
{
public:
    const configuration& current() const;

    // Takes the configuration over and returns true if its version is higher;
    // otherwise does nothing. Ends the closings that it settles.
    bool adopt(const configuration& config);

    // The view was right at `at`. Earlier times are ignored.
    void confirm(time_point at);
    time_point confirmed_at() const;

    // Adds a closing and returns true, unless the configuration settles it, it
    // is known, or there are too many.
    bool add_closing(const provisional_closing& closing, time_point now);
    std::vector<provisional_closing> closings() const;
    // Closings that have been known since `since` or longer.
    std::vector<provisional_closing> closings_since(time_point since) const;

    // False for an availability zone that is out of service, provisionally
    // closed or not in the sheet.
    bool is_open(std::string_view zone) const;

private:
    struct held_closing
    {
        provisional_closing closing;
        time_point since;
    };

    bool settles(const provisional_closing& closing) const;

    configuration current_;
    time_point confirmed_at_{};
    std::map<std::string, held_closing, std::less<>> closings_;
};

// True if the configuration itself has the availability zone in service.
// Thread safe.
bool is_in_service(const configuration& config, std::string_view zone);

} // namespace poplarramp

#endif
