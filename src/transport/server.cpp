#include "transport/server.hpp"

#include "common/acceptor.hpp"
#include "common/logging.hpp"
#include "transport/session.hpp"

#include <boost/asio/io_context.hpp>

#include <unordered_set>
#include <utility>

namespace tanagertrack::transport
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// Pause after a failed accept, for example when descriptors ran out.
constexpr std::chrono::milliseconds accept_pause{100};

} // namespace

/// Acceptor and the sessions of its connections.
class server::impl : public std::enable_shared_from_this<server::impl>
{
public:
    impl(asio::io_context& context, transport_settings settings,
         stream_handler on_stream)
        : settings_(std::move(settings)),
          on_stream_(std::make_shared<stream_handler>(std::move(on_stream))),
          acceptor_(context), timer_(context)
    {
    }

    std::error_code listen(const common::endpoint& local)
    {
        const auto ec = common::open_acceptor(acceptor_, local);
        if (!ec)
            accept();
        return ec;
    }

    void stop_accepting()
    {
        boost::system::error_code ec;
        acceptor_.close(ec);
        timer_.cancel();
        for (const auto& it : sessions_)
            it->stop_accepting();
    }

    void close()
    {
        boost::system::error_code ec;
        acceptor_.close(ec);
        timer_.cancel();
        const auto sessions = std::exchange(sessions_, {});
        for (const auto& it : sessions)
            it->close();
    }

    std::size_t open_streams() const
    {
        std::size_t n = 0;
        for (const auto& it : sessions_)
            n += it->open_streams();
        return n;
    }

    std::size_t open_connections() const
    {
        return sessions_.size();
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](const auto& ec, tcp::socket socket)
            { self->on_accept(ec, std::move(socket)); });
    }

    void on_accept(const boost::system::error_code& ec, tcp::socket socket)
    {
        if (!acceptor_.is_open())
            return;
        if (ec)
        {
            common::log_warning("accept_failed", {{"error", ec.message()}});
            timer_.expires_after(accept_pause);
            timer_.async_wait(
                [self = shared_from_this()](const auto& error)
                {
                    if (!error && self->acceptor_.is_open())
                        self->accept();
                });
            return;
        }
        if (sessions_.size() < settings_.max_connections)
            start_session(std::move(socket));
        else
            common::log_warning("connection_limit",
                                {{"limit", settings_.max_connections}});
        accept();
    }

    void start_session(tcp::socket socket)
    {
        const std::weak_ptr<impl> weak = shared_from_this();
        // The session owns its hooks, so the hooks may not own the session.
        const auto slot = std::make_shared<std::weak_ptr<session>>();
        session_hooks hooks;
        hooks.on_stream = [handler = on_stream_](message_stream_ptr stream)
        {
            (*handler)(std::move(stream));
        };
        hooks.on_down = [weak, slot](std::error_code)
        {
            if (const auto self = weak.lock())
                self->sessions_.erase(slot->lock());
        };
        const auto it =
            std::make_shared<session>(std::move(socket), session_side::server,
                                      settings_, std::move(hooks));
        *slot = it;
        sessions_.insert(it);
        it->start();
    }

    const transport_settings settings_;
    const std::shared_ptr<stream_handler> on_stream_;
    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    std::unordered_set<std::shared_ptr<session>> sessions_;
};

server::server(asio::io_context& context, transport_settings settings,
               stream_handler on_stream)
    : impl_(std::make_shared<impl>(context, std::move(settings),
                                   std::move(on_stream)))
{
}

server::~server()
{
    impl_->close();
}

std::error_code server::listen(const common::endpoint& local)
{
    return impl_->listen(local);
}

void server::stop_accepting()
{
    impl_->stop_accepting();
}

std::size_t server::open_streams() const
{
    return impl_->open_streams();
}

std::size_t server::open_connections() const
{
    return impl_->open_connections();
}

} // namespace tanagertrack::transport
