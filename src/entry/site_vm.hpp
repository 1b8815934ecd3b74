// The process of one entry VM on the users' site.
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

// What an adapter may use. The callers have connections of their own, so that
// calls that wait for something do not delay the others.
struct site_callers
{
    http_caller store;
    http_caller store_waits;
    http_caller orders;
    http_caller server_waits;
    std::function<time_point()> now;
    std::function<void(const std::string& counter, double amount)> count;
    std::function<void(const std::string& name, milliseconds time)> record;
};

// Translation between the product and the platform of a site.
struct site_adapter
{
    deployment_rows rows;
    std::function<table(const std::string& address,
                        const site_callers& callers)>
        make_store;
    std::function<server_api(const site_callers& callers)> make_servers;
    std::function<http_handler(job_api& jobs, const site_callers& callers)>
        make_http_api;
    std::function<http_handler(std::function<bool()> ready)> make_ready_probe;
};

// Runs an entry VM until a planned stop, like `run_entry_vm`.
bool run_site_vm(const site_settings& values,
                 const std::string& file,
                 const site_adapter& adapter,
                 failure& why);

} // namespace poplarramp

#endif
