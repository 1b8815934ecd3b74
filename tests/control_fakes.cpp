#include "control_fakes.hpp"

#include "base/log.hpp"
#include "control/config_row.hpp"
#include "model/codec.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace poplarramp::tests
{

namespace
{

constexpr milliseconds link_delay{2};
constexpr milliseconds tick_interval{50};

template <class Reply>
void set_error(Reply& reply, const failure& error)
{
    if constexpr (std::is_same_v<Reply, failure>)
    {
        reply = error;
    }
    else
    {
        reply.error = error;
    }
}

} // namespace

const char* name_of(call_fault fault)
{
    constexpr std::array names{"none",
                               "unreachable",
                               "request_lost",
                               "reply_lost",
                               "slow",
                               "conflict",
                               "twice"};
    return names.at(static_cast<std::size_t>(fault));
}

controller_simulation::controller_simulation()
{
    set_log_level(log_level::error);
}

controller_simulation::~controller_simulation() = default;

void controller_simulation::at(milliseconds delay, std::function<void()> action)
{
    events_.emplace(now + delay, std::move(action));
}

void controller_simulation::run_for(milliseconds time)
{
    const auto end = now + time;
    while (now < end)
    {
        now += milliseconds(1);
        while (!events_.empty() && events_.begin()->first <= now)
        {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        if (monitor && now.time_since_epoch().count() % 10 == 0)
        {
            monitor();
        }
        if (now.time_since_epoch().count() % tick_interval.count() != 0)
        {
            continue;
        }
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            if (vms[i]->control)
            {
                vms[i]->control->tick();
            }
        }
    }
}

fake_vm& controller_simulation::add_vm(const std::string& id,
                                       const std::string& zone)
{
    auto& added = *vms.emplace_back(std::make_unique<fake_vm>());
    added.id = id;
    added.zone = zone;
    members.push_back({id, vm_role::entry, zone, "", id + ":1", false});
    controller_settings settings;
    settings.vm = id;
    settings.zone = zone;
    settings.address = id + ":1";
    settings.max_waiting = 50;
    added.control = std::make_unique<controller>(settings, hooks_for(added));
    added.handlers = added.control->handlers();
    return added;
}

void controller_simulation::start(int count)
{
    configuration config;
    config.version = 5;
    config.changed_by = "planner";
    config.sheet = test_sheet();
    config.zones = {{"a", zone_state::open}, {"b", zone_state::open}};
    rows["config"] = {"config", encode_config_row(config, {}, "first"), 1};
    for (int i = 1; i <= count; ++i)
    {
        add_vm("a" + std::to_string(i), "a");
        add_vm("b" + std::to_string(i), "b");
    }
    run_for(milliseconds(3000));
}

void controller_simulation::kill(fake_vm& target)
{
    target.killed = true;
    target.control.reset();
}

fake_vm& controller_simulation::vm(const std::string& id)
{
    return **std::find_if(vms.begin(),
                          vms.end(),
                          [&id](const auto& each) { return each->id == id; });
}

fake_vm& controller_simulation::scheduler_of(const std::string& zone)
{
    return **std::find_if(vms.begin(),
                          vms.end(),
                          [&zone](const auto& each) {
                              return each->zone == zone &&
                                     each->scheduler.active;
                          });
}

int controller_simulation::runs_of(const std::string& id) const
{
    int runs = 0;
    for (const auto& each : vms)
    {
        const auto found = each->scheduler.runs.find(id);
        runs += found == each->scheduler.runs.end() ? 0 : found->second;
    }
    return runs;
}

std::optional<job> controller_simulation::row_of(const std::string& id) const
{
    const auto found = rows.find("job/" + id);
    failure why;
    if (found == rows.end())
    {
        return std::nullopt;
    }
    return job_from_json(*parse_json(found->second.value, why), clock, why);
}

controller_hooks controller_simulation::hooks_for(fake_vm& vm)
{
    controller_hooks hooks;
    hooks.store = table_for(vm.zone);
    hooks.objects.get = [this](const std::string& key,
                               time_point deadline,
                               const std::function<void(object_reply)>& done)
    {
        const auto wait = objects_down ? deadline - now : link_delay;
        at(wait,
           [this, key, done, down = objects_down]
           {
               down ? done({{result_code::timeout, "no answer"}, ""})
                    : done({{}, objects[key]});
           });
    };
    hooks.members.read =
        [this](time_point, const std::function<void(member_list_reply)>& done)
    {
        at(link_delay, [this, done] { done({{}, members}); });
    };
    hooks.peers = peers_for(vm);
    hooks.now = [this]
    {
        return now;
    };
    hooks.random = [this]
    {
        return random_ =
                   random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    };
    hooks.clock = clock;
    hooks.make_scheduler = [this, &vm](zone_scheduler_hooks given)
    {
        return scheduler_for(vm, std::move(given));
    };
    return hooks;
}

call_fault controller_simulation::next_fault(const std::string& zone,
                                             const std::string& key,
                                             bool is_write)
{
    if (table_unreachable_from_a && zone == "a")
    {
        return call_fault::request_lost;
    }
    if (!table_fault)
    {
        return call_fault::none;
    }
    const auto prefix = key.substr(0, key.find('/'));
    const int number = ++table_calls_[prefix + (is_write ? "+" : "-")];
    return table_fault({zone, key, is_write, number});
}

const configuration& controller_simulation::config_in_row()
{
    // Monitors read it every 10 ms, so that the decoded row is cached.
    const auto& row = rows.at("config");
    if (row.value != decoded_value_)
    {
        failure why;
        decoded_ = decode_config_row(row, why)->config;
        decoded_value_ = row.value;
    }
    return decoded_;
}

void controller_simulation::send_reply(
    call_fault fault,
    time_point deadline,
    const std::function<void(failure)>& reply)
{
    switch (fault)
    {
    case call_fault::unreachable:
        at(link_delay,
           [reply] {
               reply({result_code::circuit_open, "table down"});
           });
        return;
    case call_fault::request_lost:
        at(deadline - now, [reply] { reply({result_code::timeout, "late"}); });
        return;
    case call_fault::reply_lost:
        at(milliseconds(100),
           [reply] {
               reply({result_code::answer_lost, "closed"});
           });
        return;
    case call_fault::slow:
        at(milliseconds(1500), [reply] { reply({}); });
        return;
    default:
        at(link_delay, [reply] { reply({}); });
    }
}

// A call takes effect when it arrives; its reply follows.
table controller_simulation::table_for(const std::string& zone)
{
    table store;
    store.read = [this, zone](const std::string& key,
                              time_point deadline,
                              const std::function<void(table_read_reply)>& done)
    {
        const auto fault = next_fault(zone, key, false);
        at(link_delay,
           [this, key, deadline, done, fault]
           {
               const auto found = rows.find(key);
               const auto row =
                   found == rows.end() ? table_row{key, "", 0} : found->second;
               send_reply(
                   fault,
                   deadline,
                   [key, done, row](const failure& error) {
                       done({error, error ? table_row{key, "", 0} : row});
                   });
           });
    };
    store.write =
        [this, zone](const std::vector<table_change>& changes,
                     time_point deadline,
                     const std::function<void(table_write_reply)>& done)
    {
        const auto fault = next_fault(zone, changes.front().key, true);
        at(link_delay,
           [this, changes, deadline, done, fault]
           {
               const auto reply = apply_write(changes, fault);
               send_reply(
                   fault,
                   deadline,
                   [done, reply](const failure& error) {
                       done(error ? table_write_reply{error, {}} : reply);
                   });
           });
    };
    return store;
}

table_write_reply
controller_simulation::apply_write(const std::vector<table_change>& changes,
                                   call_fault fault)
{
    if (fault == call_fault::conflict && other_writer)
    {
        other_writer();
    }
    if (before_write)
    {
        before_write(changes.front().key);
    }
    if (fault == call_fault::unreachable || fault == call_fault::request_lost)
    {
        return {};
    }
    return write(changes);
}

table_write_reply
controller_simulation::write(const std::vector<table_change>& changes)
{
    for (const auto& change : changes)
    {
        const auto found = rows.find(change.key);
        const auto version = found == rows.end() ? 0 : found->second.version;
        if (version != change.expected_version)
        {
            return {{result_code::conflict, change.key}, {}};
        }
    }
    table_write_reply reply;
    for (const auto& change : changes)
    {
        if (change.remove)
        {
            rows.erase(change.key);
            reply.versions.push_back(0);
            continue;
        }
        auto& row = rows[change.key];
        row = {change.key, change.value, row.version + 1};
        reply.versions.push_back(row.version);
    }
    return reply;
}

fake_vm* controller_simulation::find_reachable(const fake_vm& from,
                                               const std::string& address)
{
    for (const auto& each : vms)
    {
        const bool cut = zones_partitioned && each->zone != from.zone;
        if (each->id + ":1" == address && !each->killed && !each->isolated &&
            !from.isolated && !cut)
        {
            return each.get();
        }
    }
    return nullptr;
}

// Sends a message between VMs. A call without a reply times out at its
// deadline.
template <class Reply, class Handle>
void controller_simulation::call(fake_vm& from,
                                 const std::string& address,
                                 const std::string& method,
                                 time_point deadline,
                                 std::function<void(Reply)> done,
                                 Handle handle)
{
    const auto fault =
        peer_fault ? peer_fault(address.substr(0, address.find(':')), method)
                   : call_fault::none;
    const bool late = fault == call_fault::slow;
    const bool lost = late || fault == call_fault::request_lost ||
                      fault == call_fault::reply_lost;
    const auto deliver = [this, &from, address, handle](Reply& reply)
    {
        auto* const target = find_reachable(from, address);
        if (target != nullptr)
        {
            reply = handle(target->handlers);
        }
        return target != nullptr;
    };
    if (late || fault == call_fault::twice)
    {
        at(milliseconds(1500),
           [deliver]
           {
               Reply reply{};
               deliver(reply);
           });
    }
    if (fault == call_fault::unreachable)
    {
        Reply reply{};
        set_error(reply, {result_code::unreachable, "refused"});
        at(link_delay, [done = std::move(done), reply] { done(reply); });
        return;
    }
    at(link_delay,
       [this, deadline, done = std::move(done), deliver, lost, fault]
       {
           Reply reply{};
           const bool arrives = !lost || fault == call_fault::reply_lost;
           const bool answered = arrives && deliver(reply) && !lost;
           if (!answered)
           {
               set_error(reply, {result_code::timeout, "no answer"});
           }
           at(answered ? link_delay : deadline - now,
              [done, reply] { done(reply); });
       });
}

peer_api controller_simulation::peers_for(fake_vm& vm)
{
    peer_api api;
    api.send_heartbeat = [this, &vm](const std::string& to,
                                     const heartbeat& message,
                                     time_point deadline,
                                     reply_callback<heartbeat_reply> done)
    {
        call<heartbeat_reply>(vm,
                              to,
                              "heartbeat",
                              deadline,
                              std::move(done),
                              [message](const peer_handlers& target)
                              { return target.on_heartbeat(message); });
    };
    api.get_config = [this, &vm](const std::string& to,
                                 time_point deadline,
                                 reply_callback<config_reply> done)
    {
        call<config_reply>(vm,
                           to,
                           "get_config",
                           deadline,
                           std::move(done),
                           [](const peer_handlers& target)
                           { return target.on_get_config(); });
    };
    api.status = [this, &vm](const std::string& to,
                             time_point deadline,
                             reply_callback<zone_status> done)
    {
        call<zone_status>(vm,
                          to,
                          "status",
                          deadline,
                          std::move(done),
                          [](const peer_handlers& target)
                          { return target.on_status(); });
    };
    api.job_status = [this, &vm](const std::string& to,
                                 const std::string& id,
                                 time_point deadline,
                                 reply_callback<job_status_reply> done)
    {
        call<job_status_reply>(vm,
                               to,
                               "job_status",
                               deadline,
                               std::move(done),
                               [id](const peer_handlers& target)
                               { return target.on_job_status(id); });
    };
    add_job_calls(api, vm);
    return api;
}

// Messages whose reply is a `failure`.
void controller_simulation::add_job_calls(peer_api& api, fake_vm& vm)
{
    const auto simple = [this, &vm](const std::string& method, auto member)
    {
        return [this, &vm, method, member](const std::string& to,
                                           const auto& argument,
                                           time_point deadline,
                                           reply_callback<failure> done)
        {
            this->call<failure>(vm,
                                to,
                                method,
                                deadline,
                                std::move(done),
                                [argument, member](const peer_handlers& target)
                                { return (target.*member)(argument); });
        };
    };
    api.put_config = simple("put_config", &peer_handlers::on_put_config);
    api.close_zone = simple("close_zone", &peer_handlers::on_close_zone);
    api.enqueue = simple("enqueue", &peer_handlers::on_enqueue);
    api.cancel = simple("cancel", &peer_handlers::on_cancel);
    api.job_done = [this, &vm](const std::string& to,
                               const std::string& id,
                               const job_outcome& outcome,
                               time_point deadline,
                               reply_callback<failure> done)
    {
        call<failure>(vm,
                      to,
                      "job_done",
                      deadline,
                      std::move(done),
                      [id, outcome](const peer_handlers& target)
                      { return target.on_job_done(id, outcome); });
    };
}

void controller_simulation::end_job(fake_vm& vm,
                                    const std::string& id,
                                    job_outcome outcome)
{
    auto& scheduler = vm.scheduler;
    const auto found = scheduler.jobs.find(id);
    if (found == scheduler.jobs.end() || vm.killed ||
        is_final(found->second.outcome.state))
    {
        return;
    }
    found->second.outcome = std::move(outcome);
    const auto ended = found->second;
    if (scheduler.drops_ended_jobs)
    {
        scheduler.jobs.erase(found);
    }
    const auto row = rows.find("job/" + id);
    if (row != rows.end())
    {
        row->second.value = json_text(to_json(ended, clock));
        ++row->second.version;
        rows.erase("open/" + ended.zone + "/" + id);
    }
    scheduler.hooks.on_job_ended(ended);
}

local_scheduler controller_simulation::scheduler_for(fake_vm& vm,
                                                     zone_scheduler_hooks hooks)
{
    vm.scheduler.hooks = std::move(hooks);
    auto* const self = &vm.scheduler;
    local_scheduler result;
    result.activate = [self]
    {
        self->active = true;
    };
    result.deactivate = [this, self](const std::function<void()>& released)
    {
        self->active = false;
        at(link_delay, released);
    };
    result.active = [self]
    {
        return self->active;
    };
    result.set_configuration = [self](const configuration&, bool open)
    {
        self->open = open;
    };
    result.set_backend_servers = [](std::span<const vm_member>) {
    };
    result.enqueue = [this, self, &vm](const job& item)
    {
        const auto id = job_id(item.request);
        if (self->refusal)
        {
            return std::exchange(self->refusal, failure{});
        }
        if (self->jobs.contains(id))
        {
            return failure{};
        }
        self->jobs[id] = item;
        ++self->runs[id];
        job_outcome outcome;
        outcome.state = job_state::done;
        outcome.answer = "answer to " + id + ": " + item.request.payload;
        at(run_time, [this, &vm, id, outcome] { end_job(vm, id, outcome); });
        return failure{};
    };
    result.cancel = [self](std::string_view id)
    {
        self->cancelled.emplace_back(id);
        return self->jobs.contains(std::string(id))
                   ? failure{}
                   : failure{result_code::not_found, "unknown"};
    };
    result.status_of = [self](std::string_view id)
    {
        job_status_reply reply;
        const auto found = self->jobs.find(std::string(id));
        if (found == self->jobs.end())
        {
            reply.error = {result_code::not_found, "unknown"};
            return reply;
        }
        reply.outcome = found->second.outcome;
        reply.explanation = "known";
        return reply;
    };
    result.status = []
    {
        return zone_status{};
    };
    result.tick = [] {
    };
    return result;
}

capacity_sheet test_sheet()
{
    capacity_sheet sheet;
    sheet.zones = {{"a", "south", {{"r1", 4, 8}}},
                   {"b", "north", {{"r1", 4, 8}}}};
    sheet.customers = {{"umkhonto", 0, 100}};
    job_kind check;
    check.name = "check";
    check.urgency_class = urgency::urgent;
    job_kind tint = check;
    tint.name = "tint";
    tint.idempotent = false;
    job_kind glaze;
    glaze.name = "glaze";
    glaze.expected_run = milliseconds(60000);
    check.objective_within = milliseconds(9800);
    sheet.kinds = {check, tint, glaze};
    return sheet;
}

job_request request_of(const std::string& kind, const std::string& key)
{
    job_request request;
    request.customer = "umkhonto";
    request.key = key;
    request.kind = kind;
    request.accelerators = 1;
    request.payload = "payload of " + key;
    return request;
}

} // namespace poplarramp::tests
