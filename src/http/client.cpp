#include "http/client.hpp"

#include "http/destination.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <exception>
#include <map>
#include <utility>

namespace poplarramp
{

namespace asio = boost::asio;

namespace
{

// Upper bound for the deadline of a call: converting `no_deadline` to the
// clock's nanoseconds would overflow.
constexpr milliseconds max_call_time = std::chrono::hours(1);

// VMs are replaced, and addresses change with them. From this number of
// addresses on, those not called for `address_retention` are evicted.
constexpr std::size_t eviction_threshold = 1024;
constexpr milliseconds address_retention{60000};

struct address_entry
{
    std::shared_ptr<detail::destination> pool;
    time_point last_call{};
};

} // namespace

// Members are used on the control thread only.
struct http_client::state : std::enable_shared_from_this<http_client::state>
{
    state(asio::io_context& traffic_context,
          asio::io_context& control_context,
          http_client_settings client_settings)
        : traffic(traffic_context), control(control_context),
          settings(client_settings)
    {
    }

    std::shared_ptr<detail::destination> pool_of(const std::string& address);
    void evict_unused(time_point now);
    void call(const std::string& address,
              http_request request,
              time_point deadline,
              std::function<void(http_reply)> done);

    asio::io_context& traffic;
    asio::io_context& control;
    const http_client_settings settings;
    std::map<std::string, address_entry> addresses;
};

std::shared_ptr<detail::destination>
http_client::state::pool_of(const std::string& address)
{
    const auto now = monotonic_now();
    if (addresses.size() >= eviction_threshold)
    {
        evict_unused(now);
    }
    auto& entry = addresses[address];
    if (!entry.pool)
    {
        entry.pool =
            std::make_shared<detail::destination>(traffic, address, settings);
    }
    entry.last_call = now;
    return entry.pool;
}

void http_client::state::evict_unused(time_point now)
{
    std::erase_if(addresses,
                  [now](const auto& item)
                  {
                      const auto& entry = item.second;
                      return entry.pool.use_count() == 1 &&
                             now - entry.last_call > address_retention;
                  });
}

void http_client::state::call(const std::string& address,
                              http_request request,
                              time_point deadline,
                              std::function<void(http_reply)> done)
{
    const auto pool = pool_of(address);
    const auto call_deadline =
        std::min(deadline, monotonic_now() + max_call_time);
    asio::co_spawn(pool->strand(),
                   pool->call(std::move(request), call_deadline),
                   [self = shared_from_this(), pool, done = std::move(done)](
                       const std::exception_ptr& error, http_reply reply)
                   {
                       if (error)
                       {
                           reply.error = {result_code::answer_lost,
                                          "the call ended with an exception"};
                       }
                       asio::post(self->control,
                                  [done, reply = std::move(reply)]
                                  { done(reply); });
                   });
}

http_client::http_client(asio::io_context& traffic,
                         asio::io_context& control,
                         http_client_settings settings)
    : state_(std::make_shared<state>(traffic, control, settings))
{
}

http_client::~http_client() = default;

http_send_function http_client::send_function() const
{
    return [self = state_](const std::string& address,
                           http_request request,
                           time_point deadline,
                           std::function<void(http_reply)> done)
    {
        self->call(address, std::move(request), deadline, std::move(done));
    };
}

} // namespace poplarramp
