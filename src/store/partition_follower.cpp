#include "store/partition_follower.hpp"

#include "common/hash.hpp"
#include "common/result_code.hpp"
#include "common/timer_wait.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace tanagertrack::store
{

using common::result_code;
using std::chrono::milliseconds;

partition_follower::partition_follower(boost::asio::io_context& context,
                                       store_service service,
                                       partition_ref partition,
                                       follower_settings settings,
                                       follower_hooks hooks)
    : service_(std::move(service)), partition_(std::move(partition)),
      settings_(settings), hooks_(std::move(hooks)),
      backoff_(settings.retry, common::hash64(common::random_id())),
      timer_(context), read_bytes_(settings.first_bytes),
      confirmation_timer_(context)
{
}

void partition_follower::start(std::uint64_t offset)
{
    if (running_)
        stop();
    ++run_;
    next_offset_ = offset;
    running_ = true;
    reading_ = false;
    confirming_ = false;
    current_as_of_.reset();
    read_next();
}

void partition_follower::stop()
{
    ++run_;
    running_ = false;
    timer_.cancel();
    end_confirmations([](const confirmation&) { return true; },
                      make_error_code(result_code::log_unavailable));
}

void partition_follower::read_next()
{
    if (!running_ || reading_)
        return;
    reading_ = true;
    const read_start now;
    last_read_start_ = now.time;
    auto call = make_read();
    // Until the end was reached once, an empty result matters too: it shows
    // that the follower has caught up. So the store must not delay it.
    call.wait = current_as_of_ ? settings_.wait : milliseconds(0);
    service_.read(call, [self = shared_from_this(), run = run_, now,
                         offset = next_offset_](const read_result& result)
                  { self->handle_read(run, now, offset, result); });
}

read_call partition_follower::make_read() const
{
    read_call call;
    call.from = partition_;
    call.offset = next_offset_;
    call.max_bytes = read_bytes_;
    return call;
}

void partition_follower::adapt_read_size(common::time_point started,
                                         const read_result& result)
{
    if (result.ec)
        read_bytes_ = std::max(settings_.min_bytes, read_bytes_ / 2);
    else if (next_offset_ < result.end &&
             common::clock::now() - started < settings_.fast_read)
        read_bytes_ = std::min(settings_.max_bytes, read_bytes_ * 2);
}

void partition_follower::schedule_read(milliseconds delay)
{
    common::wait_until(timer_, common::clock::now() + delay,
                       [self = shared_from_this(), run = run_](const auto& ec)
                       {
                           if (!ec && run == self->run_)
                               self->read_next();
                       });
}

void partition_follower::handle_read(std::uint64_t run,
                                     const read_start& started,
                                     std::uint64_t offset,
                                     const read_result& result)
{
    if (run != run_)
        return;
    reading_ = false;
    if (!apply_read(started, offset, result))
        return;
    if (result.ec)
        return schedule_read(backoff_.next());
    backoff_.reset();

    // Continue at once while the partition holds further records.
    const bool behind = next_offset_ < result.end;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
        common::clock::now() - last_read_start_);
    if (behind || elapsed >= settings_.min_interval)
        return read_next();
    schedule_read(settings_.min_interval - elapsed);
}

bool partition_follower::apply_read(const read_start& started,
                                    std::uint64_t offset,
                                    const read_result& result)
{
    if (result.ec == result_code::log_offset_expired)
    {
        set_reachable(true);
        stop();
        hooks_.on_expired(result.first);
        return false;
    }
    set_reachable(!result.ec);
    if (result.ec)
    {
        adapt_read_size(started.time, result);
        return true;
    }

    // A confirmation read may overlap with a regular read: skip the records
    // that the other one has delivered already.
    const auto run = run_;
    const std::span<const std::string> records(result.records);
    const auto delivered = static_cast<std::size_t>(
        std::min<std::uint64_t>(next_offset_ - offset, records.size()));
    const auto new_records = records.subspan(delivered);
    const auto first = next_offset_;
    next_offset_ += new_records.size();
    if (!new_records.empty())
        hooks_.on_records(first, new_records);
    if (run != run_)
        return false;
    adapt_read_size(started.time, result);
    if (next_offset_ < result.end)
        return true;
    const bool caught_up = !current_as_of_.has_value();
    current_as_of_ =
        std::max(started.time, current_as_of_.value_or(started.time));
    if (hooks_.on_current)
        hooks_.on_current(started.boot_time);
    if (caught_up && hooks_.on_caught_up)
        hooks_.on_caught_up();
    if (run != run_)
        return false;
    end_confirmations([as_of = *current_as_of_](const confirmation& it)
                      { return it.time <= as_of; },
                      {});
    return run == run_;
}

void partition_follower::set_reachable(bool reachable)
{
    if (std::exchange(reachable_, reachable) != reachable)
        hooks_.on_reachable(reachable);
}

void partition_follower::confirm(common::time_point time,
                                 std::function<void(std::error_code)> handler)
{
    if (!running_)
        return handler(make_error_code(result_code::log_unavailable));
    if (current_as_of_ && *current_as_of_ >= time)
        return handler({});
    confirmations_.push_back({time,
                              common::clock::now() + settings_.max_confirmation,
                              std::move(handler)});
    if (confirmations_.size() == 1)
        schedule_confirmation_timeout();
    start_confirmation();
}

void partition_follower::start_confirmation()
{
    if (confirming_ || confirmations_.empty())
        return;
    confirming_ = true;
    service_.read(make_read(),
                  [self = shared_from_this(), run = run_, now = read_start(),
                   offset = next_offset_](const read_result& result) {
                      self->handle_confirmation_read(run, now, offset, result);
                  });
}

void partition_follower::handle_confirmation_read(std::uint64_t run,
                                                  const read_start& started,
                                                  std::uint64_t offset,
                                                  const read_result& result)
{
    if (run != run_)
        return;
    confirming_ = false;

    // Ends the confirmations that the read served, if it reached the end.
    if (!apply_read(started, offset, result))
        return;
    if (result.ec)
        end_confirmations([&started](const confirmation& it)
                          { return it.time <= started.time; },
                          result.ec);
    if (run == run_)
        start_confirmation();
}

void partition_follower::end_confirmations(
    const std::function<bool(const confirmation&)>& is_due, std::error_code ec)
{
    // Handlers may add confirmations or stop the follower.
    const auto due = std::stable_partition(
        confirmations_.begin(), confirmations_.end(),
        [&is_due](const confirmation& it) { return !is_due(it); });
    std::vector<confirmation> ended(
        std::make_move_iterator(due),
        std::make_move_iterator(confirmations_.end()));
    confirmations_.erase(due, confirmations_.end());
    if (!ended.empty())
        schedule_confirmation_timeout();
    for (const auto& it : ended)
        it.handler(ec);
}

void partition_follower::schedule_confirmation_timeout()
{
    confirmation_timer_.cancel();
    if (confirmations_.empty())
        return;
    common::wait_until(
        confirmation_timer_, confirmations_.front().deadline,
        [self = shared_from_this(), run = run_](const auto& ec)
        {
            if (ec || run != self->run_)
                return;
            self->end_confirmations(
                [now = common::clock::now()](const confirmation& it)
                { return it.deadline <= now; },
                make_error_code(result_code::log_unavailable));
        });
}

void partition_follower::read_soon()
{
    confirm(common::clock::now(), [](std::error_code) {});
}

} // namespace tanagertrack::store
