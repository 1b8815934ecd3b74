// Stand-ins for the platform's store, for workers and for consumers, and the
// processes under test. They follow the users' protocol page.
#ifndef POPLARRAMP_REVIEW_WORLD_HPP
#define POPLARRAMP_REVIEW_WORLD_HPP

#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using poplarramp::http_request;
using poplarramp::http_response;
using poplarramp::http_server;
using respond_hook = std::function<void(http_response)>;

// Bounds of the site file, in milliseconds.
constexpr std::int64_t hold_max = 10000;
constexpr std::int64_t heartbeat = 1500;
constexpr std::int64_t stop_time = 50;
constexpr int memory_mb = 260;

std::int64_t now_ms();
std::int64_t unix_ms();

class world;

// The platform's metadata store: one table part, with a change feed.
class store
{
public:
    explicit store(world& owner) : world_(owner)
    {
    }

    void handle(const http_request& request, const respond_hook& respond);
    void tick();
    // Writes of the operator and of the workers.
    void put(const std::string& table,
             const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // Empty if the row does not exist.
    std::string value(const std::string& table, const std::string& key) const;

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change
    {
        std::string table;
        std::string key;
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct waiting_feed
    {
        std::string table;
        std::uint64_t after = 0;
        std::int64_t until = 0;
        respond_hook respond;
    };

    http_response transact(const Json::Value& body);
    http_response get(const std::map<std::string, std::string>& query) const;
    std::optional<http_response> feed(const waiting_feed& call,
                                      bool last) const;
    void apply(const std::string& table,
               const std::string& key,
               const std::optional<std::string>& value,
               std::uint64_t version);

    world& world_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::vector<change> history_;
    std::uint64_t version_ = 0;
    std::list<waiting_feed> waiting_;
};

struct run
{
    std::string task;
    int attempt = 0;
    std::int64_t started = 0;
    // When the run ends by itself.
    std::int64_t ends = 0;
    bool fails = false;
    std::optional<std::int64_t> stops;
};

// A worker. It is one life at a time: after a restart it knows nothing of
// before.
class worker
{
public:
    worker(world& owner, std::string id, std::string zone, int number);

    void handle(const http_request& request, const respond_hook& respond);
    void tick();
    // Writes the entry of the worker to the store.
    void beat();
    void end(const std::string& task, int attempt, const std::string& how);

    const std::string id;
    std::uint16_t port = 0;
    // No request is answered; what runs goes on.
    bool cut = false;
    // The worker has crashed, and runs nothing.
    bool gone = false;
    void crash();
    // Begins its next life under the same id.
    void restart();
    std::vector<run> active;
    std::int64_t gpus = 8;

private:
    struct ended
    {
        std::uint64_t number = 0;
        std::string task;
        int attempt = 0;
        std::string how;
    };
    struct waiting_hold
    {
        std::int64_t until = 0;
        respond_hook respond;
    };

    std::int64_t clock() const;
    http_response reply(int status, const std::string& reason = "") const;
    http_response start(const Json::Value& body);
    http_response stop(const Json::Value& body);
    http_response lists() const;
    void extend(const Json::Value& body);

    world& world_;
    const std::string zone_;
    const int number_;
    std::int64_t born_ = unix_ms();
    std::int64_t clock_start_ = now_ms() - 1000;
    std::int64_t lease_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t seq_ = 0;
    std::uint64_t last_number_ = 0;
    std::vector<ended> ended_;
    std::map<std::string, int> highest_;
    std::list<waiting_hold> waiting_;
    std::int64_t next_beat_ = 0;
};

// A process of the system.
struct node
{
    std::string name;
    std::string zone;
    std::string callers;
    std::string ready;
    std::string settings;
    std::string log;
    pid_t pid = 0;
    // When the process starts again after the platform has ended it.
    std::int64_t restart_at = 0;
    int memory_kills = 0;
    std::int64_t most_mb = 0;
};

struct answer
{
    // 0: no answer.
    int status = 0;
    Json::Value body;
};

struct start_record
{
    std::int64_t at = 0;
    std::string task;
    int attempt = 0;
    std::string worker;
};

struct end_record
{
    std::int64_t at = 0;
    std::string task;
    int attempt = 0;
    std::string worker;
    std::string how;
};

// Public functions are called on the main thread, but for `now` and `log` and
// those that the stand-ins call on the control thread.
class world
{
public:
    // `folder` is for record.txt, `program` is the program under test.
    world(const std::string& folder, std::string program);
    // Ends all processes; to be called once, last. The object is not destroyed:
    // pending functions own connections.
    void close();

    void add_worker(const std::string& id, const std::string& zone);
    void add_node(const std::string& name, const std::string& zone);
    void start_node(const std::string& name);
    void kill_node(const std::string& name);
    // Name of the process that holds the leadership.
    std::string leader();
    std::uint64_t leader_epoch();
    // Waits until each node is ready; false if that takes too long.
    bool wait_ready(std::int64_t limit);
    void sleep(std::int64_t ms);
    // Calls the function on the control thread.
    void sync(const std::function<void()>& action);

    answer call(const std::string& node_name,
                const std::string& method,
                const std::string& path,
                const std::string& body = "",
                const std::string& key = "key-1");

    // Sends the request and does not wait for the answer; `answered_calls`
    // counts the answers by status.
    void send(const std::string& node_name,
              const std::string& path,
              const std::string& body);
    std::map<int, int> answered_calls();
    // Ends each process that uses more memory than its machine allows, and
    // starts those again that ended some time ago, as the platform does.
    void enforce_memory();

    // Seconds since the start.
    double now() const;
    void log(const std::string& text);

    store platform{*this};
    std::map<std::string, std::unique_ptr<worker>> workers;
    std::vector<start_record> starts;
    std::vector<end_record> ends;
    std::map<std::string, node> nodes;

private:
    void tick();
    std::unique_ptr<http_server> listen(poplarramp::http_handler handler);

    const std::string program_;
    std::string folder_;
    std::string temporary_;
    std::ofstream record_;
    const std::int64_t started_ = now_ms();
    boost::asio::io_context traffic_;
    boost::asio::io_context control_;
    std::unique_ptr<http_server> store_server_;
    std::vector<std::unique_ptr<http_server>> worker_servers_;
    std::unique_ptr<poplarramp::http_client> client_;
    std::map<int, int> answered_;
    std::vector<std::thread> threads_;
    std::function<void()> tick_loop_;
};

} // namespace review

#endif
