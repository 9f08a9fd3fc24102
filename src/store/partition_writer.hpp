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

/// Size limits and retry intervals of a writer.
struct writer_settings
{
    /// Maximum size of one record. The store rejects a larger one every time,
    /// so that a retry never succeeds.
    std::size_t max_record_bytes = 256UL * 1024;

    /// Maximum size of one append, and of all queued entries.
    std::size_t max_append_bytes = 2UL * 1024 * 1024;
    std::size_t max_queued_bytes = 32UL * 1024 * 1024;
    common::backoff_settings retry{std::chrono::milliseconds(40),
                                   std::chrono::milliseconds(500)};
};

/// Identifies an entry added by partition_writer::append.
using append_id = std::uint64_t;

/// Appends entries to one partition in order, several of them per call. An
/// entry is a group of records that is appended atomically. At most one call is
/// in progress. The call carries a sequence number, so that the store executes
/// it once even if it is resent. A call whose outcome is unknown is resent
/// until the outcome is known.
///
/// Not thread-safe: all calls are made on the thread of the io_context. Pending
/// calls to the store keep the object alive.
class partition_writer : public std::enable_shared_from_this<partition_writer>
{
public:
    /// Called once with the offset of the entry's first record, or with an
    /// error. After an error none of the entry's records was or will be
    /// appended.
    using handler = std::function<void(std::error_code, std::uint64_t offset)>;

    /// `producer` must be a different name for each start of a process.
    partition_writer(boost::asio::io_context& context, store_service service,
                     partition_ref partition, std::string producer,
                     writer_settings settings);

    partition_writer(const partition_writer&) = delete;
    partition_writer& operator=(const partition_writer&) = delete;

    /// Queues an entry, whose records are appended atomically.
    ///
    /// An entry with `waits_for_store` stays queued while the store is
    /// unreachable; any other one fails with `log_unavailable` at once if the
    /// store is unreachable, and when the store refuses a call. An entry fails
    /// with `record_too_large` if a record exceeds `max_record_bytes`, and with
    /// `ring_full` if it exceeds `max_append_bytes` or the free space of the
    /// queue. If the entry is not queued, `done` is called before this
    /// function returns.
    append_id append(std::vector<std::string> records, bool waits_for_store,
                     handler done);

    /// Removes an entry from the queue if it was not sent. Returns true if it
    /// was removed: none of its records will be appended, and its handler is
    /// not called.
    bool withdraw(append_id id);

    /// Returns true if the last call succeeded, or if it failed but no entry is
    /// queued and the retry delay has passed. In the latter case the next entry
    /// is sent as a probe; otherwise an empty queue would leave the writer
    /// unreachable for ever.
    bool reachable() const
    {
        return reachable_ || (queue_.empty() && !retry_pending_);
    }

    /// Number of entries that are not yet appended.
    std::size_t pending() const
    {
        return queue_.size();
    }

    /// Stops sending. The handlers of queued entries are not called.
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

    void send_next();
    void send_call();
    void handle_append(const append_result& result);
    void finish_sent_entries(std::uint64_t offset);
    void fail_entries(std::error_code ec);
    void start_epoch();
    void schedule_retry();

    store_service service_;
    partition_ref partition_;
    producer_stamp producer_;
    writer_settings settings_;
    common::backoff backoff_;
    boost::asio::steady_timer timer_;
    std::deque<entry> queue_;
    std::size_t queued_bytes_ = 0;
    append_id last_id_ = 0;

    /// Number of entries at the front of the queue that belong to the call in
    /// progress or to a call that will be resent.
    std::size_t sent_entries_ = 0;

    /// True if a call with the current sequence number was not answered.
    bool outcome_unknown_ = false;
    bool call_in_progress_ = false;
    bool retry_pending_ = false;
    bool reachable_ = true;
    bool stopped_ = false;
};

} // namespace tanagertrack::store

#endif
