#include "control/config_state.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

// More availability zones than a sheet has. Bounds the memory that a faulty
// peer can use.
constexpr std::size_t max_closings = 256;

} // namespace

bool is_in_service(const configuration& config, std::string_view zone)
{
    const auto found = config.zones.find(std::string(zone));
    if (found != config.zones.end() && found->second == zone_state::out)
    {
        return false;
    }
    return find_zone(config.sheet, zone) != nullptr;
}

const configuration& config_state::current() const
{
    return current_;
}

bool config_state::adopt(const configuration& config)
{
    if (config.version <= current_.version)
    {
        return false;
    }
    current_ = config;
    std::erase_if(closings_,
                  [this](const auto& entry)
                  { return is_superseded(entry.second.closing); });
    return true;
}

void config_state::confirm(time_point at)
{
    confirmed_at_ = std::max(confirmed_at_, at);
}

time_point config_state::confirmed_at() const
{
    return confirmed_at_;
}

bool config_state::add_closing(const provisional_closing& closing,
                               time_point now)
{
    if (is_superseded(closing))
    {
        return false;
    }
    const auto known = closings_.find(closing.zone);
    if (known == closings_.end())
    {
        if (closings_.size() >= max_closings)
        {
            return false;
        }
        closings_.emplace(closing.zone, tracked_closing{closing, now});
        return true;
    }
    auto& tracked = known->second.closing;
    const bool newly_pending = closing.pending && !tracked.pending;
    if (tracked.base_version < closing.base_version)
    {
        tracked = closing;
        return true;
    }
    if (tracked.base_version == closing.base_version && newly_pending)
    {
        tracked.pending = true;
        return true;
    }
    return false;
}

std::vector<provisional_closing> config_state::closings() const
{
    return closings_known_before(time_point::max());
}

std::vector<provisional_closing>
config_state::closings_known_before(time_point known_before) const
{
    std::vector<provisional_closing> result;
    for (const auto& [zone, tracked] : closings_)
    {
        if (tracked.added_at <= known_before)
        {
            result.push_back(tracked.closing);
        }
    }
    return result;
}

std::vector<provisional_closing>
config_state::required_closings(time_point known_before) const
{
    std::vector<provisional_closing> result;
    for (const auto& [zone, tracked] : closings_)
    {
        if (tracked.closing.pending || tracked.added_at <= known_before)
        {
            result.push_back(tracked.closing);
        }
    }
    return result;
}

bool config_state::is_open(std::string_view zone) const
{
    return is_in_service(current_, zone) && !closings_.contains(zone);
}

// A configuration supersedes a closing if it has the availability zone out of
// service or if it is newer than the version that the closing was based on.
bool config_state::is_superseded(const provisional_closing& closing) const
{
    const auto state = current_.zones.find(closing.zone);
    const bool out =
        state != current_.zones.end() && state->second == zone_state::out;
    return out || current_.version > closing.base_version;
}

} // namespace poplarramp
