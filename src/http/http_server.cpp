#include "http/http_server.hpp"

#include "common/acceptor.hpp"
#include "common/logging.hpp"
#include "http/byte_budget.hpp"
#include "http/http_session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <unordered_set>

namespace tanagertrack::http
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Delay after a failed accept, for example when the process has run out of
/// file descriptors.
constexpr auto accept_retry_delay = std::chrono::milliseconds(50);

} // namespace

class http_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& context, http_settings settings,
         request_handler handler)
        : context_(context), settings_(std::move(settings)),
          handler_(std::move(handler)), acceptor_(context)
    {
    }

    void use_budget(std::shared_ptr<byte_budget> budget)
    {
        budget_ = std::move(budget);
    }

    std::error_code listen(const common::endpoint& local)
    {
        const auto ec = common::open_acceptor(acceptor_, local);
        if (!ec)
            asio::co_spawn(context_, accept_connections(shared_from_this()),
                           asio::detached);
        return ec;
    }

    std::uint16_t port() const
    {
        error_code ignored;
        return acceptor_.local_endpoint(ignored).port();
    }

    void stop_accepting()
    {
        error_code ignored;
        acceptor_.close(ignored);
    }

    void set_settings(http_settings settings)
    {
        settings_ = std::move(settings);
    }

    void drain()
    {
        shared_state_->draining = true;
    }

    void close_idle()
    {
        // close() removes the session from the set only later, so the iterator
        // stays valid.
        for (auto* it : sessions_)
            it->close_if_idle();
    }

    void close_all()
    {
        shared_state_->detached = true;
        stop_accepting();
        for (auto* it : sessions_)
            it->close();
    }

    std::size_t connections() const
    {
        return connection_count_.load();
    }

    std::size_t requests_in_progress() const
    {
        return shared_state_->requests_in_progress;
    }

private:
    /// `self` keeps the object alive: the coroutine can outlive the server.
    asio::awaitable<void> accept_connections(std::shared_ptr<impl> self)
    {
        while (self->acceptor_.is_open())
        {
            error_code ec;
            auto socket = co_await self->acceptor_.async_accept(
                asio::redirect_error(asio::use_awaitable, ec));
            if (!ec)
                self->start_session(std::move(socket));
            else if (self->acceptor_.is_open())
                co_await self->wait_after_failure(ec);
        }
    }

    asio::awaitable<void> wait_after_failure(error_code cause)
    {
        common::log_warning("accept_failed", {{"listener", settings_.name},
                                              {"what", cause.message()}});
        asio::steady_timer timer(context_, accept_retry_delay);
        error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }

    void start_session(tcp::socket socket)
    {
        if (sessions_.size() >= settings_.max_connections)
        {
            common::log_warning("connection_refused",
                                {{"listener", settings_.name},
                                 {"connections", sessions_.size()}});
            return;
        }
        if (budget_ != nullptr && !budget_->make_room_for_connection())
        {
            common::log_warning("connection_refused",
                                {{"listener", settings_.name},
                                 {"connections", budget_->connections()}});
            return;
        }
        // The session holds a reference to this object, because it uses the
        // settings.
        auto session = std::make_shared<http_session>(
            std::move(socket), settings_, handler_,
            [self = shared_from_this()](http_session* it)
            { self->remove_session(it); },
            shared_state_);
        if (budget_ != nullptr)
            session->use_budget(budget_);
        sessions_.insert(session.get());
        connection_count_.store(sessions_.size());
        asio::co_spawn(context_, session->run(), asio::detached);
    }

    void remove_session(http_session* session)
    {
        sessions_.erase(session);
        connection_count_.store(sessions_.size());
    }

    asio::io_context& context_;
    http_settings settings_;
    request_handler handler_;
    tcp::acceptor acceptor_;
    std::shared_ptr<byte_budget> budget_;
    std::unordered_set<http_session*> sessions_;
    std::atomic<std::size_t> connection_count_{0};
    http_session::server_state_ptr shared_state_ =
        std::make_shared<http_session::server_state>();
};

http_server::http_server(asio::io_context& context, http_settings settings,
                         request_handler handler)
    : impl_(std::make_shared<impl>(context, std::move(settings),
                                   std::move(handler)))
{
}

http_server::~http_server()
{
    impl_->close_all();
}

std::error_code http_server::listen(const common::endpoint& local)
{
    return impl_->listen(local);
}

std::uint16_t http_server::port() const
{
    return impl_->port();
}

void http_server::use_budget(std::shared_ptr<byte_budget> budget)
{
    impl_->use_budget(std::move(budget));
}

void http_server::stop_accepting()
{
    impl_->stop_accepting();
}

void http_server::set_settings(http_settings settings)
{
    impl_->set_settings(std::move(settings));
}

void http_server::drain()
{
    impl_->drain();
}

void http_server::close_idle()
{
    impl_->close_idle();
}

std::size_t http_server::requests_in_progress() const
{
    return impl_->requests_in_progress();
}

std::size_t http_server::connections() const
{
    return impl_->connections();
}

} // namespace tanagertrack::http
