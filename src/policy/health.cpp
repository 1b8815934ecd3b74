#include "policy/health.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

// A kind that failed on this many servers without a success is itself at fault;
// otherwise one customer's broken jobs would exclude every server.
constexpr std::size_t kind_failure_threshold = 3;

} // namespace

bool server_health::record_kind_failure(int server, const std::string& kind)
{
    auto& failing = failing_kinds_[kind];
    if (failing.size() < kind_failure_threshold)
    {
        failing.insert(server);
    }
    return failing.size() >= kind_failure_threshold;
}

void server_health::exclude(record& target, time_point now)
{
    target.probe_delay =
        target.probe_delay == milliseconds{0}
            ? initial_probe_delay
            : std::min(max_probe_delay, 2 * target.probe_delay);
    target.excluded = true;
    target.probe = probe_state::delayed;
    target.probe_at = now + target.probe_delay;
}

bool server_health::record_failure(int server,
                                   const std::string& job,
                                   const std::string& kind,
                                   time_point now)
{
    auto& target = records_[server];
    if (target.excluded)
    {
        // Without a running probe, the task started before the exclusion.
        if (target.probe != probe_state::running)
        {
            return false;
        }
        exclude(target, now);
        return true;
    }
    if (record_kind_failure(server, kind))
    {
        return false;
    }
    target.failed_jobs.insert(job);
    if (target.failed_jobs.size() < failures_to_exclude)
    {
        return false;
    }
    exclude(target, now);
    return true;
}

bool server_health::record_success(int server, const std::string& kind)
{
    failing_kinds_.erase(kind);
    const bool was_excluded = excluded(server);
    records_.erase(server);
    return was_excluded;
}

void server_health::reset_server(int server)
{
    records_.erase(server);
}

bool server_health::excluded(int server) const
{
    const auto found = records_.find(server);
    return found != records_.end() && found->second.excluded;
}

std::vector<int> server_health::take_due_probes(time_point now)
{
    std::vector<int> due;
    for (auto& [server, item] : records_)
    {
        if (item.excluded && item.probe == probe_state::delayed &&
            item.probe_at <= now)
        {
            item.probe = probe_state::ready;
            due.push_back(server);
        }
    }
    return due;
}

void server_health::probe_started(int server)
{
    records_[server].probe = probe_state::running;
}

void server_health::probe_ended(int server)
{
    const auto found = records_.find(server);
    if (found != records_.end())
    {
        found->second.probe = probe_state::delayed;
    }
}

time_point server_health::next_probe() const
{
    auto next = no_deadline;
    for (const auto& [server, item] : records_)
    {
        if (item.excluded && item.probe == probe_state::delayed)
        {
            next = std::min(next, item.probe_at);
        }
    }
    return next;
}

} // namespace poplarramp
