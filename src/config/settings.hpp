// Settings of one entry VM, read from a file of strict JSON with comments.
#ifndef POPLARRAMP_CONFIG_SETTINGS_HPP
#define POPLARRAMP_CONFIG_SETTINGS_HPP

#include "base/log.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
#include "config/schema.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

// Account for operator calls. The name is recorded with each change.
struct operator_account
{
    std::string name;
    std::string token;
};

struct listen_settings
{
    // "ip:port" of the API for customers and operators.
    std::string callers;
    // "ip:port" of the internal protocol between entry VMs; peers connect to
    // it.
    std::string inner;
};

struct log_settings
{
    log_level level = log_level::info;
    // "stderr", "stdout" for JSON lines, or the path of a file.
    std::string destination = "stderr";
};

struct limit_settings
{
    // Limit of callers that wait for a job at a time.
    int max_waiting = 10000;
    // Limit of the body of a request.
    int max_body_bytes = 1048576;
    // Longest time that a graceful stop waits for requests in flight.
    milliseconds stop_timeout{30000};
};

struct settings
{
    std::string vm;
    std::string zone;
    listen_settings listen;
    // "ip:port" of the platform's services.
    std::string platform;
    // `listen.inner` addresses of peers, tried while the membership list is
    // empty.
    std::vector<std::string> seeds;
    std::vector<operator_account> operators;
    log_settings log;
    int traffic_threads = 2;
    limit_settings limits;
};

// Fields common to several settings files. An address is "ip:port" with IPv4.
field address_field(std::string key, std::string& target);
schema log_schema(log_settings& target);

// Keys of the settings file; the fields fill `target`.
schema settings_schema(settings& target);

// Parses and checks settings. On failure returns nullopt and fills `why` with
// `bad_settings` and one error: the file, the path of the key, the value found
// and the allowed values. Thread safe.
std::optional<settings>
parse_settings(std::string_view text, const std::string& file, failure& why);
std::optional<settings> read_settings(const std::string& file, failure& why);

// Paths of the keys that differ between the two and take effect only after a
// restart: all but the operators and the log level.
std::vector<std::string> keys_needing_restart(const settings& running,
                                              const settings& reloaded);

} // namespace poplarramp

#endif
