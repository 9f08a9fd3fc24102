#ifndef TANAGERTRACK_ENTRY_FORWARD_CLIENT_HPP
#define TANAGERTRACK_ENTRY_FORWARD_CLIENT_HPP

#include "common/endpoint.hpp"
#include "config/settings.hpp"
#include "entry/exchange.hpp"
#include "transport/client_connection.hpp"

#include <map>
#include <memory>
#include <vector>

namespace tanagertrack::common
{
class duty_thread;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// Sends requests to the entry that holds their partition and relays the
/// answers, both streamed with backpressure. Keeps one connection to each
/// other entry that it needs.
class forward_client : public std::enable_shared_from_this<forward_client>
{
public:
    /// `peer_thread` carries the connections.
    forward_client(common::duty_thread& peer_thread,
                   const config::settings& settings);
    ~forward_client();

    forward_client(const forward_client&) = delete;
    forward_client& operator=(const forward_client&) = delete;

    /// Forwards a request; its answer is given in any case. Any thread.
    void forward(exchange_ptr request, common::endpoint holder);

private:
    class relay;

    /// Connection to one entry.
    struct link
    {
        std::unique_ptr<transport::client_connection> connection;

        /// Requests that wait for the connection.
        std::vector<std::shared_ptr<relay>> waiting;
        bool up = false;
    };

    void start_relay(std::shared_ptr<relay> it, const common::endpoint& holder);
    void open_link(const common::endpoint& holder);
    void link_up(const common::endpoint& holder);
    void link_down(const common::endpoint& holder);

    common::duty_thread& peer_thread_;
    transport::transport_settings options_;
    std::map<common::endpoint, link> links_;
};

} // namespace tanagertrack::entry

#endif
