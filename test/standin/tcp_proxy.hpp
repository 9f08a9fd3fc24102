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

/// Forwards TCP connections to an upstream and injects faults; its HTTP paths
/// are on a listener of their own. Faults: `cut` (closes all connections),
/// `delay_ms` (of each piece of data), `freeze` (forwards nothing, keeps the
/// connections), `drop_answers` (the next connections with a request are
/// closed in place of their next answer data), `refuse` (stops listening).
///
/// With `"at": {"direction": "up" or "down", "pattern": TEXT, "count": N}` the
/// other fields of the fault take effect when the pattern passes for the N-th
/// time, before the data with it is forwarded; `cut` and `drop_answers` then
/// apply to the connection with the pattern only.
class tcp_proxy : public stand_in
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    tcp_proxy(const boost::asio::any_io_executor& executor, endpoint listen,
              endpoint upstream);
    ~tcp_proxy() override;

    /// Forwards connections, for the life of the process.
    boost::asio::awaitable<void> run();

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;
    std::string apply_fault(std::string_view text) override;

private:
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

    struct trigger
    {
        direction side = up;
        std::string pattern;
        std::uint64_t count = 1;
        std::string fault;
    };

    boost::asio::awaitable<void> connect(link_ptr it);
    boost::asio::awaitable<void> pump(link_ptr it, direction side);
    boost::asio::awaitable<void> forward(link_ptr it, direction side);
    void listen();
    void fault_changed();
    void check_triggers(link& it, direction side, std::string_view data);
    std::string add_trigger(const boost::json::object& at, std::string fault);

    boost::asio::any_io_executor executor_;
    endpoint listen_;
    endpoint upstream_;
    boost::asio::ip::tcp::acceptor acceptor_;
    notifier changed_;
    std::set<link_ptr> links_;
    std::vector<trigger> triggers_;

    /// The connection whose data set off a trigger, during its fault.
    link* matched_ = nullptr;

    bool cut_ = false;
    bool freeze_ = false;
    std::int64_t drop_answers_ = 0;

    std::uint64_t connections_ = 0;
    std::uint64_t cut_count_ = 0;
    std::uint64_t dropped_answers_ = 0;
    std::uint64_t triggered_ = 0;
    std::uint64_t bytes_[2] = {};
};

} // namespace tanagertrack::standin

#endif
