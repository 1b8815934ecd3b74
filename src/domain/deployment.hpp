// Plain data: the operator's configuration and the registered backend servers,
// as decoded by the adapter to the operator's store.
#ifndef POPLARRAMP_DOMAIN_DEPLOYMENT_HPP
#define POPLARRAMP_DOMAIN_DEPLOYMENT_HPP

#include "model/step_job.hpp"
#include "services/table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplarramp
{

// A job queue, selected by host and path.
struct queue_config
{
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service;
    queue_policy policy;
    // Calls need no API key.
    bool allow_anonymous = false;
    // Regions in which its jobs may run; empty: all.
    std::vector<std::string> regions;
    // An external service must be asked which backend servers may run a step
    // before the step is placed.
    bool needs_placement_advice = false;
};

struct service_config
{
    std::string name;
    // Switched off, so that it costs nothing; none of its servers gets tasks.
    bool standby = false;
};

struct customer_config
{
    std::string name;
    std::vector<std::string> keys;
    // Accelerators that its jobs of priority 0 are guaranteed at any time.
    std::int64_t guaranteed_accelerators = 0;
    // Regions in which its jobs may run; empty: all.
    std::vector<std::string> regions;
    // Its share of a full fleet, relative to other customers, and the number of
    // jobs per second that it is entitled to submit; 0: none.
    double weight = 0;
    // The most that its tasks may use over all servers; 0: no limit.
    resources limit = {};
};

struct deployment_config
{
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<service_config> services;
    std::vector<customer_config> customers;
};

// While the row exists, no task may start in the zone.
struct zone_evacuation
{
    std::string zone;
};

// Content of a row written by the operator.
using operator_row = std::variant<deployment_config, zone_evacuation>;

// Registration of one incarnation of a backend server.
struct server_registration
{
    std::string id;
    // Start time in Unix milliseconds; identifies the incarnation, since a
    // restart keeps the id.
    std::int64_t incarnation = 0;
    // "ip:port".
    std::string address;
    std::string service;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
};

// Location and decoders of the rows of the operator and of the backend servers.
// A decoder returns nothing and fills `why` for an invalid row, and returns
// nothing with `why` unset for a row that the scheduler does not use.
struct deployment_rows
{
    std::string operator_prefix;
    std::string server_prefix;
    std::function<std::optional<operator_row>(const table_row& row,
                                              failure& why)>
        decode_operator_row;
    std::function<std::optional<server_registration>(const table_row& row,
                                                     failure& why)>
        decode_server_row;
};

} // namespace poplarramp

#endif
