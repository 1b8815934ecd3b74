#include "cases.hpp"

#include "text.hpp"

#include <signal.h>

#include <algorithm>
#include <set>

namespace review
{

namespace
{

using kind = run_event::event_kind;

constexpr std::int64_t second = 1000;

void add_workers(deployment& site, int count, int gpus)
{
    for (int i = 0; i < count; ++i)
    {
        worker_settings settings;
        settings.id = "i-" + std::to_string(i);
        settings.zone = i % 2 == 0 ? "nabeul-a" : "sfax-a";
        settings.rack = "r-" + std::to_string(i % 2);
        settings.gpus = gpus;
        site.workers().add(settings);
    }
}

int count_events(deployment& site, const std::string& prefix, kind what)
{
    const auto events = site.workers().events();
    return static_cast<int>(std::count_if(
        events.begin(),
        events.end(),
        [&prefix, what](const run_event& event)
        { return event.kind == what && event.task.starts_with(prefix); }));
}

// BUDGET: a start after `max_attempts` runs of the task have ended `failed`, if
// these ends are taken note of then or later.
bool exceeds_budget(deployment& site, const std::string& task, int max_attempts)
{
    const auto events = site.workers().events();
    std::set<int> noted;
    for (const auto& event : events)
    {
        if (event.task == task && event.kind == kind::noted &&
            event.how == "failed")
        {
            noted.insert(event.attempt);
        }
    }
    int failures = 0;
    bool exceeded = false;
    for (const auto& event : events)
    {
        if (event.task != task)
        {
            continue;
        }
        if (event.kind == kind::ended && event.how == "failed" &&
            noted.contains(event.attempt))
        {
            ++failures;
        }
        if (event.kind == kind::started && failures >= max_attempts)
        {
            site.record("BUDGET: " + task + " attempt " +
                        std::to_string(event.attempt) + " was started after " +
                        std::to_string(failures) + " failed runs");
            exceeded = true;
        }
    }
    return exceeded;
}

// A gang that can never be done fails on a worker that is cut off for some
// seconds, and whose lease does not lapse meanwhile.
verdict gang_fails_behind_cut(deployment& site, bool trouble)
{
    constexpr int max_attempts = 3;
    constexpr int worker_count = 6;
    constexpr int gpus = 8;
    add_workers(site, worker_count, gpus);
    site.configure();
    if (!site.start())
    {
        return verdict::not_run;
    }
    // Keeps a lease on each worker.
    const std::string base = "00000000000000b1";
    site.workers().define(base, {90 * second, 1, -1, 0});
    auto base_job = one_step_job(worker_count, 1000, 0, 90000);
    base_job["phases"][0]["max_per_server"] = 1;
    const std::string gang = "00000000000000b2";
    site.workers().define(gang, {8 * second, 2, 0, 1 * second});
    auto gang_job = one_step_job(2, 26000, gpus, 8000);
    gang_job["phases"][0]["gang"] = true;
    if (site.submit(2, base, base_job) != 200 ||
        !deployment::wait_until(
            [&site, &base]
            { return count_events(site, base, kind::working) == worker_count; },
            10 * second) ||
        site.submit(1, gang, gang_job) != 200 ||
        !deployment::wait_until(
            [&site, &gang]
            { return count_events(site, gang, kind::working) == 2; },
            10 * second))
    {
        return verdict::not_run;
    }
    const auto failing = gang + ".0.0.0";
    const auto worker = site.workers().worker_of(failing);
    if (trouble)
    {
        constexpr std::int64_t before_cut_ms = 700;
        constexpr std::int64_t cut_ms = 3300;
        sleep_ms(before_cut_ms);
        site.workers().cut(worker, true);
        sleep_ms(cut_ms);
        site.workers().cut(worker, false);
    }
    const bool failed = deployment::wait_until(
        [&site, &gang]
        {
            constexpr std::int64_t pause_ms = 500;
            sleep_ms(pause_ms);
            return site.state_of(1, gang) == "failed";
        },
        40 * second);
    sleep_ms(2 * second);
    if (!failed)
    {
        return verdict::not_run;
    }
    return exceeds_budget(site, failing, max_attempts) ? verdict::broken
                                                       : verdict::held;
}

} // namespace

const std::map<std::string, case_function>& all_cases()
{
    static const std::map<std::string, case_function> cases{
        {"gang-fails-behind-cut", gang_fails_behind_cut},
    };
    return cases;
}

} // namespace review
