#ifndef TANAGERTRACK_STANDIN_LOG_STAND_IN_HPP
#define TANAGERTRACK_STANDIN_LOG_STAND_IN_HPP

#include "standin/notifier.hpp"
#include "standin/stand_in.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace tanagertrack::standin
{

/// Settings of the log; those that are faults too can be changed later.
struct log_settings
{
    /// Records kept in a stream.
    std::int64_t retain_records = 1000000;

    /// Age in ms after which a record is dropped.
    std::int64_t retain_ms = 86400000;

    /// Appends accepted in a second, over all streams; a burst may have one
    /// second's worth.
    std::int64_t appends_per_second = 600;

    /// Bytes kept in all streams; an append above it drops the oldest
    /// records of its stream.
    std::int64_t max_bytes = 1LL << 30;

    std::int64_t max_streams = 8192;
    std::int64_t max_record_bytes = 16 * 1024 * 1024;
};

/// Append-only log in memory. Faults: `outage` (503), `lose_append_answers`
/// (the next appends take effect and their connections close without an
/// answer), `lose_before` (connections close, nothing is appended),
/// `only_streams` (prefix of the streams that the last two apply to), and
/// `retain_records`, `retain_ms`, `appends_per_second`.
class log_stand_in : public stand_in
{
public:
    log_stand_in(const boost::asio::any_io_executor& executor,
                 log_settings settings);

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;

private:
    using clock = std::chrono::steady_clock;

    struct record
    {
        std::string data;
        clock::time_point appended;
    };

    struct stream
    {
        std::uint64_t first = 1;
        std::deque<record> records;
        std::uint64_t appends = 0;
        std::uint64_t bytes = 0;

        std::uint64_t next() const
        {
            return first + records.size();
        }
    };

    boost::asio::awaitable<void> append(http_exchange& exchange,
                                        const std::string& name);
    boost::asio::awaitable<void> read(http_exchange& exchange,
                                      const std::string& name);
    boost::asio::awaitable<void> respond_outage(http_exchange& exchange);
    bool take_append_budget();
    void expire(stream& it);
    void drop_oldest(stream& it);
    bool is_faulty(std::string_view name) const;
    void wake_readers();

    boost::asio::any_io_executor executor_;
    log_settings settings_;
    std::map<std::string, stream, std::less<>> streams_;
    notifier appended_;
    clock::time_point budget_time_;
    double budget_;
    std::int64_t kept_bytes_ = 0;

    bool outage_ = false;
    std::int64_t lose_append_answers_ = 0;
    std::int64_t lose_before_ = 0;
    std::string only_streams_;

    std::uint64_t appends_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t unavailable_ = 0;
    std::uint64_t lost_answers_ = 0;
    std::uint64_t lost_before_ = 0;
    std::uint64_t reads_ = 0;
};

} // namespace tanagertrack::standin

#endif
