#ifndef TANAGERTRACK_STANDIN_TCP_PROXY_HPP
#define TANAGERTRACK_STANDIN_TCP_PROXY_HPP

#include "standin/notifier.hpp"
#include "standin/stand_in.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::standin
{

/// Forwards TCP connections to an upstream and injects faults. The HTTP paths
/// under /control have a listener of their own. Not thread-safe: all calls are
/// made on the thread of the io_context.
///
/// Faults: `cut` (closes all connections), `delay_ms` (delay before each block
/// of data that was read is forwarded), `freeze` (forwards nothing but keeps
/// the connections open), `drop_answers` (N times, a connection that has
/// forwarded a request is closed when answer data arrives), `refuse`
/// (closes the listener).
///
/// With `"at": {"direction": "up" or "down", "pattern": TEXT, "count": N}` the
/// other fields of the fault take effect when the pattern has been read N times
/// in that direction ("up" is from the client to the upstream), before the data
/// that contains it is forwarded; `cut` and `drop_answers` then apply only to
/// the connection with the pattern.
class tcp_proxy : public stand_in
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    tcp_proxy(const boost::asio::any_io_executor& executor, endpoint listen,
              endpoint upstream);
    ~tcp_proxy() override;

    /// Accepts and forwards connections until the process ends.
    boost::asio::awaitable<void> run();

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;
    std::string apply_fault(std::string_view text) override;

private:
    /// `up` is from the client to the upstream, `down` from the upstream to the
    /// client.
    enum direction : std::uint8_t
    {
        up,
        down
    };

    static constexpr std::size_t max_links = 4096;
    static constexpr std::size_t max_triggers = 16;
    static constexpr std::size_t max_pattern_bytes = 256;

    struct link;
    using link_ptr = std::shared_ptr<link>;

    /// Fault that is applied when a pattern has been read `count` more times.
    struct trigger
    {
        direction dir = up;
        std::string pattern;
        std::uint64_t count = 1;

        /// JSON object for fault_table::apply.
        std::string fault;
    };

    /// Connects to the upstream and starts to forward in both directions.
    boost::asio::awaitable<void> connect(link_ptr connection);

    /// Forwards data in one direction until a connection ends or a fault closes
    /// it.
    boost::asio::awaitable<void> copy_data(link_ptr connection, direction dir);

    /// Runs copy_data() and closes both connections when it ends.
    boost::asio::awaitable<void> forward(link_ptr connection, direction dir);
    void listen();
    void apply_changed_faults();

    /// Applies the faults of all triggers that data read from `connection`
    /// completes.
    void apply_triggers(link& connection, direction dir, std::string_view data);

    /// Adds a trigger with the fields of `at`. Returns an empty string, or an
    /// error message if the trigger is rejected.
    std::string add_trigger(const boost::json::object& at, std::string fault);

    boost::asio::any_io_executor executor_;
    endpoint listen_;
    endpoint upstream_;
    boost::asio::ip::tcp::acceptor acceptor_;
    notifier faults_changed_;
    std::set<link_ptr> links_;
    std::vector<trigger> triggers_;

    /// Connection whose data completed a trigger, while the fault of the
    /// trigger is applied; nullptr otherwise.
    link* triggering_link_ = nullptr;

    bool cut_ = false;
    bool freeze_ = false;
    std::int64_t drop_answers_ = 0;

    std::uint64_t connections_ = 0;
    std::uint64_t cut_count_ = 0;
    std::uint64_t dropped_answers_ = 0;
    std::uint64_t triggered_ = 0;

    /// Bytes forwarded, by direction.
    std::uint64_t bytes_[2] = {};
};

} // namespace tanagertrack::standin

#endif
