#include "agent/status_hub.hpp"

#include "agent/work_dispatcher.hpp"
#include "common/logging.hpp"
#include "proto/peer.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::agent
{

namespace
{

/// Shortest time between two statuses, and longest without one.
constexpr std::chrono::milliseconds publish_interval{50};
constexpr std::chrono::seconds idle_interval{10};
constexpr std::chrono::seconds idle_check_interval{1};

/// Time for which an entry counts as a sender of batch work.
constexpr std::chrono::seconds batch_memory{10};

} // namespace

struct status_hub::impl
{
    explicit impl(boost::asio::io_context& context)
        : publish(context), idle(context)
    {
    }

    boost::asio::steady_timer publish;
    boost::asio::steady_timer idle;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

status_hub::status_hub(boost::asio::io_context& context, work_dispatcher& work)
    : work_(work), impl_(std::make_unique<impl>(context))
{
    wait_idle();
}

status_hub::~status_hub() = default;

void status_hub::accept(const transport::message_stream_ptr& stream)
{
    const auto connection = stream->connection_id();
    transport::stream_hooks hooks;
    hooks.on_message = [this, connection](std::string_view message)
    {
        take_message(connection, message);
    };
    const auto* const raw = stream.get();
    hooks.on_closed = [this, connection, raw](std::error_code)
    {
        const auto it = sessions_.find(connection);
        if (it != sessions_.end() && it->second.stream.get() == raw)
            sessions_.erase(it);
        changed();
    };
    // A second stream of the connection replaces the first.
    auto& session = sessions_[connection];
    if (session.stream)
        session.stream->reset();
    session = {stream, {}, {}, {}};
    stream->set_hooks(std::move(hooks));
    changed();
}

void status_hub::take_message(std::uint64_t connection,
                              std::string_view message)
{
    proto::StatusDown in;
    if (!in.ParseFromArray(message.data(), static_cast<int>(message.size())))
    {
        common::log_warning("status_malformed");
        return;
    }
    if (!in.entry().empty())
        common::log_info("entry_connected",
                         {{"entry", in.entry()}, {"connection", connection}});
    if (in.has_target())
        work_.set_target(in.target(), in.config_version());
    for (const auto& it : in.fences())
        work_.raise_fence(it.partition(), it.claim_offset());
    changed();
}

void status_hub::changed()
{
    if (std::exchange(scheduled_, true))
        return;
    const auto due = published_at_ + publish_interval;
    impl_->publish.expires_at(std::max(due, common::clock::now()));
    impl_->publish.async_wait(
        [this, alive = std::weak_ptr(impl_->alive)](const auto& ec)
        {
            if (ec || alive.expired())
                return;
            scheduled_ = false;
            publish();
        });
}

void status_hub::publish()
{
    const auto now = common::clock::now();
    published_at_ = now;
    for (auto& [connection, it] : sessions_)
    {
        proto::AgentStatus status;
        work_.fill_status(status, connection);
        auto text = status.SerializeAsString();
        const bool idle = now - it.sent_at >= idle_interval;
        // A status that can't be written yet would be old when it is.
        const bool stuck = it.stream->queued_bytes() > text.size();
        if (stuck || (text == it.last_status && !idle))
            continue;
        it.stream->send(std::string_view(text));
        it.last_status = std::move(text);
        it.sent_at = now;
    }
}

void status_hub::wait_idle()
{
    impl_->idle.expires_after(idle_check_interval);
    impl_->idle.async_wait(
        [this, alive = std::weak_ptr(impl_->alive)](const auto& ec)
        {
            if (ec || alive.expired())
                return;
            // Also sends what was left out of a stuck stream, and credit that
            // grew because others became inactive.
            changed();
            wait_idle();
        });
}

void status_hub::note_batch(std::uint64_t connection)
{
    const auto it = sessions_.find(connection);
    if (it != sessions_.end())
        it->second.batch_at = common::clock::now();
}

bool status_hub::is_active(const session& it) const
{
    return it.batch_at != common::time_point() &&
           common::clock::now() - it.batch_at < batch_memory;
}

std::uint32_t status_hub::credit(std::uint64_t connection) const
{
    const auto room = work_.batch_room();
    const auto found = sessions_.find(connection);
    if (room == 0 || found == sessions_.end())
        return 0;
    const auto active = static_cast<std::uint32_t>(std::ranges::count_if(
        sessions_, [this](const auto& it) { return is_active(it.second); }));
    const auto all = static_cast<std::uint32_t>(sessions_.size());
    if (active != 0 && !is_active(found->second))
        return 1;
    return std::max(1U, room / (active != 0 ? active : all));
}

void status_hub::finish_all()
{
    publish();
    for (auto& [connection, it] : sessions_)
        it.stream->finish();
}

} // namespace tanagertrack::agent
