#include "control/controller.hpp"

#include "base/log.hpp"
#include "control/config_change.hpp"
#include "control/config_edit.hpp"
#include "control/config_sync.hpp"
#include "control/control_context.hpp"
#include "control/heartbeats.hpp"
#include "control/job_store.hpp"
#include "control/job_tracker.hpp"
#include "control/submission.hpp"
#include "control/zone_calls.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace poplarramp
{

namespace
{

// Long enough after the start to receive a heartbeat from every entry VM of the
// availability zone.
constexpr milliseconds startup_grace_period{1500};

constexpr milliseconds job_done_timeout{1000};

// A cancellation returns the outcome of the job if it ends within this time.
constexpr milliseconds cancel_wait{5000};

// Random delay, so that entry VMs do not all take over a closing at once.
constexpr std::uint64_t takeover_jitter_ms = 2000;
constexpr milliseconds closing_takeover_interval{1000};

// A code that means "not run" would be taken for the outcome of the job, which
// a failed read leaves unknown.
failure read_failure_for_caller(const failure& error)
{
    if (is_not_run(error.code))
    {
        return {result_code::circuit_open, error.reason};
    }
    return error;
}

failure job_not_found()
{
    return {result_code::not_found, "no job was accepted under this key"};
}

} // namespace

struct controller::state : std::enable_shared_from_this<controller::state>
{
    state(const controller_settings& settings, const controller_hooks& hooks)
        : context{settings,
                  hooks,
                  membership(settings.vm,
                             settings.zone,
                             settings.address,
                             hooks.now() + startup_grace_period),
                  {},
                  {},
                  {}}
    {
    }

    void start();
    zone_scheduler_hooks scheduler_hooks();
    job_tracker_hooks make_job_tracker_hooks();
    config_change_hooks change_hooks();

    void apply_view();
    void update_scheduler_role();
    void on_job_ended(const job& item);

    void read_job(const std::string& customer,
                  const std::string& key,
                  const waiting_caller& caller,
                  bool cancel);
    void on_job_row(const std::string& id,
                    const job_read_reply& row,
                    const waiting_caller& caller,
                    bool cancel);

    void start_change(config_edit edit, std::function<void(change_reply)> done);
    void take_over_closings();
    void tick_changes();

    void check_stopped();

    control_context context;
    std::shared_ptr<heartbeats> heartbeat_exchange;
    std::shared_ptr<config_sync> sync;
    std::shared_ptr<zone_calls> zones;
    std::shared_ptr<job_store> jobs;
    std::shared_ptr<job_tracker> tracker;
    std::shared_ptr<submission> submissions;
    std::vector<std::shared_ptr<config_change>> changes;
    time_point next_closing_takeover{};
    milliseconds takeover_delay{closing_takeover_delay};
    int changes_in_progress = 0;
    int reads_in_progress = 0;
    bool stopping = false;
    bool scheduler_released = false;
    time_point stop_deadline = no_deadline;
    std::function<void()> stopped;
};

void controller::state::start()
{
    const auto weak = weak_from_this();
    context.on_view_changed = [weak]
    {
        if (const auto self = weak.lock())
        {
            self->apply_view();
        }
    };
    auto hooks = scheduler_hooks();
    context.scheduler = context.hooks.make_scheduler
                            ? context.hooks.make_scheduler(std::move(hooks))
                            : make_local_scheduler(context.settings.vm,
                                                   context.settings.zone,
                                                   std::move(hooks));
    sync = std::make_shared<config_sync>(context);
    heartbeat_exchange = std::make_shared<heartbeats>(
        context,
        [weak](const heartbeat& message, time_point valid_at)
        {
            if (const auto self = weak.lock())
            {
                self->sync->on_peer_heartbeat(message, valid_at);
            }
        });
    zones = std::make_shared<zone_calls>(context);
    jobs = std::make_shared<job_store>(job_store_hooks{
        context.hooks.store, context.hooks.now, context.hooks.clock});
    tracker = std::make_shared<job_tracker>(make_job_tracker_hooks(),
                                            context.settings.max_waiting);
    submissions = std::make_shared<submission>(context, jobs, tracker, zones);
    takeover_delay += milliseconds(context.hooks.random() % takeover_jitter_ms);
    apply_view();
}

zone_scheduler_hooks controller::state::scheduler_hooks()
{
    const auto weak = weak_from_this();
    zone_scheduler_hooks hooks;
    hooks.store = context.hooks.store;
    hooks.backend = context.hooks.backend;
    hooks.now = context.hooks.now;
    hooks.clock = context.hooks.clock;
    hooks.config_confirmed_at = [weak]
    {
        const auto self = weak.lock();
        return self ? self->context.view.confirmed_at() : time_point{};
    };
    hooks.on_job_ended = [weak](const job& item)
    {
        if (const auto self = weak.lock())
        {
            self->on_job_ended(item);
        }
    };
    return hooks;
}

job_tracker_hooks controller::state::make_job_tracker_hooks()
{
    job_tracker_hooks hooks;
    hooks.now = context.hooks.now;
    hooks.objects = context.hooks.objects;
    hooks.scheduler_of = [this](const std::string& zone)
    {
        return context.members.scheduler_of(zone, context.now());
    };
    hooks.enqueue = [this](const scheduler_location& location,
                           const job& item,
                           std::function<void(failure)> done)
    {
        zones->enqueue(location, item, std::move(done));
    };
    hooks.cancel = [this](const scheduler_location& location,
                          const std::string& id,
                          std::function<void(failure)> done)
    {
        zones->cancel(location, id, std::move(done));
    };
    hooks.job_status = [this](const scheduler_location& location,
                              const std::string& id,
                              std::function<void(job_status_reply)> done)
    {
        zones->job_status(location, id, std::move(done));
    };
    hooks.read_row =
        [this](const std::string& id, std::function<void(job_read_reply)> done)
    {
        jobs->read(id, std::move(done));
    };
    hooks.end_unstarted = [this](const std::string& id,
                                 const job_outcome& outcome,
                                 std::function<void(job_read_reply)> done)
    {
        jobs->end_unstarted(id, outcome, std::move(done));
    };
    return hooks;
}

config_change_hooks controller::state::change_hooks()
{
    config_change_hooks hooks;
    hooks.store = context.hooks.store;
    hooks.peers = context.hooks.peers;
    hooks.now = context.hooks.now;
    hooks.random = context.hooks.random;
    hooks.view = &context.view;
    hooks.members = &context.members;
    hooks.vm = context.settings.vm;
    hooks.on_view_changed = context.on_view_changed;
    return hooks;
}

// Passes the view of the configuration to the scheduler even if that is not
// active, so that it never becomes active with a stale view.
void controller::state::apply_view()
{
    context.scheduler.set_configuration(
        context.view.current(), context.view.is_open(context.settings.zone));
}

// Activates or deactivates the local scheduler according to the membership.
void controller::state::update_scheduler_role()
{
    const auto location =
        context.members.scheduler_of(context.settings.zone, context.now());
    const bool should_schedule =
        location && location->vm == context.settings.vm;
    if (should_schedule == context.scheduler.active())
    {
        return;
    }
    log_line(log_level::info,
             "sched",
             should_schedule ? "This VM becomes the scheduler."
                             : "This VM is no longer the scheduler.",
             {{"zone", context.settings.zone}});
    if (should_schedule)
    {
        context.scheduler.activate();
    }
    else
    {
        context.scheduler.deactivate([] {});
    }
}

void controller::state::on_job_ended(const job& item)
{
    if (context.hooks.on_job_ended)
    {
        context.hooks.on_job_ended(item);
    }
    const auto id = job_id(item.request);
    tracker->on_ended(id, item.outcome);
    if (item.origin_vm == context.settings.vm)
    {
        return;
    }
    for (const auto& peer : context.members.peers())
    {
        if (peer.id == item.origin_vm && !peer.address.empty())
        {
            // The peer also polls, so a lost message is harmless.
            context.hooks.peers.job_done(peer.address,
                                         id,
                                         item.outcome,
                                         context.now() + job_done_timeout,
                                         [](const failure&) {});
        }
    }
}

void controller::state::read_job(const std::string& customer,
                                 const std::string& key,
                                 const waiting_caller& caller,
                                 bool cancel)
{
    const auto id = customer + "/" + key;
    if (const auto* known = tracker->find(id))
    {
        tracker->track({{}, *known, false, true}, caller, cancel);
        return;
    }
    ++reads_in_progress;
    jobs->read(
        id,
        [weak = weak_from_this(), id, caller, cancel](const job_read_reply& row)
        {
            if (const auto self = weak.lock())
            {
                --self->reads_in_progress;
                self->on_job_row(id, row, caller, cancel);
            }
        });
}

void controller::state::on_job_row(const std::string& id,
                                   const job_read_reply& row,
                                   const waiting_caller& caller,
                                   bool cancel)
{
    job_reply reply;
    if (row.error)
    {
        reply.error = read_failure_for_caller(row.error);
        caller.done(std::move(reply));
        return;
    }
    if (!row.item)
    {
        reply.error = job_not_found();
        caller.done(std::move(reply));
        return;
    }
    const bool ended = is_final(row.item->outcome.state);
    if (!ended && tracker->find(id) == nullptr && tracker->full())
    {
        reply.error = {result_code::pending,
                       "too many callers wait at this entry VM"};
        reply.item = *row.item;
        caller.done(std::move(reply));
        return;
    }
    tracker->track({{}, *row.item, false, true}, caller, cancel && !ended);
}

void controller::state::start_change(config_edit edit,
                                     std::function<void(change_reply)> done)
{
    ++changes_in_progress;
    auto change = std::make_shared<config_change>(
        change_hooks(),
        std::move(edit),
        [weak = weak_from_this(), done = std::move(done)](change_reply reply)
        {
            if (const auto self = weak.lock())
            {
                --self->changes_in_progress;
            }
            done(std::move(reply));
        });
    changes.push_back(change);
    change->start();
}

// Makes closings durable that the entry VM of their operator has not written,
// because the table was unavailable or the VM failed.
void controller::state::take_over_closings()
{
    const auto now = context.now();
    if (now < next_closing_takeover || !sync->table_available() ||
        !changes.empty())
    {
        return;
    }
    next_closing_takeover = now + closing_takeover_interval;
    const auto overdue =
        context.view.closings_known_before(now - takeover_delay);
    if (overdue.empty())
    {
        return;
    }
    start_change(closings_edit(overdue.front()), [](const change_reply&) {});
}

void controller::state::tick_changes()
{
    const auto running = changes;
    for (const auto& change : running)
    {
        if (!change->finished())
        {
            change->tick();
        }
    }
    std::erase_if(changes,
                  [](const auto& change) { return change->finished(); });
}

void controller::state::check_stopped()
{
    if (!stopping || !stopped)
    {
        return;
    }
    const bool idle = scheduler_released && tracker->size() == 0 &&
                      submissions->pending_requests() == 0 &&
                      changes_in_progress == 0 && reads_in_progress == 0;
    if (!idle && context.now() < stop_deadline)
    {
        return;
    }
    tracker->reply_to_all();
    const auto done = std::exchange(stopped, nullptr);
    done();
}

controller::controller(const controller_settings& settings,
                       const controller_hooks& hooks)
    : state_(std::make_shared<state>(settings, hooks))
{
    state_->start();
}

controller::~controller() = default;

void controller::submit(const job_request& request,
                        time_point wait_until,
                        std::function<void(job_reply)> done)
{
    state_->submissions->submit(request, {wait_until, std::move(done)});
}

void controller::get_job(const std::string& customer,
                         const std::string& key,
                         time_point wait_until,
                         std::function<void(job_reply)> done)
{
    state_->read_job(customer, key, {wait_until, std::move(done)}, false);
}

void controller::cancel_job(const std::string& customer,
                            const std::string& key,
                            std::function<void(job_reply)> done)
{
    const auto wait_until = state_->context.now() + cancel_wait;
    state_->read_job(customer, key, {wait_until, std::move(done)}, true);
}

void controller::apply_sheet(capacity_sheet sheet,
                             std::uint64_t expected_version,
                             std::string changed_by,
                             std::function<void(change_reply)> done)
{
    state_->start_change(
        sheet_edit(std::move(sheet), expected_version, std::move(changed_by)),
        std::move(done));
}

void controller::set_zone(const std::string& zone,
                          zone_state target,
                          std::string changed_by,
                          std::function<void(change_reply)> done)
{
    const auto& current = state_->context.view.current();
    // Avoids sending a closing for an availability zone that does not exist.
    if (find_zone(current.sheet, zone) == nullptr)
    {
        change_reply reply;
        reply.error = unknown_zone(zone);
        reply.version = current.version;
        done(std::move(reply));
        return;
    }
    state_->start_change(zone_edit(zone, target, std::move(changed_by)),
                         std::move(done));
}

const configuration& controller::config() const
{
    return state_->context.view.current();
}

std::vector<vm_row> controller::vms() const
{
    const auto& context = state_->context;
    std::vector<vm_row> rows;
    rows.push_back({context.settings.vm,
                    context.settings.zone,
                    context.settings.address,
                    context.members.leaving() ? "leaving" : "live",
                    context.view.current().version});
    for (const auto& peer : context.members.peers())
    {
        const auto current_state =
            context.members.state_of(peer, context.now());
        rows.push_back({peer.id,
                        peer.zone,
                        peer.address,
                        std::string(name_of(current_state)),
                        peer.config_version});
    }
    return rows;
}

void controller::zone_statuses(
    std::function<void(std::vector<zone_status>)> done)
{
    std::vector<std::string> names;
    for (const auto& zone : state_->context.view.current().sheet.zones)
    {
        names.push_back(zone.name);
    }
    state_->zones->statuses(names, std::move(done));
}

peer_handlers controller::handlers()
{
    auto* const self = state_.get();
    peer_handlers result;
    result.on_heartbeat = [self](const heartbeat& message)
    {
        return self->heartbeat_exchange->on_heartbeat(message);
    };
    result.on_get_config = [self]
    {
        return config_reply{{}, self->context.view.current()};
    };
    result.on_put_config = [self](const configuration& config)
    {
        return self->sync->on_put_config(config);
    };
    result.on_close_zone = [self](const provisional_closing& closing)
    {
        if (self->context.view.add_closing(closing, self->context.now()))
        {
            self->apply_view();
        }
        return failure{};
    };
    result.on_enqueue = [self](const job& item)
    {
        return self->zones->enqueue_here(item);
    };
    result.on_cancel = [self](const std::string& id)
    {
        return self->zones->cancel_here(id);
    };
    result.on_job_status = [self](const std::string& id)
    {
        return self->zones->job_status_here(id);
    };
    result.on_job_done =
        [self](const std::string& id, const job_outcome& outcome)
    {
        self->tracker->on_ended(id, outcome);
        return failure{};
    };
    result.on_status = [self]
    {
        return self->zones->status_here();
    };
    return result;
}

void controller::tick()
{
    const auto keep_alive = state_;
    keep_alive->heartbeat_exchange->tick();
    keep_alive->sync->tick();
    keep_alive->update_scheduler_role();
    keep_alive->context.scheduler.tick();
    keep_alive->jobs->tick();
    keep_alive->tracker->tick();
    keep_alive->take_over_closings();
    keep_alive->tick_changes();
    keep_alive->check_stopped();
}

void controller::begin_stop(std::function<void()> stopped)
{
    const auto keep_alive = state_;
    if (keep_alive->stopping)
    {
        return;
    }
    log_line(log_level::info, "entry", "This VM is stopping.");
    keep_alive->stopping = true;
    keep_alive->stopped = std::move(stopped);
    keep_alive->stop_deadline =
        keep_alive->context.now() + keep_alive->context.settings.stop_timeout;
    keep_alive->submissions->stop();
    keep_alive->context.members.set_leaving();
    keep_alive->heartbeat_exchange->send_to_all();
    keep_alive->context.scheduler.deactivate(
        [weak = std::weak_ptr(keep_alive)]
        {
            if (const auto self = weak.lock())
            {
                self->scheduler_released = true;
            }
        });
}

} // namespace poplarramp
