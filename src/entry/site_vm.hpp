// The process of one entry VM on the users' site, with a platform adapter.
#ifndef POPLARRAMP_ENTRY_SITE_VM_HPP
#define POPLARRAMP_ENTRY_SITE_VM_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "config/site_settings.hpp"
#include "domain/deployment.hpp"
#include "domain/job_api.hpp"
#include "domain/server_api.hpp"
#include "http/message.hpp"
#include "services/table.hpp"

#include <functional>
#include <string>

namespace poplarramp
{

// HTTP clients and metrics that an adapter may use. Long polls have separate
// connections, so that they do not delay other calls.
struct adapter_context
{
    http_send_function store;
    http_send_function store_long_polls;
    http_send_function orders;
    http_send_function server_long_polls;
    std::function<time_point()> now;
    std::function<void(const std::string& counter, double amount)> count;
    std::function<void(const std::string& name, milliseconds time)> record;
};

// Connects an entry VM to the services and the protocols of a site's platform.
struct site_adapter
{
    deployment_rows rows;
    std::function<table(const std::string& address,
                        const adapter_context& context)>
        make_store;
    std::function<server_api(const adapter_context& context)> make_servers;
    std::function<http_handler(job_api& jobs, const adapter_context& context)>
        make_http_api;
    // Judges calls before a body that has not arrived is read.
    std::function<http_judge(job_api& jobs, const adapter_context& context)>
        make_http_judge;
    std::function<http_handler(std::function<bool()> ready)> make_ready_probe;
};

// Like `run_entry_vm`, but with the services that `adapter` makes.
bool run_site_vm(const site_settings& values,
                 const std::string& file,
                 const site_adapter& adapter,
                 failure& why);

} // namespace poplarramp

#endif
