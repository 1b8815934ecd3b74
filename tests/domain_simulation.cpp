#include "domain_simulation.hpp"

#include "model/codec.hpp"

#include <algorithm>
#include <utility>

namespace poplarramp::fakes
{

namespace
{

constexpr std::int64_t tick_ms = 5;
constexpr std::int64_t lost_reply_timeout_ms = 700;
constexpr std::int64_t stop_duration_ms = 200;
constexpr std::int64_t max_lease_ms = 6000;
// The entry of a silent server expires after three missed heartbeats.
constexpr std::int64_t entry_expiry_ms = 4500;

// A capacity that has shrunk counts only this much later: the least time of the
// users' sites in which a change takes effect, and one heartbeat.
constexpr std::int64_t capacity_delay_ms = 5500;

constexpr std::int64_t new_run_age_ms = 1000;

// Limits of a transaction of the store.
constexpr std::size_t max_call_bytes = 1'000'000;
constexpr std::size_t max_call_entries = 100;

// A task under which this many servers have crashed may be started so many
// times more.
constexpr int crashes_before_limit = 3;
constexpr int max_starts_after_crashes = 2;

// Sends a call over a link: `handle` runs at the receiver, then `done` at the
// caller, with a null pointer if the reply is lost.
template <class Reply>
void send_over_link(domain_simulation& sim,
                    const link_faults& link,
                    bool receiver_down,
                    time_point deadline,
                    const std::function<Reply()>& handle,
                    const std::function<void(const Reply*)>& done)
{
    const auto delay = link.delay.count();
    const auto late = link.execution_delay.count();
    if (link.partitioned || receiver_down)
    {
        const auto when = std::min(deadline.time_since_epoch().count(),
                                   sim.now + lost_reply_timeout_ms);
        sim.at(when, [done] { done(nullptr); });
        return;
    }
    if (late > 0)
    {
        sim.at(sim.now + late, [handle] { handle(); });
        sim.at(sim.now + lost_reply_timeout_ms, [done] { done(nullptr); });
        return;
    }
    std::bernoulli_distribution loss(link.reply_loss_rate);
    const bool lost = loss(sim.random);
    sim.at(sim.now + delay,
           [&sim, handle, done, delay, lost]
           {
               const auto reply = handle();
               const auto when =
                   sim.now + (lost ? lost_reply_timeout_ms : delay);
               sim.at(when,
                      [done, reply, lost] { done(lost ? nullptr : &reply); });
           });
}

} // namespace

// Server.

void fake_server::end(domain_simulation& sim,
                      const run_id& run,
                      run_outcome outcome)
{
    const auto found = active.find(run);
    if (found == active.end())
    {
        return;
    }
    sim.on_end(found->second, outcome);
    if (outcome == run_outcome::failed)
    {
        sim.budget.on_failed(run, sim.now);
    }
    active.erase(found);
    ended.push_back({++last_end_number, run, outcome});
    highest_attempt[run.task] =
        std::max(highest_attempt[run.task], run.attempt);
}

void fake_server::resize(domain_simulation& sim, const resources& capacity)
{
    earlier_capacity = entry.capacity;
    earlier_capacity_until = sim.now + capacity_delay_ms;
    entry.capacity = capacity;
    if (up)
    {
        sim.put_server(*this);
    }
}

const resources& fake_server::capacity_limit(std::int64_t now) const
{
    const bool earlier_counts = earlier_capacity &&
                                now < earlier_capacity_until &&
                                earlier_capacity->covers(entry.capacity);
    return earlier_counts ? *earlier_capacity : entry.capacity;
}

void fake_server::restart(std::int64_t now)
{
    up = true;
    active.clear();
    ended.clear();
    highest_attempt.clear();
    last_end_number = 0;
    epoch = 0;
    lease_until = 0;
    entry.incarnation = now;
    clock_start = now;
    earlier_capacity.reset();
}

void fake_server::advance(domain_simulation& sim)
{
    if (!up)
    {
        return;
    }
    const auto now = sim.now;
    for (auto& item : ended)
    {
        item.lapsed = item.lapsed || clock(now) > lease_until;
    }
    std::vector<std::pair<run_id, run_outcome>> ends;
    for (const auto& [run, item] : active)
    {
        const bool finished = !hangs && now >= item.ends_at;
        const auto outcome = clock(now) > lease_until
                                 ? run_outcome::lease_expired
                             : item.stops_at ? run_outcome::stopped
                             : fails_all || sim.failing_tasks.contains(run.task)
                                 ? run_outcome::failed
                                 : run_outcome::done;
        if (outcome == run_outcome::lease_expired ||
            (item.stops_at && now >= *item.stops_at) ||
            (!item.stops_at && finished))
        {
            ends.emplace_back(run, outcome);
        }
    }
    for (const auto& [run, outcome] : ends)
    {
        end(sim, run, outcome);
    }
    for (const auto& [run, outcome] : ends)
    {
        if (outcome == run_outcome::failed &&
            sim.failing_tasks.contains(run.task))
        {
            sim.break_gangs({run});
        }
    }
}

// A server shortens a lease that is longer than its maximum, as of an order for
// an earlier incarnation, whose clock was ahead.
void fake_server::extend_lease(server_clock until, server_clock at)
{
    lease_until = std::max(lease_until, std::min(until, at + max_lease_ms));
}

bool fake_server::fenced(const server_target& to)
{
    if (to.epoch < epoch)
    {
        return true;
    }
    epoch = to.epoch;
    return false;
}

order_reply fake_server::start(domain_simulation& sim,
                               const server_target& to,
                               const start_order& order)
{
    ++sim.start_orders;
    order_reply reply;
    reply.clock = clock(sim.now);
    if (fenced(to))
    {
        reply.outcome = order_outcome::fenced;
        return reply;
    }
    if (order.lease_until <= clock(sim.now))
    {
        reply.outcome = order_outcome::lease_expired;
        return reply;
    }
    extend_lease(order.lease_until, clock(sim.now));
    reply.outcome = order_outcome::done;
    if (active.contains(order.run))
    {
        return reply;
    }
    const auto found = highest_attempt.find(order.run.task);
    if (found != highest_attempt.end() && order.run.attempt <= found->second)
    {
        reply.outcome = order_outcome::superseded;
        return reply;
    }
    sim.on_start(*this, order.run);
    const auto of_job = sim.task_times.find(order.run.task.job);
    const auto fails = sim.failing_tasks.find(order.run.task);
    const auto run_time = fails != sim.failing_tasks.end() ? fails->second
                          : of_job == sim.task_times.end() ? task_time
                                                           : of_job->second;
    active[order.run] = {order.run,
                         sim.now + run_time.count(),
                         sim.now,
                         order.checkpoint,
                         std::nullopt,
                         0};
    sim.check_capacity(*this);
    sim.check_limit(active[order.run]);
    sim.crash_if_due(*this, order.run);
    return reply;
}

order_reply fake_server::stop(domain_simulation& sim,
                              const server_target& to,
                              const run_id& run)
{
    order_reply reply;
    reply.clock = clock(sim.now);
    reply.outcome = order_outcome::done;
    if (fenced(to))
    {
        ++sim.fenced_stops;
        reply.outcome = order_outcome::fenced;
        return reply;
    }
    const auto found = active.find(run);
    if (found == active.end())
    {
        highest_attempt[run.task] =
            std::max(highest_attempt[run.task], run.attempt);
    }
    else if (!found->second.stops_at)
    {
        found->second.stops_at = sim.now + stop_duration_ms;
    }
    return reply;
}

renewal_reply fake_server::renew(domain_simulation& sim,
                                 const server_target& to,
                                 const renew_order& order)
{
    renewal_reply reply;
    reply.order.clock = clock(sim.now);
    reply.incarnation = entry.incarnation;
    if (fenced(to))
    {
        reply.order.outcome = order_outcome::fenced;
        return reply;
    }
    reply.order.outcome = order_outcome::done;
    if (order.lease_until)
    {
        extend_lease(*order.lease_until, clock(sim.now));
    }
    for (const auto& item : ended)
    {
        if (item.number > order.acknowledged_end)
        {
            continue;
        }
        if (item.outcome == run_outcome::done)
        {
            sim.acknowledged_done.insert(item.run.task);
        }
        if (item.outcome == run_outcome::failed && !item.lapsed)
        {
            sim.budget.on_noted(sim, item.run);
        }
    }
    std::erase_if(ended,
                  [&order](const fake_run_end& item)
                  { return item.number <= order.acknowledged_end; });
    for (const auto& [run, item] : active)
    {
        const auto percent =
            (sim.now - item.started_at) * 100 /
            std::max<std::int64_t>(1, item.ends_at - item.started_at);
        reply.active.push_back(
            {run, "", static_cast<int>(std::min<std::int64_t>(percent, 99))});
    }
    for (const auto& item : ended)
    {
        reply.ended.push_back({item.number, item.run, item.outcome, ""});
    }
    return reply;
}

// VM.

fake_vm::fake_vm(domain_simulation& owner, std::string vm_name)
    : sim(owner), name(std::move(vm_name))
{
    rows.operator_prefix = "op/";
    rows.server_prefix = "servers/";
    rows.decode_operator_row = [this](const table_row& row,
                                      failure&) -> std::optional<operator_row>
    {
        if (row.key == "op/config")
        {
            auto row_config = sim.config;
            row_config.version = std::stoull(row.value);
            return row_config;
        }
        return zone_evacuation{row.value};
    };
    rows.decode_server_row =
        [this](const table_row& row,
               failure& why) -> std::optional<server_registration>
    {
        const auto found = sim.servers.find(row.value);
        if (found == sim.servers.end())
        {
            why = {result_code::bad_request, "no such server"};
            return std::nullopt;
        }
        return found->second.entry;
    };
    start();
}

void fake_vm::kill()
{
    up = false;
    ++vm_incarnation;
    scheduler.reset();
    relayed.reset();
    relay.reset();
    api.reset();
    leader.reset();
    job_rows.reset();
    operator_rows.reset();
    jobs.reset();
    deployment.reset();
}

void fake_vm::start()
{
    up = true;
    deployment = std::make_unique<deployment_view>(rows);
    jobs = std::make_unique<job_directory>();
    auto operator_row_hooks = watcher_hooks();
    operator_row_hooks.on_all = [this](const std::vector<table_row>& all)
    {
        deployment->load(all);
    };
    operator_row_hooks.on_change = [this](const table_row_change& change)
    {
        deployment->apply(change);
    };
    operator_rows = std::make_unique<row_watcher>(
        row_watcher_settings{"op/", milliseconds(200), milliseconds(0)},
        operator_row_hooks);
    auto job_hooks = watcher_hooks();
    job_hooks.on_all = [this](const std::vector<table_row>& all)
    {
        jobs->load(all);
        if (scheduler)
        {
            scheduler->on_jobs_loaded();
        }
    };
    job_hooks.on_change = [this](const table_row_change& change)
    {
        on_row(change);
    };
    job_rows = std::make_unique<row_watcher>(
        row_watcher_settings{
            job_rows_prefix, milliseconds(200), milliseconds(0)},
        job_hooks);
    start_relay();
    start_leadership();
    start_job_api();
}

void fake_vm::start_leadership()
{
    leadership_hooks hooks;
    hooks.store = make_store();
    hooks.now = watcher_hooks().now;
    hooks.boot_now = watcher_hooks().boot_now;
    hooks.random = [this]
    {
        return sim.random();
    };
    hooks.on_elected = [this](std::uint64_t)
    {
        on_elected();
    };
    hooks.on_leadership_lost = [this](const std::string&)
    {
        scheduler.reset();
        relayed.reset();
    };
    leader = std::make_unique<leadership>(
        leadership_settings{name, sim.random(), processor_share}, hooks);
}

void fake_vm::start_job_api()
{
    job_api_hooks hooks;
    hooks.store = make_store();
    hooks.now = watcher_hooks().now;
    hooks.boot_now = watcher_hooks().boot_now;
    hooks.unix_now = [this]
    {
        return sim.now;
    };
    hooks.deployment_confirmed = [this]
    {
        return operator_rows->confirmed_at();
    };
    hooks.jobs_confirmed = [this]
    {
        return job_rows->confirmed_at();
    };
    hooks.on_row = [this](const table_row_change& change)
    {
        on_row(change);
    };
    api = std::make_unique<job_api>(
        job_api_settings{}, hooks, *deployment, *jobs);
}

void fake_vm::on_row(const table_row_change& change)
{
    const auto id = jobs->apply(change);
    if (id && scheduler)
    {
        scheduler->on_job_changed(*id);
    }
}

void fake_vm::on_elected()
{
    dispatcher_hooks hooks;
    hooks.store = make_store();
    hooks.servers = sim.use_relays ? make_relayed_servers() : make_servers();
    hooks.rows = rows;
    hooks.now = watcher_hooks().now;
    hooks.boot_now = watcher_hooks().boot_now;
    hooks.unix_now = [this]
    {
        return sim.now;
    };
    hooks.random = [this]
    {
        return sim.random();
    };
    hooks.post = [this](std::function<void()> action)
    {
        sim.at(sim.now,
               [this,
                action = std::move(action),
                sender_incarnation = vm_incarnation]
               {
                   if (sender_incarnation == vm_incarnation)
                   {
                       action();
                   }
               });
    };
    hooks.deployment_confirmed = [this]
    {
        return operator_rows->confirmed_at();
    };
    hooks.jobs_confirmed = [this]
    {
        return job_rows->confirmed_at();
    };
    hooks.on_written = [this](const table_row_change& change)
    {
        on_row(change);
    };
    hooks.count = [](const std::string&, double) {
    };
    hooks.record = [](const std::string&, milliseconds) {
    };
    dispatcher_settings settings;
    settings.max_lease = milliseconds(max_lease_ms);
    settings.learn_speeds = sim.learn_speeds;
    scheduler = std::make_shared<dispatcher>(
        settings, hooks, *leader, *deployment, *jobs);
}

void fake_vm::tick()
{
    if (!up || frozen)
    {
        return;
    }
    operator_rows->tick();
    job_rows->tick();
    leader->tick();
    api->tick();
    relay->tick();
    if (const auto current = relayed)
    {
        current->tick();
    }
    if (const auto current = scheduler)
    {
        current->tick();
    }
}

row_watcher_hooks fake_vm::watcher_hooks()
{
    row_watcher_hooks hooks;
    hooks.store = make_store();
    hooks.now = [this]
    {
        return time_point(milliseconds(sim.now) - frozen_for);
    };
    hooks.boot_now = [this]
    {
        return boot_time(milliseconds(sim.now));
    };
    hooks.random = [this]
    {
        return sim.random();
    };
    return hooks;
}

namespace
{

// Runs `action` once the VM is not frozen; drops it if the VM has restarted
// since the call.
void deliver(fake_vm& vm,
             std::uint64_t sender_incarnation,
             std::function<void()> action)
{
    if (sender_incarnation != vm.vm_incarnation || !vm.up)
    {
        return;
    }
    if (vm.frozen)
    {
        vm.sim.at(vm.sim.now + tick_ms,
                  [&vm, sender_incarnation, action = std::move(action)]
                  { deliver(vm, sender_incarnation, action); });
        return;
    }
    action();
}

// Calls the store; a lost reply arrives as the error `answer_lost`.
template <class Reply, class Handle>
void call_store(fake_vm& vm,
                time_point deadline,
                Handle handle,
                std::function<void(Reply)> done)
{
    send_over_link<Reply>(
        vm.sim,
        vm.store_link,
        vm.sim.store_down,
        deadline,
        handle,
        [&vm, sender_incarnation = vm.vm_incarnation, done](const Reply* reply)
        {
            Reply lost;
            lost.error = {result_code::answer_lost, "no reply"};
            deliver(vm,
                    sender_incarnation,
                    [done, reply = reply == nullptr ? lost : *reply]
                    { done(reply); });
        });
}

} // namespace

table fake_vm::make_store()
{
    table store;
    store.read = [this](const std::string& key,
                        time_point deadline,
                        std::function<void(table_read_reply)> done)
    {
        call_store<table_read_reply>(
            *this,
            deadline,
            [this, key]
            {
                table_read_reply reply;
                const auto found = sim.stored_rows.find(key);
                if (found != sim.stored_rows.end())
                {
                    reply.row = found->second;
                }
                return reply;
            },
            std::move(done));
    };
    store.scan = [this](const std::string& prefix,
                        const std::string& /*after*/,
                        int /*limit*/,
                        time_point deadline,
                        std::function<void(table_scan_reply)> done)
    {
        call_store<table_scan_reply>(
            *this,
            deadline,
            [this, prefix]
            {
                table_scan_reply reply;
                reply.version = sim.version;
                for (const auto& [key, row] : sim.stored_rows)
                {
                    if (key.starts_with(prefix))
                    {
                        reply.rows.push_back(row);
                    }
                }
                return reply;
            },
            std::move(done));
    };
    add_writes(store);
    return store;
}

void fake_vm::add_writes(table& store)
{
    store.transact =
        [this](const table_transaction& change,
               time_point deadline,
               const std::function<void(table_transact_reply)>& done)
    {
        sim.at(
            sim.now + store_link.write_delay.count(),
            [this, change, deadline, sender_incarnation = vm_incarnation, done]
            {
                if (sender_incarnation != vm_incarnation)
                {
                    return;
                }
                call_store<table_transact_reply>(
                    *this,
                    deadline,
                    [this, change] { return sim.apply(change); },
                    done);
            });
    };
    store.watch = [this](const std::string& prefix,
                         std::uint64_t after,
                         milliseconds wait,
                         time_point deadline,
                         const std::function<void(table_watch_reply)>& done)
    {
        // Simulates the long poll by a delay before the call is handled.
        const auto changed = !sim.changes_after(prefix, after).changes.empty();
        sim.at(sim.now + (changed ? 0 : wait.count() / 10),
               [this,
                prefix,
                after,
                deadline,
                sender_incarnation = vm_incarnation,
                done]
               {
                   if (sender_incarnation != vm_incarnation)
                   {
                       return;
                   }
                   call_store<table_watch_reply>(
                       *this,
                       deadline,
                       [this, prefix, after]
                       { return sim.changes_after(prefix, after); },
                       done);
               });
    };
}

namespace
{

order_outcome& outcome_of(order_reply& reply)
{
    return reply.outcome;
}

order_outcome& outcome_of(renewal_reply& reply)
{
    return reply.order.outcome;
}

template <class Reply, class Handle>
void call_server(fake_vm& vm,
                 const server_target& to,
                 time_point deadline,
                 Handle handle,
                 Reply lost,
                 std::function<void(Reply)> done)
{
    auto& sim = vm.sim;
    const auto found =
        std::find_if(sim.servers.begin(),
                     sim.servers.end(),
                     [&to](const auto& entry)
                     { return entry.second.entry.address == to.address; });
    const bool down = found == sim.servers.end() || !found->second.up ||
                      found->second.partitioned ||
                      (found->second.only_reachable_from != nullptr &&
                       found->second.only_reachable_from != &vm);
    if (vm.server_link.partitioned)
    {
        // No connection: the call was certainly not sent.
        outcome_of(lost) = order_outcome::not_sent;
    }
    const auto id = found == sim.servers.end() ? "" : found->first;
    const auto incarnation =
        found == sim.servers.end() ? 0 : found->second.entry.incarnation;
    auto link = vm.server_link;
    if (found != sim.servers.end() && found->second.mute)
    {
        link.reply_loss_rate = 1;
    }
    send_over_link<Reply>(
        sim,
        link,
        down,
        deadline,
        [&sim, id, incarnation, handle, lost, intended = to.id]
        {
            auto& server = sim.servers.at(id);
            server.advance(sim);
            if (server.up && id != intended)
            {
                auto refusal = lost;
                outcome_of(refusal) = order_outcome::other_incarnation;
                return refusal;
            }
            // A server that has restarted meanwhile refuses the call.
            return server.up && server.entry.incarnation == incarnation
                       ? handle(server)
                       : lost;
        },
        [&vm, sender_incarnation = vm.vm_incarnation, done, lost](
            const Reply* reply)
        {
            deliver(vm,
                    sender_incarnation,
                    [done, reply = reply == nullptr ? lost : *reply]
                    { done(reply); });
        });
}

} // namespace

server_api fake_vm::make_servers()
{
    server_api server_calls;
    server_calls.start = [this](const server_target& to,
                                const start_order& order,
                                time_point deadline,
                                std::function<void(order_reply)> done)
    {
        sim.now += time_per_start.count();
        call_server<order_reply>(
            *this,
            to,
            deadline,
            [this, to, order](fake_server& server)
            { return server.start(sim, to, order); },
            order_reply{},
            std::move(done));
    };
    server_calls.stop = [this](const server_target& to,
                               const run_id& run,
                               time_point deadline,
                               std::function<void(order_reply)> done)
    {
        call_server<order_reply>(
            *this,
            to,
            deadline,
            [this, to, run](fake_server& server)
            { return server.stop(sim, to, run); },
            order_reply{},
            std::move(done));
    };
    server_calls.renew = [this](const server_target& to,
                                const renew_order& order,
                                time_point deadline,
                                const std::function<void(renewal_reply)>& done)
    {
        const auto wait = std::min<std::int64_t>(order.wait.count(), 50);
        sim.at(sim.now + wait,
               [this,
                to,
                order,
                deadline,
                sender_incarnation = vm_incarnation,
                done]
               {
                   if (sender_incarnation != vm_incarnation)
                   {
                       return;
                   }
                   call_server<renewal_reply>(
                       *this,
                       to,
                       deadline,
                       [this, to, order](fake_server& server)
                       { return server.renew(sim, to, order); },
                       renewal_reply{},
                       done);
               });
    };
    return server_calls;
}

namespace
{

// Delivers a message to another VM; `done` is called at the sender with whether
// it was accepted.
void send_to_vm(fake_vm& from,
                const std::string& address,
                time_point deadline,
                const std::function<bool(fake_vm& receiver)>& handle,
                const std::function<void(const failure&)>& done)
{
    auto& sim = from.sim;
    const auto found = std::find_if(sim.vms.begin(),
                                    sim.vms.end(),
                                    [&address](const auto& vm)
                                    { return vm->name == address; });
    const bool down = found == sim.vms.end() || !(*found)->up ||
                      (*found)->inner_link.partitioned;
    auto* receiver = down ? nullptr : found->get();
    auto reply = std::make_shared<std::optional<bool>>();
    send_over_link<bool>(
        sim,
        from.inner_link,
        down,
        deadline,
        [receiver,
         handle,
         reply,
         incarnation = down ? 0 : receiver->vm_incarnation]
        {
            // A frozen VM reads the message when it wakes up; the sender does
            // not wait for that.
            if (receiver->frozen)
            {
                deliver(*receiver,
                        incarnation,
                        [receiver, handle] { handle(*receiver); });
                return false;
            }
            return receiver->up && receiver->vm_incarnation == incarnation &&
                   handle(*receiver);
        },
        [&from, sender_incarnation = from.vm_incarnation, done](
            const bool* accepted)
        {
            deliver(from,
                    sender_incarnation,
                    [done, ok = accepted != nullptr && *accepted] {
                        done(ok ? failure{}
                                : failure{result_code::answer_lost,
                                          "not accepted"});
                    });
        });
}

} // namespace

void fake_vm::start_relay()
{
    call_relay_hooks hooks;
    hooks.servers = make_servers();
    hooks.now = watcher_hooks().now;
    hooks.boot_now = watcher_hooks().boot_now;
    hooks.unix_now = [this]
    {
        return sim.now;
    };
    hooks.count = [](const std::string&, double) {
    };
    hooks.send = [this](const std::string& address, const relay_report& report)
    {
        send_to_vm(
            *this,
            address,
            time_point(milliseconds(sim.now) - frozen_for + milliseconds(600)),
            [request = make_relay_request(report)](fake_vm& receiver)
            {
                const auto current = receiver.relayed;
                return !handle_relay_request(request, *receiver.relay, current);
            },
            [](const failure&) {});
    };
    relay = std::make_shared<call_relay>(name, std::move(hooks));
}

server_api fake_vm::make_relayed_servers()
{
    relayed_servers_hooks hooks;
    hooks.direct = make_servers();
    hooks.now = watcher_hooks().now;
    hooks.unix_now = [this]
    {
        return sim.now;
    };
    hooks.post = [this](std::function<void()> action)
    {
        sim.at(sim.now,
               [this,
                action = std::move(action),
                sender_incarnation = vm_incarnation]
               { deliver(*this, sender_incarnation, action); });
    };
    hooks.count = [](const std::string&, double) {
    };
    hooks.send = [this](const std::string& address,
                        const relay_batch& batch,
                        time_point deadline,
                        const std::function<void(const failure&)>& done)
    {
        send_to_vm(
            *this,
            address,
            deadline,
            [request = make_relay_request(batch)](fake_vm& receiver)
            {
                const auto current = receiver.relayed;
                return !handle_relay_request(request, *receiver.relay, current);
            },
            done);
    };
    relayed = std::make_shared<relayed_servers>(
        relayed_servers_settings{name, name, leader->epoch(), 1},
        std::move(hooks));
    std::vector<relay_member> members;
    for (const auto& vm : sim.vms)
    {
        members.push_back({vm->name, vm->name, "zone-a", vm->processor_share});
    }
    relayed->set_members(members);
    return relayed->api();
}

// Simulation.

domain_simulation::domain_simulation(std::uint64_t seed, int vm_count)
    : random(seed)
{
    config.version = 1;
    for (int priority = 0; priority < 3; ++priority)
    {
        queue_config queue;
        queue.name = "q" + std::to_string(priority);
        queue.host = "host";
        queue.path_prefix = "/" + queue.name + "/";
        queue.service = "svc";
        queue.policy.priority = priority;
        queue.policy.max_attempts = 3;
        queue.policy.stretch = 2;
        config.queues.push_back(queue);
    }
    config.services.push_back({"svc", false});
    config.customers.push_back({"bead", {"bead-key"}, 16, {}});
    config.customers.push_back({"tile", {"tile-key"}, 8, {}});
    for (int i = 0; i < vm_count; ++i)
    {
        vms.push_back(
            std::make_unique<fake_vm>(*this, "vm-" + std::to_string(i)));
    }
    put_config();
}

table_watch_reply domain_simulation::changes_after(const std::string& prefix,
                                                   std::uint64_t after) const
{
    table_watch_reply reply;
    reply.version = version;
    if (after < compacted_version)
    {
        reply.error = {result_code::not_found, "history dropped"};
        return reply;
    }
    for (const auto& change : history)
    {
        if (change.row.version > after && change.row.key.starts_with(prefix))
        {
            reply.changes.push_back(change);
        }
    }
    return reply;
}

table_transact_reply domain_simulation::apply(const table_transaction& change)
{
    table_transact_reply reply;
    std::size_t bytes = 0;
    for (const auto& put : change.puts)
    {
        bytes += put.value.size() / 3 * 4;
        if (put.value.size() > max_row_bytes || put.key == refused_key)
        {
            reply.error = {result_code::bad_request, "refused: " + put.key};
        }
    }
    if (bytes > max_call_bytes ||
        change.checks.size() + change.puts.size() + change.removals.size() >
            max_call_entries)
    {
        reply.error = {result_code::body_too_large, "too large"};
    }
    if (reply.error)
    {
        ++refused_writes;
        return reply;
    }
    for (const auto& check : change.checks)
    {
        const auto found = stored_rows.find(check.key);
        const auto present =
            found == stored_rows.end() ? 0 : found->second.version;
        if (present != check.version)
        {
            reply.error = {result_code::conflict, "row version differs"};
        }
        if (found != stored_rows.end())
        {
            reply.found.push_back(found->second);
        }
    }
    if (reply.error)
    {
        return reply;
    }
    reply.version = ++version;
    for (const auto& put : change.puts)
    {
        const table_row row{put.key, put.value, version};
        stored_rows[put.key] = row;
        history.push_back({row, false});
    }
    for (const auto& key : change.removals)
    {
        if (stored_rows.erase(key) > 0)
        {
            history.push_back({{key, "", version}, true});
        }
    }
    return reply;
}

void domain_simulation::write(const std::string& key, const std::string& value)
{
    apply({{}, {{key, value}}, {}});
}

void domain_simulation::remove(const std::string& key)
{
    apply({{}, {}, {key}});
}

void domain_simulation::put_config()
{
    write("op/config", std::to_string(config.version));
}

void domain_simulation::put_server(const fake_server& server)
{
    write("servers/" + server.entry.id, server.entry.id);
}

void domain_simulation::add_server(const std::string& id,
                                   const std::string& rack,
                                   const std::string& zone)
{
    auto& server = servers[id];
    server.entry.id = id;
    server.entry.incarnation = now;
    server.entry.address = id + ":1";
    server.entry.service = "svc";
    server.entry.zone = zone;
    server.entry.rack = rack;
    server.entry.capacity = {64000, 262144, 8};
    server.clock_start = now;
    put_server(server);
}

void domain_simulation::at(std::int64_t time, std::function<void()> action)
{
    actions_.emplace(std::max(time, now), std::move(action));
}

void domain_simulation::run(milliseconds time)
{
    const auto end = now + time.count();
    while (now < end)
    {
        now += tick_ms;
        for (auto& [id, server] : servers)
        {
            server.advance(*this);
        }
        while (!actions_.empty() && actions_.begin()->first <= now)
        {
            auto action = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            action();
        }
        for (auto& vm : vms)
        {
            if (vm->frozen)
            {
                vm->frozen_for += milliseconds(tick_ms);
            }
            vm->tick();
        }
        phases_.tick(*this);
    }
}

bool domain_simulation::run_until(milliseconds time,
                                  const std::function<bool()>& condition)
{
    const auto end = now + time.count();
    while (now < end && !condition())
    {
        run(milliseconds(tick_ms));
    }
    return condition();
}

void domain_simulation::submit(int vm,
                               const std::string& id,
                               const std::string& queue,
                               step_job_spec spec,
                               const std::function<void(job_api_reply)>& done,
                               const std::string& key)
{
    auto& target = *vms[static_cast<std::size_t>(vm)];
    failure why;
    const auto call =
        target.api->admit("host", "/" + queue + "/" + id, key, why);
    if (!call)
    {
        violations.push_back("submit of " + id + " was refused: " + why.reason);
        return;
    }
    target.api->submit(
        *call,
        id,
        std::move(spec),
        time_point(milliseconds(now) - target.frozen_for + milliseconds(3000)),
        [done](const job_api_reply& reply)
        {
            if (done)
            {
                done(reply);
            }
        });
}

void domain_simulation::cancel(int vm,
                               const std::string& id,
                               const std::string& queue)
{
    auto& target = *vms[static_cast<std::size_t>(vm)];
    failure why;
    const auto call =
        target.api->admit("host", "/" + queue + "/" + id, "bead-key", why);
    if (call)
    {
        target.api->cancel(*call,
                           id,
                           time_point(milliseconds(now) - target.frozen_for +
                                      milliseconds(3000)),
                           [](const job_api_reply&) {});
    }
}

step_job_state domain_simulation::state(const std::string& id) const
{
    const auto found = stored_rows.find(job_row_key(id, job_row_kind::state));
    if (found == stored_rows.end())
    {
        return step_job_state::queued;
    }
    return parse_job_state(found->second.value)->state;
}

fake_vm* domain_simulation::leader()
{
    for (auto& vm : vms)
    {
        if (vm->up && vm->leads())
        {
            return vm.get();
        }
    }
    return nullptr;
}

void domain_simulation::on_start(const fake_server& server, const run_id& run)
{
    ++starts;
    budget.on_start(*this, run);
    started_jobs.insert(run.task.job);
    if (acknowledged_done.contains(run.task))
    {
        violations.push_back(text_of(run.task) +
                             " was started after it had completed");
    }
    for (const auto& [id, other] : servers)
    {
        for (const auto& [active, item] : other.active)
        {
            if (other.up && active.task == run.task)
            {
                violations.push_back(text_of(run.task) + " runs on " + id +
                                     " and on " + server.entry.id);
            }
        }
    }
}

void domain_simulation::crash_if_due(const fake_server& server,
                                     const run_id& run)
{
    const auto found = crashing_tasks.find(run.task);
    if (found == crashing_tasks.end())
    {
        return;
    }
    if (crashes[run.task] >= crashes_before_limit &&
        ++starts_after_crashes[run.task] > max_starts_after_crashes)
    {
        violations.push_back(text_of(run.task) +
                             " was started again after too many crashes");
    }
    at(now + found->second.count(),
       [this, id = server.entry.id, run]
       {
           if (servers.at(id).up && servers.at(id).active.contains(run))
           {
               crash_server(id);
           }
       });
}

void domain_simulation::crash_server(const std::string& id)
{
    auto& server = servers.at(id);
    server.up = false;
    std::set<std::string> jobs;
    std::vector<run_id> lost;
    for (const auto& [run, item] : server.active)
    {
        if (now - item.started_at < new_run_age_ms)
        {
            jobs.insert(run.task.job);
        }
        lost.push_back(run);
        if (crashing_tasks.contains(run.task))
        {
            ++crashes[run.task];
        }
    }
    crashes_of_new_neighbours += jobs.size() > 1 ? 1 : 0;
    server.active.clear();
    break_gangs(lost);
    at(now + entry_expiry_ms,
       [this, id]
       {
           if (!servers.at(id).up)
           {
               remove("servers/" + id);
           }
       });
    at(now + crash_downtime.count(), [this, id] { revive_server(id); });
}

void domain_simulation::break_gangs(const std::vector<run_id>& lost)
{
    const auto in_same_gang = [this](const run_id& a, const run_id& b)
    {
        failure why;
        const auto row = parse_json(
            stored_rows.at(job_row_key(a.task.job, job_row_kind::accepted))
                .value,
            why);
        return a.task.job == b.task.job && a.task.step == b.task.step &&
               a.task.repetition == b.task.repetition &&
               a.attempt == b.attempt &&
               (*row)["steps"][a.task.step]["gang"].asBool();
    };
    for (auto& [id, server] : servers)
    {
        std::vector<run_id> broken;
        for (const auto& [run, item] : server.active)
        {
            for (const auto& member : lost)
            {
                if (server.up && in_same_gang(member, run))
                {
                    broken.push_back(run);
                    break;
                }
            }
        }
        for (const auto& run : broken)
        {
            server.end(*this, run, run_outcome::gang_ended);
        }
    }
}

void domain_simulation::revive_server(const std::string& id)
{
    auto* server = &servers.at(id);
    if (crashed_servers_change_id)
    {
        const auto next = "r" + std::to_string(revived_servers_++);
        auto& revived = servers[next];
        revived = *server;
        revived.entry.id = next;
        // What ends these faults knows the old server only.
        revived.hangs = false;
        revived.partitioned = false;
        revived.only_reachable_from = nullptr;
        server->entry.address.clear();
        server = &revived;
    }
    server->restart(now);
    put_server(*server);
}

void domain_simulation::on_end(const fake_run& run, run_outcome outcome)
{
    if (outcome == run_outcome::done)
    {
        completed_work += run.accelerators * (run.ends_at - run.started_at);
    }
    if (outcome == run_outcome::stopped)
    {
        ++stopped_runs;
        const auto worked = (now - stop_duration_ms - run.started_at) * 10;
        stopped_early += worked < run.ends_at - run.started_at ? 1 : 0;
    }
}

void domain_simulation::check_capacity(fake_server& server)
{
    resources used;
    for (auto& [run, item] : server.active)
    {
        const auto row =
            stored_rows.find(job_row_key(run.task.job, job_row_kind::accepted));
        if (row == stored_rows.end())
        {
            violations.push_back(text_of(run.task) +
                                 " runs, but its job was never accepted");
            continue;
        }
        failure why;
        const auto json = parse_json(row->second.value, why);
        const auto& steps = (*json)["steps"];
        item.accelerators =
            steps[run.task.step].get("accelerators", 0).asInt64();
        item.need = {steps[run.task.step].get("cpu", 0).asInt64(),
                     steps[run.task.step].get("memory", 0).asInt64(),
                     item.accelerators};
        item.customer = (*json)["customer"].asString();
        used += item.need;
    }
    if (!server.capacity_limit(now).covers(used))
    {
        violations.push_back("the capacity of " + server.entry.id +
                             " is exceeded");
    }
}

resources domain_simulation::running(const std::string& customer) const
{
    resources used;
    for (const auto& [id, server] : servers)
    {
        for (const auto& [run, item] : server.active)
        {
            if (server.up && item.customer == customer)
            {
                used += item.need;
            }
        }
    }
    return used;
}

void domain_simulation::check_limit(const fake_run& started)
{
    const auto limit = checked_limits.find(started.customer);
    if (limit == checked_limits.end())
    {
        return;
    }
    const auto used = running(started.customer);
    const auto exceeds = [](std::int64_t value, std::int64_t most)
    {
        return most > 0 && value > most;
    };
    if (exceeds(used.cpu_millis, limit->second.cpu_millis) ||
        exceeds(used.memory_mb, limit->second.memory_mb) ||
        exceeds(used.accelerators, limit->second.accelerators))
    {
        violations.push_back(text_of(started.run.task) +
                             " takes its customer over its limit");
    }
}

step_job_spec one_step(int tasks, int accelerators, bool gang)
{
    step_job_spec spec;
    spec.payload = "text";
    step_spec step;
    step.tasks = tasks;
    step.need = {1000, 1000, accelerators};
    step.estimate = milliseconds(2000);
    step.gang = gang;
    spec.steps.push_back(step);
    return spec;
}

} // namespace poplarramp::fakes
