#ifndef TANAGERTRACK_STATE_HOLDER_TABLE_HPP
#define TANAGERTRACK_STATE_HOLDER_TABLE_HPP

#include "common/clock.hpp"
#include "common/endpoint.hpp"
#include "proto/records.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::state
{

/// Last known holder of a partition.
struct holder_info
{
    /// Entry id; empty: none seen yet.
    std::string entry;

    /// The entry's internal listener.
    common::endpoint address;
    std::uint64_t claim_offset = 0;

    /// Where a reader of the partition may start; 0: at its first record.
    std::uint64_t checkpoint_offset = 0;

    /// Number of the heartbeat.
    std::uint64_t beat = 0;

    /// Local time at which the last heartbeat for the partition was read.
    common::time_point last_seen;

    /// Whether the entry stopped naming the partition in its heartbeats: it
    /// released the partition or lost it.
    bool released = false;
};

/// An entry that was seen in `control`.
struct entry_info
{
    common::endpoint address;
    std::uint64_t beat = 0;
    common::time_point last_seen;

    /// Whether the entry is stopping.
    bool leaving = false;

    /// Partitions named in the last heartbeat.
    std::size_t held = 0;
};

/// Holders of all partitions: the fold of `control` with the local time at
/// which each record was read. Decides only when a takeover is tried and
/// where calls are forwarded; who holds a partition is decided in its own
/// stream. Pure; one thread.
class holder_table
{
public:
    /// `now` is the time from which partitions without a heartbeat count.
    /// Keeps at most `max_entries` entries (the one not seen for longest is
    /// dropped).
    holder_table(std::uint32_t partitions, common::time_point now,
                 std::size_t max_entries = 4096);

    /// Applies a record read at `now`. For a partition, a heartbeat with a
    /// lower claim offset than known is ignored, and one with the same claim
    /// offset and no higher beat is a resend and is ignored. An entry that
    /// was the holder and no longer names the partition in a later heartbeat
    /// has released it.
    void apply(const proto::ControlRecord& record, common::time_point now);

    std::uint32_t partitions() const;

    /// Holder of `partition` (below `partitions()`).
    const holder_info& holder(std::uint32_t partition) const;

    /// Entries seen, by id.
    const std::map<std::string, entry_info, std::less<>>& entries() const;

    /// Whether calls for `partition` can be forwarded to `holder`: it is
    /// known, not released and was seen within `lease_duration`.
    bool is_held(std::uint32_t partition, common::time_point now,
                 common::duration lease_duration) const;

    /// Partitions that an entry may try to claim, ascending: released ones,
    /// and those without a heartbeat for `lease_duration`. The caller adds
    /// its random delay.
    std::vector<std::uint32_t>
    due_for_takeover(common::time_point now,
                     common::duration lease_duration) const;

    /// Entries seen within `lease_duration` that are not leaving.
    std::size_t live_entries(common::time_point now,
                             common::duration lease_duration) const;

    /// Partitions that each live entry should hold at most: their number by
    /// that of the live entries, rounded up.
    std::size_t fair_share(common::time_point now,
                           common::duration lease_duration) const;

    /// Bytes of memory held, an estimate.
    std::size_t memory_bytes() const;

private:
    void apply_entry(const proto::Heartbeat& beat, common::time_point now);
    void apply_held(const proto::Heartbeat& beat,
                    const proto::HeldPartition& held, common::time_point now);
    void apply_released(const proto::Heartbeat& beat);
    bool is_due(const holder_info& holder, common::time_point now,
                common::duration lease_duration) const;

    std::vector<holder_info> holders_;
    std::map<std::string, entry_info, std::less<>> entries_;
    std::size_t max_entries_;
};

} // namespace tanagertrack::state

#endif
