// Replays a trace of jobs against the scheduler of one availability zone or the
// baseline.
#ifndef POPLARRAMP_MEASURE_REPLAY_HPP
#define POPLARRAMP_MEASURE_REPLAY_HPP

#include "policy/scheduler.hpp"
#include "trace.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <queue>
#include <span>
#include <string>
#include <vector>

namespace poplarramp
{

// Outcome of one job of the trace.
struct job_result
{
    time_point first_start = no_deadline;
    time_point ended = no_deadline;
    bool refused = false;
    int preemptions = 0;
};

struct replay_result
{
    std::vector<job_result> jobs;
    // Duration of each call of `decide`.
    std::vector<double> decide_us;
    // Share of the sampled time in which a job of `sampled_shape` could start.
    double shape_open_share = 0;
    double mean_utilization = 0;
};

struct replay_options
{
    // Samples are taken from here to the last arrival.
    time_point sample_from = time_point{};
    // Shape that is sampled; 0: no sampling, which costs a scan per event.
    int sampled_shape = 0;
};

// `Policy` is `scheduler` or `first_fit_queue`. A placed job starts immediately
// and runs for its true run time. A preempted job stops after its checkpoint
// time and keeps its progress if it can checkpoint, else it stops immediately.
template <class Policy>
class replay
{
public:
    replay(const zone_setup& zone, const std::vector<trace_job>& jobs)
        : jobs_(jobs), policy_("zone"), total_accelerators_(zone.accelerators())
    {
        policy_.set_sheet(zone.sheet);
        policy_.set_zone_open(true);
        for (const auto& server : zone.servers)
        {
            policy_.add_server(server);
        }
        runs_.resize(jobs.size());
        result_.jobs.resize(jobs.size());
    }

    replay_result run(const replay_options& options)
    {
        options_ = options;
        for (std::size_t i = 0; i < jobs_.size(); ++i)
        {
            index_[job_id(jobs_[i].item.request)] = i;
            push(jobs_[i].arrival, event_kind::arrival, i);
            last_arrival_ = std::max(last_arrival_, jobs_[i].arrival);
        }
        while (!events_.empty())
        {
            step();
        }
        const double sampled = open_ms_ + closed_ms_;
        result_.shape_open_share = sampled > 0 ? open_ms_ / sampled : 0;
        result_.mean_utilization =
            sampled > 0 ? used_ms_ / sampled / total_accelerators_ : 0;
        return std::move(result_);
    }

private:
    enum class event_kind
    {
        arrival,
        finish,
        stopped,
        wake,
    };

    struct event
    {
        time_point at;
        // Order of events at the same time.
        std::uint64_t order;
        event_kind kind;
        std::size_t job;
        // The event is ignored if the job is in a later attempt.
        int attempt;

        bool operator>(const event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    struct run_state
    {
        // Run time that earlier attempts saved in checkpoints.
        milliseconds progress{0};
        time_point started = no_deadline;
        int attempt = 0;
        bool stopping = false;
        bool checkpoint = false;
    };

    void push(time_point at, event_kind kind, std::size_t job)
    {
        events_.push(
            {at, order_++, kind, job, runs_.empty() ? 0 : runs_[job].attempt});
    }

    // Handles all events of one point in time, then calls `decide` once.
    void step()
    {
        const time_point now = events_.top().at;
        sample(now);
        while (!events_.empty() && events_.top().at == now)
        {
            const event next = events_.top();
            events_.pop();
            handle(next, now);
        }
        decide(now);
    }

    void handle(const event& next, time_point now)
    {
        switch (next.kind)
        {
        case event_kind::arrival:
            if (policy_.submit(jobs_[next.job].item, now))
            {
                result_.jobs[next.job].refused = true;
            }
            break;
        case event_kind::finish:
            finish(next, now);
            break;
        case event_kind::stopped:
            stopped(next, now);
            break;
        case event_kind::wake:
            next_wake_ = no_deadline;
            break;
        }
    }

    void finish(const event& next, time_point now)
    {
        auto& run = runs_[next.job];
        if (run.attempt != next.attempt)
        {
            return;
        }
        ++run.attempt;
        result_.jobs[next.job].ended = now;
        policy_.on_ended(job_id(jobs_[next.job].item.request), true, now);
    }

    void stopped(const event& next, time_point now)
    {
        auto& run = runs_[next.job];
        if (run.attempt != next.attempt)
        {
            return;
        }
        ++run.attempt;
        if (run.checkpoint)
        {
            run.progress += now - run.started;
        }
        run.stopping = false;
        policy_.requeue(job_id(jobs_[next.job].item.request), "", now);
    }

    void decide(time_point now)
    {
        const auto before = std::chrono::steady_clock::now();
        const auto decisions = policy_.decide(now);
        const std::chrono::duration<double, std::micro> spent =
            std::chrono::steady_clock::now() - before;
        result_.decide_us.push_back(spent.count());
        for (const auto& item : decisions)
        {
            apply(item, now);
        }
        const time_point wake =
            std::max(policy_.next_wake(), now + milliseconds(1));
        const bool more = !events_.empty();
        if (wake < next_wake_ && policy_.next_wake() != no_deadline && more)
        {
            next_wake_ = wake;
            push(wake, event_kind::wake, 0);
        }
    }

    void apply(const decision& item, time_point now)
    {
        const auto found = index_.find(item.job_id);
        if (found == index_.end())
        {
            return;
        }
        const std::size_t job = found->second;
        switch (item.kind)
        {
        case decision_kind::place:
            start(job, now);
            break;
        case decision_kind::preempt:
            stop(job, item, now);
            break;
        case decision_kind::refuse:
            result_.jobs[job].refused = true;
            break;
        }
    }

    void start(std::size_t job, time_point now)
    {
        auto& run = runs_[job];
        auto& entry = result_.jobs[job];
        run.started = now;
        entry.first_start = std::min(entry.first_start, now);
        policy_.on_started(job_id(jobs_[job].item.request), now);
        const auto left = jobs_[job].true_run - run.progress;
        push(now + std::max(left, milliseconds(1)), event_kind::finish, job);
    }

    void stop(std::size_t job, const decision& item, time_point now)
    {
        auto& run = runs_[job];
        if (run.stopping)
        {
            return;
        }
        run.stopping = true;
        run.checkpoint = item.checkpoint && jobs_[job].item.can_checkpoint;
        ++result_.jobs[job].preemptions;
        const time_point end =
            run.checkpoint
                ? std::min(now + jobs_[job].item.checkpoint_time, item.deadline)
                : now;
        push(end, event_kind::stopped, job);
    }

    // Adds the time since the last event to the sums.
    void sample(time_point now)
    {
        if (options_.sampled_shape == 0)
        {
            return;
        }
        const bool counted = now > options_.sample_from && now <= last_arrival_;
        if (counted)
        {
            const auto span = static_cast<double>((now - last_sample_).count());
            used_ms_ += span * (total_accelerators_ - free_accelerators_);
            (open_ ? open_ms_ : closed_ms_) += span;
        }
        last_sample_ = now;
        open_ = policy_.largest_open_shape() >= options_.sampled_shape;
        free_accelerators_ = policy_.free_accelerators();
    }

    const std::vector<trace_job>& jobs_;
    Policy policy_;
    replay_options options_;
    std::map<std::string, std::size_t, std::less<>> index_;
    std::vector<run_state> runs_;
    replay_result result_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    time_point next_wake_ = no_deadline;
    time_point last_arrival_ = time_point{};
    time_point last_sample_ = time_point{};
    // True if a job of `sampled_shape` could start after the last event.
    bool open_ = true;
    int free_accelerators_ = 0;
    int total_accelerators_ = 0;
    // Sampled time in which such a job could start, and could not.
    double open_ms_ = 0;
    double closed_ms_ = 0;
    // Accelerators in use, summed over the sampled milliseconds.
    double used_ms_ = 0;
};

} // namespace poplarramp

#endif
