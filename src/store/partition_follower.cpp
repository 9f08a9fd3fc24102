#include "store/partition_follower.hpp"

#include "common/hash.hpp"
#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::store
{

using common::result_code;
using std::chrono::milliseconds;

partition_follower::partition_follower(boost::asio::io_context& context,
                                       store_service service,
                                       partition_ref what,
                                       follower_settings settings,
                                       follower_hooks hooks)
    : service_(std::move(service)), what_(std::move(what)), settings_(settings),
      hooks_(std::move(hooks)),
      backoff_(settings.retry, common::hash64(common::random_id())),
      timer_(context)
{
}

void partition_follower::start(std::uint64_t offset)
{
    if (running_)
        stop();
    ++run_;
    next_ = offset;
    running_ = true;
    reading_ = false;
    current_as_of_.reset();
    read_on();
}

void partition_follower::stop()
{
    ++run_;
    running_ = false;
    timer_.cancel();
    auto waiting = std::exchange(waiting_, {});
    for (auto& it : std::exchange(confirming_, {}))
        waiting.push_back(std::move(it));
    for (const auto& it : waiting)
        it(make_error_code(result_code::log_unavailable));
}

void partition_follower::read_on()
{
    if (!running_ || reading_)
        return;
    reading_ = true;
    const auto now = common::clock::now();
    last_start_ = now;
    read_call call;
    call.from = what_;
    call.offset = next_;
    call.max_bytes = settings_.max_bytes;
    // Until the end was reached once, an empty answer is news.
    call.wait = current_as_of_ ? settings_.wait : milliseconds(0);
    service_.read(call, [self = shared_from_this(), run = run_, now,
                         offset = next_](const read_result& result)
                  { self->take(run, now, offset, result); });
}

void partition_follower::schedule(milliseconds delay)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = shared_from_this(), run = run_](const auto& ec)
        {
            if (!ec && run == self->run_)
                self->read_on();
        });
}

void partition_follower::take(std::uint64_t run, common::time_point started,
                              std::uint64_t offset, const read_result& result)
{
    if (run != run_)
        return;
    reading_ = false;
    if (!apply(started, offset, result))
        return;
    if (result.ec)
        return schedule(backoff_.next());
    backoff_.reset();

    // A full read means that more is waiting.
    const bool behind = next_ < result.end;
    const auto since = std::chrono::duration_cast<milliseconds>(
        common::clock::now() - last_start_);
    if (behind || since >= settings_.min_interval)
        return read_on();
    schedule(settings_.min_interval - since);
}

bool partition_follower::apply(common::time_point started, std::uint64_t offset,
                               const read_result& result)
{
    if (result.ec == result_code::log_offset_expired)
    {
        note_reachable(true);
        stop();
        hooks_.on_expired(result.first);
        return false;
    }
    note_reachable(!result.ec);
    if (result.ec)
        return true;

    // Two reads may overlap: what is known is left out.
    const auto run = run_;
    const std::span<const std::string> records(result.records);
    const auto known = static_cast<std::size_t>(
        std::min<std::uint64_t>(next_ - offset, records.size()));
    const auto fresh = records.subspan(known);
    const auto first = next_;
    next_ += fresh.size();
    if (!fresh.empty())
        hooks_.on_records(first, fresh);
    if (run != run_)
        return false;
    if (next_ < result.end)
        return true;
    const bool caught_up = !current_as_of_.has_value();
    current_as_of_ = std::max(started, current_as_of_.value_or(started));
    if (caught_up && hooks_.on_caught_up)
        hooks_.on_caught_up();
    return run == run_;
}

void partition_follower::note_reachable(bool reachable)
{
    if (std::exchange(reachable_, reachable) != reachable)
        hooks_.on_reachable(reachable);
}

void partition_follower::confirm(milliseconds max_age,
                                 std::function<void(std::error_code)> handler)
{
    if (!running_)
        return handler(make_error_code(result_code::log_unavailable));
    if (current_as_of_ && common::clock::now() - *current_as_of_ < max_age)
        return handler({});
    waiting_.push_back(std::move(handler));
    start_confirmation();
}

void partition_follower::start_confirmation()
{
    if (!confirming_.empty() || waiting_.empty())
        return;
    confirming_ = std::exchange(waiting_, {});
    read_call call;
    call.from = what_;
    call.offset = next_;
    call.max_bytes = settings_.max_bytes;
    service_.read(call, [self = shared_from_this(), run = run_,
                         now = common::clock::now(),
                         offset = next_](const read_result& result)
                  { self->take_confirmation(run, now, offset, result); });
}

void partition_follower::take_confirmation(std::uint64_t run,
                                           common::time_point started,
                                           std::uint64_t offset,
                                           const read_result& result)
{
    if (run != run_ || !apply(started, offset, result))
        return;
    auto confirmed = std::exchange(confirming_, {});
    if (!result.ec && next_ < result.end)
    {
        // More than one read is needed to reach the end.
        for (auto& it : confirmed)
            waiting_.push_back(std::move(it));
        return start_confirmation();
    }
    for (const auto& it : confirmed)
        it(result.ec);
    start_confirmation();
}

void partition_follower::read_soon()
{
    if (running_ && !reading_)
        read_on();
}

} // namespace tanagertrack::store
