// The API of one entry VM in a world of fakes.
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

// Two VMs in each of the availability zones "a" and "b"; the API is that of
// "a1".
class api_world
{
public:
    api_world();

    // Sends a request and lets time pass until it is answered.
    api_answer call(const http_request& request);
    api_answer call(const std::string& method,
                    const std::string& target,
                    const std::string& body = "",
                    const std::string& token = "");
    // Value of "wait_until" that many milliseconds from now.
    std::string after(int ms) const;

    controller_simulation world;
    api target;
};

std::string job_text(const std::string& kind, const std::string& key);

} // namespace poplarramp::tests

#endif
