#ifndef TANAGERTRACK_STANDIN_STORE_STAND_IN_HPP
#define TANAGERTRACK_STANDIN_STORE_STAND_IN_HPP

#include "standin/notifier.hpp"
#include "standin/stand_in.hpp"
#include "standin/store_model.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace tanagertrack::standin
{

/// The users' metadata store over HTTP. Faults: `outage` (503), `silent` (no
/// answer), `lose_answers` and `lose_before` (the next appends are done, or
/// not, and their connection closes), `late_ms` (the next lost append is done
/// that much later), `delay_ms` (each call waits); `forget_history`,
/// `rebalance`, `expire_sessions` and `rewind` (done once, at once), `revoke`
/// (a member's name). POST /control/put writes a key as the operator and
/// targets do.
class store_stand_in : public stand_in
{
public:
    store_stand_in(const boost::asio::any_io_executor& executor,
                   store_limits limits);

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;

private:
    using clock = std::chrono::steady_clock;

    boost::asio::awaitable<void> append(http_exchange& exchange);
    boost::asio::awaitable<void> read(http_exchange& exchange);
    boost::asio::awaitable<void> newest(http_exchange& exchange);
    boost::asio::awaitable<void> join(http_exchange& exchange);
    boost::asio::awaitable<void> owners(http_exchange& exchange);
    boost::asio::awaitable<void> change_group(http_exchange& exchange);
    boost::asio::awaitable<void> put(http_exchange& exchange);
    boost::asio::awaitable<void> stay_silent(http_exchange& exchange);
    void append_later(model_append call);
    void apply_single_faults();

    boost::asio::any_io_executor executor_;
    store_model model_;
    notifier changed_;

    bool outage_ = false;
    bool silent_ = false;
    std::int64_t lose_answers_ = 0;
    std::int64_t lose_before_ = 0;
    std::int64_t late_ms_ = 0;
    bool forget_history_ = false;
    bool rebalance_ = false;
    bool expire_sessions_ = false;
    std::int64_t rewind_ = 0;
    std::string revoke_;

    std::uint64_t calls_ = 0;
    std::uint64_t appends_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t lost_answers_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace tanagertrack::standin

#endif
