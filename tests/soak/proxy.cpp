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

constexpr std::size_t piece_bytes = 16384;

// Interval at which held back data checks whether the link is open again.
constexpr milliseconds retry_interval{20};

} // namespace

struct proxy::state : std::enable_shared_from_this<state>
{
    struct pair;

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
    std::list<std::weak_ptr<pair>> pairs;
};

// A connection from a client and the one to the server behind the proxy.
struct proxy::state::pair : std::enable_shared_from_this<pair>
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
        std::array<char, piece_bytes> bytes{};
    };

    pair(std::shared_ptr<state> wanted_owner, tcp::socket accepted)
        : owner(std::move(wanted_owner)), near(std::move(accepted)),
          far(near.get_executor()), request(near, far, false),
          answer(far, near, true)
    {
    }

    void start();
    void pump(direction& way);
    void pass(direction& way, std::size_t count);
    void close();
    void reset();

    std::shared_ptr<state> owner;
    tcp::socket near;
    tcp::socket far;
    direction request;
    direction answer;
    bool forgotten = false;
};

void proxy::state::pair::start()
{
    const tcp::endpoint target(asio::ip::address_v4::loopback(),
                               owner->target_port);
    far.async_connect(target,
                      [self = shared_from_this()](error_code error)
                      {
                          if (error)
                          {
                              self->reset();
                              return;
                          }
                          self->pump(self->request);
                          self->pump(self->answer);
                      });
}

void proxy::state::pair::pump(direction& way)
{
    way.from.async_read_some(
        asio::buffer(way.bytes),
        [self = shared_from_this(), &way](error_code error, std::size_t count)
        {
            if (error)
            {
                self->close();
                return;
            }
            way.timer.expires_after(self->owner->delay);
            way.timer.async_wait(
                [self, &way, count](error_code cancelled)
                {
                    if (!cancelled)
                    {
                        self->pass(way, count);
                    }
                });
        });
}

void proxy::state::pair::pass(direction& way, std::size_t count)
{
    const auto current = owner->link;
    const bool waits = forgotten || current == link_state::silent ||
                       (current == link_state::one_way && way.reply);
    if (waits)
    {
        way.timer.expires_after(retry_interval);
        way.timer.async_wait(
            [self = shared_from_this(), &way, count](error_code cancelled)
            {
                if (!cancelled)
                {
                    self->pass(way, count);
                }
            });
        return;
    }
    asio::async_write(
        way.to,
        asio::buffer(way.bytes, count),
        [self = shared_from_this(), &way](error_code error, std::size_t)
        { error ? self->close() : self->pump(way); });
}

void proxy::state::pair::close()
{
    error_code ignored;
    // An error here means that the socket is closed already.
    near.close(ignored);
    far.close(ignored);
    request.timer.cancel();
    answer.timer.cancel();
}

void proxy::state::pair::reset()
{
    error_code ignored;
    near.set_option(asio::socket_base::linger(true, 0), ignored);
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
            auto item = std::make_shared<pair>(self, std::move(socket));
            if (self->link == link_state::reset)
            {
                item->reset();
            }
            else
            {
                self->pairs.push_back(item);
                item->start();
            }
            self->accept();
        });
}

void proxy::state::reset_all()
{
    for (const auto& item : std::exchange(pairs, {}))
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

void proxy::set(link_state wanted)
{
    state_->link = wanted;
    if (wanted == link_state::reset)
    {
        state_->reset_all();
    }
}

void proxy::delay(milliseconds time)
{
    state_->delay = time;
}

void proxy::forget_connections()
{
    for (const auto& item : state_->pairs)
    {
        if (const auto open = item.lock())
        {
            open->forgotten = true;
        }
    }
}

} // namespace poplarramp::soak
