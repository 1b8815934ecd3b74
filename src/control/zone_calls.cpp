#include "control/zone_calls.hpp"

#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds call_timeout{1000};
constexpr milliseconds load_call_timeout{500};

// Loads are cached, because a status lists all jobs and servers of an
// availability zone and is too large to fetch for each submitted job.
constexpr milliseconds max_load_age{2000};

failure not_scheduler(const std::string& vm)
{
    return {result_code::conflict, vm + " is not the scheduler"};
}

} // namespace

zone_calls::zone_calls(control_context& context) : context_(context)
{
}

bool zone_calls::is_here(const scheduler_location& location) const
{
    return location.vm == context_.settings.vm;
}

void zone_calls::enqueue(const scheduler_location& location,
                         const job& item,
                         std::function<void(failure)> done)
{
    if (is_here(location))
    {
        done(enqueue_here(item));
        return;
    }
    context_.hooks.peers.enqueue(
        location.address, item, context_.now() + call_timeout, std::move(done));
}

void zone_calls::cancel(const scheduler_location& location,
                        const std::string& job_id,
                        std::function<void(failure)> done)
{
    if (is_here(location))
    {
        done(cancel_here(job_id));
        return;
    }
    context_.hooks.peers.cancel(location.address,
                                job_id,
                                context_.now() + call_timeout,
                                std::move(done));
}

void zone_calls::job_status(const scheduler_location& location,
                            const std::string& job_id,
                            std::function<void(job_status_reply)> done)
{
    if (is_here(location))
    {
        done(job_status_here(job_id));
        return;
    }
    context_.hooks.peers.job_status(location.address,
                                    job_id,
                                    context_.now() + call_timeout,
                                    std::move(done));
}

failure zone_calls::enqueue_here(const job& item)
{
    if (!context_.scheduler.active() || item.zone != context_.settings.zone)
    {
        return not_scheduler(context_.settings.vm);
    }
    return context_.scheduler.enqueue(item);
}

failure zone_calls::cancel_here(const std::string& job_id)
{
    if (!context_.scheduler.active())
    {
        return not_scheduler(context_.settings.vm);
    }
    return context_.scheduler.cancel(job_id);
}

job_status_reply zone_calls::job_status_here(const std::string& job_id)
{
    if (!context_.scheduler.active())
    {
        return {not_scheduler(context_.settings.vm), {}, {}};
    }
    return context_.scheduler.status_of(job_id);
}

zone_status zone_calls::status_here()
{
    zone_status status;
    if (!context_.scheduler.active())
    {
        status.error = not_scheduler(context_.settings.vm);
        status.zone = context_.settings.zone;
        return status;
    }
    status = context_.scheduler.status();
    status.zone = context_.settings.zone;
    status.scheduler = context_.settings.vm;
    return status;
}

void zone_calls::fetch_status(const std::string& zone,
                              milliseconds timeout,
                              std::function<void(zone_status)> done)
{
    const auto location = context_.members.scheduler_of(zone, context_.now());
    if (!location)
    {
        zone_status status;
        status.error = {result_code::unreachable,
                        "no scheduler of the availability zone is known"};
        done(std::move(status));
        return;
    }
    if (is_here(*location))
    {
        done(status_here());
        return;
    }
    context_.hooks.peers.status(
        location->address, context_.now() + timeout, std::move(done));
}

void zone_calls::fetch_statuses(
    const std::vector<std::string>& zones,
    milliseconds timeout,
    std::function<void(std::vector<zone_status>)> done)
{
    struct pending_statuses
    {
        std::vector<zone_status> statuses;
        std::size_t open = 0;
        std::function<void(std::vector<zone_status>)> done;
    };
    if (zones.empty())
    {
        done({});
        return;
    }
    auto all = std::make_shared<pending_statuses>();
    all->statuses.resize(zones.size());
    all->open = zones.size();
    all->done = std::move(done);
    for (std::size_t i = 0; i < zones.size(); ++i)
    {
        fetch_status(zones[i],
                     timeout,
                     [all, i, zone = zones[i]](zone_status status)
                     {
                         status.zone = zone;
                         all->statuses[i] = std::move(status);
                         if (--all->open == 0)
                         {
                             all->done(std::move(all->statuses));
                         }
                     });
    }
}

void zone_calls::statuses(const std::vector<std::string>& zones,
                          std::function<void(std::vector<zone_status>)> done)
{
    fetch_statuses(zones,
                   call_timeout,
                   [weak = weak_from_this(),
                    done = std::move(done)](std::vector<zone_status> result)
                   {
                       const auto self = weak.lock();
                       if (!self)
                       {
                           return;
                       }
                       for (auto& status : result)
                       {
                           status.open =
                               self->context_.view.is_open(status.zone);
                       }
                       done(std::move(result));
                   });
}

zone_calls::load_map
zone_calls::fresh_loads(const std::vector<std::string>& zones) const
{
    load_map result;
    for (const auto& zone : zones)
    {
        const auto known = cached_loads_.find(zone);
        if (known != cached_loads_.end() &&
            context_.now() - known->second.at < max_load_age)
        {
            result[zone] = known->second.load;
        }
    }
    return result;
}

void zone_calls::loads(const std::vector<std::string>& zones,
                       std::function<void(load_map)> done)
{
    auto known = fresh_loads(zones);
    std::vector<std::string> missing;
    for (const auto& zone : zones)
    {
        if (!known.contains(zone))
        {
            missing.push_back(zone);
        }
    }
    fetch_statuses(missing,
                   load_call_timeout,
                   [weak = weak_from_this(), zones, done = std::move(done)](
                       const std::vector<zone_status>& statuses)
                   {
                       const auto self = weak.lock();
                       if (!self)
                       {
                           return;
                       }
                       for (const auto& status : statuses)
                       {
                           if (!status.error)
                           {
                               self->cached_loads_[status.zone] = {
                                   load_of(status), self->context_.now()};
                           }
                       }
                       done(self->fresh_loads(zones));
                   });
}

} // namespace poplarramp
