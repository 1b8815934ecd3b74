// Stand-in for the platform: transactional table, object store and list of
// members.
#ifndef POPLARRAMP_STANDIN_PLATFORM_HPP
#define POPLARRAMP_STANDIN_PLATFORM_HPP

#include "http/message.hpp"
#include "services/services_codec.hpp"
#include "standin/timers.hpp"

#include <map>
#include <string>
#include <vector>

namespace poplarramp::standin
{

struct platform_settings
{
    std::vector<vm_member> members;
    // Delay until a change of the members becomes visible.
    milliseconds members_lag{0};
};

// Not thread safe; used on the control thread.
class platform
{
public:
    platform(platform_settings settings, timers& clock);

    // Handles the calls of the platform; for tests also POST /v1/members, which
    // replaces the members, and GET /v1/counts, which returns the number of
    // calls by method and target.
    void handle(const http_request& request,
                const std::function<void(http_response)>& respond);

private:
    http_response route(const http_request& request);
    http_response post(const http_request& request);
    http_response read(const Json::Value& body);
    http_response write(const Json::Value& body);
    http_response scan(const Json::Value& body);
    http_response set_members(const Json::Value& body);
    http_response object(const http_request& request);
    http_response members() const;
    http_response counts() const;

    timers& clock_;
    platform_settings settings_;
    std::vector<vm_member> members_;
    std::map<std::string, table_row> rows_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, std::uint64_t> counts_;
    // Versions are unique over all rows, so that a row that was removed and
    // inserted again does not match an old version.
    std::uint64_t last_version_ = 0;
};

} // namespace poplarramp::standin

#endif
