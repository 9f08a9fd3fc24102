#ifndef TANAGERTRACK_TARGETS_TARGET_HPP
#define TANAGERTRACK_TARGETS_TARGET_HPP

#include "fleet/target_directory.hpp"
#include "http/client_connection.hpp"
#include "routing/target_load.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tanagertrack::targets
{

/// A connection that was handed out.
struct acquired_connection
{
    http::client_connection_ptr connection;

    /// It carried a request before.
    bool reused = false;
};

/// One target: its announcement, its load, and the connections to it that
/// rest between requests. One thread.
class target
    : public boost::intrusive_ref_counter<target, boost::thread_unsafe_counter>
{
public:
    /// `id` is the target's own name. `load_changed` is called whenever a
    /// request of this process starts or ends; it outlives the target.
    target(boost::asio::io_context& context, std::string id,
           fleet::target_announcement announced,
           const std::function<void()>& load_changed);

    target(const target&) = delete;
    target& operator=(const target&) = delete;

    const std::string& id() const
    {
        return id_;
    }

    /// Short name of the target between entries: a hash of its id.
    std::uint32_t key() const
    {
        return key_;
    }

    const fleet::target_announcement& announced() const
    {
        return announced_;
    }

    /// Takes a changed announcement with the same address.
    void set_announced(fleet::target_announcement value);

    /// Gives a connection that rested at most `max_idle_time`, or a new one.
    /// The handler may be called at once.
    void acquire_connection(
        std::chrono::milliseconds max_idle_time,
        const std::function<void(std::error_code, acquired_connection)>&
            handler);

    /// Takes a connection back. One that can't be used again is closed.
    void release_connection(const http::client_connection_ptr& connection);

    /// The target gets no new work; connections at rest are closed.
    void retire();

    /// Whether new work may be sent.
    bool in_use() const
    {
        return in_use_;
    }

    /// Connections that rest.
    std::size_t idle_connections() const
    {
        return resting_.size();
    }

    /// Connections made to the target.
    std::uint64_t connections_made() const
    {
        return connections_made_;
    }

    /// Counts a request of this process that starts, or one that ends.
    void add_request(routing::work_class work);
    void end_request(routing::work_class work);

    /// Takes the end of an attempt into account: a target that fails is
    /// avoided for a while, one that answers is not.
    void record_failure(routing::target_failure reason);
    void record_success();

    /// Load of the target.
    routing::target_load load;

private:
    boost::asio::io_context& context_;
    const std::function<void()>& load_changed_;
    std::string id_;
    std::uint32_t key_;
    fleet::target_announcement announced_;
    bool in_use_ = true;
    std::uint64_t connections_made_ = 0;
    std::vector<http::client_connection_ptr> resting_;
};

using target_ptr = boost::intrusive_ptr<target>;

} // namespace tanagertrack::targets

#endif
