// Runs one entry VM as a child process.
#ifndef POPLARRAMP_SOAK_VM_PROCESS_HPP
#define POPLARRAMP_SOAK_VM_PROCESS_HPP

#include "soak/proxy.hpp"

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>

namespace poplarramp::soak
{

struct vm_ports
{
    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
    std::uint16_t metrics = 0;
    std::uint16_t inner = 0;
};

// Not thread safe. Kills the process when it is destroyed.
class vm_process
{
public:
    // Settings and output of the process are written to `folder`.
    vm_process(std::string program,
               std::string name,
               std::string folder,
               vm_ports ports,
               std::unique_ptr<proxy> store_link);
    ~vm_process();
    vm_process(const vm_process&) = delete;
    vm_process& operator=(const vm_process&) = delete;

    // Throws std::system_error if the process cannot be started.
    void start();
    void signal(int number);

    // Collects the exit status of an ended process. To be called regularly.
    void reap();
    bool running() const
    {
        return pid_ > 0;
    }
    // Status from waitpid of the last process that ended, by itself or by a
    // signal; 0 if it exited with code 0.
    int last_status() const
    {
        return last_status_;
    }

    const std::string& name() const
    {
        return name_;
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(ports_.callers);
    }
    proxy& store_link()
    {
        return *store_link_;
    }

private:
    void write_settings() const;

    const std::string program_;
    const std::string name_;
    const std::string folder_;
    const vm_ports ports_;
    std::unique_ptr<proxy> store_link_;
    pid_t pid_ = 0;
    int last_status_ = 0;
};

} // namespace poplarramp::soak

#endif
