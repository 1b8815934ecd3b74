#include "review/standin/scenario.hpp"

#include "review/standin/consumers.hpp"
#include "review/standin/record.hpp"
#include "review/standin/store.hpp"
#include "review/standin/workers.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

namespace poplarramp::review
{

namespace
{

namespace asio = boost::asio;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr milliseconds tick_interval{5};

// SYSTEM.md: traffic starts 10 s after the machines do; `finish_s` is 14.
constexpr milliseconds lead_time{10000};
constexpr milliseconds finish_time{14000};

const std::vector<std::string> zones{"nabeul-a", "sfax-a", "kairouan-a"};

fleet_settings deployment()
{
    fleet_settings settings;
    settings.zones = zones;
    return settings;
}

// A job id: a kind of job, and a number.
std::string job_id(unsigned kind, unsigned number)
{
    constexpr std::size_t size = 17;
    std::array<char, size> id{};
    std::snprintf(id.data(), id.size(), "%08x%08x", kind, number);
    return id.data();
}

class scenario
{
public:
    explicit scenario(const scenario_settings& settings)
        : settings_(settings), log_(settings.record_file),
          rows_(traffic_, control_, settings.store_port, log_),
          workers_(traffic_, control_, deployment(), rows_, log_),
          consumers_(traffic_, control_, settings.fronts, workers_, log_),
          timer_(control_)
    {
        rows_.put("op", "config", desired_state());
    }

    int run()
    {
        const std::map<std::string, void (scenario::*)()> cases{
            {"row-limit", &scenario::row_limit},
            {"silent-feeds", &scenario::silent_feeds},
            {"pending", &scenario::pending},
            {"lasting", &scenario::lasting},
            {"hopeless", &scenario::hopeless},
            {"repeated", &scenario::repeated},
        };
        const auto found = cases.find(settings_.name);
        if (found == cases.end())
        {
            throw std::runtime_error("unknown case");
        }
        const auto guard = asio::make_work_guard(traffic_);
        std::thread traffic([this] { traffic_.run(); });
        (this->*found->second)();
        tick();
        control_.run();
        traffic_.stop();
        traffic.join();
        return result_;
    }

private:
    void at(milliseconds after_lead, std::function<void()> action)
    {
        actions_.emplace(milliseconds(lead_time + after_lead).count(),
                         std::move(action));
    }

    void tick()
    {
        while (!actions_.empty() && actions_.begin()->first <= log_.now())
        {
            const auto action = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            action();
        }
        workers_.tick();
        rows_.tick();
        consumers_.tick();
        timer_.expires_after(tick_interval);
        timer_.async_wait([this](boost::system::error_code) { tick(); });
    }

    // Checks the rule LOST `finish_s` after the end of the traffic.
    void finish_after(milliseconds traffic)
    {
        at(traffic + finish_time - milliseconds(1000),
           [this] { consumers_.ask_for_all(); });
        at(traffic + finish_time,
           [this]
           {
               consumers_.check_lost(
                   [this](const std::vector<std::string>& lost)
                   { finish(lost); });
           });
    }

    void finish(const std::vector<std::string>& lost)
    {
        for (const auto& id : lost)
        {
            log_.write("check",
                       "LOST: for 3 s nothing of accepted job " + id +
                           " runs, though there is room for it twice over");
        }
        log_.write("check",
                   std::to_string(consumers_.accepted()) + " jobs accepted, " +
                       std::to_string(lost.size()) + " break LOST");
        result_ = consumers_.accepted() == 0       ? exit_not_run
                  : lost.empty() && !lasting_lost_ ? exit_held
                                                   : exit_broken;
        control_.stop();
    }

    // A job with occurrences that overlap, beside small jobs.
    void row_limit()
    {
        constexpr int small_jobs = 24;
        constexpr int occurrences = 6;
        constexpr int tasks = 256;
        job_order wide;
        wide.id = job_id(0x10, 0);
        wide.queue = 2;
        wide.tasks = tasks;
        wide.need = {500, 256, 0};
        wide.work = {milliseconds(60000), true};
        wide.repetitions = settings_.trouble ? occurrences : 2;
        wide.first_due = milliseconds(1500);
        wide.interval = milliseconds(3000);
        at(milliseconds(500), [this, wide] { consumers_.submit(wide); });
        for (int i = 0; i < small_jobs; ++i)
        {
            job_order small;
            small.id = job_id(0x20, static_cast<unsigned>(i));
            small.queue = i % 3;
            small.tasks = 3;
            small.need = {1000, 1024, i % 2};
            small.work = {milliseconds(1500), false};
            at(milliseconds(1000) * i + milliseconds(700),
               [this, small] { consumers_.submit(small); });
        }
        finish_after(milliseconds(1000) * small_jobs);
    }

    // Large jobs come at once, each time shortly after the connections that
    // wait for changes of the desired state have gone silent.
    void silent_feeds()
    {
        constexpr int rounds = 14;
        constexpr int bursts = 5;
        constexpr milliseconds interval{5000};
        constexpr milliseconds burst_interval{200};
        for (int round = 0; round < rounds; ++round)
        {
            const auto start = interval * round + milliseconds(1000);
            if (settings_.trouble)
            {
                at(start, [this] { rows_.silence_feeds("op"); });
            }
            for (int burst = 1; burst <= bursts; ++burst)
            {
                at(start + burst_interval * burst + milliseconds(100),
                   [this, number = round * bursts + burst]
                   { submit_burst(number); });
            }
        }
        finish_after(interval * rounds);
    }

    // Wide jobs and some with a single task.
    void submit_burst(int number)
    {
        constexpr int wide_jobs = 6;
        constexpr int single_jobs = 3;
        constexpr int jobs_per_burst = 16;
        for (int i = 0; i < wide_jobs + single_jobs; ++i)
        {
            const bool wide = i < wide_jobs;
            job_order order;
            order.id =
                job_id(wide ? 0x10 : 0x20,
                       static_cast<unsigned>(number * jobs_per_burst + i));
            order.queue = 1;
            order.tasks = wide ? 256 : 1;
            order.need = {250, 256, 0};
            order.work = {milliseconds(2500), false};
            consumers_.submit(order);
        }
    }

    // Small jobs come all the while; some workers of a rack lose power.
    void pending()
    {
        constexpr int jobs = 200;
        constexpr int queue = 1;
        constexpr milliseconds interval{50};
        constexpr milliseconds trouble_at{5000};
        constexpr std::size_t lost_workers = 7;
        constexpr milliseconds end{18000};
        for (int i = 0; i < jobs; ++i)
        {
            job_order small;
            small.id = job_id(0x20, static_cast<unsigned>(i));
            small.queue = queue;
            small.need = {1000, 1024, 0};
            small.work = {milliseconds(1500), false};
            at(interval * i, [this, small] { consumers_.submit(small); });
        }
        if (settings_.trouble)
        {
            at(trouble_at, [this] { workers_.lose_power(lost_workers); });
        }
        for (auto time = trouble_at; time < end; time += milliseconds(200))
        {
            at(time, [this] { consumers_.ask_for_pending(queue); });
        }
        at(end,
           [this]
           {
               log_.write("check",
                          std::to_string(consumers_.accepted()) +
                              " jobs accepted, " +
                              std::to_string(consumers_.wrong_counts()) +
                              " answers break MIXED");
               result_ = consumers_.accepted() == 0       ? exit_not_run
                         : consumers_.wrong_counts() == 0 ? exit_held
                                                          : exit_broken;
               control_.stop();
           });
    }

    // A lasting task fails while more batch tasks wait than there is room for.
    // Nothing else happens.
    void lasting()
    {
        constexpr milliseconds end{70000};
        constexpr milliseconds fails_at{35000};
        job_order order;
        order.id = job_id(0x10, 0);
        order.queue = 2;
        order.need = {5600, 29000, 1};
        order.work = {milliseconds(9500), false, true};
        at(milliseconds(200), [this, order] { consumers_.submit(order); });
        submit_steadily(end);
        if (settings_.trouble)
        {
            at(fails_at, [this, id = order.id] { workers_.fail(id); });
        }
        for (auto time = fails_at - milliseconds(1000); time < end;
             time += milliseconds(100))
        {
            at(time, [this, order] { watch_lasting(order); });
        }
        at(end,
           [this]
           {
               log_.write("check",
                          std::to_string(consumers_.accepted()) +
                              " jobs accepted; LOST was " +
                              (lasting_lost_ ? "broken" : "kept"));
               result_ = consumers_.accepted() == 0 ? exit_not_run
                         : lasting_lost_            ? exit_broken
                                                    : exit_held;
               control_.stop();
           });
    }

    // Batch jobs for 380 of the 384 accelerators, urgent jobs for 50 more.
    void submit_steadily(milliseconds end)
    {
        constexpr unsigned max_urgent_tasks = 5;
        unsigned number = 0;
        for (auto time = milliseconds(1000); time < end;
             time += milliseconds(1200))
        {
            job_order batch;
            batch.id = job_id(0x20, number++);
            batch.queue = 2;
            batch.tasks = 48;
            batch.need = {5600, 29000, 1};
            batch.work = {milliseconds(9500), false};
            at(time, [this, batch] { consumers_.submit(batch); });
        }
        for (auto time = milliseconds(1000); time < end;
             time += milliseconds(285))
        {
            job_order urgent;
            urgent.id = job_id(0x30, number++);
            urgent.queue = 0;
            urgent.tasks = 1 + static_cast<int>(number % max_urgent_tasks);
            urgent.need = {7500, 39000, 2};
            urgent.work = {milliseconds(2500), false};
            at(time, [this, urgent] { consumers_.submit(urgent); });
        }
    }

    // LOST, for a task that lasts: from 6 s after its last run it does not run
    // for 3 s, while there is room for it twice over.
    void watch_lasting(const job_order& order)
    {
        constexpr milliseconds restart_time{6000};
        // 3 s, and two intervals between looks.
        constexpr milliseconds lost_time{3200};
        const auto now = monotonic_now();
        const bool runs = workers_.running(order.id) > 0;
        const int room = workers_.free_places(order.need);
        log_.write("watch",
                   std::string(runs ? "runs" : "does not run") + ", room for " +
                       std::to_string(room));
        last_run_ = runs ? now : last_run_;
        if (runs || room < 2 || now - last_run_ < restart_time)
        {
            last_excuse_ = now;
        }
        else if (now - last_excuse_ >= lost_time && !lasting_lost_)
        {
            lasting_lost_ = true;
            log_.write("check",
                       "LOST: for 3 s the lasting task " + order.id +
                           " does not run, though there is room for it twice "
                           "over");
        }
    }

    // An urgent job that can never be done comes while long tasks use more
    // than half of the accelerators and few processors. A lasting task fails
    // once, with and without that job.
    void hopeless()
    {
        constexpr int long_jobs = 4;
        constexpr int small_jobs = 20;
        constexpr milliseconds fails_at{8000};
        job_order lasting;
        lasting.id = job_id(0x40, 0);
        lasting.queue = 2;
        lasting.need = {1000, 4096, 1};
        lasting.work = {milliseconds(9500), false, true};
        at(milliseconds(200), [this, lasting] { consumers_.submit(lasting); });
        at(fails_at, [this, id = lasting.id] { workers_.fail(id); });
        for (auto time = fails_at - milliseconds(1000);
             time < milliseconds(30000);
             time += milliseconds(100))
        {
            at(time, [this, lasting] { watch_lasting(lasting); });
        }
        for (int i = 0; i < long_jobs; ++i)
        {
            job_order order;
            order.id = job_id(0x10, static_cast<unsigned>(i));
            order.queue = 2;
            order.tasks = 55;
            order.need = {1000, 4096, 1};
            order.work = {milliseconds(600000), false};
            at(milliseconds(500), [this, order] { consumers_.submit(order); });
        }
        if (settings_.trouble)
        {
            job_order poison;
            poison.id = job_id(0x20, 0);
            poison.queue = 0;
            poison.tasks = 64;
            poison.gang = true;
            poison.need = {7500, 39000, 8};
            poison.work = {milliseconds(2500), false};
            at(milliseconds(4000),
               [this, poison] { consumers_.submit(poison); });
        }
        for (int i = 0; i < small_jobs; ++i)
        {
            job_order small;
            small.id = job_id(0x30, static_cast<unsigned>(i));
            small.queue = 1 + i % 2;
            small.tasks = 2;
            small.need = {1000, 1024, 0};
            small.work = {milliseconds(1500), false};
            at(milliseconds(1000) * i + milliseconds(1000),
               [this, small] { consumers_.submit(small); });
        }
        finish_after(milliseconds(1000) * small_jobs);
    }

    // A job that is to run many times as soon as there is room, beside small
    // jobs.
    void repeated()
    {
        constexpr int many = 10000;
        constexpr int few = 4;
        constexpr int small_jobs = 20;
        job_order batch;
        batch.id = job_id(0x10, 0);
        batch.queue = 2;
        batch.tasks = 256;
        batch.need = {500, 256, 0};
        batch.work = {milliseconds(1500), false};
        batch.repetitions = settings_.trouble ? many : few;
        at(milliseconds(3000), [this, batch] { consumers_.submit(batch); });
        for (int i = 0; i < small_jobs; ++i)
        {
            job_order small;
            small.id = job_id(0x20, static_cast<unsigned>(i));
            small.queue = i % 3;
            small.tasks = 2;
            small.need = {1000, 1024, 0};
            small.work = {milliseconds(1500), false};
            at(milliseconds(1000) * i + milliseconds(500),
               [this, small] { consumers_.submit(small); });
        }
        finish_after(milliseconds(1000) * small_jobs);
    }

    const scenario_settings settings_;
    asio::io_context traffic_;
    asio::io_context control_;
    record log_;
    store rows_;
    fleet workers_;
    consumers consumers_;
    asio::steady_timer timer_;
    std::multimap<std::int64_t, std::function<void()>> actions_;
    int result_ = exit_not_run;
    time_point last_run_{};
    time_point last_excuse_{};
    bool lasting_lost_ = false;
};

} // namespace

int run_scenario(const scenario_settings& settings)
{
    return scenario(settings).run();
}

} // namespace poplarramp::review
