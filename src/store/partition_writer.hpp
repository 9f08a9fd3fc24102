#ifndef TANAGERTRACK_STORE_PARTITION_WRITER_HPP
#define TANAGERTRACK_STORE_PARTITION_WRITER_HPP

#include "common/backoff.hpp"
#include "common/clock.hpp"
#include "store/store_service.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace tanagertrack::store
{

/// Bounds of a writer.
struct writer_settings
{
    /// Bytes of one record. The store refuses a larger one each time.
    std::size_t max_record_bytes = 256UL * 1024;

    /// Bytes of one append, and of all entries that wait.
    std::size_t max_append_bytes = 2UL * 1024 * 1024;
    std::size_t max_queued_bytes = 32UL * 1024 * 1024;
    common::backoff_settings retry{std::chrono::milliseconds(40),
                                   std::chrono::milliseconds(500)};
};

/// Identifies an entry that was given to a writer.
using append_id = std::uint64_t;

/// Appends to one partition in order, several entries in one call. One call is
/// under way at a time; its number makes sending it again harmless. An entry
/// whose outcome is unknown is sent again until it is known. One thread;
/// pending calls keep the object alive.
class partition_writer : public std::enable_shared_from_this<partition_writer>
{
public:
    /// Called once with the offset of the entry's first record, or with an
    /// error: nothing of the entry was or will be appended.
    using handler = std::function<void(std::error_code, std::uint64_t offset)>;

    /// `producer` is unique for each start of a process.
    partition_writer(boost::asio::io_context& context, store_service service,
                     partition_ref to, std::string producer,
                     writer_settings settings);

    partition_writer(const partition_writer&) = delete;
    partition_writer& operator=(const partition_writer&) = delete;

    /// Adds an entry: its records are appended together. An entry that does
    /// not wait for the store gets `log_unavailable` as soon as the store
    /// refuses a call. Error `ring_full` when too much waits.
    append_id append(std::vector<std::string> records, bool waits_for_store,
                     handler done);

    /// Takes an entry back. True: it was not sent, and nothing of it will be
    /// appended; its handler is not called.
    bool withdraw(append_id id);

    /// Whether the last call was done, or nothing is left of it and its pause
    /// is over, so that the next entry is the one that finds out.
    bool reachable() const
    {
        return reachable_ || (queue_.empty() && !waiting_);
    }

    /// Entries that are not appended yet.
    std::size_t pending() const
    {
        return queue_.size();
    }

    /// Sends what waits no more; handlers are not called.
    void stop();

private:
    struct entry
    {
        append_id id = 0;
        std::vector<std::string> records;
        std::size_t bytes = 0;
        bool waits_for_store = true;
        handler done;
    };

    void send_on();
    void send();
    void take(const append_result& result);
    void take_done(std::uint64_t offset);
    void take_refused(std::error_code ec);
    void start_epoch();
    void retry_later();

    store_service service_;
    partition_ref to_;
    producer_stamp stamp_;
    writer_settings settings_;
    common::backoff backoff_;
    boost::asio::steady_timer timer_;
    std::deque<entry> queue_;
    std::size_t queued_bytes_ = 0;
    append_id last_id_ = 0;

    /// Entries at the front of the queue that are in the call under way, or
    /// in one whose outcome is unknown.
    std::size_t sent_ = 0;

    /// A call with the current number was not answered.
    bool unknown_ = false;
    bool calling_ = false;
    bool waiting_ = false;
    bool reachable_ = true;
    bool stopped_ = false;
};

} // namespace tanagertrack::store

#endif
