#include "zone_fakes.hpp"

#include "base/log.hpp"
#include "model/codec.hpp"

#include <algorithm>

namespace poplarramp::fakes
{

namespace
{

constexpr milliseconds latency{1};
constexpr milliseconds slow_latency{1500};
constexpr milliseconds late_effect_delay{300};
constexpr milliseconds tick_interval{50};
constexpr milliseconds lease_duration{3000};
// Time from a stop call to the end of the task.
constexpr milliseconds stop_time{5};
constexpr milliseconds checkpoint_stop_time{100};
constexpr int servers_per_rack = 2;
constexpr int slots_per_server = 8;
// Raises the epoch at a restart, so that earlier tokens are stale.
constexpr std::uint64_t restart_epoch_increment = 10;
constexpr const char* default_run_time_ms = "1000";

// `subject` is the call or the object that the simulated error concerns.
failure simulated_error(result_code code, const std::string& subject)
{
    return {code, "simulated " + std::string(name_of(code)) + ": " + subject};
}

template <class Reply>
Reply failed(result_code code, const std::string& subject)
{
    Reply reply;
    if constexpr (std::is_same_v<Reply, failure>)
    {
        reply = simulated_error(code, subject);
    }
    else
    {
        reply.error = simulated_error(code, subject);
    }
    return reply;
}

bool is_table_call(const std::string& kind)
{
    return kind == "read" || kind == "write" || kind == "scan";
}

// The payload of a job is its run time in milliseconds.
int run_time_ms(const task& item)
{
    return std::stoi(item.parent_job.request.payload);
}

} // namespace

job make_job(const std::string& key, int accelerators, bool idempotent)
{
    job item;
    item.request.customer = "bead";
    item.request.key = key;
    item.request.kind = idempotent ? "shape" : "tint";
    item.request.accelerators = accelerators;
    item.request.payload = default_run_time_ms;
    item.idempotent = idempotent;
    item.zone = "z";
    item.token = "token-" + key;
    return item;
}

zone_simulation::zone_simulation(int server_count)
{
    set_log_level(log_level::error);
    for (int i = 0; i < server_count; ++i)
    {
        fake_backend_server server;
        server.id = "s" + std::to_string(i);
        server.rack = "r" + std::to_string(i / servers_per_rack);
        servers.push_back(server);
    }
    config.version = 1;
    config.zones["z"] = zone_state::open;
}

time_point zone_simulation::now() const
{
    return now_;
}

void zone_simulation::after(milliseconds delay, std::function<void()> action)
{
    timers_.emplace(now_ + delay, std::move(action));
}

void zone_simulation::run_for(milliseconds duration)
{
    const auto end = now_ + duration;
    while (now_ < end)
    {
        const auto next_tick = now_ + tick_interval;
        while (!timers_.empty() && timers_.begin()->first <= next_tick)
        {
            auto first = timers_.extract(timers_.begin());
            now_ = std::max(now_, first.key());
            first.mapped()();
        }
        now_ = next_tick;
        config_confirmed_at =
            config_updates_withheld ? config_confirmed_at : now_;
        for (const auto& item : processes_)
        {
            if (!item->suspended && !item->killed)
            {
                item->zone->tick();
            }
        }
    }
}

scheduler_process& zone_simulation::add_process(const std::string& name)
{
    processes_.push_back(std::make_unique<scheduler_process>());
    auto& added = *processes_.back();
    added.name = name;
    config_confirmed_at = now_;
    added.zone = std::make_unique<zone_scheduler>(name, "z", hooks_for(added));
    added.zone->set_configuration(config, zone_open);
    publish_members();
    return added;
}

void zone_simulation::publish_members()
{
    std::vector<vm_member> members;
    for (const auto& server : servers)
    {
        if (server.listed)
        {
            members.push_back({server.id,
                               vm_role::backend_server,
                               "z",
                               server.rack,
                               server.id,
                               server.leaving});
        }
    }
    for (const auto& item : processes_)
    {
        deliver(*item,
                [members, zone = item->zone.get()]
                { zone->set_backend_servers(members); });
    }
}

void zone_simulation::activate(scheduler_process& target)
{
    deliver(target,
            [&target]
            {
                target.active = true;
                target.zone->activate();
            });
}

void zone_simulation::deactivate(scheduler_process& target)
{
    deliver(target,
            [&target]
            {
                target.active = false;
                target.zone->deactivate([] {});
            });
}

void zone_simulation::resume(scheduler_process& target)
{
    target.suspended = false;
    for (const auto& action : std::exchange(target.deferred_actions, {}))
    {
        action();
    }
}

void zone_simulation::deliver(scheduler_process& to,
                              std::function<void()> action)
{
    if (to.killed)
    {
        return;
    }
    if (to.suspended)
    {
        to.deferred_actions.push_back(std::move(action));
        return;
    }
    action();
}

void zone_simulation::store_job(const job& item)
{
    const auto id = job_id(item.request);
    write({{"job/" + id, json_text(to_json(item, mapping)), 0, false},
           {"open/z/" + id, "", 0, false}});
}

void zone_simulation::set_zone_open(bool is_open)
{
    zone_open = is_open;
    for (const auto& item : processes_)
    {
        deliver(*item,
                [this, zone = item->zone.get()]
                { zone->set_configuration(config, zone_open); });
    }
}

std::optional<job> zone_simulation::stored_job(const std::string& id)
{
    const auto found = rows_.find("job/" + id);
    if (found == rows_.end())
    {
        return std::nullopt;
    }
    failure why;
    const auto json = parse_json(found->second.value, why);
    return job_from_json(*json, mapping, why);
}

bool zone_simulation::has_open_row(const std::string& id) const
{
    return rows_.count("open/z/" + id) > 0;
}

int zone_simulation::executions_of(const std::string& id) const
{
    return static_cast<int>(std::count_if(executions.begin(),
                                          executions.end(),
                                          [&id](const execution& item)
                                          { return item.job == id; }));
}

template <class Reply>
void zone_simulation::call(scheduler_process& from,
                           call_info info,
                           time_point deadline,
                           std::function<void(Reply)> done,
                           std::function<Reply()> handle_call)
{
    info.process_name = from.name;
    info.when = now_;
    calls.push_back(info);
    if (on_call)
    {
        on_call(info);
    }
    auto fault = fault_of ? fault_of(info) : call_fault::none;
    const auto reply_in = [this, &from, done](milliseconds delay, Reply reply)
    {
        after(delay,
              [this, &from, done, reply]
              { deliver(from, [done, reply] { done(reply); }); });
    };
    const bool table = is_table_call(info.kind);
    const auto subject = info.kind + " " + info.target;
    const bool target_down = table ? table_down : !server_by_id(info.target).up;
    if (target_down || fault == call_fault::unreachable)
    {
        reply_in(latency,
                 failed<Reply>(table ? result_code::store_unavailable
                                     : result_code::unreachable,
                               subject));
        return;
    }
    if (fault == call_fault::refused)
    {
        reply_in(latency, failed<Reply>(result_code::server_full, subject));
        return;
    }
    const auto timeout = deadline - now_;
    // A server that was killed while the call was on its way does not handle
    // it; the call then fails with `timeout` after the latency, which is before
    // the deadline.
    const auto run_handler =
        [this, table, target = info.target, subject, handle_call]
    {
        const bool killed = !table && !server_by_id(target).up;
        return killed ? failed<Reply>(result_code::timeout, subject)
                      : handle_call();
    };
    switch (fault)
    {
    case call_fault::request_lost:
        reply_in(timeout, failed<Reply>(result_code::timeout, subject));
        return;
    case call_fault::reply_lost:
        after(latency, [run_handler] { run_handler(); });
        reply_in(timeout, failed<Reply>(result_code::answer_lost, subject));
        return;
    case call_fault::effect_after_deadline:
        after(timeout + late_effect_delay, [run_handler] { run_handler(); });
        reply_in(timeout, failed<Reply>(result_code::timeout, subject));
        return;
    default:
        break;
    }
    const auto call_delay = fault == call_fault::slow ? slow_latency : latency;
    after(call_delay,
          [reply_in, run_handler] { reply_in(latency, run_handler()); });
}

fake_backend_server& zone_simulation::server_by_id(const std::string& address)
{
    return *std::find_if(servers.begin(),
                         servers.end(),
                         [&address](const fake_backend_server& server)
                         { return server.id == address; });
}

zone_scheduler_hooks zone_simulation::hooks_for(scheduler_process& from)
{
    zone_scheduler_hooks hooks;
    hooks.store = table_for(from);
    hooks.backend = backend_for(from);
    hooks.now = [this]
    {
        return now_;
    };
    hooks.config_confirmed_at = [this]
    {
        return config_confirmed_at;
    };
    hooks.on_job_ended = [this](const job& item)
    {
        reported_outcomes.emplace_back(job_id(item.request), item.outcome);
    };
    hooks.clock = mapping;
    return hooks;
}

table zone_simulation::table_for(scheduler_process& from)
{
    table api;
    api.read = [this, &from](auto key, auto deadline, auto done)
    {
        call<table_read_reply>(
            from,
            {{}, "read", key},
            deadline,
            done,
            [this, key]
            {
                const auto found = rows_.find(key);
                return table_read_reply{
                    {}, found == rows_.end() ? table_row{} : found->second};
            });
    };
    api.write = [this, &from](auto changes, auto deadline, auto done)
    {
        const auto& first = changes.front();
        call<table_write_reply>(
            from,
            {{}, "write", first.key, first.value, false, changes.size()},
            deadline,
            done,
            [this, changes] { return write(changes); });
    };
    api.scan = [this, &from](
                   auto prefix, auto last, int limit, auto deadline, auto done)
    {
        call<table_scan_reply>(from,
                               {{}, "scan", prefix},
                               deadline,
                               done,
                               [this, prefix, last, limit]
                               { return scan(prefix, last, limit); });
    };
    return api;
}

table_scan_reply zone_simulation::scan(const std::string& prefix,
                                       const std::string& last,
                                       int limit) const
{
    table_scan_reply reply;
    // The keys after `last` follow; on the first page `last` is empty, and the
    // keys after `prefix` follow.
    auto row = rows_.upper_bound(std::max(prefix, last));
    for (; row != rows_.end() && row->first.starts_with(prefix); ++row)
    {
        if (reply.rows.size() == static_cast<std::size_t>(limit))
        {
            // Key of the last row returned; the next page follows it.
            reply.next = reply.rows.back().key;
            break;
        }
        reply.rows.push_back(row->second);
    }
    return reply;
}

table_write_reply
zone_simulation::write(const std::vector<table_change>& changes)
{
    table_write_reply reply;
    for (const auto& change : changes)
    {
        const auto found = rows_.find(change.key);
        // Version 0 means that the row must not exist.
        const auto version = found == rows_.end() ? 0 : found->second.version;
        if (version != change.expected_version)
        {
            reply.error = simulated_error(result_code::conflict, change.key);
            return reply;
        }
    }
    for (const auto& change : changes)
    {
        reply.versions.push_back(change.remove ? 0 : next_version_++);
        if (change.remove)
        {
            rows_.erase(change.key);
            continue;
        }
        rows_[change.key] = {change.key, change.value, reply.versions.back()};
    }
    return reply;
}

backend_api zone_simulation::backend_for(scheduler_process& from)
{
    backend_api api;
    // The requested lease time is ignored: each lease lasts `lease_duration`.
    api.claim =
        [this, &from](auto to, auto owner, auto, auto deadline, auto done)
    {
        call<claim_reply>(from,
                          {{}, "claim", to},
                          deadline,
                          done,
                          [this, to, owner]
                          { return claim(server_by_id(to), owner); });
    };
    api.release = [this, &from](auto to, auto token, auto deadline, auto done)
    {
        call<failure>(from,
                      {{}, "release", to},
                      deadline,
                      done,
                      [this, to, token]
                      { return release(server_by_id(to), token); });
    };
    api.renew = [this, &from](auto to, auto request, auto deadline, auto done)
    {
        send_renew(from, to, request, deadline, done);
    };
    add_task_calls(api, from);
    return api;
}

// Long poll: the server replies at once if it has events, else at the next
// event or after `request.wait`. The call fails with `timeout` if none of this
// reaches the caller by the deadline, for example because the server is killed
// meanwhile. `call` passes on what the handler returns, so the handler returns
// the error `pending` for "the reply comes later", which `reply_once` drops.
void zone_simulation::send_renew(scheduler_process& from,
                                 const std::string& to,
                                 const renew_request& request,
                                 time_point deadline,
                                 const std::function<void(renew_reply)>& done)
{
    auto reply_outstanding = std::make_shared<bool>(true);
    const auto reply_once = [reply_outstanding, done](const renew_reply& reply)
    {
        // `pending` is the signal of the handler below, not a reply.
        const bool deferred = reply.error.code == result_code::pending;
        if (!deferred && std::exchange(*reply_outstanding, false))
        {
            done(reply);
        }
    };
    const auto timed_out =
        failed<renew_reply>(result_code::timeout, "renew " + to);
    after(deadline - now_,
          [this, &from, reply_once, timed_out] {
              deliver(from, [reply_once, timed_out] { reply_once(timed_out); });
          });
    call<renew_reply>(from,
                      {{}, "renew", to},
                      deadline,
                      reply_once,
                      [this, &from, to, request, reply_once]
                      {
                          renew(from, server_by_id(to), request, reply_once);
                          return failed<renew_reply>(result_code::pending,
                                                     "renew " + to);
                      });
}

void zone_simulation::add_task_calls(backend_api& api, scheduler_process& from)
{
    api.prepare = [this, &from](auto to,
                                auto token,
                                auto item,
                                auto commit_deadline,
                                auto deadline,
                                auto done)
    {
        call<task_reply>(
            from,
            {{}, "prepare", to, item.id},
            deadline,
            done,
            [this, to, token, item, commit_deadline] {
                return prepare(server_by_id(to), token, item, commit_deadline);
            });
    };
    api.commit =
        [this, &from](auto to, auto token, auto id, auto deadline, auto done)
    {
        call<task_reply>(from,
                         {{}, "commit", to, id},
                         deadline,
                         done,
                         [this, to, token, id]
                         { return commit(server_by_id(to), token, id); });
    };
    api.start =
        [this, &from](auto to, auto token, auto item, auto deadline, auto done)
    {
        call<task_reply>(from,
                         {{}, "start", to, item.id},
                         deadline,
                         done,
                         [this, to, token, item]
                         { return start(server_by_id(to), token, item); });
    };
    api.stop = [this, &from](auto to,
                             auto token,
                             auto id,
                             bool checkpoint,
                             auto deadline,
                             auto done)
    {
        call<task_reply>(
            from,
            {{}, "stop", to, id, checkpoint},
            deadline,
            done,
            [this, to, token, id, checkpoint]
            { return stop(server_by_id(to), token, id, checkpoint); });
    };
}

failure zone_simulation::check_lease_token(const fake_backend_server& server,
                                           const lease_token& token) const
{
    const bool current =
        token.epoch == server.epoch &&
        token.incarnation == std::to_string(server.incarnation);
    return current ? failure{}
                   : simulated_error(result_code::stale_epoch, server.id);
}

failure zone_simulation::release(fake_backend_server& server,
                                 const lease_token& token)
{
    auto error = check_lease_token(server, token);
    if (!error)
    {
        server.lease_end = now_;
        ++server.epoch;
        server.reply_to_renewal = nullptr;
    }
    return error;
}

claim_reply zone_simulation::claim(fake_backend_server& server,
                                   const std::string& owner)
{
    claim_reply reply;
    if (now_ < server.lease_end && owner != server.lease_owner)
    {
        reply.error = simulated_error(result_code::lease_held, server.id);
        return reply;
    }
    server.lease_owner = owner;
    ++server.epoch;
    server.lease_end = now_ + lease_duration;
    server.reply_to_renewal = nullptr;
    reply.token = {owner, std::to_string(server.incarnation), server.epoch};
    reply.rack = server.rack;
    reply.accelerators = server.accelerators;
    reply.slots = slots_per_server;
    reply.leaving = server.leaving;
    for (const auto& [id, entry] : server.tasks)
    {
        reply.tasks.push_back(entry.status);
    }
    return reply;
}

void zone_simulation::renew(scheduler_process& from,
                            fake_backend_server& server,
                            const renew_request& request,
                            const std::function<void(renew_reply)>& done)
{
    const auto send = [this, &from, done](const renew_reply& reply)
    {
        after(latency,
              [this, &from, done, reply]
              { deliver(from, [done, reply] { done(reply); }); });
    };
    renew_reply reply;
    reply.error = check_lease_token(server, request.token);
    if (reply.error)
    {
        send(reply);
        return;
    }
    server.lease_end = now_ + lease_duration;
    std::erase_if(server.events,
                  [&request](const task_event& event)
                  { return event.sequence <= request.acknowledged; });
    // Drops ended tasks whose final event is acknowledged.
    std::erase_if(server.tasks,
                  [&request](const auto& item)
                  {
                      const auto last = item.second.final_event;
                      return last != 0 && last <= request.acknowledged;
                  });
    const int number = ++server.renewal_number;
    server.reply_to_renewal = [&server, send, number]
    {
        if (number == server.renewal_number && server.reply_to_renewal)
        {
            renew_reply result;
            result.leaving = server.leaving;
            result.events = server.events;
            server.reply_to_renewal = nullptr;
            send(result);
        }
    };
    const auto reply_to_renewal = server.reply_to_renewal;
    if (!server.events.empty())
    {
        reply_to_renewal();
        return;
    }
    after(request.wait, reply_to_renewal);
}

task_reply zone_simulation::prepare(fake_backend_server& server,
                                    const lease_token& token,
                                    const task& item,
                                    time_point commit_deadline)
{
    task_reply reply;
    reply.error = check_lease_token(server, token);
    const auto existing = server.tasks.find(item.id);
    if (reply.error || existing != server.tasks.end())
    {
        // A repeated prepare returns the current state of the task.
        reply.state = reply.error ? reply.state : existing->second.status.state;
        return reply;
    }
    int needed = item.accelerators;
    for (const auto& [id, entry] : server.tasks)
    {
        const bool live = entry.status.state == task_state::running ||
                          entry.status.state == task_state::prepared;
        needed += live ? entry.status.item.accelerators : 0;
    }
    if (needed > server.accelerators || commit_deadline <= now_)
    {
        reply.error = simulated_error(result_code::server_full, server.id);
        return reply;
    }
    auto& entry = server.tasks[item.id];
    entry.status.item = item;
    entry.commit_deadline = commit_deadline;
    after(commit_deadline - now_,
          [this, &server, id = item.id, incarnation = server.incarnation]
          {
              const auto found = server.tasks.find(id);
              if (found != server.tasks.end() &&
                  found->second.status.state == task_state::prepared)
              {
                  end_execution(
                      server, incarnation, id, task_state::expired, false);
              }
          });
    return reply;
}

task_reply zone_simulation::commit(fake_backend_server& server,
                                   const lease_token& token,
                                   const std::string& id)
{
    task_reply reply;
    reply.error = check_lease_token(server, token);
    const auto existing = server.tasks.find(id);
    if (reply.error)
    {
        return reply;
    }
    if (existing == server.tasks.end())
    {
        reply.error =
            simulated_error(result_code::unknown_task, id + " on " + server.id);
        return reply;
    }
    if (existing->second.status.state == task_state::prepared)
    {
        start_execution(server, existing->second);
    }
    reply.state = existing->second.status.state;
    return reply;
}

task_reply zone_simulation::start(fake_backend_server& server,
                                  const lease_token& token,
                                  const task& item)
{
    // The commit follows at once, so the commit deadline has no effect. It is
    // the latest one that differs from `no_deadline`.
    auto reply = prepare(server, token, item, no_deadline - milliseconds(1));
    return reply.error ? reply : commit(server, token, item.id);
}

task_reply zone_simulation::stop(fake_backend_server& server,
                                 const lease_token& token,
                                 const std::string& id,
                                 bool checkpoint)
{
    task_reply reply;
    reply.error = check_lease_token(server, token);
    const auto existing = server.tasks.find(id);
    if (!reply.error && existing == server.tasks.end())
    {
        reply.error =
            simulated_error(result_code::unknown_task, id + " on " + server.id);
    }
    if (reply.error)
    {
        return reply;
    }
    reply.state = existing->second.status.state;
    after(checkpoint ? checkpoint_stop_time : stop_time,
          [this, &server, incarnation = server.incarnation, id, checkpoint] {
              end_execution(
                  server, incarnation, id, task_state::stopped, checkpoint);
          });
    return reply;
}

void zone_simulation::start_execution(fake_backend_server& server,
                                      fake_task& entry)
{
    const auto& item = entry.status.item;
    entry.status.state = task_state::running;
    entry.execution = executions.size();
    executions.push_back({server.id,
                          item.id,
                          job_id(item.parent_job.request),
                          item.attempt,
                          item.member,
                          item.members,
                          now_,
                          {},
                          false});
    append_event(server, entry);
    after(milliseconds(run_time_ms(item)),
          [this, &server, id = item.id, incarnation = server.incarnation]
          {
              const auto end_state = server.fails_tasks ? task_state::failed
                                                        : task_state::finished;
              end_execution(server, incarnation, id, end_state, false);
          });
}

void zone_simulation::end_execution(fake_backend_server& server,
                                    int incarnation,
                                    const std::string& id,
                                    task_state end_state,
                                    bool checkpoint)
{
    const auto found = server.tasks.find(id);
    if (!server.up || server.incarnation != incarnation ||
        found == server.tasks.end())
    {
        return;
    }
    auto& status = found->second.status;
    const bool was_running = status.state == task_state::running;
    if (!was_running && status.state != task_state::prepared)
    {
        return;
    }
    status.state = end_state;
    status.checkpoint = checkpoint;
    status.answer = end_state == task_state::finished ? "answer" : "";
    if (was_running)
    {
        executions[found->second.execution].end_state = end_state;
        executions[found->second.execution].ended = now_;
    }
    found->second.final_event = server.next_event;
    append_event(server, found->second);
}

void zone_simulation::append_event(fake_backend_server& server,
                                   fake_task& entry)
{
    const auto& status = entry.status;
    server.events.push_back({server.next_event++,
                             status.item.id,
                             status.state,
                             status.checkpoint,
                             status.reason,
                             status.answer,
                             status.answer_object});
    if (on_event)
    {
        on_event(server, server.events.back());
    }
    if (const auto reply_to_renewal = server.reply_to_renewal)
    {
        reply_to_renewal();
    }
}

void zone_simulation::kill(fake_backend_server& server)
{
    server.up = false;
    for (auto& item : executions)
    {
        if (item.server == server.id && !item.end_state && !item.killed)
        {
            item.killed = true;
            item.ended = now_;
        }
    }
    server.tasks.clear();
    server.events.clear();
    server.reply_to_renewal = nullptr;
}

void zone_simulation::restart(fake_backend_server& server)
{
    if (server.up || server.removed)
    {
        return;
    }
    server.up = true;
    ++server.incarnation;
    server.lease_owner.clear();
    server.lease_end = {};
    server.epoch += restart_epoch_increment;
}

} // namespace poplarramp::fakes
