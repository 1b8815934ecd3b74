// The users' platform on loopback in real time: HTTP front ends of the
// simulated store and backend servers, which check the invariants.
#ifndef POPLARRAMP_SOAK_SITE_HPP
#define POPLARRAMP_SOAK_SITE_HPP

#include "domain_simulation.hpp"
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

    // Advances the simulation to the current time. To be called every few
    // milliseconds.
    void tick();

    std::uint16_t store_port() const
    {
        return store_->port();
    }

    // Proxies in front of the backend servers, by server id.
    std::map<std::string, std::unique_ptr<proxy>>& links()
    {
        return links_;
    }

    fakes::domain_simulation& sim()
    {
        return sim_;
    }
    const fakes::domain_simulation& sim() const
    {
        return sim_;
    }

    // Rewrites the configuration as a newer version.
    void put_config();

    // Writes the current entry of a backend server to the store.
    void put_server(const std::string& id);

    // Restarts a server as a new incarnation without any state.
    void restart_server(const std::string& id);

    // VM named in the leader row; empty if there is none.
    std::string leader() const;

private:
    using respond_hook = std::function<void(http_response)>;

    // A long poll for a row change or the end of a run.
    struct waiting_call
    {
        time_point deadline{};
        // Returns nullopt while there is no change to report, unless
        // `timed_out`.
        std::function<std::optional<http_response>(bool timed_out)> poll;
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
    std::optional<http_response> list_runs(const std::string& id,
                                           const server_target& to,
                                           const renew_order& order,
                                           bool timed_out);
    std::unique_ptr<http_server> listen(http_handler handler);

    boost::asio::io_context& traffic_;
    boost::asio::io_context& control_;
    const time_point started_;
    const std::int64_t sim_started_;
    fakes::domain_simulation sim_;
    std::unique_ptr<http_server> store_;
    std::map<std::string, std::unique_ptr<http_server>> servers_;
    std::map<std::string, std::unique_ptr<proxy>> links_;
    std::list<waiting_call> waiting_;
};

} // namespace poplarramp::soak

#endif
