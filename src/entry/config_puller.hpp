#ifndef TANAGERTRACK_ENTRY_CONFIG_PULLER_HPP
#define TANAGERTRACK_ENTRY_CONFIG_PULLER_HPP

#include "common/endpoint.hpp"
#include "proto/peer.pb.h"
#include "transport/client_connection.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace tanagertrack::entry
{

/// Asks other entries for the configuration, one after the other. Lives on
/// the `peer` thread.
class config_puller
{
public:
    /// `on_push` is called with each answer that has a configuration.
    config_puller(boost::asio::io_context& context,
                  transport::transport_settings options,
                  std::vector<common::endpoint> entries,
                  std::function<void(proto::ConfigPush)> on_push);

    config_puller(const config_puller&) = delete;
    config_puller& operator=(const config_puller&) = delete;

    /// Asks the next entry; ignored while an answer is awaited.
    void pull();

private:
    void connected();
    void message(std::string_view data);
    void end_later();

    boost::asio::io_context& context_;
    transport::transport_settings options_;
    std::vector<common::endpoint> entries_;
    std::function<void(proto::ConfigPush)> on_push_;
    std::size_t next_ = 0;
    boost::asio::steady_timer timer_;
    std::unique_ptr<transport::client_connection> connection_;
};

} // namespace tanagertrack::entry

#endif
