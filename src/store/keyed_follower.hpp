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

/// Hooks that a follower of a keyed topic calls.
struct keyed_hooks
{
    /// Receives the newest value of a key; std::nullopt if it was removed.
    std::function<void(const std::string& key,
                       std::optional<std::string_view> value)>
        on_value;

    /// Receives all existing keys after on_value was called for each of them:
    /// after the start, and again after a gap in the history. Keys that are
    /// missing from the list were removed.
    std::function<void(const std::vector<std::string>& keys)> on_list;

    /// Called with false when reads start to fail, and with true when they
    /// succeed again. Reads count as successful until the first one fails.
    std::function<void(bool reachable)> on_reachable;

    /// Called whenever all changes that were made before `read_start` were
    /// passed on. Optional.
    std::function<void(common::boot_clock::time_point read_start)> on_current;
};

/// Follows a partition of a keyed topic: loads the newest record of each key,
/// then reads the changes. If the store no longer retains the next change, it
/// loads all keys again.
///
/// Not thread-safe: all calls are made on the thread of the io_context, and the
/// hooks run on it.
class keyed_follower : public std::enable_shared_from_this<keyed_follower>
{
public:
    keyed_follower(boost::asio::io_context& context, store_service service,
                   partition_ref partition, const follower_settings& settings,
                   keyed_hooks hooks);

    /// Starts to load the keys; retries until the store answers.
    void start();

    /// Stops reading; no hook is called afterwards.
    void stop();

private:
    void load_keys();
    void handle_newest(const newest_result& result);
    void apply_records(std::span<const std::string> records);
    void set_reachable(bool reachable);

    boost::asio::io_context& context_;
    store_service service_;
    partition_ref partition_;
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
