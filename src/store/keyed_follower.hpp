#ifndef TANAGERTRACK_STORE_KEYED_FOLLOWER_HPP
#define TANAGERTRACK_STORE_KEYED_FOLLOWER_HPP

#include "store/partition_follower.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::store
{

/// What a follower of a keyed topic tells.
struct keyed_hooks
{
    /// The newest value of a key; nothing: the key was removed.
    std::function<void(const std::string& key,
                       std::optional<std::string_view> value)>
        on_value;

    /// All keys that exist, after their values were told: at the start, and
    /// again after a gap in the history.
    std::function<void(const std::vector<std::string>& keys)> on_list;
    std::function<void(bool reachable)> on_reachable;
};

/// Follows a partition of a keyed topic: the newest record of each key, then
/// the changes. One thread.
class keyed_follower : public std::enable_shared_from_this<keyed_follower>
{
public:
    keyed_follower(boost::asio::io_context& context, store_service service,
                   partition_ref what, const follower_settings& settings,
                   keyed_hooks hooks);

    /// Starts to follow.
    void start();

    /// Stops; no hook is called afterwards.
    void stop();

private:
    void load();
    void take_list(const newest_result& result);
    void take_records(std::span<const std::string> records);
    void tell_reachable(bool reachable);

    boost::asio::io_context& context_;
    store_service service_;
    partition_ref what_;
    follower_settings settings_;
    keyed_hooks hooks_;
    common::backoff backoff_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<partition_follower> changes_;
    bool running_ = false;
    bool reachable_ = true;
};

} // namespace tanagertrack::store

#endif
