#include "http_fixture.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

namespace
{

constexpr milliseconds long_timeout{4000};
constexpr milliseconds short_timeout{150};

http_request request_of(std::string body, bool idempotent)
{
    http_request request;
    request.target = "/x";
    request.body = std::move(body);
    request.idempotent = idempotent;
    return request;
}

// Replies to requests until the peer closes the connection.
void serve_all(raw_connection& peer)
{
    while (!peer.receive_request().empty())
    {
        peer.send(raw_reply("ok"));
    }
}

} // namespace

TEST_GROUP(http_client)
{
    loopback_network net;
    std::unique_ptr<http_client> client;

    void setup() override
    {
        create_client({});
    }

    void create_client(const http_client_settings& settings)
    {
        client = std::make_unique<http_client>(
            net.traffic(), net.control(), settings);
    }

    http_reply call(const std::string& address,
                    http_request request,
                    milliseconds timeout = long_timeout)
    {
        return net.call(
            client->send_function(), address, std::move(request), timeout);
    }

    // Closes the idle connections: the server's functions return only then.
    void teardown() override
    {
        client.reset();
    }
};

// Guards against opening a new connection for each call.
TEST(http_client, reuses_connections)
{
    std::atomic<int> connections = 0;
    scripted_server server(
        [&](int, raw_connection& peer)
        {
            ++connections;
            serve_all(peer);
        });
    for (int i = 0; i < 5; ++i)
    {
        const auto reply = call(server.address(), request_of("a", false));
        CHECK(reply.error.code == result_code::ok);
        CHECK(reply.response.body == "ok");
    }
    CHECK(connections == 1);
    client.reset();
}

// Guards against reusing a connection on which a call timed out: later calls
// would time out too, although new connections work.
TEST(http_client, abandons_silent_connection_at_deadline)
{
    scripted_server server(
        [](int number, raw_connection& peer)
        {
            if (number > 0)
            {
                serve_all(peer);
                return;
            }
            peer.receive_request();
            peer.send(raw_reply("ok"));
            while (!peer.receive_request().empty())
            {
            }
        });
    CHECK_FALSE(call(server.address(), request_of("a", false)).error);
    const auto silent =
        call(server.address(), request_of("b", true), short_timeout);
    CHECK(silent.error.code == result_code::timeout);
    CHECK_FALSE(call(server.address(), request_of("c", false)).error);
    client.reset();
}

// Guards against a request that is executed twice: when a reused connection
// ends without a reply, only an idempotent request is retried.
TEST(http_client, retries_only_idempotent_requests_on_new_connection)
{
    for (const bool idempotent : {true, false})
    {
        std::atomic<int> requests = 0;
        scripted_server server(
            [&](int number, raw_connection& peer)
            {
                while (!peer.receive_request().empty())
                {
                    if (++requests == 2 && number == 0)
                    {
                        return;
                    }
                    peer.send(raw_reply("ok"));
                }
            });
        CHECK_FALSE(call(server.address(), request_of("a", false)).error);
        const auto reply = call(server.address(), request_of("b", idempotent));
        CHECK(reply.error.code ==
              (idempotent ? result_code::ok : result_code::answer_lost));
        CHECK(requests == (idempotent ? 3 : 2));
        create_client({});
    }
}

// Guards against a retry after part of a reply, which shows that the request
// was handled.
TEST(http_client, does_not_retry_after_first_reply_byte)
{
    std::atomic<int> requests = 0;
    scripted_server server(
        [&](int, raw_connection& peer)
        {
            while (!peer.receive_request().empty())
            {
                if (++requests == 2)
                {
                    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n1");
                    return;
                }
                peer.send(raw_reply("ok"));
            }
        });
    CHECK_FALSE(call(server.address(), request_of("a", true)).error);
    const auto reply = call(server.address(), request_of("b", true));
    CHECK(reply.error.code == result_code::answer_lost);
    CHECK(requests == 2);
    client.reset();
}

// Guards against an error instead of a retry for a request that cannot have
// been handled, because a reused connection ended before all of it was sent.
TEST(http_client, retries_request_not_fully_sent)
{
    // Larger than the socket buffers of both sides.
    const std::string large(std::size_t{32} * 1024 * 1024, 'x');
    std::atomic<int> received = 0;
    scripted_server server(
        [&](int number, raw_connection& peer)
        {
            while (!peer.receive_request().empty())
            {
                ++received;
                peer.send(raw_reply("ok"));
                if (number == 0)
                {
                    peer.receive();
                    return;
                }
            }
        });
    CHECK_FALSE(call(server.address(), request_of("a", false)).error);
    const auto reply = call(server.address(), request_of(large, false));
    CHECK(reply.error.code == result_code::ok);
    CHECK(received == 2);
    client.reset();
}

// Guards against sending a request on an idle connection that the server has
// already closed.
TEST(http_client, detects_closed_connection_before_sending)
{
    std::atomic<int> closed = 0;
    scripted_server server(
        [&](int, raw_connection& peer)
        {
            peer.receive_request();
            peer.send(raw_reply("ok"));
            peer.shutdown_send();
            ++closed;
            peer.receive();
        });
    for (int i = 1; i < 4; ++i)
    {
        CHECK_FALSE(call(server.address(), request_of("a", false)).error);
        CHECK(net.run_until([&] { return closed == i; }));
    }
    client.reset();
}

// Guards against reporting a request as not sent that may have been handled.
TEST(http_client, distinguishes_lost_replies_from_unsent_requests)
{
    const std::vector<std::string> replies{
        "",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n1",
        "this is not HTTP\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: " + std::string(65'480, 'x') + "\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " +
            std::string(65'600, 'x') + "\r\n\r\n"};
    for (const auto& bytes : replies)
    {
        scripted_server server(
            [&bytes](int, raw_connection& peer)
            {
                peer.receive_request();
                peer.send(bytes);
            });
        const auto reply = call(server.address(), request_of("a", false));
        CHECK(reply.error.code == result_code::answer_lost);
    }
    CHECK(call("not an address", request_of("a", false)).error.code ==
          result_code::unreachable);
    CHECK(call("127.0.0.1:0", request_of("a", false)).error.code ==
          result_code::unreachable);
}

// Guards against a call that never completes when no reply arrives.
TEST(http_client, times_out_at_deadline)
{
    scripted_server server([](int, raw_connection& peer)
                           { peer.receive_all(); });
    const auto start = monotonic_now();
    const auto reply =
        call(server.address(), request_of("a", true), short_timeout);
    CHECK(reply.error.code == result_code::timeout);
    CHECK(monotonic_now() - start >= short_timeout);
    CHECK(monotonic_now() - start < long_timeout / 2);
}

// Guards against sending a request whose deadline has passed, and against
// closing a working connection because of it.
TEST(http_client, does_not_send_after_deadline)
{
    std::atomic<int> connections = 0;
    scripted_server server(
        [&](int, raw_connection& peer)
        {
            ++connections;
            serve_all(peer);
        });
    CHECK_FALSE(call(server.address(), request_of("a", false)).error);
    const auto expired =
        call(server.address(), request_of("a", true), milliseconds(-1));
    CHECK(expired.error.code == result_code::unreachable);
    CHECK_FALSE(call(server.address(), request_of("b", false)).error);
    CHECK(connections == 1);
    client.reset();
}

// Guards against more than `max_connections` connections to an address, and
// against a call that waits for a connection beyond its deadline.
TEST(http_client, limits_connections_per_address)
{
    http_client_settings settings;
    settings.max_connections = 2;
    create_client(settings);
    std::atomic<int> open = 0;
    std::atomic<int> max_open = 0;
    std::atomic<bool> may_reply = false;
    scripted_server server(
        [&](int, raw_connection& peer)
        {
            max_open = std::max(max_open.load(), ++open);
            while (!peer.receive_request().empty())
            {
                const auto deadline = monotonic_now() + test_timeout;
                while (!may_reply && monotonic_now() < deadline)
                {
                    std::this_thread::sleep_for(milliseconds(1));
                }
                peer.send(raw_reply("ok"));
            }
            --open;
        });
    std::vector<result_code> codes;
    const auto send_function = client->send_function();
    const auto send = [&](milliseconds timeout)
    {
        send_function(server.address(),
                      request_of("a", false),
                      monotonic_now() + timeout,
                      [&codes](const http_reply& reply)
                      { codes.push_back(reply.error.code); });
    };
    for (int i = 0; i < 6; ++i)
    {
        send(long_timeout);
    }
    send(short_timeout);
    CHECK(net.run_until([&] { return codes.size() == 1; }));
    CHECK(codes[0] == result_code::unreachable);
    may_reply = true;
    CHECK(net.run_until([&] { return codes.size() == 7; }));
    for (std::size_t i = 1; i < codes.size(); ++i)
    {
        CHECK(codes[i] == result_code::ok);
    }
    CHECK(max_open <= 2);
    client.reset();
}

// Guards against repeated connection attempts to an unreachable address, and
// against a backoff that continues after the address is reachable again.
TEST(http_client, backs_off_from_unreachable_address)
{
    http_client_settings settings;
    settings.connect_backoff = {milliseconds(600), milliseconds(600)};
    create_client(settings);
    http_server_settings server_settings;
    {
        // Finds a free port.
        http_server probe(
            net.traffic(), net.control(), server_settings, [](auto, auto) {});
        failure why;
        CHECK(probe.listen(why));
        server_settings.port = probe.port();
        bool stopped = false;
        probe.stop([&] { stopped = true; });
        CHECK(net.run_until([&] { return stopped; }));
    }
    const auto address = address_of(server_settings.port);
    CHECK(call(address, request_of("a", false)).error.code ==
          result_code::unreachable);

    http_server server(net.traffic(),
                       net.control(),
                       server_settings,
                       [](auto, const auto& respond) { respond({}); });
    failure why;
    CHECK(server.listen(why));
    const auto start = monotonic_now();
    const auto backoff_reply =
        call(address, request_of("a", false), milliseconds(100));
    CHECK(backoff_reply.error.code == result_code::unreachable);
    CHECK(monotonic_now() - start < milliseconds(100));
    CHECK_FALSE(call(address, request_of("a", false)).error);
    CHECK_FALSE(call(address, request_of("a", false), milliseconds(500)).error);
}
