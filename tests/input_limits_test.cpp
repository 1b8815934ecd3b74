// Limits of what clients can make a process hold: the budget, the bounds of
// documents, and a server under attack.
#include "attack_client.hpp"
#include "http_fixture.hpp"

#include "http/input_budget.hpp"
#include "http/json_reply.hpp"
#include "model/codec.hpp"
#include "model/json_bounds.hpp"

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

namespace
{

// Longer than any phase is protected.
constexpr milliseconds protected_time{260};

constexpr int memory_mb = 48;

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = std::size_t{1024} * 1024;

input_part_limits small_limits(std::size_t bytes, std::size_t connections)
{
    const input_limits part{bytes, connections};
    return {part, part, part};
}

} // namespace

TEST_GROUP(input_budget)
{
    int closed = 0;

    std::unique_ptr<input_account> open(
        const std::shared_ptr<input_budget>& budget,
        input_part part = input_part::callers)
    {
        return budget->open(part, [this] { ++closed; });
    }
};

// Guards against parts that together exceed the quarter of the memory limit,
// and against connections that use up the memory for their requests.
TEST(input_budget, limits_stay_within_memory_and_descriptors)
{
    for (const int memory : {32, 120, 128, 160, 260, 512})
    {
        const auto limits = input_limits_for(memory, 1024);
        std::size_t bytes = 0;
        std::size_t connections = 0;
        for (const auto& part : limits)
        {
            bytes += part.max_bytes;
            connections += part.max_connections;
            CHECK(part.max_connections * connection_bytes <=
                  part.max_bytes / 2 + 16 * connection_bytes);
        }
        CHECK(bytes <= static_cast<std::size_t>(memory) * mb / 4);
        CHECK(connections <= 824 / 2);
    }
}

// Guards against a connection whose request was passed on and that is closed
// in favour of others, and against connections beyond the limit.
TEST(input_budget, never_closes_a_connection_in_handling)
{
    const auto budget =
        std::make_shared<input_budget>(small_limits(10 * mb, 2));
    const auto first = open(budget);
    const auto second = open(budget);
    CHECK(first->set_phase(input_phase::handling));
    CHECK(second->set_phase(input_phase::handling));
    std::this_thread::sleep_for(protected_time);
    CHECK(open(budget) == nullptr);
    CHECK(closed == 0);
    CHECK(budget->usage(input_part::callers).connections_refused == 1);
}

// Guards against an idle connection of an honest caller that is closed while a
// client that stops half-way keeps its own, and against a request that is
// passed on after its connection was given up.
TEST(input_budget, closes_half_sent_requests_before_idle_connections)
{
    const auto budget =
        std::make_shared<input_budget>(small_limits(10 * mb, 2));
    const auto idle = open(budget);
    CHECK(idle->set_phase(input_phase::idle));
    const auto slow = open(budget);
    CHECK(open(budget) == nullptr);
    std::this_thread::sleep_for(protected_time);
    const auto next = open(budget);
    CHECK(next != nullptr);
    CHECK(closed == 1);
    CHECK_FALSE(slow->set_phase(input_phase::handling));
    CHECK(idle->set_phase(input_phase::handling));
}

// Guards against memory that is granted beyond the limit, not given back, or
// taken from another part.
TEST(input_budget, closes_the_largest_holder_when_memory_is_short)
{
    const auto budget = std::make_shared<input_budget>(small_limits(mb, 10));
    {
        auto large = open(budget);
        const auto small = open(budget);
        CHECK(large->hold(800 * kb) == charge_result::granted);
        CHECK(small->hold(500 * kb) == charge_result::later);
        CHECK(closed == 0);
        CHECK(small->hold(2 * mb) == charge_result::refused);
        const auto other = open(budget, input_part::machines);
        CHECK(other->hold(900 * kb) == charge_result::granted);
        std::this_thread::sleep_for(protected_time);
        CHECK(small->hold(500 * kb) == charge_result::later);
        CHECK(closed == 1);
        large.reset();
        CHECK(small->hold(500 * kb) == charge_result::granted);
        CHECK(budget->usage(input_part::callers).max_bytes_seen <= mb);
        // A reply that is ready is sent in any case.
        small->hold_anyway(2 * mb);
    }
    CHECK(budget->usage(input_part::callers).bytes == 0);
    CHECK(budget->usage(input_part::machines).bytes == 0);
}

TEST_GROUP(json_bounds)
{
    const json_bounds bounds{3, 4, 6, 10};

    std::string reason_of(const std::string& text)
    {
        failure why;
        CHECK(check_bounds(text, bounds, why) == !why);
        CHECK(!why || why.code == result_code::bad_request);
        return why.reason;
    }
};

// Guards against a document whose tree takes many times its own size, and
// against braces and commas in strings that are counted.
TEST(json_bounds, names_the_bound_that_is_exceeded)
{
    STRCMP_EQUAL("",
                 reason_of(R"({"a":[1,2,[]],"b\"{[,:":"12345678\\"})").c_str());
    STRCMP_EQUAL("the document has more than 3 levels of nesting",
                 reason_of("[[[[").c_str());
    STRCMP_EQUAL("the document has more than 4 fields",
                 reason_of(R"({"a":1,"b":1,"c":1,"d":1,"e":1})").c_str());
    STRCMP_EQUAL("the document has more than 6 elements",
                 reason_of("[1,2,3,4,5,6,7]").c_str());
    STRCMP_EQUAL("the document has more than 10 bytes in one string",
                 reason_of(R"(["12345\"\\\\")").c_str());
}

// Guards against a scan that lets a tree with more values pass than the bounds
// allow, whatever the text is.
TEST(json_bounds, bounds_the_tree_of_any_text)
{
    const auto values_in = [](const auto& self,
                              const Json::Value& json) -> std::size_t
    {
        std::size_t count = 1;
        for (const auto& child : json)
        {
            count += self(self, child);
        }
        return count;
    };
    std::mt19937_64 random(7);
    const std::string parts = "[]{},:\"\\1a ";
    int accepted = 0;
    for (int i = 0; i < 20000; ++i)
    {
        std::string text = "[";
        for (std::size_t length = random() % 24; length > 0; --length)
        {
            text += parts[random() % parts.size()];
        }
        text += "]";
        failure why;
        const bool passed = check_bounds(text, bounds, why);
        const auto json = parse_json(text, why);
        if (passed && json)
        {
            ++accepted;
            CHECK(values_in(values_in, *json) <= 2 * bounds.max_elements + 1);
        }
    }
    CHECK(accepted > 0);
}

// A server with limits that a few clients exhaust, 117 connections and 5.5 MiB
// for callers. /job takes bodies, all other
// paths are refused by their header.
TEST_GROUP(input_attack)
{
    loopback_network net;
    std::shared_ptr<input_budget> budget =
        std::make_shared<input_budget>(input_limits_for(memory_mb, 4096));
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_server> ready;
    std::size_t handled = 0;

    void setup() override
    {
        http_server_settings settings;
        settings.max_body_bytes = 262144;
        settings.budget = budget;
        server = std::make_unique<http_server>(
            net.traffic(),
            net.control(),
            settings,
            [this](const http_request& request, const auto& respond)
            {
                ++handled;
                failure why;
                check_bounds(request.body, {8, 4096, 8192, 98304}, why);
                if (!why && request.target != "/job")
                {
                    why = {result_code::not_found, "no such path"};
                }
                respond(json_response(why));
            },
            [](const http_request& header) -> std::optional<http_response>
            {
                if (header.target == "/job" &&
                    header.authorization == "Bearer k")
                {
                    return std::nullopt;
                }
                return json_response({result_code::not_found, "no such path"});
            });
        settings.max_body_bytes = 0;
        settings.part = input_part::probes;
        ready = std::make_unique<http_server>(
            net.traffic(),
            net.control(),
            settings,
            [](const http_request&, const auto& respond)
            { respond(json_response({})); });
        failure why;
        CHECK(server->listen(why));
        CHECK(ready->listen(why));
    }

    void teardown() override
    {
        server.reset();
        ready.reset();
    }

    std::string exchange(std::uint16_t port, const std::string& bytes)
    {
        std::atomic<bool> ended = false;
        std::string result;
        std::thread peer(
            [&]
            {
                const auto connection = raw_connection::connect_to(port);
                connection.send(bytes);
                result = connection.receive();
                ended = true;
            });
        net.run_until([&] { return ended.load(); });
        peer.join();
        return result.substr(0, 12);
    }

    std::string submit(std::size_t size)
    {
        return exchange(server->port(),
                        "POST /job HTTP/1.1\r\nHost: x\r\n"
                        "Authorization: Bearer k\r\nContent-Length: " +
                            std::to_string(size) + "\r\n\r\n" +
                            std::string(size, ' '));
    }

    // Half of the calls must get through, also on a busy machine.
    void check_calls_succeed(const std::string& during)
    {
        constexpr int calls = 4;
        int served = 0;
        int probed = 0;
        for (int i = 0; i < calls; ++i)
        {
            served += submit(800) == "HTTP/1.1 200" ? 1 : 0;
            probed += exchange(ready->port(), "GET / HTTP/1.1\r\n\r\n") ==
                              "HTTP/1.1 200"
                          ? 1
                          : 0;
        }
        CHECK_TEXT(served >= calls / 2, during.c_str());
        CHECK_TEXT(probed >= calls / 2, during.c_str());
        check_within_limits(during);
    }

    void check_within_limits(const std::string& during)
    {
        const auto limits = input_limits_for(memory_mb, 4096);
        for (std::size_t i = 0; i < input_part_count; ++i)
        {
            const auto usage = budget->usage(static_cast<input_part>(i));
            // Those that are being closed, up to 64, count until they are gone.
            CHECK_TEXT(usage.connections <= limits[i].max_connections + 64,
                       during.c_str());
            CHECK_TEXT(usage.max_bytes_seen <=
                           limits[i].max_bytes + 64 * connection_bytes,
                       during.c_str());
        }
    }

    void play(const attack_pattern& pattern, std::uint16_t port)
    {
        const attack_client attack(port, pattern);
        net.run_for(milliseconds(25));
        check_calls_succeed(pattern.name);
    }
};

// Guards against limits that refuse a request of the largest legal size in
// calm.
TEST(input_attack, serves_the_largest_request_in_calm)
{
    CHECK(submit(262144) == "HTTP/1.1 200");
    CHECK(submit(262145) == "HTTP/1.1 413");
    CHECK(budget->usage(input_part::callers).requests_refused == 0);
}

// Guards against a body that is read although its path or key is not valid, or
// on a listener that takes none.
TEST(input_attack, refuses_by_the_header)
{
    const std::string length = "Content-Length: 262144\r\n\r\n";
    CHECK(exchange(server->port(), "POST /other HTTP/1.1\r\n" + length) ==
          "HTTP/1.1 404");
    CHECK(exchange(server->port(), "POST /job HTTP/1.1\r\n" + length) ==
          "HTTP/1.1 404");
    CHECK(exchange(server->port(), "GET /job HTTP/1.1\r\n" + length) ==
          "HTTP/1.1 413");
    CHECK(exchange(ready->port(),
                   "GET / HTTP/1.1\r\nContent-Length: 1\r\n\r\n") ==
          "HTTP/1.1 413");
    CHECK(exchange(server->port(),
                   "POST /job HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "1\r\n") == "HTTP/1.1 404");
    CHECK(handled == 0);
}

// Guards against each pattern of misbehaviour on its own: memory beyond the
// limit, and calls or probes that are not answered.
TEST(input_attack, withstands_each_pattern)
{
    for (const auto& pattern : attack_patterns("/job", "k", 160))
    {
        play(pattern, server->port());
    }
    for (const auto& pattern : attack_patterns("/other", "", 130))
    {
        play(pattern, server->port());
    }
    for (const auto& pattern : attack_patterns("/", "", 50))
    {
        play(pattern, ready->port());
    }
}

// Guards against patterns that are harmless alone.
TEST(input_attack, withstands_all_patterns_together)
{
    std::vector<std::unique_ptr<attack_client>> clients;
    for (const auto& pattern : attack_patterns("/job", "k", 16))
    {
        clients.push_back(
            std::make_unique<attack_client>(server->port(), pattern));
        clients.push_back(
            std::make_unique<attack_client>(ready->port(), pattern));
    }
    net.run_for(milliseconds(100));
    check_calls_succeed("all patterns");
    clients.clear();
    CHECK(net.run_until(
        [&] { return budget->usage(input_part::callers).connections == 0; }));
    CHECK(budget->usage(input_part::callers).bytes == 0);
    CHECK(submit(262144) == "HTTP/1.1 200");
}

// Guards against bytes that make the parser of requests throw or stop serving.
TEST(input_attack, survives_changed_requests)
{
    std::mt19937_64 random(11);
    const std::string valid =
        "POST /job HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        "POST /job HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
    for (int i = 0; i < 200; ++i)
    {
        auto bytes = valid;
        for (int changes = 1 + static_cast<int>(random() % 4); changes > 0;
             --changes)
        {
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        }
        const auto connection = raw_connection::connect_to(server->port());
        connection.send(bytes.substr(0, 1 + random() % bytes.size()));
        connection.shutdown_send();
        net.run_for(milliseconds(1));
    }
    CHECK(submit(10) == "HTTP/1.1 200");
}
