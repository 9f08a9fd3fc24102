#include "agent/target_probe.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace tanagertrack::agent
{

namespace
{

using boost::asio::ip::tcp;

/// Time between two tries, which is also the time for one.
constexpr std::chrono::milliseconds probe_interval{500};

} // namespace

class target_probe::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(boost::asio::io_context& context, const common::endpoint& target)
        : target_(boost::asio::ip::make_address(target.address), target.port),
          socket_(context), timer_(context)
    {
    }

    void start(std::function<void(bool)> on_result)
    {
        on_result_ = std::move(on_result);
        try_once();
    }

    void stop()
    {
        on_result_ = nullptr;
        timer_.cancel();
        close();
    }

private:
    void try_once()
    {
        reached_ = false;
        close();
        socket_.async_connect(target_,
                              [self = shared_from_this()](const auto& ec)
                              {
                                  if (!ec)
                                      self->succeed();
                              });
        timer_.expires_after(probe_interval);
        timer_.async_wait(
            [self = shared_from_this()](const auto& ec)
            {
                if (!ec && !self->reached_)
                    self->fail();
            });
    }

    void succeed()
    {
        reached_ = true;
        timer_.cancel();
        close();
        if (const auto tell = std::exchange(on_result_, nullptr))
            tell(true);
    }

    void fail()
    {
        // The hook may start a new round.
        const auto tell = on_result_;
        if (tell)
            tell(false);
        if (on_result_)
            try_once();
    }

    void close()
    {
        boost::system::error_code ec;
        socket_.close(ec);
    }

    const tcp::endpoint target_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::function<void(bool)> on_result_;
    bool reached_ = false;
};

target_probe::target_probe(boost::asio::io_context& context,
                           common::endpoint target)
    : impl_(std::make_shared<impl>(context, target))
{
}

target_probe::~target_probe()
{
    impl_->stop();
}

void target_probe::start(std::function<void(bool)> on_result)
{
    impl_->start(std::move(on_result));
}

} // namespace tanagertrack::agent
