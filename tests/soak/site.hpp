// The users' platform on loopback in real time: its store and its backend
// servers behind HTTP, on top of the simulated ones, which check the promises.
#ifndef POPLARRAMP_SOAK_SITE_HPP
#define POPLARRAMP_SOAK_SITE_HPP

#include "domain_world.hpp"
#include "http/server.hpp"
#include "soak/proxy.hpp"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace poplarramp::soak
{

// Used on the control thread only.
class site
{
public:
    // Throws std::runtime_error if a port cannot be opened.
    site(boost::asio::io_context& traffic,
         boost::asio::io_context& control,
         std::uint64_t seed,
         int server_count);

    // Catches up with the time that has passed. To be called every few
    // milliseconds.
    void tick();

    std::uint16_t store_port() const
    {
        return store_->port();
    }

    // Proxies in front of the backend servers, by server.
    std::map<std::string, std::unique_ptr<proxy>>& links()
    {
        return links_;
    }

    fakes::domain_world& world()
    {
        return world_;
    }
    const fakes::domain_world& world() const
    {
        return world_;
    }

    // Writes the configuration once more, as a newer version.
    void put_config();

    // The entry of a backend server, as it stands.
    void put_server(const std::string& id);

    // The server starts anew, with nothing of before.
    void restart_server(const std::string& id);

    // VM in the row of the leader; empty if there is none.
    std::string leader() const;

private:
    using respond_hook = std::function<void(http_response)>;

    // A call that waits for a change or for an end.
    struct waiting_call
    {
        time_point until{};
        // Nothing until there is something to say, or `late`.
        std::function<std::optional<http_response>(bool late)> answer;
        respond_hook respond;
    };

    void serve_store(const http_request& request, respond_hook respond);
    void serve_feed(const std::map<std::string, std::string>& query,
                    respond_hook respond);
    void transact(const http_request& request, const respond_hook& respond);
    void serve_server(const std::string& id,
                      const http_request& request,
                      const respond_hook& respond);
    void renew(const std::string& id,
               const server_target& to,
               const Json::Value& json,
               const respond_hook& respond);
    std::optional<http_response> listed(const std::string& id,
                                        const server_target& to,
                                        const renew_order& order,
                                        bool late);
    std::unique_ptr<http_server> listen(http_handler handler);

    boost::asio::io_context& traffic_;
    boost::asio::io_context& control_;
    const time_point started_;
    const std::int64_t world_started_;
    fakes::domain_world world_;
    std::unique_ptr<http_server> store_;
    std::map<std::string, std::unique_ptr<http_server>> servers_;
    std::map<std::string, std::unique_ptr<proxy>> links_;
    std::list<waiting_call> waiting_;
};

} // namespace poplarramp::soak

#endif
