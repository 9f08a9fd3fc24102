#ifndef TANAGERTRACK_PEERS_PEER_LOADS_HPP
#define TANAGERTRACK_PEERS_PEER_LOADS_HPP

#include "common/clock.hpp"
#include "proto/peers.pb.h"
#include "routing/urgency.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::peers
{

/// Number of requests on one target.
struct target_use
{
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
};

/// Returns the key of a service in messages: a hash of its name.
std::uint32_t service_key(std::string_view service);

/// Loads of the other entries, from the last message of each. Has no clock of
/// its own: the current time is passed in. Not thread-safe.
class peer_loads
{
public:
    /// An entry without a message for longer than this is assumed to have
    /// stopped.
    static constexpr std::chrono::milliseconds lifetime{1500};

    /// Replaces the state of an entry by that in its message. Returns false,
    /// and ignores the message, if it is not newer than the entry's last one.
    bool apply_message(const peers::LoadMessage& message,
                       common::time_point now);

    /// Returns the targets at which the sender of a message has lost requests
    /// since its last message. Call after `apply_message`.
    std::vector<std::uint32_t> find_new_losses(const LoadMessage& message);

    /// Removes entries without a message for longer than `lifetime`. Returns
    /// true if there were any.
    bool expire(common::time_point now);

    /// Removes an entry. Does nothing for an unknown one.
    void remove(std::string_view member);

    /// Returns the requests of all other entries on a target. `target` is a
    /// target's key.
    target_use use_of(std::uint32_t target) const;

    /// Returns the number of batch items on a target that other entries preempt
    /// before `self` preempts one. All entries compute the same order.
    std::uint32_t items_preempted_first(std::uint32_t target,
                                        std::string_view self) const;

    /// Returns the number of waiting items of other entries that get a slot of
    /// a service before an item of `self` with the given urgency.
    std::uint32_t items_ahead(std::string_view service,
                              const routing::urgency_key& urgency,
                              std::string_view self) const;

    /// Returns the number of entries with waiting items of a service that come
    /// before `self` in an order that ignores urgency. Serves as a baseline for
    /// comparison with `items_ahead`.
    std::uint32_t entries_ahead(std::string_view service,
                                std::string_view self) const;

    /// Returns the time of the last answer of the store to an entry;
    /// std::nullopt for an unknown entry.
    std::optional<common::time_point>
    store_contact(std::string_view member) const;

    /// Returns the time of the last answer of the store to any other entry;
    /// std::nullopt if there is none.
    std::optional<common::time_point> last_store_contact() const;

    /// Number of known entries.
    std::size_t size() const
    {
        return members_.size();
    }

private:
    /// Items of one urgency that wait for a slot of a service.
    struct waiting_group
    {
        /// Key of the service.
        std::uint32_t service = 0;
        routing::urgency_key urgency;
        std::uint32_t count = 0;
    };

    struct member_state
    {
        std::uint64_t sequence = 0;
        common::time_point last_message_at;

        /// Requests by target key.
        std::map<std::uint32_t, target_use> uses;
        std::vector<waiting_group> waiting;
        common::time_point store_contact;

        /// Losses since the start of the entry's process, by target key.
        std::map<std::uint32_t, std::uint32_t> losses;
    };

    /// Removes the requests of an entry, also from the totals.
    void remove_uses(member_state& state);

    /// Returns the rank of an entry for a target or service: a hash, so that
    /// all entries compute the same order and the order differs between keys.
    static std::uint64_t rank(std::uint32_t key, std::string_view member);

    std::map<std::string, member_state, std::less<>> members_;

    /// Requests of all other entries together, by target key.
    std::map<std::uint32_t, target_use> totals_;
};

} // namespace tanagertrack::peers

#endif
