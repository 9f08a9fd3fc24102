#ifndef TANAGERTRACK_ENTRY_HOST_FOLLOWER_HPP
#define TANAGERTRACK_ENTRY_HOST_FOLLOWER_HPP

#include "entry/target_pool.hpp"
#include "services/host_list.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace tanagertrack::entry
{

/// Reads the platform's host list and tells the pool which hosts are leaving.
/// While the list can't be read, the last one stays in effect. Lives on the
/// `peer` thread.
class host_follower
{
public:
    host_follower(boost::asio::io_context& context, services::host_list list,
                  std::chrono::milliseconds interval, target_pool& pool);

    host_follower(const host_follower&) = delete;
    host_follower& operator=(const host_follower&) = delete;

    /// Starts to read. Call once.
    void start();

private:
    void take(std::error_code ec,
              const std::vector<services::listed_host>& hosts);

    services::host_list list_;
    std::chrono::milliseconds interval_;
    target_pool& pool_;
    boost::asio::steady_timer timer_;
};

} // namespace tanagertrack::entry

#endif
