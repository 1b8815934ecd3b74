// Memory of a real process under attack.
#include "attack_client.hpp"
#include "http_fixture.hpp"

#include "http/input_budget.hpp"
#include "model/codec.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

namespace
{

constexpr int memory_mb = 120;
constexpr std::size_t kb = 1024;

#if defined(__SANITIZE_ADDRESS__)
// Freed memory is kept for a while.
constexpr std::size_t tolerance_factor = 10;
#else
constexpr std::size_t tolerance_factor = 1;
#endif

std::uint16_t free_port()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&endpoint);
    socklen_t size = sizeof(endpoint);
    CHECK(bind(socket, generic, size) == 0);
    CHECK(getsockname(socket, generic, &size) == 0);
    close(socket);
    return ntohs(endpoint.sin_port);
}

// Largest resident memory of a process so far, in bytes.
std::size_t peak_memory(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    const std::string name = "VmHWM:";
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with(name))
        {
            return std::stoul(line.substr(name.size())) * kb;
        }
    }
    return 0;
}

std::string get(std::uint16_t port)
{
    const auto peer = raw_connection::connect_to(port);
    peer.send("GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n");
    return peer.receive_all();
}

} // namespace

// An entry VM without a store: no path has a route, and it is not ready.
TEST_GROUP(process_limits)
{
    std::uint16_t callers = free_port();
    std::uint16_t ready = free_port();
    std::uint16_t metrics = free_port();
    std::string file =
        std::filesystem::temp_directory_path() /
        ("poplarramp-limits-" + std::to_string(getpid()) + ".jsonc");
    pid_t pid = 0;

    void setup() override
    {
        write_settings();
        auto program = std::filesystem::read_symlink("/proc/self/exe")
                           .replace_filename("poplarramp")
                           .string();
        std::array<std::string, 4> command{
            program, "serve-site", "--settings", file};
        std::array<char*, 5> arguments{};
        for (std::size_t i = 0; i < command.size(); ++i)
        {
            arguments[i] = command[i].data();
        }
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, "/dev/null", O_WRONLY, 0);
        CHECK(posix_spawn(&pid,
                          program.c_str(),
                          &actions,
                          nullptr,
                          arguments.data(),
                          environ) == 0);
        posix_spawn_file_actions_destroy(&actions);
        const auto deadline = monotonic_now() + test_timeout;
        while (!listens(ready) && monotonic_now() < deadline)
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
    }

    void teardown() override
    {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        std::filesystem::remove(file);
    }

    void write_settings()
    {
        Json::Value json;
        json["vm"] = "v";
        json["zone"] = "z";
        json["listen"]["callers"] = address_of(callers);
        json["listen"]["ready"] = address_of(ready);
        json["listen"]["metrics"] = address_of(metrics);
        json["listen"]["inner"] = address_of(free_port());
        json["store"] = address_of(free_port());
        json["regions"]["z"] = "r";
        json["limits"]["memory_mb"] = memory_mb;
        json["limits"]["descriptors"] = 4096;
        std::ofstream(file) << json_text(json);
    }

    static bool listens(std::uint16_t port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in endpoint{};
        endpoint.sin_family = AF_INET;
        endpoint.sin_port = htons(port);
        endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool connected =
            connect(socket,
                    reinterpret_cast<const sockaddr*>(&endpoint),
                    sizeof(endpoint)) == 0;
        close(socket);
        return connected;
    }
};

// Guards against memory that is held without being charged: kernel buffers
// aside, the process grows by no more than its input budget. 430 connections
// once took a VM of 120 MB over its limit.
TEST(process_limits, memory_grows_by_the_input_budget_at_most)
{
    const auto before = peak_memory(pid);
    CHECK(before > 0);
    std::size_t allowed = 0;
    for (const auto& part : input_limits_for(memory_mb, 4096))
    {
        allowed += part.max_bytes;
    }
    for (const auto& pattern : attack_patterns("/v1/x", "key", 500))
    {
        const attack_client attack(callers, pattern);
        std::this_thread::sleep_for(milliseconds(100));
        CHECK_TEXT(!get(ready).empty(), pattern.name.c_str());
        CHECK_TEXT(peak_memory(pid) - before <= allowed * tolerance_factor,
                   pattern.name.c_str());
    }
    CHECK(get(metrics).find("input_connections_callers") != std::string::npos);
    CHECK(waitpid(pid, nullptr, WNOHANG) == 0);
}
