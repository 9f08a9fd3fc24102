#include "transport/client_connection.hpp"

#include "common/result_code.hpp"
#include "transport/session.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace tanagertrack::transport
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// Connects a socket, then runs a session on it.
class client_connection::impl
    : public std::enable_shared_from_this<client_connection::impl>
{
public:
    impl(asio::io_context& context, transport_settings settings)
        : settings_(std::move(settings)), socket_(context), timer_(context)
    {
    }

    void start(const common::endpoint& peer, connection_hooks hooks)
    {
        hooks_ = std::make_shared<connection_hooks>(std::move(hooks));
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(peer.address, ec);
        if (ec)
        {
            asio::post(socket_.get_executor(),
                       [self = shared_from_this()] { self->down(); });
            return;
        }

        // Covers the connection and the peer's first frame.
        timer_.expires_after(settings_.connect_timeout);
        timer_.async_wait(
            [self = shared_from_this()](const auto& error)
            {
                // The handler may already be queued when the peer answers.
                if (!error && !self->up_)
                    self->down();
            });
        socket_.async_connect(tcp::endpoint(address, peer.port),
                              [self = shared_from_this()](const auto& error)
                              { self->on_connected(error); });
    }

    /// Ends everything without calling hooks.
    void close()
    {
        ended_ = true;
        stop();
    }

    session* get()
    {
        return session_.get();
    }

private:
    void on_connected(const boost::system::error_code& ec)
    {
        if (ended_)
            return;
        if (ec)
        {
            down();
            return;
        }
        const std::weak_ptr<impl> weak = shared_from_this();
        session_hooks hooks;
        hooks.on_up = [weak]
        {
            forward(weak, &impl::on_up);
        };
        hooks.on_going_away = [weak]
        {
            forward(weak, &impl::on_going_away);
        };
        hooks.on_down = [weak](std::error_code error)
        {
            if (const auto self = weak.lock())
                self->down(error);
        };
        session_ =
            std::make_shared<session>(std::move(socket_), session_side::client,
                                      settings_, std::move(hooks));
        session_->start();
    }

    static void forward(const std::weak_ptr<impl>& weak, void (impl::*step)())
    {
        if (const auto self = weak.lock())
            ((*self).*step)();
    }

    void on_up()
    {
        up_ = true;
        timer_.cancel();
        const auto hooks = hooks_;
        if (hooks->on_up)
            hooks->on_up();
    }

    void on_going_away()
    {
        const auto hooks = hooks_;
        if (hooks->on_going_away)
            hooks->on_going_away();
    }

    void down(std::error_code ec = common::result_code::connection_lost)
    {
        if (ended_)
            return;
        ended_ = true;
        stop();
        const auto hooks = hooks_;
        if (hooks->on_down)
            hooks->on_down(ec);
    }

    void stop()
    {
        timer_.cancel();
        boost::system::error_code ec;
        socket_.close(ec);
        if (session_)
            session_->close();
    }

    const transport_settings settings_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<connection_hooks> hooks_;
    std::shared_ptr<session> session_;
    bool up_ = false;
    bool ended_ = false;
};

client_connection::client_connection(asio::io_context& context,
                                     transport_settings settings)
    : impl_(std::make_shared<impl>(context, std::move(settings)))
{
}

client_connection::~client_connection()
{
    impl_->close();
}

void client_connection::start(const common::endpoint& peer,
                              connection_hooks hooks)
{
    impl_->start(peer, std::move(hooks));
}

message_stream_ptr client_connection::open(std::string_view path,
                                           stream_hooks hooks)
{
    auto* const it = impl_->get();
    return it != nullptr ? it->open(path, std::move(hooks)) : nullptr;
}

bool client_connection::is_up() const
{
    const auto* const it = impl_->get();
    return it != nullptr && it->is_up();
}

} // namespace tanagertrack::transport
