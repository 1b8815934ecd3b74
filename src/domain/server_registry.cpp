#include "domain/server_registry.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

constexpr milliseconds contact_timeout{2500};

} // namespace

void server_run::mark_ended()
{
    ended = true;
    need = resources{};
    use = server_use::shared;
}

bool server_run::seen_at_work() const
{
    const auto shown_by =
        starts_sent == 0 ? started_at : started_at + min_time_at_work;
    return listed_at >= shown_by && listed_at != time_point{};
}

bool server_run::keeps_others_out() const
{
    return use == server_use::exclusive ||
           (use == server_use::exclusive_at_start && !seen_at_work());
}

resources server_record::used_by(const server_run& run) const
{
    return run.need.value_or(registration.capacity);
}

resources server_record::free() const
{
    auto left = registration.capacity;
    for (const auto& [id, run] : runs)
    {
        left -= used_by(run);
    }
    return left;
}

bool server_record::keeps_others_out() const
{
    return std::any_of(runs.begin(),
                       runs.end(),
                       [](const auto& item)
                       { return item.second.keeps_others_out(); });
}

bool server_record::in_contact(time_point now) const
{
    return last_contact && now - *last_contact < contact_timeout;
}

bool server_record::is_proven() const
{
    return std::all_of(runs.begin(),
                       runs.end(),
                       [](const auto& item)
                       { return item.second.seen_at_work(); });
}

void server_registry::set_unknown_server_lease(time_point until)
{
    unknown_server_lease_ = until;
}

server_record& server_registry::at(const std::string& id)
{
    const auto [found, added] = servers_.try_emplace(id);
    if (added)
    {
        found->second.registration.id = id;
        found->second.lease.assume_lease_until(unknown_server_lease_);
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

const server_record& server_registry::record_of(const std::string& id) const
{
    return servers_.at(id);
}

void server_registry::erase(const std::string& id)
{
    servers_.erase(id);
}

} // namespace poplarramp
