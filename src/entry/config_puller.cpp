#include "entry/config_puller.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::entry
{

namespace
{

/// Time for one entry to answer.
constexpr auto answer_time = std::chrono::seconds(2);

} // namespace

config_puller::config_puller(boost::asio::io_context& context,
                             transport::transport_settings options,
                             std::vector<common::endpoint> entries,
                             std::function<void(proto::ConfigPush)> on_push)
    : context_(context), options_(std::move(options)),
      entries_(std::move(entries)), on_push_(std::move(on_push)),
      timer_(context)
{
}

void config_puller::pull()
{
    if (entries_.empty() || connection_)
        return;
    connection_ =
        std::make_unique<transport::client_connection>(context_, options_);
    transport::connection_hooks hooks;
    hooks.on_up = [this]
    {
        connected();
    };
    hooks.on_down = [this](std::error_code)
    {
        end_later();
    };
    connection_->start(entries_[next_++ % entries_.size()], std::move(hooks));
    timer_.expires_after(answer_time);
    timer_.async_wait(
        [this](const auto& ec)
        {
            if (!ec)
                connection_.reset();
        });
}

void config_puller::connected()
{
    transport::stream_hooks hooks;
    hooks.on_message = [this](std::string_view data)
    {
        message(data);
    };
    hooks.on_closed = [this](std::error_code)
    {
        end_later();
    };
    const auto stream = connection_->open("/config", std::move(hooks));
    if (!stream)
        return;
    stream->send(proto::ConfigPull());
    stream->finish();
}

void config_puller::message(std::string_view data)
{
    proto::ConfigPush push;
    if (push.ParseFromArray(data.data(), static_cast<int>(data.size())) &&
        push.config().version() > 0)
        on_push_(std::move(push));
}

void config_puller::end_later()
{
    // The connection is not destroyed within its own hook.
    timer_.expires_after(std::chrono::milliseconds(0));
    timer_.async_wait(
        [this](const auto& ec)
        {
            if (!ec)
                connection_.reset();
        });
}

} // namespace tanagertrack::entry
