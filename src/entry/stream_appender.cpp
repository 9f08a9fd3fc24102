#include "entry/stream_appender.hpp"

#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/assert.hpp>

#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

namespace
{

/// Room in a record for writer, sequence, claim and field headers.
constexpr std::size_t record_overhead_bytes = 512;

/// Entries that go into one record.
constexpr int max_record_entries = 4096;

/// Bytes that an entry costs beyond its own, for its handler and headers.
constexpr std::size_t entry_overhead_bytes = 128;

} // namespace

stream_appender::stream_appender(boost::asio::io_context& context,
                                 services::log_service& log,
                                 appender_settings settings)
    : context_(context), log_(log), settings_(std::move(settings)),
      backoff_(settings_.retry, settings_.seed), timer_(context)
{
    BOOST_ASSERT(settings_.max_record_bytes > record_overhead_bytes);
}

stream_appender::~stream_appender()
{
    drop_all();
}

std::size_t stream_appender::max_entry_bytes() const
{
    return settings_.max_record_bytes - record_overhead_bytes;
}

bool stream_appender::push(proto::PartitionEntry&& entry,
                           recorded_handler handler)
{
    if (!has_room())
        return false;
    return push_bounded(std::move(entry), std::move(handler));
}

bool stream_appender::push_bounded(proto::PartitionEntry&& entry,
                                   recorded_handler handler)
{
    const auto size = entry.ByteSizeLong();
    if (size > max_entry_bytes())
        return false;
    const auto bytes = size + entry_overhead_bytes;
    queue_.push_back({std::move(entry), bytes, std::move(handler)});
    bytes_ += bytes;
    send_soon();
    return true;
}

void stream_appender::insert_when_idle(
    std::function<std::vector<proto::PartitionEntry>()> make)
{
    if (insertion_)
        return;
    insertion_ = std::move(make);
    send_soon();
}

void stream_appender::insert_entries()
{
    auto entries = std::exchange(insertion_, {})();
    for (auto it = entries.rbegin(); it != entries.rend(); ++it)
    {
        const auto bytes = it->ByteSizeLong() + entry_overhead_bytes;
        queue_.push_front({std::move(*it), bytes, {}});
        bytes_ += bytes;
    }
}

void stream_appender::wait_for_room(std::function<void()> handler)
{
    room_handlers_.push_back(std::move(handler));
    if (has_room())
        call_room_handlers();
}

bool stream_appender::fits(const proto::PartitionRecord& record,
                           std::size_t bytes, const queued_entry& next) const
{
    if (record.entries_size() == 0)
        return true;
    // Each part of a checkpoint is alone in its record.
    if (next.entry.has_checkpoint() || record.entries(0).has_checkpoint())
        return false;
    return bytes + next.bytes <= max_entry_bytes() &&
           record.entries_size() < max_record_entries;
}

void stream_appender::make_record()
{
    proto::PartitionRecord message;
    message.set_writer(settings_.writer);
    message.set_sequence(++sequence_);
    message.set_claim_offset(settings_.claim_offset);

    open_record record;
    record.sequence = sequence_;
    while (!queue_.empty() && fits(message, record.bytes, queue_.front()))
    {
        auto& front = queue_.front();
        *message.add_entries() = std::move(front.entry);
        record.bytes += front.bytes;
        record.handlers.push_back(std::move(front.handler));
        queue_.pop_front();
    }
    record.data = message.SerializeAsString();
    records_.push_back(std::move(record));
}

void stream_appender::send_soon()
{
    // Entries that are pushed one after the other go into one record.
    if (busy_ || std::exchange(send_scheduled_, true))
        return;
    boost::asio::post(context_,
                      [this, alive = std::weak_ptr(alive_)]
                      {
                          if (alive.expired())
                              return;
                          send_scheduled_ = false;
                          send();
                      });
}

void stream_appender::send()
{
    if (busy_)
        return;

    // Only the newest record can lack an offset: the next one is made when
    // the log has acknowledged it.
    if (records_.empty() || records_.back().appended)
    {
        if (insertion_ && !records_.empty())
            return;
        if (insertion_)
            insert_entries();
        if (queue_.empty())
            return;
        make_record();
    }
    auto& record = records_.back();
    busy_ = true;
    record.sent = true;
    ++appends_;
    log_.append(settings_.stream, record.data,
                [this, alive = std::weak_ptr(alive_),
                 sequence = record.sequence](std::error_code ec, std::uint64_t)
                {
                    if (!alive.expired())
                        finish_append(sequence, ec);
                });
}

void stream_appender::finish_append(std::uint64_t sequence, std::error_code ec)
{
    failing_ = static_cast<bool>(ec);
    const bool open = !records_.empty() && records_.back().sequence == sequence;
    if (!ec || !open)
    {
        if (open)
            records_.back().appended = true;
        backoff_.reset();
        busy_ = false;
        send();
        return;
    }

    // The append stays busy until the next try.
    timer_.expires_after(backoff_.next());
    timer_.async_wait(
        [this, alive = std::weak_ptr(alive_)](boost::system::error_code error)
        {
            if (error || alive.expired())
                return;
            busy_ = false;
            send();
        });
}

void stream_appender::read_back(std::uint64_t sequence, std::uint64_t offset)
{
    const std::weak_ptr alive(alive_);
    while (!records_.empty() && records_.front().sequence <= sequence)
    {
        auto record = std::move(records_.front());
        records_.pop_front();
        bytes_ -= record.bytes;
        for (std::uint32_t i = 0; i < record.handlers.size(); ++i)
            if (record.handlers[i])
                record.handlers[i]({}, {offset, i});
        if (alive.expired())
            return;
    }
    if (has_room())
        call_room_handlers();
    if (!alive.expired())
        send();
}

void stream_appender::drop_all()
{
    timer_.cancel();
    const auto records = std::exchange(records_, {});
    const auto queue = std::exchange(queue_, {});
    const auto waiting = std::exchange(room_handlers_, {});
    bytes_ = 0;
    alive_.reset();
    for (const auto& record : records)
        for (const auto& handler : record.handlers)
            if (handler)
                handler(result_code::log_append_unknown, {});
    for (const auto& entry : queue)
        if (entry.handler)
            entry.handler(result_code::log_unavailable, {});
    for (const auto& handler : waiting)
        handler();
}

void stream_appender::call_room_handlers()
{
    const auto waiting = std::exchange(room_handlers_, {});
    for (const auto& handler : waiting)
        handler();
}

} // namespace tanagertrack::entry
