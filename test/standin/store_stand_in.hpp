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

/// Serves a store_model over HTTP as the platform's metadata store. POST
/// /control/put writes a key of a topic that only the operator and targets may
/// write. Not thread-safe: all calls are made on the thread of the io_context.
///
/// Faults: `outage` (calls get 503), `silent` (calls get no answer),
/// `lose_answers` (the next N appends are carried out and their connections
/// closed without an answer), `lose_before` (the same for N appends that are
/// not carried out), `late_ms` (appends lost by `lose_answers` are carried out
/// that many ms later), `delay_ms` (each call is delayed). One-time faults that
/// are applied at once: `forget_history`, `rebalance`, `expire_sessions`,
/// `rewind` (a number of records) and `revoke` (the name of a member), as the
/// functions of store_model.
class store_stand_in : public stand_in
{
public:
    store_stand_in(const boost::asio::any_io_executor& executor,
                   store_limits limits);

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;

private:
    using clock = std::chrono::steady_clock;

    // Handlers of the calls.
    boost::asio::awaitable<void> append(http_exchange& exchange);
    boost::asio::awaitable<void> read(http_exchange& exchange);
    boost::asio::awaitable<void> newest(http_exchange& exchange);
    boost::asio::awaitable<void> join(http_exchange& exchange);
    boost::asio::awaitable<void> owners(http_exchange& exchange);
    boost::asio::awaitable<void> leave_or_commit(http_exchange& exchange);
    boost::asio::awaitable<void> put(http_exchange& exchange);

    /// Waits until the client disconnects or `silent` is reset, and closes the
    /// connection without an answer.
    boost::asio::awaitable<void> withhold_answer(http_exchange& exchange);

    /// Carries out an append after `late_ms`.
    void append_delayed(model_append call);

    /// Applies the one-time faults that were just set, and resets them.
    void apply_one_time_faults();

    boost::asio::any_io_executor executor_;
    store_model model_;

    /// Notified when the model or a fault changes, and when a read times out.
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
