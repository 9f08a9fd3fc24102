#include "common/timer_wait.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace tanagertrack::common
{

void wait_until(boost::asio::steady_timer& timer, time_point deadline,
                wait_handler handler)
{
    timer.expires_at(deadline);
    if (deadline > clock::now())
        return timer.async_wait(std::move(handler));
    boost::asio::post(timer.get_executor(), [handler = std::move(handler)]
                      { handler(boost::system::error_code()); });
}

} // namespace tanagertrack::common
