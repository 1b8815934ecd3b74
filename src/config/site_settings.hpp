// Settings of one entry VM on the users' site, read from a file of strict JSON
// with comments.
#ifndef POPLARRAMP_CONFIG_SITE_SETTINGS_HPP
#define POPLARRAMP_CONFIG_SITE_SETTINGS_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "config/schema.hpp"
#include "config/settings.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace poplarramp
{

struct site_listen_settings
{
    // "ip:port" for callers, for the readiness probe, for the metrics page, and
    // for calls of other VMs.
    std::string callers;
    std::string ready;
    std::string metrics;
    std::string inner;
};

// Bounds that the site has agreed with its users; the deploy file sets the
// current values.
struct site_bound_settings
{
    // Maximum lease that a backend server grants.
    milliseconds max_lease{6000};
    // A revoked API key must not be accepted after this time.
    milliseconds max_key_revocation_delay{5000};
    // Time from SIGTERM to the end of the process.
    milliseconds stop_timeout{6000};
    // The state of an ended job can be queried for at least this time.
    milliseconds status_retention{120000};
    // Factor on run times on another rack than the data, or across racks.
    double remote_slowdown = 3;
    // Share of its limit by which a customer may exceed it, for a gang that is
    // wider than the limit.
    double limit_overage = 0;
};

// What the platform grants to the process of this VM.
struct site_limit_settings
{
    // The platform ends a process that exceeds it; parts of it bound what the
    // process holds for callers.
    int memory_mb = 128;
    // Files and connections that the process may have open.
    int descriptors = 4096;
    // Connections of callers from one address; 0: no limit.
    int connections_per_address = 0;
};

struct site_settings
{
    std::string vm;
    std::string zone;
    site_listen_settings listen;
    // "ip:port" of the platform's store.
    std::string store;
    // Region of each zone.
    std::map<std::string, std::string> regions;
    // Cores of this VM; may be a fraction.
    double processor_share = 1;
    // The leader makes the calls of smaller domains itself.
    int min_servers_for_relays = 128;
    // The leader learns the speed of the backend servers and uses it where
    // speeds differ by more than the queues bear.
    bool learn_speeds = false;
    // When there is too little capacity, what costs callers least waits.
    bool weigh_value = false;
    site_limit_settings limits;
    site_bound_settings bounds;
    log_settings log{log_level::info, "stdout"};
};

// Keys of the settings file; the fields fill `target`.
schema site_settings_schema(site_settings& target);

// Parses and checks settings. On failure returns nullopt and fills `why` with
// `bad_settings` and one error. Thread safe.
std::optional<site_settings> parse_site_settings(std::string_view text,
                                                 const std::string& file,
                                                 failure& why);
std::optional<site_settings> read_site_settings(const std::string& file,
                                                failure& why);

} // namespace poplarramp

#endif
