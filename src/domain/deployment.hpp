// What the operator asks for and which backend servers there are, as plain
// data. The adapter to the operator's store decodes them.
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

// A queue of jobs, found by host and path.
struct queue_rule
{
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service;
    queue_policy policy;
    // Calls need no key.
    bool anonymous = false;
    // Regions whose backend servers may run its jobs; empty: all.
    std::vector<std::string> regions;
    // A service that decides which backend servers may run a step is asked
    // before the step is placed.
    bool needs_placement_advice = false;
};

struct service_rule
{
    std::string name;
    // Off and not paid for.
    bool standby = false;
};

struct customer_rule
{
    std::string name;
    std::vector<std::string> keys;
    // Accelerators that its jobs of priority 0 can have at any time.
    std::int64_t guaranteed_accelerators = 0;
    // Empty: all.
    std::vector<std::string> regions;
};

struct deployment_config
{
    std::uint64_t version = 0;
    std::vector<queue_rule> queues;
    std::vector<service_rule> services;
    std::vector<customer_rule> customers;
};

// No task may start in the zone.
struct zone_evacuation
{
    std::string zone;
};

// One row that the operator wrote.
using operator_row = std::variant<deployment_config, zone_evacuation>;

// One life of a backend server, as it registered itself.
struct server_entry
{
    std::string id;
    // Unix milliseconds of its start; a restart under the same id has another.
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

// Rows of the operator and of the backend servers. The decoders return nothing
// and fill `why` for rows that cannot be used, and nothing with `why` unset for
// rows that are none of this product's concern.
struct deployment_rows
{
    std::string operator_prefix;
    std::string server_prefix;
    std::function<std::optional<operator_row>(const table_row& row,
                                              failure& why)>
        decode_operator_row;
    std::function<std::optional<server_entry>(const table_row& row,
                                              failure& why)>
        decode_server;
};

} // namespace poplarramp

#endif
