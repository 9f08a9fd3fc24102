#ifndef TANAGERTRACK_STATE_JOB_HPP
#define TANAGERTRACK_STATE_JOB_HPP

#include "proto/records.pb.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace tanagertrack::state
{

/// Place of an entry in a stream.
struct entry_location
{
    /// Offset of the record; 0: no place.
    std::uint64_t offset = 0;

    /// Index of the entry in its record, below `max_entries_per_record`.
    std::uint32_t entry = 0;

    auto operator<=>(const entry_location&) const = default;
};

/// Entries that a valid record has at most. A location packs the index of an
/// entry into 16 bits.
constexpr std::size_t max_entries_per_record = 65536;

/// Place of the bodies of consecutive items.
struct chunk_location
{
    entry_location place;
    std::uint32_t first_item = 0;
    std::uint32_t item_count = 0;

    auto operator<=>(const chunk_location&) const = default;
};

/// Number of a job's items in each status.
struct item_counts
{
    std::uint32_t pending = 0;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    std::uint32_t unknown = 0;
    std::uint32_t cancelled = 0;

    bool operator==(const item_counts&) const = default;
};

/// Index of one accepted job: one status byte and one packed result location
/// (8 bytes) for each item, and the locations of the bodies. One thread.
class job
{
public:
    /// `chunks` cover the items 0 to commit.item_count() - 1, ascending; while
    /// a checkpoint is loaded, `add_chunk` adds them later.
    /// `accepted_offset` is the offset of the job_commit.
    job(proto::JobCommit commit, std::uint64_t accepted_offset,
        std::vector<chunk_location> chunks);

    const proto::JobCommit& commit() const;
    const std::string& id() const;

    /// Number of items, at least 1.
    std::uint32_t item_count() const;

    /// Offset of the job_commit that made the job accepted. Orders jobs.
    std::uint64_t accepted_offset() const;

    bool cancelled() const;

    /// Locations of the bodies, ascending by first item.
    std::span<const chunk_location> chunks() const;

    /// Chunk that holds the body of `item` (below `item_count()`).
    const chunk_location& chunk_of(std::uint32_t item) const;

    /// Status of `item` (below `item_count()`).
    proto::ItemStatus status(std::uint32_t item) const;

    /// Whether an intent for `item` is recorded: it may have been dispatched
    /// and is never dispatched again if it may not be repeated.
    bool has_intent(std::uint32_t item) const;

    /// Place of the item_results entry with the result of `item`; offset 0
    /// while the item is pending.
    entry_location result(std::uint32_t item) const;

    const item_counts& counts() const;

    /// First pending item at or after `from`; nothing when there is none.
    std::optional<std::uint32_t> next_pending(std::uint32_t from = 0) const;

    /// Lowest offset among the results and chunks of the job; with
    /// `pending_bodies_only`, chunks without a pending item don't count. 0
    /// when nothing is needed.
    std::uint64_t oldest_needed_offset(bool pending_bodies_only) const;

    /// Bytes of memory held, an estimate.
    std::size_t memory_bytes() const;

    // Changes, for partition_state and its checkpoints.

    /// Marks the job as cancelled.
    void cancel();

    /// Adds the chunk after the last one. Returns false, and changes nothing,
    /// when its items don't follow directly or are more than the job has.
    bool add_chunk(const chunk_location& chunk);

    /// Whether the chunks cover all items.
    bool is_covered() const;

    /// Records the completion of a pending item. `status` is not pending.
    void complete(std::uint32_t item, proto::ItemStatus status,
                  entry_location place);

    /// Takes a new place of the result of a finished item.
    void move_result(std::uint32_t item, entry_location place);

    /// Takes a new place of the chunk with exactly these items. Returns false
    /// when the job has no such chunk.
    bool move_chunk(const chunk_location& chunk);

    /// Records the intent for an item.
    void set_intent(std::uint32_t item);

private:
    bool has_pending(const chunk_location& chunk) const;

    proto::JobCommit commit_;
    std::uint64_t accepted_offset_;
    bool cancelled_ = false;
    item_counts counts_;
    std::vector<chunk_location> chunks_;
    std::vector<std::uint8_t> bytes_;
    std::vector<std::uint64_t> results_;
};

} // namespace tanagertrack::state

#endif
