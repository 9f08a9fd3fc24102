#include "targets/target.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::targets
{

namespace
{

/// An idle connection is not reused this close to the end of the keep-alive
/// time that the target has stated: the target might close it while the request
/// is on its way.
constexpr auto keep_alive_margin = std::chrono::milliseconds(400);

/// Maximum number of idle connections for each slot of a target.
constexpr std::size_t max_idle_per_slot = 2;

} // namespace

target::target(boost::asio::io_context& context, std::string id,
               fleet::target_announcement announced, const target_hooks& hooks)
    : context_(context), hooks_(hooks), id_(std::move(id)),
      key_(static_cast<std::uint32_t>(common::hash64(id_)))
{
    load.key = key_;
    update_announcement(std::move(announced));
}

void target::update_announcement(fleet::target_announcement value)
{
    announcement_ = std::move(value);
    load.slots = std::max(1U, announcement_.slots);
}

void target::acquire_connection(
    std::chrono::milliseconds max_idle_time,
    const std::function<void(std::error_code, acquired_connection)>& handler)
{
    const auto now = common::clock::now();
    while (!idle_connections_.empty())
    {
        // The connection that was idle for the shortest time is the least
        // likely to be closed by the target.
        auto it = idle_connections_.back();
        const bool alive =
            it->is_idle() && now + keep_alive_margin < it->idle_until();
        // Stays in the pool for requests that allow a longer idle time. All
        // other connections have been idle for even longer.
        if (alive && now - it->idle_since() > max_idle_time)
            break;
        idle_connections_.pop_back();
        it->on_idle_end(nullptr);
        if (alive)
            return handler({}, {std::move(it), true});
        it->close();
    }

    connect(
        [handler](std::error_code ec, http::client_connection_ptr it) {
            handler(ec, {std::move(it), false});
        });
}

void target::connect(
    std::function<void(std::error_code, http::client_connection_ptr)> handler)
{
    ++connections_made_;
    http::client_connection_ptr it(
        new http::client_connection(context_, http::client_settings()));
    it->connect(announcement_.address,
                [it, handler = std::move(handler)](std::error_code ec)
                { handler(ec, it); });
}

void target::check_reachable(std::function<void(bool)> handler)
{
    if (!in_use_)
        return handler(false);
    connect(
        [self = target_ptr(this), handler = std::move(handler)](
            std::error_code ec, const http::client_connection_ptr& it)
        {
            if (!ec)
                self->release_connection(it);
            handler(!ec);
        });
}

void target::release_connection(const http::client_connection_ptr& connection)
{
    const auto max_idle = max_idle_per_slot * load.slots;
    if (!in_use_ || !connection->is_idle() ||
        idle_connections_.size() >= max_idle)
        return connection->close();
    auto* raw = connection.get();
    connection->on_idle_end(
        [self = target_ptr(this), raw]
        {
            std::erase_if(self->idle_connections_,
                          [raw](const auto& it) { return it.get() == raw; });
        });
    idle_connections_.push_back(connection);
}

void target::add_request(routing::work_class work)
{
    ++(work == routing::work_class::online ? load.own_online : load.own_batch);
    hooks_.on_load_change();
}

void target::remove_request(routing::work_class work)
{
    --(work == routing::work_class::online ? load.own_online : load.own_batch);
    hooks_.on_load_change();
}

void target::record_failure(routing::target_failure reason)
{
    const auto now = common::clock::now();
    if (reason != routing::target_failure::replaced)
    {
        ++load.losses;
        load.last_loss = now;
        hooks_.on_load_change();
    }
    if (load.health.record_failure(reason, now))
        log_pause(to_string(reason), now);
}

void target::record_peer_loss()
{
    const auto now = common::clock::now();
    if (load.health.record_peer_loss(now))
        log_pause("lost_by_others", now);
}

void target::log_pause(std::string_view reason, common::time_point now) const
{
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
        load.health.avoided_until() - now);
    common::log_info("target_avoided", {{"target", id_},
                                        {"why", reason},
                                        {"pauses", load.health.pauses()},
                                        {"pause_ms", pause.count()}});
}

void target::record_success()
{
    if (load.health.pauses() != 0)
        common::log_info("target_recovered",
                         {{"target", id_}, {"pauses", load.health.pauses()}});
    load.health.record_success();
}

void target::retire()
{
    in_use_ = false;
    for (auto& it : std::exchange(idle_connections_, {}))
        it->close();
}

} // namespace tanagertrack::targets
