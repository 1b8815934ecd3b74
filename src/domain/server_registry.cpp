#include "domain/server_registry.hpp"

namespace poplarramp
{

resources server_record::free() const
{
    auto left = entry.capacity;
    for (const auto& [id, run] : runs)
    {
        left -= run.need;
    }
    return left;
}

void server_registry::set_unknown_until(time_point until)
{
    unknown_until_ = until;
}

server_record& server_registry::at(const std::string& id)
{
    const auto [found, added] = servers_.try_emplace(id);
    if (added)
    {
        found->second.entry.id = id;
        found->second.lease.assume_until(unknown_until_);
    }
    return found->second;
}

server_record* server_registry::find(const std::string& id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

const server_record* server_registry::find(const std::string& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

const server_record& server_registry::at_id(const std::string& id) const
{
    return servers_.at(id);
}

void server_registry::erase(const std::string& id)
{
    servers_.erase(id);
}

} // namespace poplarramp
