#include "store/partition_writer.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/result_code.hpp"
#include "common/timer_wait.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::store
{

using common::result_code;

namespace
{

/// Size of the framing that the store adds to each record.
constexpr std::size_t frame_bytes = 4;

} // namespace

partition_writer::partition_writer(boost::asio::io_context& context,
                                   store_service service,
                                   partition_ref partition,
                                   std::string producer,
                                   writer_settings settings)
    : service_(std::move(service)),
      partition_(std::move(partition)), producer_{std::move(producer), 1, 0},
      settings_(settings),
      backoff_(settings.retry, common::hash64(common::random_id())),
      timer_(context)
{
}

append_id partition_writer::append(std::vector<std::string> records,
                                   bool waits_for_store, handler done)
{
    entry it;
    it.id = ++last_id_;
    bool fits = true;
    for (const auto& record : records)
    {
        it.bytes += record.size() + frame_bytes;
        fits = fits && record.size() <= settings_.max_record_bytes;
    }
    it.records = std::move(records);
    it.waits_for_store = waits_for_store;
    it.done = std::move(done);
    if (!fits)
    {
        it.done(make_error_code(result_code::record_too_large), 0);
        return it.id;
    }
    if (it.bytes > settings_.max_append_bytes ||
        queued_bytes_ + it.bytes > settings_.max_queued_bytes)
    {
        it.done(make_error_code(result_code::ring_full), 0);
        return it.id;
    }
    if (!waits_for_store && !reachable())
    {
        it.done(make_error_code(result_code::log_unavailable), 0);
        return it.id;
    }
    queued_bytes_ += it.bytes;
    const auto id = it.id;
    queue_.push_back(std::move(it));
    send_next();
    return id;
}

bool partition_writer::withdraw(append_id id)
{
    const auto it = std::ranges::find(queue_, id, &entry::id);
    if (it == queue_.end() ||
        static_cast<std::size_t>(it - queue_.begin()) < sent_entries_)
        return false;
    queued_bytes_ -= it->bytes;
    queue_.erase(it);
    return true;
}

void partition_writer::send_next()
{
    if (call_in_progress_ || retry_pending_ || stopped_ || queue_.empty())
        return;
    if (sent_entries_ == 0)
    {
        // Start a new call with as many entries as fit into one append.
        std::size_t bytes = 0;
        for (const auto& it : queue_)
        {
            bytes += it.bytes;
            if (sent_entries_ != 0 && bytes > settings_.max_append_bytes)
                break;
            ++sent_entries_;
        }
        ++producer_.sequence;
    }
    send_call();
}

void partition_writer::send_call()
{
    append_call call;
    call.to = partition_;
    call.producer = producer_;
    for (std::size_t i = 0; i < sent_entries_; ++i)
        call.records.insert(call.records.end(), queue_[i].records.begin(),
                            queue_[i].records.end());
    call_in_progress_ = true;
    service_.append(std::move(call),
                    [self = shared_from_this()](const append_result& result)
                    {
                        self->call_in_progress_ = false;
                        if (!self->stopped_)
                            self->handle_append(result);
                    });
}

void partition_writer::handle_append(const append_result& result)
{
    if (!result.ec)
    {
        reachable_ = true;
        outcome_unknown_ = false;
        backoff_.reset();
        finish_sent_entries(result.offset);
        return send_next();
    }
    common::log_warning("append_failed", {{"topic", partition_.topic},
                                          {"partition", partition_.partition},
                                          {"epoch", producer_.epoch},
                                          {"sequence", producer_.sequence},
                                          {"entries", sent_entries_},
                                          {"what", result.ec.message()}});
    if (result.ec == result_code::producer_fenced ||
        result.ec == result_code::producer_sequence)
        return start_epoch();
    reachable_ = false;
    if (result.ec == result_code::log_append_unknown)
        outcome_unknown_ = true;
    else
        fail_entries(result.ec);
    schedule_retry();
}

void partition_writer::finish_sent_entries(std::uint64_t offset)
{
    std::vector<std::pair<handler, std::uint64_t>> finished;
    for (; sent_entries_ != 0; --sent_entries_)
    {
        auto it = std::move(queue_.front());
        queue_.pop_front();
        queued_bytes_ -= it.bytes;
        finished.emplace_back(std::move(it.done), offset);
        offset += it.records.size();
    }
    for (const auto& [done, first_offset] : finished)
        done({}, first_offset);
}

void partition_writer::fail_entries(std::error_code ec)
{
    // The refused call has appended nothing. But if an earlier call with the
    // same sequence number was not answered, its entries may have been appended
    // by that call: they are resent until their outcome is known.
    const auto first = outcome_unknown_ ? sent_entries_ : 0;
    std::vector<handler> failed;
    for (auto i = queue_.size(); i-- > first;)
    {
        auto& it = queue_[i];
        if (it.waits_for_store)
            continue;
        queued_bytes_ -= it.bytes;
        failed.push_back(std::move(it.done));
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
        if (i < sent_entries_)
            --sent_entries_;
    }

    // The store accepts no gap in the sequence: reuse the unused number.
    if (sent_entries_ == 0)
        --producer_.sequence;
    for (const auto& done : failed)
        done(ec, 0);
}

void partition_writer::start_epoch()
{
    // The store and this process disagree on the sequence number, for example
    // after the store lost records. The entries are resent under a new epoch.
    // The store may then hold a record twice; that is safe because applying a
    // record a second time has no effect.
    ++producer_.epoch;
    producer_.sequence = 1;
    send_call();
}

void partition_writer::schedule_retry()
{
    retry_pending_ = true;
    common::wait_until(timer_, common::clock::now() + backoff_.next(),
                       [self = shared_from_this()](const auto& ec)
                       {
                           self->retry_pending_ = false;
                           if (!ec)
                               self->send_next();
                       });
}

void partition_writer::stop()
{
    stopped_ = true;
    timer_.cancel();
}

} // namespace tanagertrack::store
