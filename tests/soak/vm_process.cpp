#include "soak/vm_process.hpp"

#include "model/codec.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

namespace poplarramp::soak
{

namespace
{

std::string loopback_address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

vm_process::vm_process(std::string program,
                       std::string name,
                       std::string folder,
                       vm_ports ports,
                       std::unique_ptr<proxy> store_link)
    : program_(std::move(program)), name_(std::move(name)),
      folder_(std::move(folder)), ports_(ports),
      store_link_(std::move(store_link))
{
    write_settings();
}

vm_process::~vm_process()
{
    if (pid_ > 0)
    {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

void vm_process::write_settings() const
{
    Json::Value json;
    json["vm"] = name_;
    json["zone"] = "zone-a";
    json["listen"]["callers"] = loopback_address(ports_.callers);
    json["listen"]["ready"] = loopback_address(ports_.ready);
    json["listen"]["metrics"] = loopback_address(ports_.metrics);
    json["listen"]["inner"] = loopback_address(ports_.inner);
    // The few servers of a soak are called through relays too.
    json["relays"]["min_servers"] = 1;
    json["store"] = loopback_address(store_link_->port());
    json["regions"]["zone-a"] = "region-a";
    json["processor_share"] = 1.0;
    json["bounds"]["longest_lease_ms"] = 6000;
    json["bounds"]["key_revocation_ms"] = 5000;
    json["bounds"]["stop_limit_s"] = 6;
    json["bounds"]["status_time_s"] = 120;
    json["bounds"]["far_factor"] = 3;
    std::ofstream(folder_ + "/" + name_ + ".jsonc") << json_text(json);
}

void vm_process::start()
{
    const auto settings = folder_ + "/" + name_ + ".jsonc";
    const auto log = folder_ + "/" + name_ + ".log";
    std::array<std::string, 4> command{
        program_, "serve-site", "--settings", settings};
    std::array<char*, 5> arguments{};
    for (std::size_t i = 0; i < command.size(); ++i)
    {
        arguments[i] = command[i].data();
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int error = posix_spawn(
        &pid_, program_.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
    {
        pid_ = 0;
        throw std::system_error(
            error, std::generic_category(), "cannot start " + program_);
    }
}

void vm_process::signal(int number)
{
    if (pid_ > 0)
    {
        kill(pid_, number);
    }
}

void vm_process::reap()
{
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_)
    {
        pid_ = 0;
        last_status_ = status;
    }
}

} // namespace poplarramp::soak
