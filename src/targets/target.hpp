#ifndef TANAGERTRACK_TARGETS_TARGET_HPP
#define TANAGERTRACK_TARGETS_TARGET_HPP

#include "fleet/target_directory.hpp"
#include "http/client_connection.hpp"
#include "routing/target_load.hpp"
#include "targets/target_hooks.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::targets
{

/// A connection that was acquired from a target.
struct acquired_connection
{
    http::client_connection_ptr connection;

    /// True if the connection was used for another request before.
    bool reused = false;
};

/// A target with its announcement, its load, and a pool of idle connections to
/// it. Not thread-safe: all calls are made on the thread of the io_context.
class target
    : public boost::intrusive_ref_counter<target, boost::thread_unsafe_counter>
{
public:
    /// `id` is the id under which the target announces itself.
    /// `hooks` must outlive the target.
    target(boost::asio::io_context& context, std::string id,
           fleet::target_announcement announced, const target_hooks& hooks);

    target(const target&) = delete;
    target& operator=(const target&) = delete;

    const std::string& id() const
    {
        return id_;
    }

    /// Key of the target in messages between entries: a hash of its id.
    std::uint32_t key() const
    {
        return key_;
    }

    const fleet::target_announcement& announced() const
    {
        return announcement_;
    }

    /// Replaces the announcement by a newer one with the same address.
    void update_announcement(fleet::target_announcement value);

    /// Acquires a connection that was idle for at most `max_idle_time`, or a
    /// new one. The handler may be called before this function returns; if it
    /// gets an error, the connection is not usable.
    void acquire_connection(
        std::chrono::milliseconds max_idle_time,
        const std::function<void(std::error_code, acquired_connection)>&
            handler);

    /// Puts a connection into the pool of idle ones. It is closed if it is not
    /// idle, if the pool is full, or if the target is retired.
    void release_connection(const http::client_connection_ptr& connection);

    /// Checks whether the target accepts a new connection, and passes the
    /// result to `handler`. The connection is kept for later requests. A target
    /// that was removed counts as unreachable.
    void check_reachable(std::function<void(bool reachable)> handler);

    /// Closes the idle connections when the target is removed. Requests in
    /// progress continue.
    void retire();

    /// Returns false once the target is retired.
    bool in_use() const
    {
        return in_use_;
    }

    /// Number of idle connections.
    std::size_t idle_connections() const
    {
        return idle_connections_.size();
    }

    /// Number of connections made to the target, including failed attempts.
    std::uint64_t connections_made() const
    {
        return connections_made_;
    }

    /// Adds a request of this process to the target's load, or removes it.
    void add_request(routing::work_class work);
    void remove_request(routing::work_class work);

    /// Records a failed attempt. The target may be avoided for a while; see
    /// routing::target_health.
    void record_failure(routing::target_failure reason);

    /// Records that another entry has lost requests at the target.
    void record_peer_loss();

    /// Records a successful attempt. The target is no longer avoided.
    void record_success();

    /// Hooks of the process, called by the attempts at the target.
    const target_hooks& hooks() const
    {
        return hooks_;
    }

    /// Load and health of the target, from which routing chooses.
    routing::target_load load;

private:
    void log_pause(std::string_view reason, common::time_point now) const;

    /// Makes a new connection.
    void
    connect(std::function<void(std::error_code, http::client_connection_ptr)>
                handler);

    boost::asio::io_context& context_;
    const target_hooks& hooks_;
    std::string id_;
    std::uint32_t key_;
    fleet::target_announcement announcement_;
    bool in_use_ = true;
    std::uint64_t connections_made_ = 0;

    /// In the order in which they became idle.
    std::vector<http::client_connection_ptr> idle_connections_;
};

using target_ptr = boost::intrusive_ptr<target>;

} // namespace tanagertrack::targets

#endif
