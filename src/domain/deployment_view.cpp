#include "domain/deployment_view.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp
{

namespace
{

// Value of `key` in a map of pointers, or nullptr.
template <class Map>
typename Map::mapped_type find_in(const Map& map, const std::string& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

void deployment_view::load(const std::vector<table_row>& rows)
{
    evacuations_.clear();
    evacuated_.clear();
    for (const auto& row : rows)
    {
        apply({row, false});
    }
}

void deployment_view::apply(const table_row_change& change)
{
    if (change.removed)
    {
        if (evacuations_.erase(change.row.key) > 0)
        {
            log_line(log_level::info,
                     "config",
                     "A zone is back in service.",
                     {{"row", change.row.key}});
        }
    }
    else
    {
        failure why;
        auto content = rows_->decode_operator_row(change.row, why);
        if (why)
        {
            log_line(log_level::error,
                     "config",
                     "An operator row cannot be decoded.",
                     {{"row", change.row.key}, {"reason", why.reason}});
        }
        if (!content)
        {
            return;
        }
        if (auto* config = std::get_if<deployment_config>(&*content))
        {
            set_config(std::move(*config));
            return;
        }
        const auto& zone = std::get<zone_evacuation>(*content).zone;
        evacuations_[change.row.key] = zone;
        log_line(
            log_level::info,
            "config",
            "A zone is out of service.",
            {{"zone", zone}, {"version", std::to_string(change.row.version)}});
    }
    evacuated_.clear();
    for (const auto& [key, zone] : evacuations_)
    {
        evacuated_.insert(zone);
    }
}

std::span<const customer_config> deployment_view::customers() const
{
    return config_ ? std::span<const customer_config>(config_->customers)
                   : std::span<const customer_config>();
}

void deployment_view::set_config(deployment_config config)
{
    if (config_ && config.version <= config_->version)
    {
        return;
    }
    log_line(log_level::info,
             "config",
             "A configuration is in force.",
             {{"version", std::to_string(config.version)},
              {"before", std::to_string(version())},
              {"queues", std::to_string(config.queues.size())},
              {"customers", std::to_string(config.customers.size())}});
    config_ = std::move(config);
    hosts_.clear();
    queues_.clear();
    customers_.clear();
    keys_.clear();
    services_.clear();
    for (const auto& queue : config_->queues)
    {
        hosts_[queue.host].push_back(&queue);
        queues_[queue.name] = &queue;
    }
    for (auto& [host, queues] : hosts_)
    {
        std::stable_sort(
            queues.begin(),
            queues.end(),
            [](const queue_config* a, const queue_config* b)
            { return a->path_prefix.size() > b->path_prefix.size(); });
    }
    for (const auto& service : config_->services)
    {
        services_[service.name] = &service;
    }
    for (const auto& customer : config_->customers)
    {
        customers_[customer.name] = &customer;
        for (const auto& key : customer.keys)
        {
            keys_[key] = &customer;
        }
    }
}

std::uint64_t deployment_view::version() const
{
    return config_ ? config_->version : 0;
}

std::optional<queue_match> deployment_view::match(std::string_view host,
                                                  std::string_view path) const
{
    // A Host header may include the port.
    const auto name = host.substr(0, host.find(':'));
    const auto found = hosts_.find(name);
    if (found == hosts_.end())
    {
        return std::nullopt;
    }
    for (const auto* queue : found->second)
    {
        if (path.starts_with(queue->path_prefix))
        {
            return queue_match{queue, path.substr(queue->path_prefix.size())};
        }
    }
    return std::nullopt;
}

const queue_config* deployment_view::queue(const std::string& name) const
{
    return find_in(queues_, name);
}

std::optional<double> deployment_view::min_stretch() const
{
    std::optional<double> result;
    for (const auto& [name, queue] : queues_)
    {
        const double stretch = queue->policy.stretch;
        if (stretch > 1)
        {
            result = std::min(result.value_or(stretch), stretch);
        }
    }
    return result;
}

const std::string* deployment_view::customer_of(const std::string& key) const
{
    const auto* found = find_in(keys_, key);
    return found == nullptr ? nullptr : &found->name;
}

const customer_config* deployment_view::customer(const std::string& name) const
{
    return find_in(customers_, name);
}

bool deployment_view::is_active(const std::string& service) const
{
    const auto* found = find_in(services_, service);
    return found != nullptr && !found->standby;
}

bool deployment_view::evacuated(const std::string& zone) const
{
    return evacuated_.contains(zone);
}

} // namespace poplarramp
