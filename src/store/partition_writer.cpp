#include "store/partition_writer.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::store
{

using common::result_code;

namespace
{

/// Bytes that the store's framing adds to each record.
constexpr std::size_t frame_bytes = 4;

} // namespace

partition_writer::partition_writer(boost::asio::io_context& context,
                                   store_service service, partition_ref to,
                                   std::string producer,
                                   writer_settings settings)
    : service_(std::move(service)),
      to_(std::move(to)), stamp_{std::move(producer), 1, 0},
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
    send_on();
    return id;
}

bool partition_writer::withdraw(append_id id)
{
    const auto it = std::ranges::find(queue_, id, &entry::id);
    if (it == queue_.end() ||
        static_cast<std::size_t>(it - queue_.begin()) < sent_)
        return false;
    queued_bytes_ -= it->bytes;
    queue_.erase(it);
    return true;
}

void partition_writer::send_on()
{
    if (calling_ || waiting_ || stopped_ || queue_.empty())
        return;
    if (sent_ == 0)
    {
        // A new call: as many entries as fit.
        std::size_t bytes = 0;
        for (const auto& it : queue_)
        {
            bytes += it.bytes;
            if (sent_ != 0 && bytes > settings_.max_append_bytes)
                break;
            ++sent_;
        }
        ++stamp_.sequence;
    }
    send();
}

void partition_writer::send()
{
    append_call call;
    call.to = to_;
    call.producer = stamp_;
    for (std::size_t i = 0; i < sent_; ++i)
        call.records.insert(call.records.end(), queue_[i].records.begin(),
                            queue_[i].records.end());
    calling_ = true;
    service_.append(std::move(call),
                    [self = shared_from_this()](const append_result& result)
                    {
                        self->calling_ = false;
                        if (!self->stopped_)
                            self->take(result);
                    });
}

void partition_writer::take(const append_result& result)
{
    if (!result.ec)
    {
        reachable_ = true;
        unknown_ = false;
        backoff_.reset();
        take_done(result.offset);
        return send_on();
    }
    common::log_warning("append_failed", {{"topic", to_.topic},
                                          {"partition", to_.partition},
                                          {"epoch", stamp_.epoch},
                                          {"sequence", stamp_.sequence},
                                          {"entries", sent_},
                                          {"what", result.ec.message()}});
    if (result.ec == result_code::producer_fenced ||
        result.ec == result_code::producer_sequence)
        return start_epoch();
    reachable_ = false;
    if (result.ec == result_code::log_append_unknown)
        unknown_ = true;
    else
        take_refused(result.ec);
    retry_later();
}

void partition_writer::take_done(std::uint64_t offset)
{
    std::vector<std::pair<handler, std::uint64_t>> done;
    for (; sent_ != 0; --sent_)
    {
        auto it = std::move(queue_.front());
        queue_.pop_front();
        queued_bytes_ -= it.bytes;
        done.emplace_back(std::move(it.done), offset);
        offset += it.records.size();
    }
    for (const auto& [told, at] : done)
        told({}, at);
}

void partition_writer::take_refused(std::error_code ec)
{
    // Nothing was done by this call. After a call without an answer that is
    // no news of the entries in it: they stay as they are until it is known
    // what became of them.
    const auto first = unknown_ ? sent_ : 0;
    std::vector<handler> refused;
    for (auto i = queue_.size(); i-- > first;)
    {
        auto& it = queue_[i];
        if (it.waits_for_store)
            continue;
        queued_bytes_ -= it.bytes;
        refused.push_back(std::move(it.done));
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
        if (i < sent_)
            --sent_;
    }

    // A number that was not used must not be left out.
    if (sent_ == 0)
        --stamp_.sequence;
    for (const auto& told : refused)
        told(ec, 0);
}

void partition_writer::start_epoch()
{
    // The store and this process disagree on the number, as after the loss of
    // records. What was sent is sent again under a new epoch: each record has
    // an effect once, whatever its number.
    ++stamp_.epoch;
    stamp_.sequence = 1;
    send();
}

void partition_writer::retry_later()
{
    waiting_ = true;
    timer_.expires_after(backoff_.next());
    timer_.async_wait(
        [self = shared_from_this()](const auto& ec)
        {
            self->waiting_ = false;
            if (!ec)
                self->send_on();
        });
}

void partition_writer::stop()
{
    stopped_ = true;
    timer_.cancel();
}

} // namespace tanagertrack::store
