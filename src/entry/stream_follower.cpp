#include "entry/stream_follower.hpp"

#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/assert.hpp>

#include <utility>

namespace tanagertrack::entry
{

stream_follower::stream_follower(boost::asio::io_context& context,
                                 services::log_service& log,
                                 follower_settings settings,
                                 follower_hooks hooks)
    : log_(log), settings_(std::move(settings)), hooks_(std::move(hooks)),
      backoff_(settings_.retry, settings_.seed), timer_(context)
{
}

stream_follower::~stream_follower() = default;

void stream_follower::start(std::uint64_t offset)
{
    BOOST_ASSERT(offset >= 1);
    position_ = offset;
    read();
}

void stream_follower::read()
{
    read_started_ = common::clock::now();
    services::log_read_request request;
    request.stream = settings_.stream;
    request.from = position_;
    request.max_bytes = settings_.max_read_bytes;
    request.wait = settings_.wait;
    log_.read(std::move(request),
              [this, alive = std::weak_ptr(alive_)](
                  std::error_code ec, services::log_read_result result)
              {
                  if (!alive.expired())
                      finish_read(ec, std::move(result));
              });
}

void stream_follower::finish_read(std::error_code ec,
                                  services::log_read_result result)
{
    const std::weak_ptr alive(alive_);
    if (ec == common::result_code::log_offset_expired &&
        result.first_offset > position_)
    {
        const auto from = std::exchange(position_, result.first_offset);
        if (hooks_.on_gap)
            hooks_.on_gap(from, result.first_offset);
        if (!alive.expired())
            read();
        return;
    }
    if (ec)
    {
        if (hooks_.on_error)
            hooks_.on_error(ec);
        if (!alive.expired())
            read_after(backoff_.next());
        return;
    }

    backoff_.reset();
    last_success_ = common::clock::now();
    if (!result.records.empty())
        position_ = result.records.back().offset + 1;
    const bool at_end = position_ >= result.next_offset;
    hooks_.on_records(std::move(result.records), result.next_offset);
    if (alive.expired())
        return;
    const auto next_read = read_started_ + settings_.min_interval;
    const auto now = common::clock::now();
    if (at_end && next_read > now)
        read_after(next_read - now);
    else
        read();
}

void stream_follower::read_after(common::duration delay)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [this, alive = std::weak_ptr(alive_)](boost::system::error_code ec)
        {
            if (!ec && !alive.expired())
                read();
        });
}

} // namespace tanagertrack::entry
