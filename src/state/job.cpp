#include "state/job.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace tanagertrack::state
{

namespace
{

/// Layout of an item's byte: status in the low bits, then the intent flag.
constexpr std::uint8_t status_mask = 0x07;
constexpr std::uint8_t intent_flag = 0x08;

/// Bits of a packed location that hold the entry's index.
constexpr unsigned entry_bits = 16;

/// Bytes of the commit's five texts beside their characters, an estimate.
constexpr std::size_t commit_overhead_bytes = 5 * 64;

std::uint64_t pack(entry_location place)
{
    BOOST_ASSERT(place.entry < max_entries_per_record);
    return place.offset << entry_bits | place.entry;
}

entry_location unpack(std::uint64_t packed)
{
    return {packed >> entry_bits,
            static_cast<std::uint32_t>(packed & (max_entries_per_record - 1))};
}

std::uint32_t& count_of(item_counts& counts, proto::ItemStatus status)
{
    switch (status)
    {
    case proto::ITEM_SUCCEEDED:
        return counts.succeeded;
    case proto::ITEM_FAILED:
        return counts.failed;
    case proto::ITEM_UNKNOWN:
        return counts.unknown;
    case proto::ITEM_CANCELLED:
        return counts.cancelled;
    default:
        return counts.pending;
    }
}

/// The lower of two offsets, of which 0 means none.
std::uint64_t lower_offset(std::uint64_t a, std::uint64_t b)
{
    if (a == 0 || b == 0)
        return std::max(a, b);
    return std::min(a, b);
}

} // namespace

job::job(proto::JobCommit commit, std::uint64_t accepted_offset,
         std::vector<chunk_location> chunks)
    : commit_(std::move(commit)), accepted_offset_(accepted_offset),
      chunks_(std::move(chunks)), bytes_(commit_.item_count()),
      results_(commit_.item_count())
{
    counts_.pending = commit_.item_count();
    chunks_.shrink_to_fit();
}

const proto::JobCommit& job::commit() const
{
    return commit_;
}

const std::string& job::id() const
{
    return commit_.job_id();
}

std::uint32_t job::item_count() const
{
    return commit_.item_count();
}

std::uint64_t job::accepted_offset() const
{
    return accepted_offset_;
}

bool job::cancelled() const
{
    return cancelled_;
}

std::span<const chunk_location> job::chunks() const
{
    return chunks_;
}

const chunk_location& job::chunk_of(std::uint32_t item) const
{
    BOOST_ASSERT(item < item_count());
    const auto next = std::ranges::upper_bound(chunks_, item, {},
                                               &chunk_location::first_item);
    BOOST_ASSERT(next != chunks_.begin());
    return *std::prev(next);
}

proto::ItemStatus job::status(std::uint32_t item) const
{
    BOOST_ASSERT(item < item_count());
    return static_cast<proto::ItemStatus>(bytes_[item] & status_mask);
}

bool job::has_intent(std::uint32_t item) const
{
    BOOST_ASSERT(item < item_count());
    return (bytes_[item] & intent_flag) != 0;
}

entry_location job::result(std::uint32_t item) const
{
    BOOST_ASSERT(item < item_count());
    return unpack(results_[item]);
}

const item_counts& job::counts() const
{
    return counts_;
}

std::optional<std::uint32_t> job::next_pending(std::uint32_t from) const
{
    if (counts_.pending == 0)
        return std::nullopt;
    for (auto item = from; item < item_count(); ++item)
    {
        if (status(item) == proto::ITEM_PENDING)
            return item;
    }
    return std::nullopt;
}

std::uint64_t job::oldest_needed_offset(bool pending_bodies_only) const
{
    std::uint64_t oldest = 0;
    for (const auto packed : results_)
        oldest = lower_offset(oldest, unpack(packed).offset);
    for (const auto& chunk : chunks_)
    {
        if (!pending_bodies_only || has_pending(chunk))
            oldest = lower_offset(oldest, chunk.place.offset);
    }
    return oldest;
}

bool job::has_pending(const chunk_location& chunk) const
{
    const auto first = bytes_.begin() + chunk.first_item;
    return std::any_of(first, first + chunk.item_count,
                       [](std::uint8_t byte)
                       { return (byte & status_mask) == proto::ITEM_PENDING; });
}

std::size_t job::memory_bytes() const
{
    return sizeof(*this) + commit_overhead_bytes + commit_.job_id().capacity() +
           commit_.intake().capacity() + commit_.team().capacity() +
           commit_.idempotency_key().capacity() +
           commit_.content_hash().capacity() +
           chunks_.capacity() * sizeof(chunk_location) + bytes_.capacity() +
           results_.capacity() * sizeof(std::uint64_t);
}

void job::cancel()
{
    cancelled_ = true;
}

bool job::add_chunk(const chunk_location& chunk)
{
    const auto next =
        chunks_.empty() ? 0
                        : chunks_.back().first_item + chunks_.back().item_count;
    const auto room = item_count() - next;
    if (chunk.first_item != next || chunk.item_count == 0 ||
        chunk.item_count > room)
        return false;
    chunks_.push_back(chunk);
    return true;
}

bool job::is_covered() const
{
    return !chunks_.empty() &&
           chunks_.back().first_item + chunks_.back().item_count ==
               item_count();
}

void job::complete(std::uint32_t item, proto::ItemStatus status,
                   entry_location place)
{
    BOOST_ASSERT(this->status(item) == proto::ITEM_PENDING);
    BOOST_ASSERT(status != proto::ITEM_PENDING);
    bytes_[item] |= static_cast<std::uint8_t>(status);
    results_[item] = pack(place);
    --counts_.pending;
    ++count_of(counts_, status);
}

void job::move_result(std::uint32_t item, entry_location place)
{
    BOOST_ASSERT(status(item) != proto::ITEM_PENDING);
    results_[item] = pack(place);
}

bool job::move_chunk(const chunk_location& chunk)
{
    const auto found = std::ranges::lower_bound(chunks_, chunk.first_item, {},
                                                &chunk_location::first_item);
    if (found == chunks_.end() || found->first_item != chunk.first_item ||
        found->item_count != chunk.item_count)
        return false;
    found->place = chunk.place;
    return true;
}

void job::set_intent(std::uint32_t item)
{
    BOOST_ASSERT(item < item_count());
    bytes_[item] |= intent_flag;
}

} // namespace tanagertrack::state
