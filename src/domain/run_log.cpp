#include "domain/run_log.hpp"

namespace poplarramp
{

namespace
{

constexpr milliseconds flush_interval{250};

} // namespace

void run_log::add(log_level level,
                  std::string_view event,
                  const run_id& run,
                  const std::string& server,
                  const std::string& cause)
{
    auto& item = lines_[{event,
                         run.task.job,
                         run.task.repetition,
                         run.task.step,
                         run.attempt,
                         cause}];
    item.level = level;
    ++item.runs;
    item.servers.insert(server);
    item.last = std::to_string(run.task.index) + "@" + server;
    if (item.first.empty())
    {
        item.first = item.last;
    }
}

void run_log::flush(time_point now)
{
    if (now >= next_flush_)
    {
        next_flush_ = now + flush_interval;
        flush_all();
    }
}

void run_log::flush_job(const std::string& job)
{
    std::erase_if(lines_,
                  [&job](const auto& item)
                  {
                      const bool matches = std::get<1>(item.first) == job;
                      if (matches)
                      {
                          write(item.first, item.second);
                      }
                      return matches;
                  });
}

void run_log::flush_all()
{
    for (const auto& [key, item] : lines_)
    {
        write(key, item);
    }
    lines_.clear();
}

void run_log::write(const line_key& key, const line& item)
{
    const auto& [event, job, repetition, step, attempt, cause] = key;
    log_line(item.level,
             "sched",
             event,
             {{"job", job},
              {"repetition", std::to_string(repetition)},
              {"step", std::to_string(step)},
              {"attempt", std::to_string(attempt)},
              {"runs", std::to_string(item.runs)},
              {"servers", std::to_string(item.servers.size())},
              {"first", item.first},
              {"last", item.last},
              {"cause", cause}});
}

} // namespace poplarramp
