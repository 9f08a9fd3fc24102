#ifndef TANAGERTRACK_ENTRY_STREAM_APPENDER_HPP
#define TANAGERTRACK_ENTRY_STREAM_APPENDER_HPP

#include "common/backoff.hpp"
#include "common/clock.hpp"
#include "services/log_service.hpp"
#include "proto/records.pb.h"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tanagertrack::entry
{

/// What an appender writes and how.
struct appender_settings
{
    std::string stream;

    /// Writer and claim of all records; the sequence starts at 1.
    std::string writer;
    std::uint64_t claim_offset = 0;
    std::size_t max_record_bytes = 256 * 1024;

    /// Bytes that are queued or not read back yet, above which `push` refuses.
    std::size_t max_queued_bytes = 4 * 1024 * 1024;
    common::backoff_settings retry;
    std::uint64_t seed = 0;
};

/// Where an entry of a record is in the log.
struct record_position
{
    std::uint64_t offset = 0;

    /// Index of the entry in its record.
    std::uint32_t entry = 0;
};

/// Called once: none when the entry was read back as valid; otherwise
/// `log_unavailable` when it was certainly not appended, `log_append_unknown`
/// when it may have been.
using recorded_handler = std::function<void(std::error_code, record_position)>;

/// Appends entries to one stream under one claim. Entries that wait go into
/// one record. At most one append is under way; a record is sent again with
/// the same bytes until it is read back. One thread; a handler may destroy
/// the appender.
class stream_appender
{
public:
    stream_appender(boost::asio::io_context& context,
                    services::log_service& log, appender_settings settings);

    /// Calls the handlers of all entries as `drop_all`.
    ~stream_appender();

    stream_appender(const stream_appender&) = delete;
    stream_appender& operator=(const stream_appender&) = delete;

    /// Queues an entry. Returns false, and takes nothing, when the queue is
    /// full or the entry doesn't fit into a record.
    [[nodiscard]] bool push(proto::PartitionEntry&& entry,
                            recorded_handler handler);

    /// As `push`, whatever is queued. For results, whose number and bytes are
    /// bounded by their producer. False only when the entry is too large.
    [[nodiscard]] bool push_bounded(proto::PartitionEntry&& entry,
                                    recorded_handler handler);

    /// Appends the entries that `make` gives when all earlier records are read
    /// back; entries that are queued now or later follow them. For entries
    /// that describe the state as of their own place in the stream. Ignored
    /// while an earlier call waits.
    void
    insert_when_idle(std::function<std::vector<proto::PartitionEntry>()> make);

    /// Whether `push` accepts an entry now.
    bool has_room() const
    {
        return bytes_ < settings_.max_queued_bytes;
    }

    /// Calls `handler` once when `push` accepts entries again.
    void wait_for_room(std::function<void()> handler);

    /// The record with this sequence number was read back as valid.
    void read_back(std::uint64_t sequence, std::uint64_t offset);

    /// Ends all entries: the claim is lost.
    void drop_all();

    /// Entries that are queued or not read back.
    bool empty() const
    {
        return records_.empty() && queue_.empty();
    }

    /// Whether the last append failed and none succeeded since.
    bool is_failing() const
    {
        return failing_;
    }

    /// Number of append calls.
    std::uint64_t appends() const
    {
        return appends_;
    }

    /// Largest entry in bytes that fits into a record.
    std::size_t max_entry_bytes() const;

private:
    struct queued_entry
    {
        proto::PartitionEntry entry;
        std::size_t bytes = 0;
        recorded_handler handler;
    };

    /// A record that is not read back yet.
    struct open_record
    {
        std::uint64_t sequence = 0;
        std::string data;
        std::size_t bytes = 0;

        /// The log gave its offset: it needs no further append.
        bool appended = false;

        /// At least one append may have been received.
        bool sent = false;
        std::vector<recorded_handler> handlers;
    };

    bool fits(const proto::PartitionRecord& record, std::size_t bytes,
              const queued_entry& next) const;
    void make_record();
    void send_soon();
    void send();
    void insert_entries();
    void finish_append(std::uint64_t sequence, std::error_code ec);
    void call_room_handlers();

    boost::asio::io_context& context_;
    services::log_service& log_;
    appender_settings settings_;
    common::backoff backoff_;
    boost::asio::steady_timer timer_;
    std::deque<queued_entry> queue_;
    std::deque<open_record> records_;
    std::vector<std::function<void()>> room_handlers_;
    std::function<std::vector<proto::PartitionEntry>()> insertion_;
    std::size_t bytes_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t appends_ = 0;
    bool busy_ = false;
    bool send_scheduled_ = false;
    bool failing_ = false;

    /// Expires with the appender; guards the answers that are on their way.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagertrack::entry

#endif
