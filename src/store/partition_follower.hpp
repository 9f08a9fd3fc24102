#ifndef TANAGERTRACK_STORE_PARTITION_FOLLOWER_HPP
#define TANAGERTRACK_STORE_PARTITION_FOLLOWER_HPP

#include "common/backoff.hpp"
#include "common/boot_clock.hpp"
#include "common/clock.hpp"
#include "store/store_service.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace tanagertrack::store
{

/// Limits and timing of a follower's reads.
struct follower_settings
{
    /// Time for which the store may wait for a record before it answers a read.
    /// Kept short, because a silent connection is detected only when a read
    /// times out.
    std::chrono::milliseconds wait{2000};

    /// Minimum time between the starts of two reads; limits the rate of calls
    /// to the store.
    std::chrono::milliseconds min_interval{0};

    /// Bytes that one read may return. A reader starts with `first_bytes` and
    /// doubles them while it is behind and reads end within `fast_read`; a
    /// failed read halves them. When many processes start at once, each then
    /// gets records at the rate that the store has for it, whereas large reads
    /// would all time out.
    std::size_t first_bytes = 128UL * 1024;
    std::size_t min_bytes = 32UL * 1024;
    std::size_t max_bytes = 1024UL * 1024;
    std::chrono::milliseconds fast_read{200};

    /// Maximum time from a call of `confirm` to its result.
    std::chrono::milliseconds max_confirmation{1000};
    common::backoff_settings retry{std::chrono::milliseconds(50),
                                   std::chrono::milliseconds(600)};
};

/// Hooks that a follower calls.
struct follower_hooks
{
    /// Receives the next records; `offset` is that of the first one.
    std::function<void(std::uint64_t offset, std::span<const std::string>)>
        on_records;

    /// Called after the follower has stopped because the store no longer
    /// retains its next offset. `first` is the first offset retained.
    std::function<void(std::uint64_t first)> on_expired;

    /// Called with false when reads start to fail, and with true when they
    /// succeed again. Reads count as successful until the first one fails.
    std::function<void(bool reachable)> on_reachable;

    /// Called whenever a read has reached the end of the partition, with the
    /// time at which the read was started: all records that were appended
    /// before it were passed on. Optional.
    std::function<void(common::boot_clock::time_point)> on_current;

    /// Called once per start(), when the end of the partition is reached for
    /// the first time. Optional.
    std::function<void()> on_caught_up;
};

/// Reads the records of one partition continuously and passes each one to a
/// hook, in order and once per start().
///
/// Not thread-safe: all calls are made on the thread of the io_context, and the
/// hooks run on it. Pending calls to the store keep the object alive.
class partition_follower
    : public std::enable_shared_from_this<partition_follower>
{
public:
    partition_follower(boost::asio::io_context& context, store_service service,
                       partition_ref partition, follower_settings settings,
                       follower_hooks hooks);

    partition_follower(const partition_follower&) = delete;
    partition_follower& operator=(const partition_follower&) = delete;

    /// Starts to read at `offset`; restarts the follower if it is running.
    void start(std::uint64_t offset);

    /// Stops reading; no hook is called afterwards. Pending confirmations fail
    /// with `log_unavailable`.
    void stop();

    /// Offset of the next record to be read.
    std::uint64_t next_offset() const
    {
        return next_offset_;
    }

    /// Returns true if the last read succeeded, or none has completed yet.
    bool reachable() const
    {
        return reachable_;
    }

    /// Start time of the last read that reached the end of the partition: all
    /// records appended before that time are known. Returns std::nullopt if
    /// the end was not reached since start().
    std::optional<common::time_point> current_as_of() const
    {
        return current_as_of_;
    }

    /// Calls `handler` as soon as all records are known that were appended
    /// before `time`; at once if they are known already. `time` must not be in
    /// the future. All pending confirmations share one read of the store. Calls
    /// `handler` with `log_unavailable` if the store can't be read, the end is
    /// not reached within `max_confirmation`, or the follower is not running.
    void confirm(common::time_point time,
                 std::function<void(std::error_code)> handler);

    /// Reads the records that were appended up to now without delay.
    void read_soon();

private:
    /// Start time of a read by both clocks.
    struct read_start
    {
        common::time_point time = common::clock::now();
        common::boot_clock::time_point boot_time = common::boot_clock::now();
    };

    void read_next();
    void schedule_read(std::chrono::milliseconds delay);
    void handle_read(std::uint64_t run, const read_start& started,
                     std::uint64_t offset, const read_result& result);

    /// Applies the result of a read at `offset` that began at `started`.
    /// Returns false if the follower was stopped or restarted meanwhile.
    bool apply_read(const read_start& started, std::uint64_t offset,
                    const read_result& result);
    void set_reachable(bool reachable);

    /// Returns a call that reads from the next offset on, without waiting.
    read_call make_read() const;

    /// Adapts the size of reads to the result of one that began at `started`.
    void adapt_read_size(common::time_point started, const read_result& result);
    void start_confirmation();
    void handle_confirmation_read(std::uint64_t run, const read_start& started,
                                  std::uint64_t offset,
                                  const read_result& result);

    /// A call of `confirm` that waits for its result.
    struct confirmation
    {
        common::time_point time;
        common::time_point deadline;
        std::function<void(std::error_code)> handler;
    };

    /// Ends the confirmations for which `is_due` returns true.
    void
    end_confirmations(const std::function<bool(const confirmation&)>& is_due,
                      std::error_code ec);
    void schedule_confirmation_timeout();

    store_service service_;
    partition_ref partition_;
    follower_settings settings_;
    follower_hooks hooks_;
    common::backoff backoff_;
    boost::asio::steady_timer timer_;
    std::uint64_t next_offset_ = 0;

    /// Bytes that the next read may return.
    std::size_t read_bytes_;
    bool reachable_ = true;
    bool running_ = false;

    /// True while a read is pending; confirmation reads don't count.
    bool reading_ = false;

    /// Incremented by each start and stop, so that results of earlier reads
    /// are recognized and ignored.
    std::uint64_t run_ = 0;
    common::time_point last_read_start_;
    std::optional<common::time_point> current_as_of_;

    /// Pending confirmations in the order of their calls, and so of their
    /// deadlines.
    std::vector<confirmation> confirmations_;
    boost::asio::steady_timer confirmation_timer_;

    /// True while a confirmation read is pending.
    bool confirming_ = false;
};

} // namespace tanagertrack::store

#endif
