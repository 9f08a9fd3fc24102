#ifndef TANAGERTRACK_PEERS_LOAD_EXCHANGE_HPP
#define TANAGERTRACK_PEERS_LOAD_EXCHANGE_HPP

#include "common/endpoint.hpp"
#include "peers/peer_loads.hpp"
#include "routing/urgency.hpp"
#include "targets/target_set.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace tanagertrack::peers
{

/// Pace of the exchange.
struct exchange_settings
{
    /// Shortest time between two messages; changes within it share one.
    std::chrono::milliseconds min_interval{15};

    /// Time after which a message is sent without a change.
    std::chrono::milliseconds max_interval{400};

    /// Shortest time for each peer, up to the longest time: the datagrams that
    /// a process sends in a second don't grow with their number. Placement is
    /// the worse the older the others' load is, so that it is not longer.
    std::chrono::microseconds interval_per_peer{500};
};

/// State of this process that goes into a message.
struct own_state
{
    /// Batch items that wait for a place, the most urgent first.
    std::vector<routing::waiting_items> waiting;

    /// When the store last answered.
    common::time_point store_contact;
};

/// Tells the other entries what this one has under way on each target, and
/// keeps what they tell in the targets' loads. Datagrams: each message is
/// whole, and a lost one is made good by the next. One thread.
class load_exchange
{
public:
    /// `member` is this process. `changed` is called when the others' load
    /// has changed.
    load_exchange(boost::asio::io_context& context, targets::target_set& set,
                  std::string member, exchange_settings settings,
                  std::function<own_state()> own,
                  std::function<void()> changed);

    load_exchange(const load_exchange&) = delete;
    load_exchange& operator=(const load_exchange&) = delete;

    /// Binds and starts to receive and send.
    std::error_code start(const common::endpoint& local);

    /// Stops to send and receive.
    void stop();

    /// Adds an entry, or its new address.
    void add_peer(const std::string& member, const common::endpoint& address);

    /// Removes an entry.
    void remove_peer(const std::string& member);

    /// Something under way has changed.
    void handle_load_change();

    const peer_loads& loads() const
    {
        return loads_;
    }

private:
    void receive();
    void take(std::size_t n);
    void take_reports(const LoadMessage& message);
    void update_targets();
    void schedule(std::chrono::milliseconds delay);
    std::chrono::milliseconds min_interval() const;
    void send();
    LoadMessage make_message(common::time_point now);

    targets::target_set& targets_;
    std::string member_;
    exchange_settings settings_;
    std::function<own_state()> own_;
    std::function<void()> changed_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer timer_;
    std::map<std::string, boost::asio::ip::udp::endpoint> peers_;
    peer_loads loads_;
    std::uint64_t sequence_ = 0;
    common::time_point last_send_;
    bool dirty_ = false;

    /// Largest datagram of UDP over IPv4.
    static constexpr std::size_t max_datagram_bytes = 65507;
    std::array<char, max_datagram_bytes> in_;
    boost::asio::ip::udp::endpoint sender_;
};

} // namespace tanagertrack::peers

#endif
