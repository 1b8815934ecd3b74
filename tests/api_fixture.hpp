// Test fixture: the API of one entry VM whose peers and services are fakes.
#ifndef POPLARRAMP_TESTS_API_FIXTURE_HPP
#define POPLARRAMP_TESTS_API_FIXTURE_HPP

#include "cli/api_client.hpp"
#include "control_fakes.hpp"
#include "entry/api.hpp"

#include <json/value.h>

#include <string>

namespace poplarramp::tests
{

constexpr const char* valid_token = "0123456789abcdef";

struct recorded_reply
{
    int status = 0;
    Json::Value body;
    std::string text;
    // Number of replies received; more than one is a fault.
    int count = 0;

    std::string result() const
    {
        return body["result"].asString();
    }
};

// Two VMs in each of the availability zones "a" and "b"; `vm_api` is the API of
// VM "a1".
class api_fixture
{
public:
    api_fixture();

    // Sends a request and advances the time until its reply arrives.
    recorded_reply call(const http_request& request);
    recorded_reply call(const std::string& method,
                        const std::string& path,
                        const std::string& body = "",
                        const std::string& token = "");
    // Value of "wait_until" for `ms` milliseconds from now.
    std::string unix_ms_after(int ms) const;

    controller_simulation sim;
    api vm_api;
};

std::string job_json(const std::string& kind, const std::string& key);

} // namespace poplarramp::tests

#endif
