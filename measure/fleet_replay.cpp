#include "fleet_replay.hpp"

#include "policy/server_speed.hpp"
#include "policy/step_planner.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace poplarramp
{

namespace
{

// From the decision to the start: a commit and an order.
constexpr milliseconds start_delay{60};
constexpr milliseconds stop_delay{230};
// A lost server's runs are known to be gone after this time.
constexpr milliseconds loss_detection{2000};
constexpr milliseconds plan_interval{20};
constexpr milliseconds max_plan_interval{250};
// Progress reports of running tasks.
constexpr milliseconds report_interval{800};
constexpr int max_attempts = 3;
constexpr double remote_slowdown = 3;
constexpr milliseconds window{2000};
constexpr double ms_per_s = 1000;
constexpr double checkpoint_loss_s = 0.6;
constexpr int percent_of_all = 100;

enum class run_state
{
    placing,
    running,
    stopping,
};

struct fleet_run
{
    std::size_t server = 0;
    run_state state = run_state::placing;
    time_point started{};
    milliseconds length{0};
    // Differs for each attempt, so that outdated events are ignored.
    std::uint64_t number = 0;
    // Run time on this server alone, without waiting for a gang.
    milliseconds own_length{0};
    progress_mark mark;
};

struct task_state
{
    bool done = false;
    bool placed = false;
    // Of a gang, the failures of its first task stand for all.
    int failures = 0;
    fleet_run run;
};

struct job_state
{
    std::vector<task_state> tasks;
    time_point ready_since{};
    bool ended = false;
    bool started = false;
    // All open urgent jobs of the customer together were within its guarantee
    // from the arrival to the start.
    bool guaranteed = true;
    time_point completed = time_point::max();
};

struct server_state
{
    bool up = true;
    resources free;
    double factor = 1;
    speed_estimate speed;
    // Job and task of each run.
    std::set<std::pair<std::size_t, std::size_t>> runs;
};

class fleet_simulation
{
public:
    fleet_simulation(const fleet_day& day, std::uint64_t seed)
        : day_(day), jobs_(draw_jobs(day, seed)), random_(seed + 1)
    {
        states_.resize(jobs_.size());
        servers_.resize(static_cast<std::size_t>(day.servers));
        for (auto& server : servers_)
        {
            server.free = day.capacity;
        }
        std::mt19937_64 speeds(seed + 2);
        for (auto& server : servers_)
        {
            server.factor = day.speeds.empty()
                                ? 1
                                : day.speeds[speeds() % day.speeds.size()];
        }
        const auto all = day.servers * day.capacity.accelerators;
        guarantee_ = static_cast<std::int64_t>(
            static_cast<double>(all) * day.guaranteed_share / day.customers);
    }

    fleet_result run()
    {
        for (std::size_t i = 0; i < jobs_.size(); ++i)
        {
            at(jobs_[i].arrival, [this, i] { arrive(i); });
        }
        for (const auto& loss : day_.losses)
        {
            at(loss.at, [this, share = loss.share] { lose_servers(share); });
        }
        for (auto second = time_point{}; second < day_.end;
             second += milliseconds(1000))
        {
            at(second, [this] { sample(); });
        }
        for (auto tick = time_point{}; tick < day_.end;
             tick += max_plan_interval)
        {
            at(tick, [this] { request_plan(); });
        }
        at(day_.end_of_arrivals, [this] { record_backlog(); });
        if (day_.learn_speeds)
        {
            schedule_lists();
            if (day_.takeover < day_.end)
            {
                at(day_.takeover, [this] { forget_speeds(); });
            }
        }
        while (!events_.empty() && events_.begin()->first <= day_.end)
        {
            now_ = events_.begin()->first;
            auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        finish();
        return std::move(result_);
    }

private:
    void at(time_point when, std::function<void()> action)
    {
        events_.emplace(std::max(when, now_), std::move(action));
    }

    void arrive(std::size_t job)
    {
        auto& state = states_[job];
        state.tasks.resize(static_cast<std::size_t>(jobs_[job].step.tasks));
        state.ready_since = now_;
        open_.insert(job);
        request_plan();
    }

    void request_plan()
    {
        if (std::exchange(plan_posted_, true))
        {
            return;
        }
        at(std::max(now_, next_plan_),
           [this]
           {
               plan_posted_ = false;
               next_plan_ = now_ + plan_interval;
               plan();
           });
    }

    // Tasks that can be placed; of a gang all or none.
    std::vector<std::size_t> ready_tasks(std::size_t job) const
    {
        std::vector<std::size_t> ready;
        const auto& tasks = states_[job].tasks;
        for (std::size_t i = 0; i < tasks.size(); ++i)
        {
            if (!tasks[i].done && !tasks[i].placed)
            {
                ready.push_back(i);
            }
        }
        return jobs_[job].step.gang && ready.size() < tasks.size()
                   ? std::vector<std::size_t>{}
                   : ready;
    }

    static std::string server_name(std::size_t index)
    {
        auto name = std::to_string(index);
        return std::string("s").append(5 - name.size(), '0').append(name);
    }

    planning_input make_input()
    {
        planning_input input;
        input.now = now_;
        input.unix_now = now_.time_since_epoch().count();
        input.customers.assign(static_cast<std::size_t>(day_.customers),
                               {guarantee_, 0});
        for (const auto job : open_)
        {
            const auto ready = ready_tasks(job);
            if (ready.empty())
            {
                continue;
            }
            const auto& kind = day_.kinds[jobs_[job].kind];
            waiting_step step;
            step.id = {std::to_string(job), 0, 0};
            step.request.step = &jobs_[job].step;
            step.request.service = "svc";
            step.request.tasks = static_cast<int>(ready.size());
            step.request.urgent = kind.priority == 0;
            step.request.remote_slowdown = remote_slowdown;
            step.priority = kind.priority;
            step.customer = jobs_[job].customer;
            step.accepted_unix_ms =
                jobs_[job].arrival.time_since_epoch().count();
            step.deadline_unix_ms =
                step.accepted_unix_ms + kind.latency_slack.count() +
                static_cast<std::int64_t>(
                    kind.stretch *
                    static_cast<double>(jobs_[job].step.estimate.count()));
            const auto left =
                static_cast<double>(step.deadline_unix_ms - input.unix_now);
            const auto work =
                static_cast<double>(jobs_[job].step.estimate.count());
            step.request.tolerated_slowdown =
                left > work ? left / work : kind.stretch;
            step.ready_since = states_[job].ready_since;
            waiting_jobs_.push_back(job);
            input.steps.push_back(std::move(step));
        }
        add_servers(input);
        return input;
    }

    void add_servers(planning_input& input)
    {
        std::map<std::pair<std::size_t, bool>, std::size_t> gangs;
        std::int64_t used = 0;
        std::int64_t all = 0;
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            if (!servers_[i].up)
            {
                continue;
            }
            candidate_server item;
            item.id = server_name(i);
            item.rack = "r" + std::to_string(i / static_cast<std::size_t>(
                                                     day_.servers_per_rack));
            item.service = "svc";
            item.capacity = day_.capacity;
            item.free = servers_[i].free;
            item.slowdown = speeds_.slowdown(servers_[i].speed, now_);
            all += item.capacity.accelerators;
            used += item.capacity.accelerators - item.free.accelerators;
            for (const auto& [job, task] : servers_[i].runs)
            {
                const auto group = add_run(input, gangs, job, task);
                input.groups[group].servers.push_back(input.servers.size());
                item.groups.push_back(group);
            }
            server_index_.push_back(i);
            input.servers.push_back(std::move(item));
        }
        input.utilization =
            static_cast<double>(used) / static_cast<double>(all);
    }

    std::size_t
    add_run(planning_input& input,
            std::map<std::pair<std::size_t, bool>, std::size_t>& gangs,
            std::size_t job,
            std::size_t task)
    {
        const auto& step = jobs_[job].step;
        const auto& run = states_[job].tasks[task].run;
        const bool stopping = run.state == run_state::stopping;
        std::size_t index = input.groups.size();
        if (step.gang)
        {
            index =
                gangs.emplace(std::pair(job, stopping), index).first->second;
        }
        if (index == input.groups.size())
        {
            input.groups.emplace_back();
            group_tasks_.emplace_back();
        }
        group_tasks_[index].emplace_back(job, task);
        auto& group = input.groups[index];
        group.priority = day_.kinds[jobs_[job].kind].priority;
        group.customer = jobs_[job].customer;
        group.need = step.need;
        group.accelerators += step.need.accelerators;
        group.stopping = stopping;
        group.lost_core_seconds += lost_work(job, run);
        group.expected_end =
            std::max(group.expected_end, expected_end(step, run));
        if (group.priority == 0 && !stopping)
        {
            input.customers[group.customer].used += step.need.accelerators;
        }
        return index;
    }

    double lost_work(std::size_t job, const fleet_run& run) const
    {
        if (run.state == run_state::placing)
        {
            return 0;
        }
        const auto& step = jobs_[job].step;
        const double seconds =
            static_cast<double>((now_ - run.started).count()) / ms_per_s;
        return (step.checkpoints ? std::min(seconds, checkpoint_loss_s)
                                 : seconds) *
               step.need.equivalent_cores();
    }

    // The planner knows the estimate, and the progress at the last report.
    time_point expected_end(const step_spec& step, const fleet_run& run) const
    {
        const auto age = now_ - run.started;
        const auto listed = age - age % report_interval;
        if (run.state == run_state::placing || listed <= milliseconds(0))
        {
            const double slowdown =
                speeds_.slowdown(servers_[run.server].speed, now_);
            return std::max(now_,
                            run.started +
                                milliseconds(std::llround(
                                    static_cast<double>(step.estimate.count()) *
                                    slowdown)));
        }
        const auto percent =
            std::max<std::int64_t>(1, percent_of_all * listed / run.length);
        return run.started + percent_of_all * listed / percent;
    }

    void plan()
    {
        waiting_jobs_.clear();
        server_index_.clear();
        group_tasks_.clear();
        check_guarantees();
        auto input = make_input();
        if (input.steps.empty())
        {
            return;
        }
        const auto begin = std::chrono::steady_clock::now();
        const auto decisions = planner_.plan(std::move(input));
        const std::chrono::duration<double, std::milli> elapsed =
            std::chrono::steady_clock::now() - begin;
        result_.plan_ms.push_back(elapsed.count());
        const auto groups = group_tasks_;
        for (const auto& item : decisions.placements)
        {
            place(waiting_jobs_[item.step], item);
        }
        for (const auto& item : decisions.preemptions)
        {
            for (const auto group : item.groups)
            {
                const int before = result_.stopped;
                for (const auto& [job, task] : groups[group])
                {
                    stop(job, task);
                }
                result_.preempted += result_.stopped - before;
            }
        }
        if (decisions.incomplete)
        {
            request_plan();
        }
    }

    void check_guarantees()
    {
        std::vector<std::int64_t> need(static_cast<std::size_t>(day_.customers),
                                       0);
        const auto is_urgent = [this](std::size_t job)
        {
            return day_.kinds[jobs_[job].kind].priority == 0;
        };
        for (const auto job : open_)
        {
            const auto& step = jobs_[job].step;
            need[jobs_[job].customer] +=
                is_urgent(job) ? step.tasks * step.need.accelerators : 0;
        }
        for (const auto job : open_)
        {
            if (is_urgent(job) && need[jobs_[job].customer] > guarantee_)
            {
                states_[job].guaranteed = false;
            }
        }
    }

    void place(std::size_t job, const planned_placement& decision)
    {
        const auto ready = ready_tasks(job);
        auto next = ready.begin();
        // A gang runs at the pace of its slowest member.
        double pace = 0;
        for (const auto& part : decision.result.parts)
        {
            pace = std::max(pace, servers_[server_index_[part.server]].factor);
        }
        for (const auto& part : decision.result.parts)
        {
            const auto server = server_index_[part.server];
            for (int i = 0; i < part.count; ++i)
            {
                const auto task = *next++;
                auto& state = states_[job].tasks[task];
                state.placed = true;
                const double work =
                    static_cast<double>(jobs_[job].runs[task].count()) *
                    decision.result.remote_slowdown;
                const double own = servers_[server].factor;
                state.run = {server,
                             run_state::placing,
                             now_ + start_delay,
                             milliseconds(std::llround(
                                 work * (jobs_[job].step.gang ? pace : own))),
                             ++run_number_,
                             milliseconds(std::llround(work * own)),
                             {std::hash<std::string>()(std::to_string(job)) | 1,
                              0,
                              0,
                              false}};
                servers_[server].free -= jobs_[job].step.need;
                servers_[server].runs.emplace(job, task);
                at(now_ + start_delay,
                   [this, job, task, number = run_number_]
                   { start(job, task, number); });
            }
        }
        if (!states_[job].started && ready_tasks(job).empty())
        {
            states_[job].started = true;
            const auto wait = now_ + start_delay - jobs_[job].arrival;
            if (day_.kinds[jobs_[job].kind].priority == 0 &&
                states_[job].guaranteed)
            {
                result_.guaranteed_start_ms.push_back(
                    static_cast<double>(wait.count()));
            }
            if (day_.kinds[jobs_[job].kind].priority == 0)
            {
                result_.urgent_start_ms.push_back(
                    static_cast<double>(wait.count()));
            }
        }
    }

    bool is_current(std::size_t job, std::size_t task, std::uint64_t number)
    {
        const auto& state = states_[job].tasks[task];
        return state.placed && state.run.number == number;
    }

    void start(std::size_t job, std::size_t task, std::uint64_t number)
    {
        if (!is_current(job, task, number) ||
            states_[job].tasks[task].run.state != run_state::placing)
        {
            return;
        }
        ++result_.runs;
        auto& run = states_[job].tasks[task].run;
        run.state = run_state::running;
        std::bernoulli_distribution failure(
            jobs_[job].step.gang
                ? day_.kinds[jobs_[job].kind].failure_share /
                      static_cast<double>(states_[job].tasks.size())
                : day_.kinds[jobs_[job].kind].failure_share);
        const bool fails = failure(random_);
        const auto when = fails ? now_ + run.length / 2 : now_ + run.length;
        at(when,
           [this, job, task, number, fails] { end(job, task, number, fails); });
    }

    void release(std::size_t job, std::size_t task)
    {
        auto& state = states_[job].tasks[task];
        servers_[state.run.server].free += jobs_[job].step.need;
        servers_[state.run.server].runs.erase({job, task});
        state.placed = false;
    }

    void
    end(std::size_t job, std::size_t task, std::uint64_t number, bool fails)
    {
        if (!is_current(job, task, number) ||
            states_[job].tasks[task].run.state != run_state::running)
        {
            return;
        }
        auto& state = states_[job];
        const auto run = state.tasks[task].run;
        release(job, task);
        request_plan();
        if (!fails)
        {
            state.tasks[task].done = true;
            record_useful(job, run);
            if (jobs_[job].step.gang)
            {
                end_gang(job);
            }
            end_job_if_done(job);
            return;
        }
        result_.lost_core_seconds +=
            static_cast<double>((now_ - run.started).count()) / ms_per_s *
            jobs_[job].step.need.equivalent_cores();
        stop_gang(job);
        auto& counted = state.tasks[jobs_[job].step.gang ? 0 : task];
        if (++counted.failures >= max_attempts)
        {
            state.ended = true;
            open_.erase(job);
        }
    }

    // The members of a gang end together: one success stands for all.
    void end_gang(std::size_t job)
    {
        for (std::size_t i = 0; i < states_[job].tasks.size(); ++i)
        {
            auto& task = states_[job].tasks[i];
            if (task.placed)
            {
                record_useful(job, task.run);
                release(job, i);
            }
            task.done = true;
        }
    }

    void end_job_if_done(std::size_t job)
    {
        auto& state = states_[job];
        if (std::all_of(state.tasks.begin(),
                        state.tasks.end(),
                        [](const task_state& item) { return item.done; }))
        {
            state.ended = true;
            state.completed = now_;
            result_.last_end = now_;
            open_.erase(job);
        }
    }

    void record_useful(std::size_t job, const fleet_run& run)
    {
        const auto accelerators = jobs_[job].step.need.accelerators;
        result_.completed_work += static_cast<double>(accelerators) *
                                  static_cast<double>(run.length.count()) /
                                  ms_per_s;
        for (auto when = run.started; when < now_; when += milliseconds(100))
        {
            const auto second = static_cast<std::size_t>(
                when.time_since_epoch().count() / 1000);
            if (second >= useful_.size())
            {
                useful_.resize(second + 1, 0);
            }
            useful_[second] += static_cast<double>(accelerators) / 10;
        }
    }

    void stop_gang(std::size_t job)
    {
        if (!jobs_[job].step.gang)
        {
            return;
        }
        for (std::size_t i = 0; i < states_[job].tasks.size(); ++i)
        {
            stop(job, i);
        }
    }

    void stop(std::size_t job, std::size_t task)
    {
        auto& state = states_[job].tasks[task];
        if (!state.placed || state.run.state == run_state::stopping)
        {
            return;
        }
        if (state.run.state == run_state::placing)
        {
            release(job, task);
            request_plan();
            return;
        }
        ++result_.stopped;
        const auto worked = now_ - state.run.started;
        result_.stopped_early += 10 * worked < state.run.length ? 1 : 0;
        result_.lost_core_seconds += lost_work(job, state.run);
        if (jobs_[job].step.checkpoints)
        {
            auto& left = jobs_[job].runs[task];
            left = std::max(milliseconds(100), left - worked);
        }
        state.run.state = run_state::stopping;
        at(now_ + stop_delay,
           [this, job, task, number = state.run.number]
           {
               if (is_current(job, task, number))
               {
                   release(job, task);
                   request_plan();
               }
           });
    }

    void lose_servers(double share)
    {
        for (auto& server : servers_)
        {
            if (!server.up || !std::bernoulli_distribution(share)(random_))
            {
                continue;
            }
            server.up = false;
            for (const auto& [job, task] : server.runs)
            {
                states_[job].tasks[task].run.number = ++run_number_;
                at(now_ + loss_detection,
                   [this, job = job, task = task, number = run_number_]
                   {
                       if (is_current(job, task, number))
                       {
                           release(job, task);
                           stop_gang(job);
                           request_plan();
                       }
                   });
            }
        }
    }

    void schedule_lists()
    {
        for (auto second = time_point{}; second < day_.end;
             second += milliseconds(1000))
        {
            at(second, [this] { classify(); });
        }
        // Not of the generator that decides on failures.
        std::mt19937_64 offsets(1);
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            const milliseconds offset(offsets() % static_cast<std::uint64_t>(
                                                      report_interval.count()));
            for (auto when = time_point(offset); when < day_.end;
                 when += report_interval)
            {
                at(when, [this, i] { list(servers_[i]); });
            }
        }
    }

    void forget_speeds()
    {
        speeds_ = {};
        for (auto& server : servers_)
        {
            server.speed = {};
        }
    }

    // The server lists its runs with their progress.
    void list(server_state& server)
    {
        for (const auto& [job, task] : server.runs)
        {
            auto& run = states_[job].tasks[task].run;
            const auto worked = now_ - run.started;
            if (!server.up || run.state != run_state::running ||
                jobs_[job].step.tasks < 2)
            {
                continue;
            }
            const auto percent = std::min<std::int64_t>(
                percent_of_all,
                percent_of_all * worked.count() / run.own_length.count());
            const auto sample =
                sample_progress(run.mark,
                                static_cast<int>(percent),
                                now_.time_since_epoch().count());
            if (sample)
            {
                speeds_.observe(
                    server.speed, run.mark, run.number, *sample, now_);
            }
        }
    }

    void classify()
    {
        std::vector<speed_estimate*> estimates;
        double right = 0;
        for (auto& server : servers_)
        {
            estimates.push_back(&server.speed);
            right += server.speed.level == std::lround(std::log(server.factor) /
                                                       std::log(stretch()))
                         ? 1
                         : 0;
        }
        speeds_.classify(estimates, stretch(), now_);
        result_.classified.push_back(
            speeds_.in_force() ? right / static_cast<double>(servers_.size())
                               : 0);
    }

    double stretch() const
    {
        double result = day_.kinds.front().stretch;
        for (const auto& kind : day_.kinds)
        {
            result = std::min(result, kind.stretch);
        }
        return result;
    }

    void sample()
    {
        result_.open_jobs.push_back(static_cast<int>(open_.size()));
        std::int64_t all = 0;
        for (const auto& server : servers_)
        {
            all += server.up ? day_.capacity.accelerators : 0;
        }
        accelerators_.push_back(static_cast<double>(all));
    }

    void record_backlog()
    {
        for (const auto job : open_)
        {
            for (std::size_t i = 0; i < states_[job].tasks.size(); ++i)
            {
                result_.backlog_work +=
                    states_[job].tasks[i].done
                        ? 0
                        : static_cast<double>(
                              jobs_[job].step.need.accelerators) *
                              static_cast<double>(jobs_[job].runs[i].count()) /
                              ms_per_s;
            }
        }
    }

    void finish()
    {
        std::vector<double> owed(day_.kinds.size(), 0);
        std::vector<double> earned(day_.kinds.size(), 0);
        std::map<std::int64_t, std::pair<double, double>> windows;
        double urgent = 0;
        double in_time = 0;
        for (std::size_t i = 0; i < jobs_.size(); ++i)
        {
            const auto& job = jobs_[i];
            const auto completed = states_[i].completed;
            const double gain = completed <= job.objective    ? job.worth
                                : completed <= job.late_limit ? job.late_worth
                                                              : 0;
            const bool is_urgent = day_.kinds[job.kind].priority == 0;
            urgent += is_urgent ? 1 : 0;
            in_time += is_urgent && completed <= job.objective ? 1 : 0;
            owed[job.kind] += job.worth;
            earned[job.kind] += gain;
            auto& [of, got] = windows[job.arrival.time_since_epoch() / window];
            of += job.worth;
            got += gain;
        }
        double all_owed = 0;
        double all_earned = 0;
        for (std::size_t kind = 0; kind < owed.size(); ++kind)
        {
            all_owed += owed[kind];
            all_earned += earned[kind];
            result_.served_of_kind.push_back(earned[kind] / owed[kind]);
        }
        result_.served = all_earned / all_owed;
        result_.urgent_in_time = in_time / urgent;
        std::vector<double> shares;
        shares.reserve(windows.size());
        for (const auto& [start, worth] : windows)
        {
            shares.push_back(worth.second / worth.first);
        }
        std::sort(shares.begin(), shares.end());
        result_.worst_windows = (shares.at(0) + shares.at(1)) / 2;
        for (std::size_t i = 0; i < accelerators_.size(); ++i)
        {
            result_.useful_share.push_back(
                i < useful_.size() ? useful_[i] / accelerators_[i] : 0);
        }
    }

    const fleet_day& day_;
    std::vector<fleet_job> jobs_;
    std::vector<job_state> states_;
    std::vector<server_state> servers_;
    std::set<std::size_t> open_;
    std::mt19937_64 random_;
    std::int64_t guarantee_ = 0;
    std::multimap<time_point, std::function<void()>> events_;
    time_point now_{};
    time_point next_plan_{};
    bool plan_posted_ = false;
    std::uint64_t run_number_ = 0;
    step_planner planner_;
    server_speed speeds_;
    // Of the newest input: jobs of the steps, indices of the servers, and job
    // and task of the runs in each group.
    std::vector<std::size_t> waiting_jobs_;
    std::vector<std::size_t> server_index_;
    std::vector<std::vector<std::pair<std::size_t, std::size_t>>> group_tasks_;
    std::vector<double> useful_;
    std::vector<double> accelerators_;
    fleet_result result_;
};

} // namespace

fleet_result replay_fleet(const fleet_day& day, std::uint64_t seed)
{
    return fleet_simulation(day, seed).run();
}

} // namespace poplarramp
