#ifndef TANAGERTRACK_ENTRY_CONFIG_VIEW_HPP
#define TANAGERTRACK_ENTRY_CONFIG_VIEW_HPP

#include "proto/records.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace tanagertrack::entry
{

/// The fleet configuration in force in this process. Any thread. The version
/// never goes back.
class config_view
{
public:
    using snapshot = std::shared_ptr<const proto::FleetConfig>;

    /// Current configuration; null before the first one.
    snapshot current() const;

    /// Takes a newer configuration and calls the hooks on the caller's
    /// thread. Returns false, and changes nothing, when the version is not
    /// above the current one.
    bool publish(snapshot config);

    /// Adds a hook that is called with each new configuration. Call before
    /// the first `publish`.
    void on_change(std::function<void(const snapshot&)> hook);

private:
    mutable std::mutex mutex_;
    snapshot current_;
    std::vector<std::function<void(const snapshot&)>> hooks_;
};

} // namespace tanagertrack::entry

#endif
