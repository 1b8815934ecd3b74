#include "world.hpp"

#include "model/codec.hpp"
#include "platform/wire.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <utility>

namespace review
{

namespace asio = boost::asio;
using poplarramp::milliseconds;

namespace
{

constexpr std::int64_t tick_interval = 5;
// Bounds of one answer of the store.
constexpr int max_rows = 500;
constexpr std::size_t max_answer_bytes = 1'000'000;
constexpr std::int64_t restart_delay = 500;

Json::Value parse(const std::string& text)
{
    poplarramp::failure why;
    auto json = poplarramp::parse_json(text, why);
    return json ? *json : Json::Value(Json::objectValue);
}

http_response json_reply(int status, const Json::Value& body)
{
    http_response result;
    result.status = status;
    result.body = poplarramp::json_text(body);
    return result;
}

std::string percent_decoded(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            result += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> result;
    auto rest = target.find('?') == std::string::npos
                    ? ""
                    : target.substr(target.find('?') + 1);
    while (!rest.empty())
    {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto item = rest.substr(0, end);
        const auto equals = std::min(item.find('='), item.size());
        result[item.substr(0, equals)] = percent_decoded(
            equals < item.size() ? item.substr(equals + 1) : "");
        rest = end < rest.size() ? rest.substr(end + 1) : "";
    }
    return result;
}

std::string header_of(const http_request& request, const std::string& name)
{
    for (const auto& header : request.headers)
    {
        if (header.name == name)
        {
            return header.value;
        }
    }
    return "";
}

// A free port below those that the kernel gives to connections; scripts that
// run side by side begin at different ones.
std::uint16_t free_port()
{
    constexpr int first = 20000;
    constexpr int count = 12000;
    constexpr int ports_of_process = 40;
    static int next = getpid() * ports_of_process;
    asio::io_context context;
    while (true)
    {
        const asio::ip::tcp::endpoint at(
            asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(first + next++ % count));
        asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(at.protocol(), error);
        acceptor.bind(at, error);
        if (!error)
        {
            return at.port();
        }
    }
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Store.

void store::apply(const std::string& table,
                  const std::string& key,
                  const std::optional<std::string>& value,
                  std::uint64_t version)
{
    if (value)
    {
        rows_[{table, key}] = {*value, version};
    }
    else
    {
        rows_.erase({table, key});
    }
    history_.push_back(
        {table, key, value.value_or(""), version, !value.has_value()});
}

void store::put(const std::string& table,
                const std::string& key,
                const std::string& value)
{
    apply(table, key, value, ++version_);
}

void store::remove(const std::string& table, const std::string& key)
{
    apply(table, key, std::nullopt, ++version_);
}

std::string store::value(const std::string& table, const std::string& key) const
{
    const auto found = rows_.find({table, key});
    return found == rows_.end() ? "" : found->second.value;
}

http_response store::transact(const Json::Value& body)
{
    Json::Value result;
    bool holds = true;
    for (const auto& item : body["precondition"])
    {
        const std::pair<std::string, std::string> at{item["table"].asString(),
                                                     item["key"].asString()};
        const auto found = rows_.find(at);
        const auto version = found == rows_.end() ? 0 : found->second.version;
        holds = holds && version == item["ver"].asUInt64();
        if (found != rows_.end())
        {
            Json::Value row;
            row["table"] = at.first;
            row["part"] = "";
            row["key"] = at.second;
            row["value"] =
                poplarramp::platform::base64_encode(found->second.value);
            row["ver"] = static_cast<Json::UInt64>(version);
            result["rows"].append(row);
        }
    }
    if (holds)
    {
        ++version_;
        for (const auto& item : body["writes"])
        {
            apply(item["table"].asString(),
                  item["key"].asString(),
                  poplarramp::platform::base64_decode(item["value"].asString())
                      .value_or(""),
                  version_);
        }
        for (const auto& item : body["remove"])
        {
            apply(item["table"].asString(),
                  item["key"].asString(),
                  std::nullopt,
                  version_);
        }
        result.removeMember("rows");
    }
    result["ver"] = static_cast<Json::UInt64>(version_);
    result["now_ms"] = static_cast<Json::Int64>(now_ms());
    return json_reply(holds ? 200 : 412, result);
}

http_response store::get(const std::map<std::string, std::string>& query) const
{
    const auto text = [&query](const char* name)
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const auto limit =
        text("limit").empty() ? max_rows : std::stoi(text("limit"));
    Json::Value result;
    result["rows"] = Json::Value(Json::arrayValue);
    result["has_more"] = false;
    std::size_t bytes = 0;
    for (auto i = rows_.lower_bound({text("table"), text("from")});
         i != rows_.end() && i->first.first == text("table");
         ++i)
    {
        if (!text("to").empty() && i->first.second >= text("to"))
        {
            break;
        }
        bytes += i->second.value.size() * 4 / 3;
        if (static_cast<int>(result["rows"].size()) >=
                std::min(limit, max_rows) ||
            (bytes > max_answer_bytes && !result["rows"].empty()))
        {
            result["has_more"] = true;
            break;
        }
        Json::Value row;
        row["table"] = i->first.first;
        row["part"] = "";
        row["key"] = i->first.second;
        row["value"] = poplarramp::platform::base64_encode(i->second.value);
        row["ver"] = static_cast<Json::UInt64>(i->second.version);
        result["rows"].append(row);
    }
    result["ver"] = static_cast<Json::UInt64>(version_);
    result["now_ms"] = static_cast<Json::Int64>(now_ms());
    return json_reply(200, result);
}

std::optional<http_response> store::feed(const waiting_feed& call,
                                         bool last) const
{
    Json::Value result;
    result["rows"] = Json::Value(Json::arrayValue);
    auto reached = version_;
    std::size_t bytes = 0;
    const auto first =
        std::upper_bound(history_.begin(),
                         history_.end(),
                         call.after,
                         [](std::uint64_t after, const change& item)
                         { return after < item.version; });
    for (auto i = first; i != history_.end(); ++i)
    {
        const auto& item = *i;
        if (item.table != call.table)
        {
            continue;
        }
        bytes += item.value.size() * 4 / 3;
        // All changes of one transaction have the same version.
        const bool more = !result["rows"].empty() &&
                          (bytes > max_answer_bytes ||
                           static_cast<int>(result["rows"].size()) >= max_rows);
        if (more && std::prev(i)->version != item.version)
        {
            reached = std::prev(i)->version;
            break;
        }
        Json::Value row;
        row["table"] = item.table;
        row["part"] = "";
        row["key"] = item.key;
        row["ver"] = static_cast<Json::UInt64>(item.version);
        if (item.removed)
        {
            row["deleted"] = true;
        }
        else
        {
            row["value"] = poplarramp::platform::base64_encode(item.value);
        }
        result["rows"].append(row);
    }
    if (result["rows"].empty() && !last)
    {
        return std::nullopt;
    }
    result["ver"] = static_cast<Json::UInt64>(reached);
    result["now_ms"] = static_cast<Json::Int64>(now_ms());
    return json_reply(200, result);
}

void store::handle(const http_request& request, const respond_hook& respond)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto query = query_of(request.target);
    if (path == "/v1/rows-tx")
    {
        respond(transact(parse(request.body)));
    }
    else if (path == "/v1/rows-get")
    {
        respond(get(query));
    }
    else if (path == "/v1/rows-feed")
    {
        waiting_.push_back({query.at("table"),
                            std::stoull(query.at("after")),
                            now_ms() + std::stoll(query.at("wait_ms")),
                            respond});
    }
    else
    {
        respond(json_reply(404, Json::Value(Json::objectValue)));
    }
}

void store::tick()
{
    for (auto i = waiting_.begin(); i != waiting_.end();)
    {
        const auto result = feed(*i, now_ms() >= i->until);
        if (result)
        {
            i->respond(*result);
        }
        i = result ? waiting_.erase(i) : std::next(i);
    }
}

// Worker.

worker::worker(world& owner, std::string own_id, std::string zone, int number)
    : id(std::move(own_id)), world_(owner), zone_(std::move(zone)),
      number_(number)
{
}

std::int64_t worker::clock() const
{
    return now_ms() - clock_start_;
}

http_response worker::reply(int status, const std::string& reason) const
{
    Json::Value body;
    body["clock_ms"] = static_cast<Json::Int64>(clock());
    if (!reason.empty())
    {
        body["reason"] = reason;
    }
    return json_reply(status, body);
}

void worker::extend(const Json::Value& body)
{
    if (body.isMember("until_ms"))
    {
        lease_ = std::max(
            lease_, std::min(body["until_ms"].asInt64(), clock() + hold_max));
    }
}

http_response worker::start(const Json::Value& body)
{
    const auto task = body["task"].asString();
    const int attempt = body["attempt_id"].asInt();
    const bool there =
        std::any_of(active.begin(),
                    active.end(),
                    [&](const run& item)
                    { return item.task == task && item.attempt == attempt; });
    if (body["until_ms"].asInt64() <= clock())
    {
        return reply(409, "late");
    }
    extend(body);
    if (there)
    {
        return reply(200);
    }
    if (attempt <= highest_[task])
    {
        return reply(409, "old");
    }
    run item;
    item.task = task;
    item.attempt = attempt;
    item.started = now_ms();
    // The text of a job of these tests is "MS" or "MS fail".
    const auto spec = body["task_spec"].asString();
    item.fails = spec.find("fail") != std::string::npos;
    item.ends = item.started + std::stoll(spec);
    active.push_back(item);
    world_.starts.push_back({now_ms(), task, attempt, id});
    world_.log("worker " + id + " starts " + task + " run " +
               std::to_string(attempt) + " on fence " +
               body["fencing_token"].asString());
    return reply(200);
}

http_response worker::stop(const Json::Value& body)
{
    const auto task = body["task"].asString();
    const int attempt = body["attempt_id"].asInt();
    highest_[task] = std::max(highest_[task], attempt);
    for (auto& item : active)
    {
        if (item.task == task && item.attempt == attempt && !item.stops)
        {
            item.stops = now_ms() + stop_time;
        }
    }
    return reply(200);
}

http_response worker::lists() const
{
    Json::Value body;
    body["clock_ms"] = static_cast<Json::Int64>(clock());
    body["born"] = static_cast<Json::Int64>(born_);
    body["active"] = Json::Value(Json::arrayValue);
    body["ended"] = Json::Value(Json::arrayValue);
    for (const auto& item : active)
    {
        Json::Value row(Json::arrayValue);
        row.append(item.task);
        row.append(item.attempt);
        row.append("");
        const auto length = item.ends - item.started;
        row.append(length > 0 ? static_cast<Json::Int64>(
                                    (now_ms() - item.started) * 100 / length)
                              : 0);
        row.append(0);
        body["active"].append(row);
    }
    for (const auto& item : ended_)
    {
        Json::Value row(Json::arrayValue);
        row.append(static_cast<Json::UInt64>(item.number));
        row.append(item.task);
        row.append(item.attempt);
        row.append(item.how);
        row.append("");
        body["ended"].append(row);
    }
    return json_reply(200, body);
}

void worker::handle(const http_request& request, const respond_hook& respond)
{
    if (cut)
    {
        return;
    }
    const auto body = parse(request.body);
    if (header_of(request, "X-Target-Instance") != id)
    {
        respond(reply(421));
        return;
    }
    const auto fence = body["fencing_token"].asUInt64();
    if (fence < fence_)
    {
        respond(reply(409, "fence"));
        return;
    }
    fence_ = fence;
    if (request.target == "/v1/run-start")
    {
        respond(start(body));
    }
    else if (request.target == "/v1/run-stop")
    {
        respond(stop(body));
    }
    else if (request.target == "/v1/hold")
    {
        extend(body);
        const auto seen = body["last_seen"].asUInt64();
        std::erase_if(ended_,
                      [this, seen](const ended& item)
                      {
                          const bool noted = item.number <= seen;
                          if (noted)
                          {
                              world_.log("worker " + id + " end " +
                                         std::to_string(item.number) + " (" +
                                         item.task + " " + item.how +
                                         ") is taken note of");
                          }
                          return noted;
                      });
        waiting_.push_back({now_ms() + body["wait_ms"].asInt64(), respond});
    }
    else
    {
        respond(reply(404));
    }
}

void worker::end(const std::string& task, int attempt, const std::string& how)
{
    const auto erased =
        std::erase_if(active,
                      [&](const run& item)
                      { return item.task == task && item.attempt == attempt; });
    if (erased == 0)
    {
        return;
    }
    highest_[task] = std::max(highest_[task], attempt);
    ended_.push_back({++last_number_, task, attempt, how});
    world_.ends.push_back({now_ms(), task, attempt, id, how});
    world_.log("worker " + id + " ends " + task + " run " +
               std::to_string(attempt) + ": " + how);
}

// Its entry is removed after three intervals of silence.
void worker::crash()
{
    cut = true;
    gone = true;
    active.clear();
    next_beat_ = now_ms() + 3 * heartbeat;
}

void worker::restart()
{
    cut = false;
    gone = false;
    active.clear();
    born_ = unix_ms();
    clock_start_ = now_ms() - 1;
    lease_ = 0;
    fence_ = 0;
    seq_ = 0;
    last_number_ = 0;
    ended_.clear();
    highest_.clear();
    waiting_.clear();
    beat();
}

void worker::tick()
{
    const auto now = now_ms();
    if (gone)
    {
        if (now >= next_beat_ && !world_.platform.value("servers", id).empty())
        {
            world_.platform.remove("servers", id);
        }
        return;
    }
    if (!active.empty() && clock() > lease_)
    {
        const auto lapsed = active;
        for (const auto& item : lapsed)
        {
            end(item.task, item.attempt, "lapsed");
        }
    }
    const auto copies = active;
    for (const auto& item : copies)
    {
        if (item.stops && now >= *item.stops)
        {
            end(item.task, item.attempt, "stopped");
        }
        else if (now >= item.ends)
        {
            end(item.task, item.attempt, item.fails ? "failed" : "done");
        }
    }
    for (auto i = waiting_.begin(); i != waiting_.end();)
    {
        const bool due = !ended_.empty() || now >= i->until;
        if (due && !cut)
        {
            i->respond(lists());
        }
        i = due ? waiting_.erase(i) : std::next(i);
    }
    if (now >= next_beat_)
    {
        beat();
    }
}

void worker::beat()
{
    next_beat_ = now_ms() + heartbeat;
    Json::Value entry;
    entry["backend"] = "engine";
    entry["address"] = "127.0.0.1:" + std::to_string(port);
    entry["zone"] = zone_;
    entry["config_version"] = "v1";
    entry["slots"] = 8;
    entry["state"] = "ready";
    entry["cold_remaining_ms"] = 0;
    entry["capacity"]["cpu"] = 64000;
    entry["capacity"]["mem_mb"] = 262144;
    entry["capacity"]["gpus"] = static_cast<Json::Int64>(gpus);
    entry["labels"].append("a");
    entry["labels"].append("r1-" + std::to_string(number_));
    entry["born"] = static_cast<Json::Int64>(born_);
    entry["clock_ms"] = static_cast<Json::Int64>(clock());
    entry["seq"] = static_cast<Json::UInt64>(++seq_);
    world_.platform.put("servers", id, poplarramp::json_text(entry));
}

// World.

world::world(const std::string& folder, std::string program)
    : program_(std::move(program)), folder_(folder),
      record_(folder + "/record.txt")
{
    std::string pattern = "/tmp/poplarramp-review-XXXXXX";
    temporary_ = mkdtemp(pattern.data()) == nullptr ? "/tmp" : pattern;
    client_ = std::make_unique<poplarramp::http_client>(traffic_, control_);
    store_server_ =
        listen([this](const http_request& request, const respond_hook& respond)
               { platform.handle(request, respond); });
    for (auto* context : {&traffic_, &control_})
    {
        threads_.emplace_back(
            [context]
            {
                const auto guard = asio::make_work_guard(*context);
                context->run();
            });
    }
    const auto timer = std::make_shared<asio::steady_timer>(control_);
    tick_loop_ = [this, timer]
    {
        tick();
        timer->expires_after(std::chrono::milliseconds(tick_interval));
        timer->async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    tick_loop_();
                }
            });
    };
    asio::post(control_, [this] { tick_loop_(); });
}

void world::close()
{
    for (auto& [name, item] : nodes)
    {
        if (item.pid > 0)
        {
            ::kill(item.pid, SIGKILL);
            waitpid(item.pid, nullptr, 0);
        }
    }
    control_.stop();
    traffic_.stop();
    for (auto& thread : threads_)
    {
        thread.join();
    }
    record_.flush();
    if (getenv("KEEP_LOGS") == nullptr)
    {
        for (const auto& [name, item] : nodes)
        {
            std::remove(item.settings.c_str());
            std::remove(item.log.c_str());
        }
        rmdir(temporary_.c_str());
    }
}

std::unique_ptr<http_server> world::listen(poplarramp::http_handler handler)
{
    poplarramp::http_server_settings settings;
    settings.max_body_bytes = std::uint64_t{16} * 1024 * 1024;
    auto server = std::make_unique<http_server>(
        traffic_, control_, settings, std::move(handler));
    poplarramp::failure why;
    if (!server->listen(why))
    {
        std::cerr << "cannot listen: " << why.reason << "\n";
        std::exit(2);
    }
    return server;
}

void world::tick()
{
    for (auto& [id, item] : workers)
    {
        item->tick();
    }
    platform.tick();
}

void world::sync(const std::function<void()>& action)
{
    std::promise<void> done;
    asio::post(control_,
               [&]
               {
                   action();
                   done.set_value();
               });
    done.get_future().wait();
}

void world::sleep(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

double world::now() const
{
    return static_cast<double>(now_ms() - started_) / 1000;
}

void world::log(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", now());
    record_ << time << text << std::endl;
}

void world::add_worker(const std::string& id, const std::string& zone)
{
    sync(
        [&]
        {
            auto item = std::make_unique<worker>(
                *this, id, zone, static_cast<int>(workers.size()));
            auto server =
                listen([target = item.get()](const http_request& request,
                                             const respond_hook& respond)
                       { target->handle(request, respond); });
            item->port = server->port();
            worker_servers_.push_back(std::move(server));
            workers[id] = std::move(item);
        });
}

void world::add_node(const std::string& name, const std::string& zone)
{
    auto& item = nodes[name];
    const auto address = []
    {
        return "127.0.0.1:" + std::to_string(free_port());
    };
    item.name = name;
    item.zone = zone;
    item.callers = address();
    item.ready = address();
    item.settings = temporary_ + "/" + name + ".jsonc";
    item.log = temporary_ + "/" + name + ".log";
    Json::Value settings;
    settings["vm"] = name;
    settings["zone"] = zone;
    settings["listen"]["callers"] = item.callers;
    settings["listen"]["ready"] = item.ready;
    settings["listen"]["metrics"] = address();
    settings["listen"]["inner"] = address();
    settings["store"] = "127.0.0.1:" + std::to_string(store_server_->port());
    settings["regions"]["nabeul-a"] = "nabeul";
    settings["regions"]["sfax-a"] = "sfax";
    settings["regions"]["kairouan-a"] = "kairouan";
    settings["processor_share"] = 0.25;
    settings["scheduling"]["learn_speeds"] = true;
    settings["scheduling"]["weigh_value"] = true;
    settings["limits"]["memory_mb"] = memory_mb;
    settings["limits"]["descriptors"] = 4100;
    settings["bounds"]["longest_lease_ms"] = static_cast<Json::Int64>(hold_max);
    settings["bounds"]["key_revocation_ms"] = 5000;
    settings["bounds"]["stop_limit_s"] = 6;
    settings["bounds"]["status_time_s"] = 120;
    settings["bounds"]["far_factor"] = 3;
    std::ofstream(item.settings) << poplarramp::json_text(settings);
}

void world::start_node(const std::string& name)
{
    auto& item = nodes.at(name);
    log("start of process " + name);
    const auto program = program_;
    item.pid = fork();
    if (item.pid == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log_file =
            open(item.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log_file, STDOUT_FILENO);
        dup2(log_file, STDERR_FILENO);
        for (int fd = STDERR_FILENO + 1; fd < 1024; ++fd)
        {
            ::close(fd);
        }
        execl(program.c_str(),
              program.c_str(),
              "serve-site",
              "--settings",
              item.settings.c_str(),
              static_cast<char*>(nullptr));
        _exit(127);
    }
}

void world::kill_node(const std::string& name)
{
    auto& item = nodes.at(name);
    log("SIGKILL of process " + name);
    ::kill(item.pid, SIGKILL);
    waitpid(item.pid, nullptr, 0);
    item.pid = 0;
}

std::string world::leader()
{
    std::string row;
    sync([&] { row = platform.value("leader", "scheduler"); });
    return parse(row)["vm"].asString();
}

std::uint64_t world::leader_epoch()
{
    std::string row;
    sync([&] { row = platform.value("leader", "scheduler"); });
    return parse(row)["epoch"].asUInt64();
}

bool world::wait_ready(std::int64_t limit)
{
    const auto until = now_ms() + limit;
    while (now_ms() < until)
    {
        bool all = true;
        for (const auto& entry : nodes)
        {
            const auto& item = entry.second;
            std::promise<int> status;
            asio::post(control_,
                       [&]
                       {
                           http_request request;
                           request.method = "GET";
                           request.target = "/v1/ready";
                           client_->send_function()(
                               item.ready,
                               request,
                               poplarramp::monotonic_now() + milliseconds(500),
                               [&](const poplarramp::http_reply& reply) {
                                   status.set_value(
                                       reply.error ? 0 : reply.response.status);
                               });
                       });
            all = status.get_future().get() == 200 && all;
        }
        if (all && !leader().empty())
        {
            return true;
        }
        sleep(100);
    }
    return false;
}

answer world::call(const std::string& node_name,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body,
                   const std::string& key)
{
    std::promise<answer> result;
    const auto address = nodes.at(node_name).callers;
    asio::post(control_,
               [&]
               {
                   http_request request;
                   request.method = method;
                   request.target = path;
                   request.body = body;
                   request.host = "work.example";
                   request.authorization = "Bearer " + key;
                   request.headers.push_back({"X-Deadline-Ms", "3000"});
                   client_->send_function()(
                       address,
                       request,
                       poplarramp::monotonic_now() + milliseconds(3000),
                       [&](const poplarramp::http_reply& reply)
                       {
                           answer item;
                           if (!reply.error)
                           {
                               item.status = reply.response.status;
                               item.body = parse(reply.response.body);
                           }
                           result.set_value(item);
                       });
               });
    auto item = result.get_future().get();
    log(method + " " + path + " at " + node_name + ": " +
        (item.status == 0 ? "no answer" : std::to_string(item.status)) +
        (item.body.isMember("state") ? " " + item.body["state"].asString()
                                     : ""));
    return item;
}

void world::send(const std::string& node_name,
                 const std::string& path,
                 const std::string& body)
{
    const auto address = nodes.at(node_name).callers;
    asio::post(control_,
               [this, address, path, body]
               {
                   http_request request;
                   request.target = path;
                   request.body = body;
                   request.host = "work.example";
                   request.authorization = "Bearer key-2";
                   client_->send_function()(
                       address,
                       request,
                       poplarramp::monotonic_now() + milliseconds(3000),
                       [this](const poplarramp::http_reply& reply) {
                           ++answered_[reply.error ? 0 : reply.response.status];
                       });
               });
}

std::map<int, int> world::answered_calls()
{
    std::map<int, int> result;
    sync([&] { result = answered_; });
    return result;
}

void world::enforce_memory()
{
    for (auto& [name, item] : nodes)
    {
        if (item.pid == 0)
        {
            if (item.restart_at != 0 && now_ms() >= item.restart_at)
            {
                item.restart_at = 0;
                start_node(name);
            }
            continue;
        }
        std::ifstream file("/proc/" + std::to_string(item.pid) + "/statm");
        std::int64_t size = 0;
        std::int64_t resident = 0;
        file >> size >> resident;
        const auto mb = resident * sysconf(_SC_PAGESIZE) / 1'048'576;
        item.most_mb = std::max(item.most_mb, mb);
        if (mb > memory_mb)
        {
            log("process " + name + " uses " + std::to_string(mb) +
                " MB and is ended by the platform");
            kill_node(name);
            ++item.memory_kills;
            item.restart_at = now_ms() + restart_delay;
        }
    }
}

} // namespace review
