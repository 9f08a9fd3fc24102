#ifndef TANAGERTRACK_STATE_PARTITION_STATE_HPP
#define TANAGERTRACK_STATE_PARTITION_STATE_HPP

#include "proto/records.pb.h"
#include "state/job.hpp"
#include "state/partition_hooks.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::state
{

/// Bounds of a partition's state. They take part in verdicts and therefore
/// have to be the same in all readers of a stream; the lower bounds of a
/// deployment (`batch.max_jobs`, `batch.max_items`) are enforced by the
/// holder before it appends.
struct partition_limits
{
    /// Accepted jobs that are not forgotten. A commit beyond is refused.
    std::size_t max_jobs = 65536;

    /// Items of one job. A commit beyond is refused.
    std::uint32_t max_items_per_job = 1000000;

    /// Online calls with an intent. An intent beyond is refused.
    std::size_t max_calls = 65536;

    /// Intakes without a commit. The oldest is dropped for a new one.
    std::size_t max_intakes = 1024;

    /// Chunks of one intake. An intake beyond is dropped.
    std::size_t max_chunks_per_intake = 65536;

    /// Ids of forgotten jobs. The oldest is dropped for a new one.
    std::size_t max_forgotten = 65536;
};

/// What became of a record.
enum class record_verdict : std::uint8_t
{
    /// Valid: the entries had their effects.
    valid,

    /// Void: the claim in the record is not current or is released, the
    /// writer is not the claim's, or, for a claim, it replaces another claim
    /// than the current one.
    void_claim,

    /// Void: the sequence number is not above the last valid one, as in a
    /// resend.
    void_sequence,

    /// Void: no entries, too many, a claim or checkpoint that is not alone in
    /// its record, or a claim in a record with a claim offset.
    malformed,

    /// The offset was applied before.
    repeated,

    /// The state is not live: the record could not be judged.
    skipped
};

/// A call that may not be repeated and has a valid intent.
struct call_info
{
    std::string content_hash;

    /// Place of the first outcome; offset 0: none, the call may have run.
    entry_location outcome;
};

/// State of one partition: the fold of its `batch-<p>` stream. A function of
/// the records alone, so that all readers agree after the same prefix. Pure;
/// one thread.
///
/// Rules, in log order:
/// - A claim is the only entry of a record with claim offset 0. It is valid
///   if `replaces` is the offset of the current claim (0: none); a released
///   claim stays current until it is replaced. A claim with `first_kept` is
///   also valid if the last complete checkpoint, or else the stream's start,
///   lies before `first_kept`: the state could not be read from the log any
///   more and starts empty; a reader may start at such a claim. A new claim
///   drops intakes without a commit. The sequence of a claim's record doesn't
///   matter; records under the claim count from 1.
/// - Any other record is valid if its claim offset is the current claim's,
///   that claim is not released, its writer is the claim's writer, and its
///   sequence is above the last valid one of the claim. A void record has no
///   effect at all. A valid record with an entry that has no effect (listed
///   below) is still valid.
/// - job_chunk: kept until the intake's job_commit. With `moved`, it replaces
///   the place of the chunk with exactly the same items of an accepted job,
///   and has no effect if there is none.
/// - job_commit: see `commit_refusal`. A job that is already accepted keeps
///   its state, a cancelled one stays cancelled. The intake is dropped.
/// - item_results: the first completion of an item counts, also in a
///   cancelled job: it did finish. Results of unknown jobs, of items out of
///   range and with the status pending have no effect. With `moved`, the
///   place of the result of a finished item with the same status is replaced.
/// - job_cancel: no effect on unknown jobs. Accepted intents stay.
/// - intent and outcome: see `intent_verdict`. An outcome without an intent
///   has no effect; the first outcome counts; with `moved`, its place is
///   replaced.
/// - job_forget: frees the job, whose id stays known; or, if `job_id` is the
///   id of a call, frees the call, whose id doesn't.
/// - checkpoint: the only entry of its record. Parts 0 to n follow each other
///   without another valid record between them; otherwise the checkpoint
///   doesn't count. It has no effect on a live state except that
///   `checkpoint_offset()` becomes the offset of part 0.
///
/// Starting in the middle of a stream: a state that was reset to an offset
/// above 1, or finds a gap before a record, is not live and judges nothing
/// until it has read either a claim with `first_kept` or a complete
/// checkpoint. The claim offset, writer, sequence and holder in the
/// checkpoint's records then define the current claim. A checkpoint is only
/// adopted under a claim that is not known to be replaced: not below a claim
/// offset in a record seen since the reset, nor at or below a claim that a
/// claim seen since replaces. Start at the `checkpoint_offset` in the
/// heartbeat with the highest claim: that checkpoint is valid. Without any
/// heartbeat, start at the first offset that is kept: the checkpoint of a
/// paused holder can then be taken for valid if the claim that replaced it
/// has expired; a record under a claim that the adopted one can't have
/// preceded shows this, and the state is dropped and waits again. Likewise
/// the resent copy of a checkpoint, or of a claim with `first_kept`, whose
/// first copy has expired is taken for the first.
class partition_state
{
public:
    explicit partition_state(partition_limits limits = {});

    /// Drops everything and expects the record at `next_offset` (at least 1)
    /// next. Live at once only for 1.
    void reset(std::uint64_t next_offset);

    /// Applies the record at `offset`. Offsets below `next_offset()` are
    /// ignored; an offset above it is a gap: as `reset(offset)` before it.
    record_verdict apply(std::uint64_t offset,
                         const proto::PartitionRecord& record,
                         const partition_hooks& hooks = {});

    /// Whether the state follows from the whole history.
    bool live() const;

    /// Offset of the record to apply next.
    std::uint64_t next_offset() const;

    /// Current claim, also a released one; offset 0: none, or not live.
    const claim_info& claim() const;

    /// Last valid sequence number of the current claim; 0: none yet.
    std::uint64_t last_sequence() const;

    /// Where a reader may start: offset of the first part of the last complete
    /// checkpoint, or of a later claim that started empty; 0: offset 1.
    std::uint64_t checkpoint_offset() const;

    /// Accepted job, or null. Valid until the job is forgotten or the state
    /// is reset.
    const job* find_job(std::string_view id) const;

    /// Whether the id is that of a forgotten job that is still known.
    bool is_forgotten(std::string_view id) const;

    /// Call with an intent, or null. Valid until the next `apply`.
    const call_info* find_call(std::string_view id) const;

    /// Calls `visit` for each job, ascending by id.
    void for_each_job(const std::function<void(const job&)>& visit) const;

    /// Calls `visit` for each call, ascending by id.
    void for_each_call(
        const std::function<void(const std::string& id, const call_info&)>&
            visit) const;

    std::size_t job_count() const;
    std::size_t call_count() const;
    std::size_t intake_count() const;

    /// Sum over all jobs. Takes time linear in their number.
    item_counts counts() const;

    /// Lowest offset that holds a body, result or outcome of live state; the
    /// holder appends what is there again (`moved`) before it expires. 0: no
    /// offset is needed. With `pending_bodies_only`, bodies of finished items
    /// don't count. Takes time linear in the number of items.
    std::uint64_t oldest_needed_offset(bool pending_bodies_only) const;

    /// The live state as parts of a checkpoint, each of at most about
    /// `max_part_bytes` (at least 512), to be appended as consecutive
    /// records with nothing between them. Make it when every own append was
    /// read back: a record that is read later would be missing in it.
    std::vector<proto::Checkpoint>
    make_checkpoint(std::size_t max_part_bytes) const;

    /// Hash of everything that takes part in verdicts; equal states of two
    /// readers have equal fingerprints. Takes time linear in the items.
    std::string fingerprint() const;

    /// Bytes of memory held, an estimate.
    std::size_t memory_bytes() const;

private:
    /// Chunks of a job that is not committed yet.
    struct intake
    {
        std::string job_id;
        std::string nonce;
        std::vector<chunk_location> chunks;
    };

    /// Parts of a checkpoint read so far.
    struct checkpoint_progress
    {
        std::uint64_t first_offset = 0;
        std::uint32_t next_part = 0;
    };

    /// 128-bit hash of a job id; a std::string would take its own allocation.
    using id_hash = std::array<char, 16>;
    using job_map = std::map<std::string, job, std::less<>>;
    using call_map = std::map<std::string, call_info, std::less<>>;

    void clear();
    static bool is_malformed(const proto::PartitionRecord& record);
    record_verdict judge(const proto::PartitionRecord& record) const;
    bool shows_replaced_adoption(std::uint64_t claim_offset) const;
    record_verdict apply_claim(std::uint64_t offset,
                               const proto::PartitionRecord& record,
                               const partition_hooks& hooks);
    bool is_valid_claim(const proto::Claim& claim) const;
    record_verdict apply_start(std::uint64_t offset,
                               const proto::PartitionRecord& record,
                               const partition_hooks& hooks);
    record_verdict load_record(std::uint64_t offset,
                               const proto::PartitionRecord& record,
                               const partition_hooks& hooks);
    void apply_entry(entry_location place, const proto::PartitionEntry& entry,
                     const partition_hooks& hooks);
    void apply_chunk(entry_location place, const proto::JobChunk& chunk);
    void apply_commit(std::uint64_t offset, const proto::JobCommit& commit,
                      const partition_hooks& hooks);
    std::optional<commit_refusal>
    judge_commit(const proto::JobCommit& commit,
                 const std::vector<chunk_location>& chunks) const;
    void apply_results(entry_location place, const proto::ItemResults& results,
                       const partition_hooks& hooks);
    void apply_cancel(const std::string& id, const partition_hooks& hooks);
    void apply_forget(const std::string& id, const partition_hooks& hooks);
    intent_verdict apply_intent(const proto::Intent& intent);
    intent_verdict apply_item_intent(const proto::Intent& intent);
    intent_verdict apply_call_intent(const proto::Intent& intent);
    void apply_outcome(entry_location place, const proto::Outcome& outcome,
                       const partition_hooks& hooks);
    void follow_checkpoint(std::uint64_t offset, const proto::Checkpoint& part,
                           const partition_hooks& hooks);
    bool is_loaded() const;
    bool load_part(const proto::Checkpoint& part);
    bool load_job(const proto::JobIndex& index);
    bool load_items(const proto::JobIndex& index, job& owner);
    void load_intake(const proto::IntakeIndex& index);
    static id_hash hash_id(std::string_view id);
    void add_forgotten(id_hash hash);
    std::list<intake>::iterator find_intake(std::string_view job_id,
                                            std::string_view nonce);

    partition_limits limits_;
    std::uint64_t next_offset_ = 1;
    bool live_ = true;

    /// Claim and offset of the checkpoint from which the state was loaded;
    /// 0 for a state that was never loaded.
    std::uint64_t adopted_claim_ = 0;
    std::uint64_t adopted_at_ = 0;

    /// While not live: records with a lower claim offset are void.
    std::uint64_t newest_claim_ = 0;
    claim_info claim_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t checkpoint_offset_ = 0;
    std::optional<checkpoint_progress> checkpoint_;
    job_map jobs_;
    call_map calls_;
    std::list<intake> intakes_;
    std::deque<id_hash> forgotten_;
};

} // namespace tanagertrack::state

#endif
