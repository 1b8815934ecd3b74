#include "soak/site.hpp"

#include "model/codec.hpp"
#include "platform/wire.hpp"

#include <boost/url/parse.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace poplarramp::soak
{

namespace
{

namespace asio = boost::asio;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_condition_failed = 412;
constexpr int status_other_incarnation = 421;
constexpr int status_unavailable = 503;

// The virtual clock starts at the Unix time, so that both agree.
std::int64_t unix_now()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(wall).count();
}

http_response response_of(int status, const Json::Value& body)
{
    http_response response;
    response.status = status;
    response.body = json_text(body);
    return response;
}

std::string text_at(const std::map<std::string, std::string>& query,
                    const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

std::uint64_t number_at(const std::map<std::string, std::string>& query,
                        const std::string& name,
                        std::uint64_t fallback)
{
    const auto text = text_at(query, name);
    return text.empty() ? fallback : std::stoull(text);
}

std::string key_of(const Json::Value& row)
{
    return row["table"].asString() + "/" + row["key"].asString();
}

Json::Value row_json(const table_row_change& change)
{
    const auto& key = change.row.key;
    const auto slash = key.find('/');
    Json::Value json;
    json["table"] = key.substr(0, slash);
    json["part"] = "";
    json["key"] = key.substr(slash + 1);
    json["value"] = platform::base64_encode(change.row.value);
    json["ver"] = static_cast<Json::UInt64>(change.row.version);
    if (change.removed)
    {
        json["deleted"] = true;
    }
    return json;
}

Json::Value rows_json(const std::vector<table_row_change>& changes,
                      std::uint64_t version)
{
    Json::Value json;
    json["rows"] = Json::Value(Json::arrayValue);
    for (const auto& change : changes)
    {
        json["rows"].append(row_json(change));
    }
    json["ver"] = static_cast<Json::UInt64>(version);
    return json;
}

Json::Value config_json(const deployment_config& config)
{
    Json::Value json;
    json["config_version"] = static_cast<Json::UInt64>(config.version);
    for (const auto& queue : config.queues)
    {
        Json::Value route;
        route["name"] = queue.name;
        route["hostname"] = queue.host;
        route["prefix"] = queue.path_prefix;
        route["backend"] = queue.service;
        route["priority"] = queue.policy.priority;
        route["max_attempts"] = queue.policy.max_attempts;
        route["stretch"] = queue.policy.stretch;
        json["routes"].append(route);
    }
    for (const auto& service : config.services)
    {
        json["services"].append(Json::objectValue)["name"] = service.name;
    }
    for (const auto& customer : config.customers)
    {
        auto& tenant = json["tenants"].append(Json::objectValue);
        tenant["name"] = customer.name;
        tenant["api_keys"].append(customer.keys.front());
        tenant["guaranteed"]["gpus"] =
            static_cast<Json::Int64>(customer.guaranteed_accelerators);
    }
    return json;
}

std::string_view reason_of(order_outcome outcome)
{
    return outcome == order_outcome::fenced          ? "fence"
           : outcome == order_outcome::lease_expired ? "late"
                                                     : "old";
}

} // namespace

site::site(asio::io_context& traffic,
           asio::io_context& control,
           std::uint64_t seed,
           int server_count)
    : traffic_(traffic), control_(control), started_(monotonic_now()),
      sim_started_(unix_now()), sim_(seed, 0)
{
    sim_.now = sim_started_;
    store_ = listen([this](const http_request& request, respond_hook respond)
                    { serve_store(request, std::move(respond)); });
    put_config();
    for (int i = 0; i < server_count; ++i)
    {
        const auto id = std::string("s").append(std::to_string(i));
        auto& listener = servers_[id];
        listener = listen(
            [this, id](const http_request& request, const respond_hook& respond)
            { serve_server(id, request, respond); });
        links_[id] = std::make_unique<proxy>(control_, listener->port());
        auto& server = sim_.servers[id];
        server.entry.id = id;
        server.entry.incarnation = sim_.now;
        server.entry.address =
            "127.0.0.1:" + std::to_string(links_[id]->port());
        server.entry.service = "svc";
        server.entry.zone = "zone-a";
        server.entry.rack = i < server_count / 2 ? "r1" : "r2";
        server.entry.capacity = {64000, 262144, 8};
        server.clock_start = sim_.now;
        put_server(id);
    }
}

std::unique_ptr<http_server> site::listen(http_handler handler)
{
    auto listener = std::make_unique<http_server>(
        traffic_, control_, http_server_settings{}, std::move(handler));
    failure why;
    if (!listener->listen(why))
    {
        throw std::runtime_error(why.reason);
    }
    return listener;
}

void site::tick()
{
    const auto real = sim_started_ + (monotonic_now() - started_).count();
    if (real > sim_.now)
    {
        sim_.run(milliseconds(real - sim_.now));
    }
    for (auto call = waiting_.begin(); call != waiting_.end();)
    {
        auto response = call->poll(monotonic_now() >= call->deadline);
        if (!response)
        {
            ++call;
            continue;
        }
        call->respond(std::move(*response));
        call = waiting_.erase(call);
    }
}

void site::put_config()
{
    ++sim_.config.version;
    sim_.write("op/config", json_text(config_json(sim_.config)));
}

void site::put_server(const std::string& id)
{
    const auto& entry = sim_.servers.at(id).entry;
    Json::Value json;
    json["backend"] = entry.service;
    json["address"] = entry.address;
    json["zone"] = entry.zone;
    json["state"] = entry.draining ? "draining" : "ready";
    json["born"] = static_cast<Json::Int64>(entry.incarnation);
    json["labels"].append("a");
    json["labels"].append(entry.rack);
    json["capacity"]["cpu"] =
        static_cast<Json::Int64>(entry.capacity.cpu_millis);
    json["capacity"]["mem_mb"] =
        static_cast<Json::Int64>(entry.capacity.memory_mb);
    json["capacity"]["gpus"] =
        static_cast<Json::Int64>(entry.capacity.accelerators);
    sim_.write("servers/" + id, json_text(json));
}

void site::restart_server(const std::string& id)
{
    auto& server = sim_.servers.at(id);
    auto restarted = fakes::fake_server{};
    restarted.entry = server.entry;
    restarted.entry.incarnation = sim_.now;
    restarted.clock_start = sim_.now;
    server = std::move(restarted);
    put_server(id);
}

std::string site::leader() const
{
    const auto found = sim_.stored_rows.find("leader/scheduler");
    failure why;
    const auto json = found == sim_.stored_rows.end()
                          ? std::nullopt
                          : parse_json(found->second.value, why);
    return json ? (*json)["vm"].asString() : "";
}

void site::serve_store(const http_request& request, respond_hook respond)
{
    if (sim_.store_down)
    {
        respond(response_of(status_unavailable, Json::objectValue));
        return;
    }
    const auto url = boost::urls::parse_origin_form(request.target);
    if (!url)
    {
        respond(response_of(status_conflict, Json::objectValue));
        return;
    }
    std::map<std::string, std::string> query;
    for (const auto& item : url->params())
    {
        query[std::string(item.key)] = std::string(item.value);
    }
    const std::string path(url->encoded_path());
    if (path == "/v1/rows-tx")
    {
        transact(request, respond);
    }
    else if (path == "/v1/rows-feed")
    {
        serve_feed(query, std::move(respond));
    }
    else
    {
        const auto prefix = text_at(query, "table") + "/";
        const auto from = prefix + text_at(query, "from");
        const auto to = text_at(query, "to");
        const auto limit = number_at(query, "limit", 500);
        std::vector<table_row_change> rows;
        bool more = false;
        for (const auto& [key, row] : sim_.stored_rows)
        {
            if (!key.starts_with(prefix) || key < from ||
                (!to.empty() && key >= prefix + to))
            {
                continue;
            }
            more = rows.size() >= limit;
            if (more)
            {
                break;
            }
            rows.push_back({row, false});
        }
        auto json = rows_json(rows, sim_.version);
        json["has_more"] = more;
        respond(response_of(status_ok, json));
    }
}

void site::serve_feed(const std::map<std::string, std::string>& query,
                      respond_hook respond)
{
    const auto prefix = text_at(query, "table") + "/";
    const auto after = number_at(query, "after", 0);
    if (sim_.changes_after(prefix, after).error)
    {
        respond(response_of(status_gone, Json::objectValue));
        return;
    }
    const milliseconds wait(
        static_cast<std::int64_t>(number_at(query, "wait_ms", 0)));
    waiting_.push_back(
        {monotonic_now() + wait,
         [this, prefix, after](bool timed_out) -> std::optional<http_response>
         {
             const auto reply = sim_.changes_after(prefix, after);
             if (!timed_out && reply.changes.empty())
             {
                 return std::nullopt;
             }
             return response_of(status_ok,
                                rows_json(reply.changes, reply.version));
         },
         std::move(respond)});
}

void site::transact(const http_request& request, const respond_hook& respond)
{
    failure why;
    const auto json = parse_json(request.body, why);
    if (!json)
    {
        respond(response_of(status_conflict, Json::objectValue));
        return;
    }
    table_transaction change;
    for (const auto& row : (*json)["precondition"])
    {
        change.checks.push_back({key_of(row), row["ver"].asUInt64()});
    }
    for (const auto& row : (*json)["writes"])
    {
        change.puts.push_back(
            {key_of(row), *platform::base64_decode(row["value"].asString())});
    }
    for (const auto& row : (*json)["remove"])
    {
        change.removals.push_back(key_of(row));
    }
    const auto reply = sim_.apply(change);
    std::vector<table_row_change> found;
    for (const auto& row : reply.found)
    {
        found.push_back({row, false});
    }
    respond(response_of(reply.error ? status_condition_failed : status_ok,
                        rows_json(found, sim_.version)));
}

void site::serve_server(const std::string& id,
                        const http_request& request,
                        const respond_hook& respond)
{
    auto& server = sim_.servers.at(id);
    server.advance(sim_);
    const auto target_header =
        std::find_if(request.headers.begin(),
                     request.headers.end(),
                     [](const http_header& header)
                     { return header.name == "X-Target-Instance"; });
    if (!server.up || target_header == request.headers.end() ||
        target_header->value != id)
    {
        respond(response_of(status_other_incarnation, Json::objectValue));
        return;
    }
    failure why;
    const auto parsed = parse_json(request.body, why);
    const auto json = parsed.value_or(Json::Value(Json::objectValue));
    const server_target to{
        server.entry.address, id, json["fencing_token"].asUInt64()};
    if (request.target == "/v1/hold")
    {
        renew(id, to, json, respond);
        return;
    }
    const auto task = parse_task_name(json["task"].asString());
    if (!task)
    {
        respond(response_of(status_conflict, Json::objectValue));
        return;
    }
    const run_id run{*task, json["attempt_id"].asInt()};
    const auto reply = request.target == "/v1/run-stop"
                           ? server.stop(sim_, to, run)
                           : server.start(sim_,
                                          to,
                                          {run,
                                           json["task_spec"].asString(),
                                           json["until_ms"].asInt64(),
                                           json["last_checkpoint"].asString()});
    Json::Value body;
    body["clock_ms"] = static_cast<Json::Int64>(server.clock(sim_.now));
    if (reply.outcome != order_outcome::done)
    {
        body["reason"] = std::string(reason_of(reply.outcome));
    }
    respond(response_of(reply.outcome == order_outcome::done ? status_ok
                                                             : status_conflict,
                        body));
}

void site::renew(const std::string& id,
                 const server_target& to,
                 const Json::Value& json,
                 const respond_hook& respond)
{
    renew_order order;
    order.acknowledged_end = json["last_seen"].asUInt64();
    if (json.isMember("until_ms"))
    {
        order.lease_until = json["until_ms"].asInt64();
    }
    // The lease and the acknowledged end take effect before the long poll.
    sim_.servers.at(id).renew(sim_, to, order);
    order.lease_until.reset();
    const milliseconds wait(json["wait_ms"].asInt64());
    waiting_.push_back({monotonic_now() + wait,
                        [this, id, to, order](bool timed_out)
                        { return list_runs(id, to, order, timed_out); },
                        respond});
}

std::optional<http_response> site::list_runs(const std::string& id,
                                             const server_target& to,
                                             const renew_order& order,
                                             bool timed_out)
{
    auto& server = sim_.servers.at(id);
    if (!timed_out && server.ended.empty() && to.epoch >= server.epoch)
    {
        return std::nullopt;
    }
    const auto reply = server.renew(sim_, to, order);
    Json::Value body;
    body["clock_ms"] = static_cast<Json::Int64>(*reply.order.clock);
    body["born"] = static_cast<Json::Int64>(reply.incarnation);
    if (reply.order.outcome != order_outcome::done)
    {
        body["reason"] = std::string(reason_of(reply.order.outcome));
        return response_of(status_conflict, body);
    }
    body["active"] = Json::Value(Json::arrayValue);
    body["ended"] = Json::Value(Json::arrayValue);
    for (const auto& item : reply.active)
    {
        auto& row = body["active"].append(Json::arrayValue);
        row.append(text_of(item.run.task));
        row.append(item.run.attempt);
        row.append(item.checkpoint);
        row.append(item.percent);
    }
    for (const auto& item : reply.ended)
    {
        auto& row = body["ended"].append(Json::arrayValue);
        row.append(static_cast<Json::UInt64>(item.number));
        row.append(text_of(item.run.task));
        row.append(item.run.attempt);
        row.append(std::string(name_of(item.outcome)));
        row.append(item.checkpoint);
    }
    return response_of(status_ok, body);
}

} // namespace poplarramp::soak
