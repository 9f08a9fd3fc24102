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

/// Requests of one entry on one target.
struct target_use
{
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
};

/// Short name of a service in messages.
std::uint32_t service_key(std::string_view service);

/// What the other entries told of their load. Pure: time is an argument. One
/// thread.
class peer_loads
{
public:
    /// Time without a message after which an entry counts as gone.
    static constexpr std::chrono::milliseconds lifetime{1500};

    /// Takes a message; false for one that is older than the last.
    bool apply_message(const peers::LoadMessage& message,
                       common::time_point now);

    /// Drops entries that are silent for too long. True: there were some.
    bool expire(common::time_point now);

    /// Drops an entry.
    void remove(std::string_view member);

    /// Use of a target by all other entries together.
    target_use use_of(std::uint32_t target) const;

    /// Batch items on the target that other entries take back before `self`
    /// does. All entries compute the same order.
    std::uint32_t items_preempted_first(std::uint32_t target,
                                        std::string_view self) const;

    /// Waiting items of other entries that get a place of a service before an
    /// item of `self` does.
    std::uint32_t items_ahead(std::string_view service,
                              const routing::urgency_key& urgency,
                              std::string_view self) const;

    /// Entries with waiting items whose turn on a service is before that of
    /// `self`, whatever the urgency (baseline).
    std::uint32_t entries_ahead(std::string_view service,
                                std::string_view self) const;

    /// When the store last answered an entry; nothing for one that is not
    /// heard.
    std::optional<common::time_point>
    store_contact(std::string_view member) const;

    /// When the store last answered any other entry.
    std::optional<common::time_point> last_store_contact() const;

    /// Entries that are heard.
    std::size_t size() const
    {
        return members_.size();
    }

private:
    /// Items of one urgency that wait for a place of a service.
    struct waiting_group
    {
        std::uint32_t service = 0;
        routing::urgency_key urgency;
        std::uint32_t count = 0;
    };

    struct member_state
    {
        std::uint64_t sequence = 0;
        common::time_point heard;
        std::map<std::uint32_t, target_use> uses;
        std::vector<waiting_group> waiting;
        common::time_point store_contact;
    };

    /// Forgets the uses of a member.
    void drop_uses(member_state& from);

    static std::uint64_t rank(std::uint32_t target, std::string_view member);

    std::map<std::string, member_state, std::less<>> members_;

    /// Uses of all members together, by target.
    std::map<std::uint32_t, target_use> sums_;
};

} // namespace tanagertrack::peers

#endif
