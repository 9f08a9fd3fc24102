#ifndef TANAGERTRACK_PEERS_LOAD_EXCHANGE_HPP
#define TANAGERTRACK_PEERS_LOAD_EXCHANGE_HPP

#include "common/endpoint.hpp"
#include "peers/peer_loads.hpp"
#include "quarantine/crash_report.hpp"
#include "routing/capacity_table.hpp"
#include "routing/urgency.hpp"
#include "targets/target_set.hpp"
#include "teams/team_use.hpp"

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

/// Intervals between messages.
struct exchange_settings
{
    /// Minimum time between two messages. Changes within it are sent in one
    /// message.
    std::chrono::milliseconds min_interval{15};

    /// Time after which a message is sent even if nothing has changed.
    std::chrono::milliseconds max_interval{400};

    /// The minimum interval grows by this time for each peer, up to
    /// `max_interval`, so that the rate of datagrams that a process sends does
    /// not grow with the number of peers. A longer time would make placement
    /// worse, because it would use older loads of the peers.
    std::chrono::microseconds interval_per_peer{500};

    /// True if entries tell each other at which targets they lose requests.
    bool shares_losses = false;
};

/// State of this process that is sent in a message, besides its targets' loads.
struct own_state
{
    /// Batch items that wait for a slot, the most urgent ones first.
    std::vector<routing::waiting_items> waiting;

    /// Time of the last answer of the store.
    common::time_point store_contact;

    /// What this process has observed of crashing targets.
    quarantine::observations observed;
};

/// Functions of the process that the exchange uses.
struct exchange_hooks
{
    /// Returns the state for a message that is about to be sent.
    std::function<own_state()> read_own_state;

    /// Called after the loads of peers have changed.
    std::function<void()> on_change;

    /// Called with the observations of another entry, if it has sent any.
    std::function<void(const quarantine::observations&)> on_observations =
        [](const quarantine::observations&) {
        };

    /// Returns at most `n` pieces of news on capacities that are to be sent.
    std::function<std::vector<routing::capacity_news>(std::size_t n)>
        take_capacity_news = [](std::size_t)
    {
        return std::vector<routing::capacity_news>();
    };

    /// Called with each piece of news on a capacity from another entry.
    std::function<void(const routing::capacity_news&)> on_capacity_news =
        [](const routing::capacity_news&) {
        };

    /// Returns the requests of teams for a message that is about to be sent, at
    /// most the given number. Nothing is sent for a fleet without teams.
    std::function<std::vector<teams::team_use>(std::size_t)> read_team_uses =
        [](std::size_t)
    {
        return std::vector<teams::team_use>();
    };

    /// Called for each message of another entry, with the requests of teams in
    /// it. A message without any shows that the entry can be heard.
    std::function<void(const std::string& member,
                       const std::vector<teams::team_use>&)>
        on_team_uses =
            [](const std::string&, const std::vector<teams::team_use>&) {
            };
};

/// Sends the number of requests that this entry runs on each target to the
/// other entries, and writes the numbers received from them into the targets'
/// loads. Uses UDP: each message holds the numbers for all targets, so that
/// the next one makes up for a lost one. Not thread-safe: all calls are made on
/// the thread of the io_context.
class load_exchange
{
public:
    /// `member` is the name of this process.
    load_exchange(boost::asio::io_context& context, targets::target_set& set,
                  std::string member, exchange_settings settings,
                  exchange_hooks hooks);

    load_exchange(const load_exchange&) = delete;
    load_exchange& operator=(const load_exchange&) = delete;

    /// Binds a socket to `local` and starts to receive and send. Returns the
    /// error if `local` can't be bound.
    std::error_code start(const common::endpoint& local);

    /// Closes the socket and stops sending and receiving.
    void stop();

    /// Adds an entry, or updates its address. Does nothing for this process and
    /// for an address that is not an IP address.
    void add_peer(const std::string& member, const common::endpoint& address);

    /// Removes an entry and its load.
    void remove_peer(const std::string& member);

    /// Schedules a message after a request of this process has started or
    /// ended, or something was observed.
    void handle_load_change();

    const peer_loads& loads() const
    {
        return loads_;
    }

private:
    void receive();

    /// Handles a datagram of `n` bytes in the buffer. Ignores it if its sender
    /// is not the peer that it names.
    void handle_datagram(std::size_t n);

    /// Writes reports on targets that are newer than the known ones into the
    /// targets' loads.
    void apply_reports(const LoadMessage& message);

    /// Adds the targets at which this entry has lost requests lately.
    void add_losses(LoadMessage& message, common::time_point now);

    /// Passes new losses of the sender on to the health of the targets.
    void apply_losses(const LoadMessage& message);

    /// Passes the requests of teams on to the hook.
    void pass_team_uses(const LoadMessage& message) const;

    /// Writes the peers' requests into the targets' loads.
    void update_target_loads();

    void schedule_send(std::chrono::milliseconds delay);

    /// Returns the minimum time between two messages for the current number of
    /// peers.
    std::chrono::milliseconds min_interval() const;

    /// Sends a message to all peers.
    void send();
    LoadMessage make_message(common::time_point now);

    targets::target_set& targets_;
    std::string member_;
    exchange_settings settings_;
    exchange_hooks hooks_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer timer_;
    std::map<std::string, boost::asio::ip::udp::endpoint> peers_;
    peer_loads loads_;
    std::uint64_t sequence_ = 0;
    common::time_point last_send_;

    /// True if a change was not sent yet.
    bool change_pending_ = false;

    /// Maximum payload of a UDP datagram over IPv4.
    static constexpr std::size_t max_datagram_bytes = 65507;
    std::array<char, max_datagram_bytes> receive_buffer_;
    boost::asio::ip::udp::endpoint sender_;
};

} // namespace tanagertrack::peers

#endif
