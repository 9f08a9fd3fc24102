#include "state/holder_table.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace tanagertrack::state
{

namespace
{

/// Bytes of a map node beside key and value, an estimate.
constexpr std::size_t map_node_bytes = 32;

bool names_partition(const proto::Heartbeat& beat, std::size_t partition)
{
    return std::ranges::any_of(beat.partitions(),
                               [partition](const proto::HeldPartition& it)
                               { return it.partition() == partition; });
}

} // namespace

holder_table::holder_table(std::uint32_t partitions, common::time_point now,
                           std::size_t max_entries)
    : holders_(partitions), max_entries_(max_entries)
{
    BOOST_ASSERT(max_entries > 0);
    for (auto& it : holders_)
        it.last_seen = now;
}

void holder_table::apply(const proto::ControlRecord& record,
                         common::time_point now)
{
    const auto& beat = record.heartbeat();
    if (beat.entry().empty())
        return;
    apply_entry(beat, now);
    apply_released(beat);
    for (const auto& held : beat.partitions())
        apply_held(beat, held, now);
}

std::uint32_t holder_table::partitions() const
{
    return static_cast<std::uint32_t>(holders_.size());
}

const holder_info& holder_table::holder(std::uint32_t partition) const
{
    BOOST_ASSERT(partition < holders_.size());
    return holders_[partition];
}

const std::map<std::string, entry_info, std::less<>>&
holder_table::entries() const
{
    return entries_;
}

bool holder_table::is_held(std::uint32_t partition, common::time_point now,
                           common::duration lease_duration) const
{
    const auto& found = holder(partition);
    return !found.entry.empty() && !is_due(found, now, lease_duration);
}

std::vector<std::uint32_t>
holder_table::due_for_takeover(common::time_point now,
                               common::duration lease_duration) const
{
    std::vector<std::uint32_t> due;
    for (std::uint32_t i = 0; i < holders_.size(); ++i)
    {
        if (is_due(holders_[i], now, lease_duration))
            due.push_back(i);
    }
    return due;
}

std::size_t holder_table::live_entries(common::time_point now,
                                       common::duration lease_duration) const
{
    const auto count = std::ranges::count_if(
        entries_,
        [=](const entry_info& it)
        { return !it.leaving && now - it.last_seen < lease_duration; },
        [](const auto& it) -> const entry_info& { return it.second; });
    return static_cast<std::size_t>(count);
}

std::size_t holder_table::fair_share(common::time_point now,
                                     common::duration lease_duration) const
{
    const auto live =
        std::max<std::size_t>(1, live_entries(now, lease_duration));
    return (holders_.size() + live - 1) / live;
}

std::size_t holder_table::memory_bytes() const
{
    auto bytes = sizeof(*this) + holders_.capacity() * sizeof(holder_info);
    for (const auto& it : holders_)
        bytes += it.entry.capacity() + it.address.address.capacity();
    for (const auto& [id, it] : entries_)
        bytes += map_node_bytes + sizeof(id) + sizeof(it) + id.capacity() +
                 it.address.address.capacity();
    return bytes;
}

void holder_table::apply_entry(const proto::Heartbeat& beat,
                               common::time_point now)
{
    const auto found = entries_.find(beat.entry());
    if (found == entries_.end() && entries_.size() >= max_entries_)
        entries_.erase(std::ranges::min_element(
            entries_, {}, [](const auto& it) { return it.second.last_seen; }));
    // A resend: it says nothing new about the entry. A lower beat comes from
    // a process that was started again.
    if (found != entries_.end() && found->second.beat == beat.beat())
        return;
    entries_[beat.entry()] = {
        {beat.address(), static_cast<std::uint16_t>(beat.port())},
        beat.beat(),
        now,
        beat.leaving(),
        static_cast<std::size_t>(beat.partitions_size())};
}

void holder_table::apply_held(const proto::Heartbeat& beat,
                              const proto::HeldPartition& held,
                              common::time_point now)
{
    if (held.partition() >= holders_.size() || held.claim_offset() == 0)
        return;
    auto& known = holders_[held.partition()];
    if (held.claim_offset() < known.claim_offset)
        return;
    if (held.claim_offset() == known.claim_offset && beat.beat() <= known.beat)
        return;
    known.entry = beat.entry();
    known.address = {beat.address(), static_cast<std::uint16_t>(beat.port())};
    known.claim_offset = held.claim_offset();
    known.checkpoint_offset = held.checkpoint_offset();
    known.beat = beat.beat();
    known.last_seen = now;
    known.released = false;
}

void holder_table::apply_released(const proto::Heartbeat& beat)
{
    for (std::size_t i = 0; i < holders_.size(); ++i)
    {
        auto& known = holders_[i];
        if (known.entry != beat.entry() || names_partition(beat, i))
            continue;
        // A lower beat is either a resend from before the claim, which says
        // nothing, or comes from a restarted process, whose old claims run
        // out with their lease.
        if (beat.beat() > known.beat)
            known.released = true;
    }
}

bool holder_table::is_due(const holder_info& holder, common::time_point now,
                          common::duration lease_duration) const
{
    return holder.released || now - holder.last_seen >= lease_duration;
}

} // namespace tanagertrack::state
