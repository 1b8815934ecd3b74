// Speed of the backend servers, from the progress of their runs.
#include "base/log.hpp"
#include "domain/dispatcher.hpp"

#include <functional>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr milliseconds classification_interval{1000};

// A server that has taken longer to reply has waited for the end of a run, so
// that its clock in the reply is the time of that end. Replies through relays
// take up to 0.2 s longer than direct ones.
constexpr milliseconds min_wait_for_end{400};

// A third of a fleet may change its class at once.
constexpr int max_logged_changes = 10;

std::size_t combined(std::size_t seed, std::size_t value)
{
    // Of boost::hash_combine, for 64 bits.
    constexpr std::size_t golden_ratio = 0x9e3779b97f4a7c15;
    return seed ^ (value + golden_ratio + (seed << 6U) + (seed >> 2U));
}

std::uint64_t nonzero(std::uint64_t value)
{
    return value == 0 ? 1 : value;
}

} // namespace

// Identifies the tasks with which the run is compared: those of its step, or of
// one attempt of its gang. 0 if it is not compared.
std::uint64_t dispatcher::comparison_of(const server_record& server,
                                        const run_id& run) const
{
    const auto job = open_jobs_.find(run.task.job);
    if (job == open_jobs_.end() || job->second.task(run.task) == nullptr)
    {
        return 0;
    }
    const auto& spec = job->second.spec_of(run.task.step);
    const bool is_remote =
        !spec.data_rack.empty() && spec.data_rack != server.registration.rack;
    // Tasks that use spare processor time advance as others leave it to them.
    if (is_remote || spec.tasks < 2 || spec.long_running || spec.best_effort)
    {
        return 0;
    }
    auto result = std::hash<std::string>()(run.task.job);
    result = combined(result, static_cast<std::size_t>(run.task.repetition));
    result = combined(result, static_cast<std::size_t>(run.task.step));
    result =
        combined(result, spec.gang ? static_cast<std::size_t>(run.attempt) : 0);
    return nonzero(result);
}

void dispatcher::observe_progress(server_record& server,
                                  const run_id& run,
                                  server_run& record,
                                  int percent,
                                  server_clock clock)
{
    if (!settings_.learn_speeds)
    {
        return;
    }
    if (const auto sample = sample_progress(record.progress, percent, clock))
    {
        observe(server, run, record, *sample);
    }
}

// Members of a gang end together, so that their ends tell nothing.
void dispatcher::observe_ends(server_record& server,
                              time_point requested_at,
                              const renewal_reply& reply)
{
    const bool has_waited = hooks_.now() - requested_at >= min_wait_for_end;
    if (!settings_.learn_speeds || !has_waited || !reply.order.clock)
    {
        return;
    }
    for (const auto& end : reply.ended)
    {
        const auto found = server.runs.find(end.run);
        if (found == server.runs.end() || end.outcome != run_outcome::done ||
            end.number <= server.last_seen_end)
        {
            continue;
        }
        const auto sample =
            sample_end(found->second.progress, *reply.order.clock);
        const auto job = open_jobs_.find(end.run.task.job);
        if (sample && job != open_jobs_.end() &&
            !job->second.spec_of(end.run.task.step).gang)
        {
            observe(server, end.run, found->second, *sample);
        }
    }
}

void dispatcher::observe(server_record& server,
                         const run_id& run,
                         server_run& record,
                         const pace_sample& sample)
{
    auto& mark = record.progress;
    if (!mark.step)
    {
        mark.step = comparison_of(server, run);
    }
    if (*mark.step == 0)
    {
        return;
    }
    const auto number = nonzero(
        combined(combined(*mark.step, static_cast<std::size_t>(run.task.index)),
                 static_cast<std::size_t>(run.attempt)));
    speeds_.observe(server.speed, mark, number, sample, hooks_.now());
}

void dispatcher::classify_servers()
{
    const auto now = hooks_.now();
    if (!settings_.learn_speeds || now < next_classification_)
    {
        return;
    }
    next_classification_ = now + classification_interval;
    std::vector<speed_estimate*> estimates;
    std::vector<std::pair<const server_record*, int>> before;
    estimates.reserve(registry_.all().size());
    before.reserve(registry_.all().size());
    for (auto& [id, server] : registry_.all())
    {
        estimates.push_back(&server.speed);
        before.emplace_back(&server, server.speed.level);
    }
    const bool was_in_force = speeds_.in_force();
    speeds_.classify(estimates, deployment_.min_stretch(), now);
    const auto& fleet = speeds_.fleet();
    if (speeds_.in_force() != was_in_force)
    {
        log_line(log_level::info,
                 "sched",
                 speeds_.in_force()
                     ? "Speeds of the servers are used for decisions."
                     : "Speeds of the servers are not used any more.",
                 {{"spread", std::to_string(fleet.spread)},
                  {"known", std::to_string(fleet.known)},
                  {"slow", std::to_string(fleet.slow)},
                  {"fast", std::to_string(fleet.fast)}});
    }
    int logged = 0;
    for (const auto& [server, level] : before)
    {
        if (speeds_.in_force() && server->speed.level != level &&
            logged++ < max_logged_changes)
        {
            log_class(*server, level);
        }
    }
}

void dispatcher::log_class(const server_record& server, int before) const
{
    log_line(log_level::info,
             "server",
             "A backend server has changed its speed class.",
             {{"server", server.registration.id},
              {"class", std::to_string(server.speed.level)},
              {"before", std::to_string(before)},
              {"factor", std::to_string(server.speed.class_factor)},
              {"error", std::to_string(error_of(server.speed))},
              {"runs", std::to_string(server.speed.runs)}});
}

} // namespace poplarramp
