// Current configuration of this entry VM, the provisional closings applied on
// top of it, and the time of the last confirmation.
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

    // Adopts the configuration if its version is higher, removes the closings
    // that it supersedes and returns true. Otherwise does nothing.
    bool adopt(const configuration& config);

    // Records that the view was current at `at`. Earlier times are ignored.
    void confirm(time_point at);
    time_point confirmed_at() const;

    // Adds or updates a closing and returns true, unless the configuration
    // supersedes it, it is already known, or there are too many closings.
    bool add_closing(const provisional_closing& closing, time_point now);
    std::vector<provisional_closing> closings() const;
    // Closings that a change by another operator must include: those marked
    // pending and those known at `known_before` already, whose operator must
    // have got a reply by now.
    std::vector<provisional_closing>
    required_closings(time_point known_before) const;
    // Closings known at `known_before` already.
    std::vector<provisional_closing>
    closings_known_before(time_point known_before) const;

    // False if the availability zone is out of service, provisionally closed or
    // not in the sheet.
    bool is_open(std::string_view zone) const;

private:
    struct tracked_closing
    {
        provisional_closing closing;
        time_point added_at;
    };

    bool is_superseded(const provisional_closing& closing) const;

    configuration current_;
    time_point confirmed_at_{};
    std::map<std::string, tracked_closing, std::less<>> closings_;
};

// True if the availability zone is in service in the configuration, without
// regard to provisional closings. Thread safe.
bool is_in_service(const configuration& config, std::string_view zone);

} // namespace poplarramp

#endif
