#ifndef TANAGERTRACK_FLEET_TARGET_DIRECTORY_HPP
#define TANAGERTRACK_FLEET_TARGET_DIRECTORY_HPP

#include "common/clock.hpp"
#include "common/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::fleet
{

/// Description of a target, as published by the target itself.
struct target_announcement
{
    /// Names of the services whose requests the target runs.
    std::vector<std::string> services;
    common::endpoint address;
    std::string data_centre;

    /// Maximum number of requests that the target runs concurrently.
    std::uint32_t slots = 1;

    /// True if the target accepts no new requests.
    bool leaving = false;

    /// Announcements of a target are ordered by the Unix time of its start in
    /// milliseconds, then by a number that increases with each announcement.
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;

    /// Returns true if this announcement was made after `other`.
    bool is_newer_than(const target_announcement& other) const
    {
        return started_ms != other.started_ms ? started_ms > other.started_ms
                                              : sequence > other.sequence;
    }
};

/// Reason why a target is no longer used.
enum class departure_reason : std::uint8_t
{
    /// The target announced that it is leaving.
    leaving,

    /// Its key was removed from the store.
    removed,

    /// Its key lapsed while the store was unreachable, and the target has not
    /// written it again.
    lapsed,

    /// Its announcement can't be parsed.
    replaced
};

/// Returns the name of the enumerator.
std::string_view to_string(departure_reason value);

/// Determines which targets may be used, from the announcements that targets
/// keep under their keys in the platform's store. Has no clock of its own: the
/// current time is passed in. Not thread-safe.
///
/// Rules:
/// - An announcement that is not newer than the last one of its key is ignored,
///   also after the key was removed: it is a delayed write.
/// - A target departs as soon as its key is removed, unless the store is
///   unreachable or was so until shortly before: keys lapse while targets can't
///   renew them. In that case the target stays in use until `lapse_grace` after
///   the store became reachable again.
class target_directory
{
public:
    /// Time after an outage of the store in which targets write their lapsed
    /// keys again. The users state two seconds; targets write every 1.2 s.
    static constexpr std::chrono::milliseconds lapse_grace{2300};

    /// Hooks that are called for each change; the string is the target's key.
    struct hooks
    {
        /// Called when a target becomes usable or its announcement changes.
        std::function<void(const std::string&, const target_announcement&)>
            on_available;

        /// Called when a target must not get new requests any more.
        std::function<void(const std::string&, departure_reason)> on_departed;
    };

    explicit target_directory(hooks listeners);

    /// Applies the newest announcement of a key. `value` is std::nullopt if the
    /// announcement can't be parsed. An announcement whose `started_ms` and
    /// `sequence` are both 0 is ignored.
    void announce(const std::string& key,
                  const std::optional<target_announcement>& value);

    /// Applies that a target has said itself that it is leaving. Announcements
    /// that it made since the same start no longer make it usable: the store
    /// may still list it as ready.
    void report_leaving(const std::string& key);

    /// Applies the removal of a key.
    void remove(const std::string& key, common::time_point now);

    /// Removes all targets in use for whose key `exists` returns false.
    void retain(const std::function<bool(const std::string&)>& exists,
                common::time_point now);

    /// Records whether the last read of the store succeeded.
    void set_store_reachable(bool reachable, common::time_point now);

    /// Ends the use of lapsed targets once the grace period has passed.
    void expire(common::time_point now);

    /// Returns the number of targets in use.
    std::size_t size() const;

private:
    struct entry
    {
        /// Newest announcement received; kept after a removal.
        target_announcement last;
        bool in_use = false;

        /// True if the target has said itself that it is leaving.
        bool said_leaving = false;

        /// True if the key was removed while the target stays in use for the
        /// grace period.
        bool lapsed = false;
    };

    /// Resets `lapsed`. If the target is in use, ends its use and calls the
    /// hook.
    void mark_departed(const std::string& key, entry& target,
                       departure_reason reason);

    /// Returns true until `lapse_grace` has passed since the last outage.
    bool is_within_grace(common::time_point now) const;

    hooks hooks_;
    std::map<std::string, entry> entries_;
    bool store_unreachable_ = false;

    /// End of the last outage of the store; std::nullopt before the first one.
    std::optional<common::time_point> outage_ended_;
};

} // namespace tanagertrack::fleet

#endif
