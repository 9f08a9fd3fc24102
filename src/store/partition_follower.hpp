#ifndef TANAGERTRACK_STORE_PARTITION_FOLLOWER_HPP
#define TANAGERTRACK_STORE_PARTITION_FOLLOWER_HPP

#include "common/backoff.hpp"
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

/// How a partition is read.
struct follower_settings
{
    /// Time for which the store may hold a read back. Short, because only the
    /// time-out of a read shows that a connection fell silent.
    std::chrono::milliseconds wait{2000};

    /// Shortest time between the starts of two reads; bounds the calls.
    std::chrono::milliseconds min_interval{0};
    std::size_t max_bytes = 1024UL * 1024;
    common::backoff_settings retry{std::chrono::milliseconds(50),
                                   std::chrono::milliseconds(600)};
};

/// What a follower tells.
struct follower_hooks
{
    /// The next records; the first one has `offset`.
    std::function<void(std::uint64_t offset, std::span<const std::string>)>
        on_records;

    /// The next offset is no longer kept; the follower stops. `first` is the
    /// first one that is.
    std::function<void(std::uint64_t first)> on_expired;

    /// The store began or ceased to answer.
    std::function<void(bool reachable)> on_reachable;

    /// All records were read for the first time since the start.
    std::function<void()> on_caught_up;
};

/// Reads the records of one partition as they come. One thread; pending calls
/// keep the object alive.
class partition_follower
    : public std::enable_shared_from_this<partition_follower>
{
public:
    partition_follower(boost::asio::io_context& context, store_service service,
                       partition_ref what, follower_settings settings,
                       follower_hooks hooks);

    partition_follower(const partition_follower&) = delete;
    partition_follower& operator=(const partition_follower&) = delete;

    /// Starts, or starts again, at an offset.
    void start(std::uint64_t offset);

    /// Stops; no hook is called afterwards.
    void stop();

    /// Offset of the next record.
    std::uint64_t next_offset() const
    {
        return next_;
    }

    /// Whether the last read was answered.
    bool reachable() const
    {
        return reachable_;
    }

    /// Start of the last read that reached the end: all records before it are
    /// known.
    std::optional<common::time_point> current_as_of() const
    {
        return current_as_of_;
    }

    /// Calls the handler when all records are known that were appended before
    /// this call, or `max_age` before it; or with an error.
    void confirm(std::chrono::milliseconds max_age,
                 std::function<void(std::error_code)> handler);

    /// Reads now rather than after the pause between two reads.
    void read_soon();

private:
    void read_on();
    void schedule(std::chrono::milliseconds delay);
    void take(std::uint64_t run, common::time_point started,
              std::uint64_t offset, const read_result& result);
    bool apply(common::time_point started, std::uint64_t offset,
               const read_result& result);
    void note_reachable(bool reachable);
    void start_confirmation();
    void take_confirmation(std::uint64_t run, common::time_point started,
                           std::uint64_t offset, const read_result& result);

    store_service service_;
    partition_ref what_;
    follower_settings settings_;
    follower_hooks hooks_;
    common::backoff backoff_;
    boost::asio::steady_timer timer_;
    std::uint64_t next_ = 0;
    bool reachable_ = true;
    bool running_ = false;
    bool reading_ = false;

    /// Told apart from answers to reads from before a restart.
    std::uint64_t run_ = 0;
    common::time_point last_start_;
    std::optional<common::time_point> current_as_of_;

    std::vector<std::function<void(std::error_code)>> waiting_;
    std::vector<std::function<void(std::error_code)>> confirming_;
};

} // namespace tanagertrack::store

#endif
