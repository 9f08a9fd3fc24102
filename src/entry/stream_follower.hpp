#ifndef TANAGERTRACK_ENTRY_STREAM_FOLLOWER_HPP
#define TANAGERTRACK_ENTRY_STREAM_FOLLOWER_HPP

#include "common/backoff.hpp"
#include "common/clock.hpp"
#include "services/log_service.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tanagertrack::entry
{

/// What a follower reads and how.
struct follower_settings
{
    std::string stream;

    /// Time that the log waits when there is no new record.
    std::chrono::milliseconds wait{1000};

    /// Least time between the starts of two reads once the end of the stream
    /// is reached. Bounds the reads of a stream that many processes write to.
    std::chrono::milliseconds min_interval{0};

    /// Bytes of one read, which is the most that the follower holds.
    std::size_t max_read_bytes = 1024 * 1024;
    common::backoff_settings retry;
    std::uint64_t seed = 0;
};

/// What the owner of a follower is told.
struct follower_hooks
{
    /// Records in order, possibly none, after a read that succeeded.
    /// `next_offset` is the offset that the next append gets.
    std::function<void(std::vector<services::log_record> records,
                       std::uint64_t next_offset)>
        on_records;

    /// Records from `from` to before `first` have expired unread.
    std::function<void(std::uint64_t from, std::uint64_t first)> on_gap;

    /// A read failed; it is tried again after a delay.
    std::function<void(std::error_code)> on_error;
};

/// Reads one stream of the log continuously. One thread; a hook may stop or
/// destroy the follower.
class stream_follower
{
public:
    stream_follower(boost::asio::io_context& context,
                    services::log_service& log, follower_settings settings,
                    follower_hooks hooks);
    ~stream_follower();

    stream_follower(const stream_follower&) = delete;
    stream_follower& operator=(const stream_follower&) = delete;

    /// Starts to read from `offset`, at least 1. Call once.
    void start(std::uint64_t offset);

    /// Offset of the next record to be read.
    std::uint64_t position() const
    {
        return position_;
    }

    /// End of the last read that succeeded; `min()` before the first.
    common::time_point last_success() const
    {
        return last_success_;
    }

private:
    void read();
    void finish_read(std::error_code ec, services::log_read_result result);
    void read_after(common::duration delay);

    services::log_service& log_;
    follower_settings settings_;
    follower_hooks hooks_;
    common::backoff backoff_;
    boost::asio::steady_timer timer_;
    std::uint64_t position_ = 1;
    common::time_point last_success_ = common::time_point::min();
    common::time_point read_started_;

    /// Expires with the follower; guards the answers that are on their way.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagertrack::entry

#endif
