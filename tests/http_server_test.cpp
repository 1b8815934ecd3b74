#include "http_fixture.hpp"

#include "http/json_reply.hpp"
#include "model/codec.hpp"

#include <atomic>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

namespace
{

http_server_settings small_limit_settings()
{
    http_server_settings settings;
    settings.max_connections = 3;
    settings.max_header_bytes = 1024;
    settings.max_body_bytes = 4096;
    settings.header_timeout = milliseconds(200);
    settings.body_timeout = milliseconds(200);
    settings.write_timeout = milliseconds(300);
    settings.idle_timeout = milliseconds(400);
    settings.stop_grace = milliseconds(1000);
    return settings;
}

// Body of the last reply in the bytes received on a connection.
std::string last_body(const std::string& bytes)
{
    const auto start = bytes.rfind("\r\n\r\n");
    return start == std::string::npos ? "" : bytes.substr(start + 4);
}

} // namespace

TEST_GROUP(http_server)
{
    loopback_network net;
    std::unique_ptr<http_server> server;
    std::vector<http_request> handled;
    // Pending replies to requests to /hold; the test completes them.
    std::vector<std::function<void(http_response)>> pending_replies;

    void setup() override
    {
        start(small_limit_settings());
    }

    void start(const http_server_settings& settings)
    {
        server = std::make_unique<http_server>(
            net.traffic(),
            net.control(),
            settings,
            [this](const http_request& request, auto respond)
            { handle(request, respond); });
        failure why;
        CHECK(server->listen(why));
    }

    void teardown() override
    {
        server.reset();
    }

    void handle(const http_request& request,
                const std::function<void(http_response)>& respond)
    {
        handled.push_back(request);
        if (request.target == "/throw")
        {
            throw std::runtime_error("handler fault");
        }
        if (request.target == "/large")
        {
            http_response large;
            large.body.assign(std::size_t{32} * 1024 * 1024, 'x');
            respond(std::move(large));
            return;
        }
        if (request.target == "/hold")
        {
            pending_replies.push_back(respond);
            return;
        }
        Json::Value fields;
        fields["body"] = request.body;
        respond(json_response({}, fields));
    }

    // Runs a blocking exchange on another thread while this one runs control
    // functions.
    std::string run_in_thread(const std::function<std::string()>& exchange)
    {
        std::atomic<bool> ended = false;
        std::string result;
        std::thread peer(
            [&]
            {
                result = exchange();
                ended = true;
            });
        const bool in_time = net.run_until([&] { return ended.load(); });
        peer.join();
        CHECK(in_time);
        return result;
    }

    // Sends bytes, shuts down the sending direction and returns all bytes
    // received.
    std::string send_and_close(const std::string& bytes)
    {
        return run_in_thread(
            [&]
            {
                const auto peer = raw_connection::connect_to(server->port());
                peer.send(bytes);
                peer.shutdown_send();
                return peer.receive_all();
            });
    }

    // Sends bytes and returns all bytes received until the server closes the
    // connection.
    std::string send_and_wait(const std::string& bytes)
    {
        return run_in_thread(
            [&]
            {
                const auto peer = raw_connection::connect_to(server->port());
                peer.send(bytes);
                return peer.receive_all();
            });
    }

    void check_error(const std::string& received,
                     const std::string& status,
                     result_code code)
    {
        STRNCMP_EQUAL(("HTTP/1.1 " + status).c_str(),
                      received.c_str(),
                      std::string("HTTP/1.1 ").size() + status.size());
        failure why;
        const auto json = parse_json(last_body(received), why);
        CHECK(json.has_value());
        CHECK((*json)["code"].asInt() == static_cast<int>(code));
        CHECK((*json)["result"].asString() == name_of(code));
        CHECK_FALSE((*json)["reason"].asString().empty());
    }

    void check_still_serves()
    {
        const auto received = send_and_close("GET /after HTTP/1.1\r\n\r\n");
        STRNCMP_EQUAL("HTTP/1.1 200", received.c_str(), 12);
    }
};

// Guards against parts of a request that do not reach the handler.
TEST(http_server, passes_all_request_fields_to_handler)
{
    send_and_close("PUT /v1/x?y=1 HTTP/1.1\r\nAuthorization: Bearer t\r\n"
                   "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody");
    CHECK(handled.size() == 1);
    CHECK(handled[0].method == "PUT");
    CHECK(handled[0].target == "/v1/x?y=1");
    CHECK(handled[0].authorization == "Bearer t");
    CHECK(handled[0].content_type == "text/plain");
    CHECK(handled[0].body == "body");
}

// Guards against malformed HTTP: the reply must have a reason, the handler must
// not be called, and other connections must not be affected.
TEST(http_server, rejects_malformed_input)
{
    const std::string two_lengths = "POST / HTTP/1.1\r\nContent-Length: 2\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n"
                                    "0\r\n\r\n";
    for (const std::string& broken :
         {two_lengths,
          std::string("\x16\x03\x01\x02\x01 not http\r\n\r\n"),
          std::string("GET\r\n\r\n"),
          std::string("GET / HTTP/9.9\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\nab"),
          std::string("POST / HTTP/1.1\r\nContent-Length: 1\r\n"
                      "Content-Length: 2\r\n\r\nab"),
          std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                      "\r\nzz\r\n")})
    {
        check_error(send_and_wait(broken), "400", result_code::bad_request);
    }
    CHECK(handled.empty());
    check_still_serves();
}

// Guards against methods and targets that the handlers do not support.
TEST(http_server, rejects_unsupported_method_and_target)
{
    check_error(send_and_close("TRACE / HTTP/1.1\r\n\r\n"),
                "405",
                result_code::method_not_allowed);
    check_error(send_and_close("BREW / HTTP/1.1\r\n\r\n"),
                "405",
                result_code::method_not_allowed);
    check_error(send_and_close("GET http://x/ HTTP/1.1\r\n\r\n"),
                "400",
                result_code::bad_request);
    CHECK(handled.empty());
}

// Guards against a header or body, with or without a declared length, that
// exhausts the memory of the entry VM, and against a connection reset that
// discards the reply.
TEST(http_server, rejects_oversized_input)
{
    const std::string huge(100'000, 'x');
    check_error(send_and_wait("GET / HTTP/1.1\r\nX: " + huge + "\r\n\r\n"),
                "431",
                result_code::bad_request);
    check_error(send_and_wait(
                    "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + huge),
                "413",
                result_code::body_too_large);
    check_error(
        send_and_wait("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "186a0\r\n" +
                      huge),
        "413",
        result_code::body_too_large);
    CHECK(handled.empty());
    check_still_serves();
}

// Guards against a crash on a header or trailer field longer than the parser
// can store, when the header limit in the settings is larger than that.
TEST(http_server, rejects_huge_fields_despite_large_header_limit)
{
    auto settings = small_limit_settings();
    settings.max_header_bytes = 1024 * 1024;
    start(settings);
    const std::string huge(65'600, 'x');
    check_error(send_and_wait("GET / HTTP/1.1\r\nX: " + huge + "\r\n\r\n"),
                "431",
                result_code::bad_request);
    check_error(send_and_wait("GET / HTTP/1.1\r\n" + huge + ": x\r\n\r\n"),
                "431",
                result_code::bad_request);
    check_error(
        send_and_wait("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "0\r\nX: " +
                      huge + "\r\n\r\n"),
        "400",
        result_code::bad_request);
    check_still_serves();
}

// Guards against handling a truncated request as if it were complete.
TEST(http_server, rejects_truncated_input)
{
    check_error(send_and_close("POST /x HTTP/1.1\r\nContent-Le"),
                "400",
                result_code::bad_request);
    check_error(
        send_and_close("POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nshort"),
        "400",
        result_code::bad_request);
    CHECK(handled.empty());
}

// Guards against slow clients that occupy connections: the first byte, header
// and body each have a timeout.
TEST(http_server, times_out_slow_clients)
{
    check_error(
        send_and_wait("POST / HTTP/1.1\r\nX"), "408", result_code::bad_request);
    check_error(
        send_and_wait("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nab"),
        "408",
        result_code::bad_request);
    CHECK(send_and_wait("").empty());
    CHECK(handled.empty());
}

// Guards against a timeout that each received byte restarts: a client that
// sends one byte at a time would never time out.
TEST(http_server, header_timeout_covers_whole_header)
{
    const auto received = run_in_thread(
        [&]
        {
            const auto peer = raw_connection::connect_to(server->port());
            peer.send("GET / HTTP/1.1\r\nX: ");
            for (int i = 0; i < 20; ++i)
            {
                std::this_thread::sleep_for(milliseconds(20));
                peer.send("y");
            }
            return peer.receive_all();
        });
    check_error(received, "408", result_code::bad_request);
}

// Guards against a client that does not read its reply and so occupies the
// connection and delays the planned stop.
TEST(http_server, disconnects_clients_that_do_not_read)
{
    const auto peer = raw_connection::connect_to(server->port());
    peer.send("GET /large HTTP/1.1\r\n\r\n");
    CHECK(net.run_until([&] { return handled.size() == 1; }));
    bool stopped = false;
    server->stop([&] { stopped = true; });
    CHECK(net.run_until([&] { return stopped; }));
}

// Guards against replies out of order on one connection.
TEST(http_server, serves_pipelined_requests_in_order)
{
    const auto received =
        send_and_close("POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
                       "POST /2 HTTP/1.1\r\nContent-Length: 3\r\n\r\ntwo"
                       "nonsense\r\n\r\n");
    const auto one = received.find("\"one\"");
    const auto two = received.find("\"two\"");
    const auto error = received.find("bad_request");
    CHECK(one < two);
    CHECK(two < error);
    CHECK(error != std::string::npos);
    CHECK(handled.size() == 2);
}

// Guards against an exception in a handler that terminates the process.
TEST(http_server, handler_exception_returns_internal_error)
{
    check_error(send_and_close("GET /throw HTTP/1.1\r\n\r\n"),
                "500",
                result_code::internal_error);
    check_still_serves();
}

// Guards against connections that exhaust the process: those beyond the limit
// receive `overloaded` while the requests of the others are handled, and new
// ones are served after others have ended.
TEST(http_server, rejects_connections_beyond_limit)
{
    const auto received = run_in_thread(
        [&]
        {
            std::vector<raw_connection> open;
            for (std::size_t i = 0; i < small_limit_settings().max_connections;
                 ++i)
            {
                open.push_back(raw_connection::connect_to(server->port()));
                open.back().send("GET /hold HTTP/1.1\r\n\r\n");
            }
            std::this_thread::sleep_for(milliseconds(50));
            return raw_connection::connect_to(server->port()).receive_all();
        });
    check_error(received, "503", result_code::overloaded);
    CHECK(pending_replies.size() == small_limit_settings().max_connections);
    for (const auto& reply : pending_replies)
    {
        reply(json_response({}));
    }
    CHECK(received.find("\r\nRetry-After: ") != std::string::npos);
    net.run_for(milliseconds(20));
    check_still_serves();
}

// Guards against idle connections that keep new callers out, and against a
// connection that is closed although another was idle for longer.
TEST(http_server, closes_longest_idle_connection_for_new_one)
{
    std::vector<raw_connection> open;
    const auto received = run_in_thread(
        [&]
        {
            for (std::size_t i = 0; i < small_limit_settings().max_connections;
                 ++i)
            {
                open.push_back(raw_connection::connect_to(server->port()));
                open.back().send("GET /x HTTP/1.1\r\n\r\n");
                open.back().receive();
                std::this_thread::sleep_for(milliseconds(20));
            }
            std::this_thread::sleep_for(milliseconds(110));
            const auto next = raw_connection::connect_to(server->port());
            next.send("GET /y HTTP/1.1\r\n\r\n");
            const auto reply = next.receive();
            open[2].send("GET /z HTTP/1.1\r\n\r\n");
            return reply + open[0].receive_all() + open[2].receive();
        });
    CHECK(handled.size() == 5);
    CHECK(received.find("200 OK") != received.rfind("200 OK"));
    CHECK(received.find("[reset]") == std::string::npos);
}

// Guards against one address that takes all connections, and against a count
// that is not lowered when a connection ends.
TEST(http_server, limits_connections_of_one_address)
{
    auto settings = small_limit_settings();
    settings.max_connections_per_address = 1;
    start(settings);
    const auto received = run_in_thread(
        [&]
        {
            const auto first = raw_connection::connect_to(server->port());
            first.send("GET /x HTTP/1.1\r\n\r\n");
            first.receive();
            return raw_connection::connect_to(server->port()).receive_all();
        });
    check_error(received, "503", result_code::overloaded);
    net.run_for(milliseconds(50));
    check_still_serves();
}

// Guards against a body that is sent one byte at a time for as long as its
// timeout lasts.
TEST(http_server, closes_bodies_below_the_least_rate)
{
    auto settings = small_limit_settings();
    settings.body_timeout = milliseconds(60000);
    settings.rate_grace = milliseconds(100);
    start(settings);
    const auto received = run_in_thread(
        [&]
        {
            const auto peer = raw_connection::connect_to(server->port());
            peer.send("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n");
            for (int i = 0; i < 20; ++i)
            {
                std::this_thread::sleep_for(milliseconds(20));
                peer.send("y");
            }
            return peer.receive_all();
        });
    check_error(received, "408", result_code::bad_request);
    CHECK(handled.empty());
}

// Guards against a planned stop that interrupts a request in flight, including
// one that arrives on an idle connection just after the stop has begun.
TEST(http_server, stop_completes_requests_in_flight)
{
    std::atomic<int> replies = 0;
    const auto send_delayed_request = [&]
    {
        const auto peer = raw_connection::connect_to(server->port());
        peer.send("GET /hold HTTP/1.1\r\n\r\n");
        const auto received = peer.receive_all();
        replies += received.find("\"late\"") != std::string::npos ? 1 : 0;
    };
    const auto idle = raw_connection::connect_to(server->port());
    idle.send("GET /1 HTTP/1.1\r\n\r\n");
    CHECK(net.run_until([&] { return handled.size() == 1; }));
    CHECK(idle.receive().find("200 OK") != std::string::npos);
    std::thread waiting(send_delayed_request);
    CHECK(net.run_until([&] { return pending_replies.size() == 1; }));

    bool stopped = false;
    server->stop([&] { stopped = true; });
    net.run_for(milliseconds(50));
    idle.send("GET /2 HTTP/1.1\r\n\r\n");
    CHECK(net.run_until([&] { return handled.size() == 3; }));
    CHECK(idle.receive_all().find("Connection: close") != std::string::npos);
    net.run_for(milliseconds(50));
    CHECK_FALSE(stopped);

    Json::Value fields;
    fields["body"] = "late";
    pending_replies[0](json_response({}, fields));
    CHECK(net.run_until([&] { return stopped; }));
    waiting.join();
    CHECK(replies == 1);
}

// Guards against a server that starts without an error although its port is in
// use.
TEST(http_server, reports_port_in_use)
{
    auto settings = small_limit_settings();
    settings.port = server->port();
    http_server second(
        net.traffic(), net.control(), settings, [](auto, auto) {});
    failure why;
    CHECK_FALSE(second.listen(why));
    CHECK(why.code == result_code::bad_settings);
}
