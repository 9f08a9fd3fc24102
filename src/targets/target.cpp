#include "targets/target.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::targets
{

namespace
{

/// Before the end of its time, as stated by the target, a connection is not
/// used any more: the request and the target's close could cross.
constexpr auto keep_alive_margin = std::chrono::milliseconds(400);

/// Connections at rest for each place of a target.
constexpr std::size_t resting_per_slot = 2;

} // namespace

target::target(boost::asio::io_context& context, std::string id,
               fleet::target_announcement announced,
               const std::function<void()>& load_changed)
    : context_(context), load_changed_(load_changed), id_(std::move(id)),
      key_(static_cast<std::uint32_t>(common::hash64(id_)))
{
    load.key = key_;
    set_announced(std::move(announced));
}

void target::set_announced(fleet::target_announcement value)
{
    announced_ = std::move(value);
    load.slots = std::max(1U, announced_.slots);
}

void target::acquire_connection(
    std::chrono::milliseconds max_idle_time,
    const std::function<void(std::error_code, acquired_connection)>& handler)
{
    const auto now = common::clock::now();
    while (!resting_.empty())
    {
        // The one that rested shortest is the least likely to be closed.
        auto it = resting_.back();
        const bool alive =
            it->is_idle() && now + keep_alive_margin < it->idle_until();
        if (alive && now - it->idle_since() > max_idle_time)
            break;
        resting_.pop_back();
        it->on_idle_end(nullptr);
        if (alive)
            return handler({}, {std::move(it), true});
        it->close();
    }

    ++connections_made_;
    http::client_connection_ptr it(
        new http::client_connection(context_, http::client_settings()));
    it->connect(announced_.address,
                [it, handler](std::error_code ec) {
                    handler(ec, {it, false});
                });
}

void target::release_connection(const http::client_connection_ptr& connection)
{
    const auto most = resting_per_slot * load.slots;
    if (!in_use_ || !connection->is_idle() || resting_.size() >= most)
        return connection->close();
    auto* raw = connection.get();
    connection->on_idle_end(
        [self = target_ptr(this), raw]
        {
            std::erase_if(self->resting_,
                          [raw](const auto& it) { return it.get() == raw; });
        });
    resting_.push_back(connection);
}

void target::add_request(routing::work_class work)
{
    ++(work == routing::work_class::online ? load.own_online : load.own_batch);
    load_changed_();
}

void target::end_request(routing::work_class work)
{
    --(work == routing::work_class::online ? load.own_online : load.own_batch);
    load_changed_();
}

void target::record_failure(routing::target_failure reason)
{
    const auto now = common::clock::now();
    if (!load.health.record_failure(reason, now))
        return;
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
        load.health.avoided_until() - now);
    common::log_info("target_avoided", {{"target", id_},
                                        {"why", to_string(reason)},
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
    for (auto& it : std::exchange(resting_, {}))
        it->close();
}

} // namespace tanagertrack::targets
