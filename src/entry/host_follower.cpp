#include "entry/host_follower.hpp"

#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::entry
{

host_follower::host_follower(boost::asio::io_context& context,
                             services::host_list list,
                             std::chrono::milliseconds interval,
                             target_pool& pool)
    : list_(std::move(list)), interval_(interval), pool_(pool), timer_(context)
{
}

void host_follower::start()
{
    list_.fetch([this](std::error_code ec,
                       const std::vector<services::listed_host>& hosts)
                { take(ec, hosts); });
}

void host_follower::take(std::error_code ec,
                         const std::vector<services::listed_host>& hosts)
{
    if (ec)
        common::log_warning("host_list_read_failed", {{"what", ec.message()}});
    std::vector<std::string> leaving;
    for (const auto& it : hosts)
    {
        if (it.state == services::host_state::leaving)
            leaving.push_back(it.address);
    }
    if (!ec)
        pool_.set_leaving_hosts(leaving);
    timer_.expires_after(interval_);
    timer_.async_wait(
        [this](const auto& error)
        {
            if (!error)
                start();
        });
}

} // namespace tanagertrack::entry
