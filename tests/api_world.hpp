// Test fixture: the API of one entry VM whose peers and services are fakes.
#ifndef POPLARRAMP_TESTS_API_WORLD_HPP
#define POPLARRAMP_TESTS_API_WORLD_HPP

#include "cli/api_client.hpp"
#include "control_fakes.hpp"
#include "entry/api.hpp"

#include <json/value.h>

#include <string>

namespace poplarramp::tests
{

constexpr const char* good_token = "0123456789abcdef";

struct api_answer
{
    int status = 0;
    Json::Value body;
    std::string text;
    int count = 0;

    std::string result() const
    {
        return body["result"].asString();
    }
};

// Two VMs in each of the availability zones "a" and "b"; `target` is the API of
// VM "a1".
class api_world
{
public:
    api_world();

    // Sends a request and advances the time until its reply arrives.
    api_answer call(const http_request& request);
    api_answer call(const std::string& method,
                    const std::string& target,
                    const std::string& body = "",
                    const std::string& token = "");
    // Value of "wait_until" for `ms` milliseconds from now.
    std::string after(int ms) const;

    fake_world world;
    api target;
};

std::string job_text(const std::string& kind, const std::string& key);

} // namespace poplarramp::tests

#endif
