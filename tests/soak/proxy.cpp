#include "soak/proxy.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <list>
#include <utility>

namespace poplarramp::soak
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t chunk_bytes = 16384;

// Interval at which held back data checks whether the link is open again.
constexpr milliseconds retry_interval{20};

} // namespace

struct proxy::state : std::enable_shared_from_this<state>
{
    struct connection;

    state(asio::io_context& context, std::uint16_t target)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          target_port(target)
    {
    }

    void accept();
    void reset_all();

    tcp::acceptor acceptor;
    const std::uint16_t target_port;
    link_state link = link_state::open;
    milliseconds delay{0};
    std::list<std::weak_ptr<connection>> connections;
};

// A connection from a client and the one to the server behind the proxy.
struct proxy::state::connection : std::enable_shared_from_this<connection>
{
    struct direction
    {
        direction(tcp::socket& source, tcp::socket& sink, bool is_reply)
            : from(source), to(sink), reply(is_reply),
              timer(source.get_executor())
        {
        }

        tcp::socket& from;
        tcp::socket& to;
        const bool reply;
        asio::steady_timer timer;
        std::array<char, chunk_bytes> bytes{};
    };

    connection(std::shared_ptr<state> proxy_state, tcp::socket accepted)
        : owner(std::move(proxy_state)), client(std::move(accepted)),
          server(client.get_executor()), request(client, server, false),
          response(server, client, true)
    {
    }

    void start();
    void read(direction& flow);
    void forward(direction& flow, std::size_t count);
    void close();
    void reset();

    std::shared_ptr<state> owner;
    tcp::socket client;
    tcp::socket server;
    direction request;
    direction response;
    bool permanently_blocked = false;
};

void proxy::state::connection::start()
{
    const tcp::endpoint target(asio::ip::address_v4::loopback(),
                               owner->target_port);
    server.async_connect(target,
                         [self = shared_from_this()](error_code error)
                         {
                             if (error)
                             {
                                 self->reset();
                                 return;
                             }
                             self->read(self->request);
                             self->read(self->response);
                         });
}

void proxy::state::connection::read(direction& flow)
{
    flow.from.async_read_some(
        asio::buffer(flow.bytes),
        [self = shared_from_this(), &flow](error_code error, std::size_t count)
        {
            if (error)
            {
                self->close();
                return;
            }
            flow.timer.expires_after(self->owner->delay);
            flow.timer.async_wait(
                [self, &flow, count](error_code cancelled)
                {
                    if (!cancelled)
                    {
                        self->forward(flow, count);
                    }
                });
        });
}

void proxy::state::connection::forward(direction& flow, std::size_t count)
{
    const auto current = owner->link;
    const bool held_back =
        permanently_blocked || current == link_state::blocked ||
        (current == link_state::replies_blocked && flow.reply);
    if (held_back)
    {
        flow.timer.expires_after(retry_interval);
        flow.timer.async_wait(
            [self = shared_from_this(), &flow, count](error_code cancelled)
            {
                if (!cancelled)
                {
                    self->forward(flow, count);
                }
            });
        return;
    }
    asio::async_write(
        flow.to,
        asio::buffer(flow.bytes, count),
        [self = shared_from_this(), &flow](error_code error, std::size_t)
        { error ? self->close() : self->read(flow); });
}

void proxy::state::connection::close()
{
    error_code ignored;
    // An error here means that the socket is closed already.
    client.close(ignored);
    server.close(ignored);
    request.timer.cancel();
    response.timer.cancel();
}

void proxy::state::connection::reset()
{
    error_code ignored;
    client.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void proxy::state::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](error_code error, tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            auto item = std::make_shared<connection>(self, std::move(socket));
            if (self->link == link_state::reset)
            {
                item->reset();
            }
            else
            {
                self->connections.push_back(item);
                item->start();
            }
            self->accept();
        });
}

void proxy::state::reset_all()
{
    for (const auto& item : std::exchange(connections, {}))
    {
        if (const auto open = item.lock())
        {
            open->reset();
        }
    }
}

proxy::proxy(asio::io_context& context, std::uint16_t target_port)
    : state_(std::make_shared<state>(context, target_port))
{
    state_->accept();
}

proxy::~proxy()
{
    error_code ignored;
    state_->acceptor.close(ignored);
    state_->reset_all();
}

std::uint16_t proxy::port() const
{
    return state_->acceptor.local_endpoint().port();
}

void proxy::set(link_state new_state)
{
    state_->link = new_state;
    if (new_state == link_state::reset)
    {
        state_->reset_all();
    }
}

void proxy::delay(milliseconds time)
{
    state_->delay = time;
}

void proxy::block_connections()
{
    for (const auto& item : state_->connections)
    {
        if (const auto open = item.lock())
        {
            open->permanently_blocked = true;
        }
    }
}

} // namespace poplarramp::soak
