#include "common/periodic_timer.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::common
{

periodic_timer::periodic_timer(boost::asio::io_context& context,
                               std::chrono::milliseconds interval,
                               std::function<void()> on_expired)
    : interval_(interval), on_expired_(std::move(on_expired)), timer_(context)
{
}

void periodic_timer::start()
{
    timer_.expires_after(interval_);
    timer_.async_wait(
        [this, lifetime = std::weak_ptr(lifetime_)](const auto& ec)
        {
            if (ec || lifetime.expired())
                return;
            on_expired_();
            start();
        });
}

} // namespace tanagertrack::common
