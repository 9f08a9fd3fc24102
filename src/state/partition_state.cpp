#include "state/partition_state.hpp"

#include "common/hash.hpp"
#include "state/checkpoint_writer.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace tanagertrack::state
{

namespace
{

/// Part size with which a fingerprint is made; any fixed size will do.
constexpr std::size_t fingerprint_part_bytes = 1024 * 1024;

/// Bytes of a map node beside key and value, an estimate.
constexpr std::size_t map_node_bytes = 32 + sizeof(std::string);

/// Calls a hook if it is set.
template<typename Hook, typename... Arguments>
void notify(const Hook& hook, const Arguments&... arguments)
{
    if (hook)
        hook(arguments...);
}

const proto::Claim* find_claim(const proto::PartitionRecord& record)
{
    const auto& first = record.entries(0);
    return first.has_claim() ? &first.claim() : nullptr;
}

const proto::Checkpoint* find_checkpoint(const proto::PartitionRecord& record)
{
    const auto& first = record.entries(0);
    return first.has_checkpoint() ? &first.checkpoint() : nullptr;
}

chunk_location to_chunk(const proto::ChunkLocation& value)
{
    return {{value.offset(), value.entry()},
            value.first_item(),
            value.item_count()};
}

/// Whether sorted chunks cover the items 0 to count - 1 exactly.
bool covers(const std::vector<chunk_location>& chunks, std::uint32_t count)
{
    std::uint64_t next = 0;
    for (const auto& chunk : chunks)
    {
        if (chunk.first_item != next)
            return false;
        next += chunk.item_count;
    }
    return next == count;
}

/// Whether the claimant states that the state can't be read any more.
bool is_fresh_start(const proto::Claim& claim)
{
    // A log that still keeps offset 1 has the whole history.
    return claim.first_kept() > 1;
}

bool is_completion(proto::ItemStatus status)
{
    return status != proto::ITEM_PENDING && proto::ItemStatus_IsValid(status);
}

void add_counts(item_counts& sum, const item_counts& counts)
{
    sum.pending += counts.pending;
    sum.succeeded += counts.succeeded;
    sum.failed += counts.failed;
    sum.unknown += counts.unknown;
    sum.cancelled += counts.cancelled;
}

} // namespace

partition_state::partition_state(partition_limits limits) : limits_(limits)
{
}

void partition_state::reset(std::uint64_t next_offset)
{
    BOOST_ASSERT(next_offset >= 1);
    clear();
    next_offset_ = next_offset;
    live_ = next_offset == 1;
    newest_claim_ = 0;
}

record_verdict partition_state::apply(std::uint64_t offset,
                                      const proto::PartitionRecord& record,
                                      const partition_hooks& hooks)
{
    if (offset < next_offset_)
        return record_verdict::repeated;
    if (offset > next_offset_)
        reset(offset);
    next_offset_ = offset + 1;

    if (is_malformed(record))
        return record_verdict::malformed;
    if (!live_)
        return apply_start(offset, record, hooks);
    if (find_claim(record) != nullptr)
        return apply_claim(offset, record, hooks);

    const auto verdict = judge(record);
    if (verdict != record_verdict::valid)
    {
        if (!shows_replaced_adoption(record.claim_offset()))
            return verdict;
        reset(next_offset_);
        return apply_start(offset, record, hooks);
    }

    last_sequence_ = record.sequence();
    if (const auto* part = find_checkpoint(record))
    {
        follow_checkpoint(offset, *part, hooks);
        return verdict;
    }
    checkpoint_.reset();
    for (int i = 0; i < record.entries_size(); ++i)
        apply_entry({offset, static_cast<std::uint32_t>(i)}, record.entries(i),
                    hooks);
    return verdict;
}

bool partition_state::live() const
{
    return live_;
}

std::uint64_t partition_state::next_offset() const
{
    return next_offset_;
}

const claim_info& partition_state::claim() const
{
    static const claim_info none;
    return live_ ? claim_ : none;
}

std::uint64_t partition_state::last_sequence() const
{
    return last_sequence_;
}

std::uint64_t partition_state::checkpoint_offset() const
{
    return checkpoint_offset_;
}

const job* partition_state::find_job(std::string_view id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

bool partition_state::is_forgotten(std::string_view id) const
{
    return std::ranges::find(forgotten_, hash_id(id)) != forgotten_.end();
}

const call_info* partition_state::find_call(std::string_view id) const
{
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
}

void partition_state::for_each_job(
    const std::function<void(const job&)>& visit) const
{
    for (const auto& [id, value] : jobs_)
        visit(value);
}

void partition_state::for_each_call(
    const std::function<void(const std::string& id, const call_info&)>& visit)
    const
{
    for (const auto& [id, value] : calls_)
        visit(id, value);
}

std::size_t partition_state::job_count() const
{
    return jobs_.size();
}

std::size_t partition_state::call_count() const
{
    return calls_.size();
}

std::size_t partition_state::intake_count() const
{
    return intakes_.size();
}

item_counts partition_state::counts() const
{
    item_counts sum;
    for (const auto& [id, value] : jobs_)
        add_counts(sum, value.counts());
    return sum;
}

std::uint64_t
partition_state::oldest_needed_offset(bool pending_bodies_only) const
{
    std::uint64_t oldest = 0;
    const auto need = [&oldest](std::uint64_t offset)
    {
        if (offset != 0 && (oldest == 0 || offset < oldest))
            oldest = offset;
    };

    for (const auto& [id, value] : jobs_)
        need(value.oldest_needed_offset(pending_bodies_only));
    for (const auto& [id, value] : calls_)
        need(value.outcome.offset);
    for (const auto& value : intakes_)
        for (const auto& chunk : value.chunks)
            need(chunk.place.offset);
    return oldest;
}

std::vector<proto::Checkpoint>
partition_state::make_checkpoint(std::size_t max_part_bytes) const
{
    checkpoint_writer writer(claim_.holder, max_part_bytes);
    for (const auto& [id, value] : jobs_)
        writer.add_job(value);
    for (const auto& [id, value] : calls_)
    {
        proto::CallIndex call;
        call.set_call_id(id);
        call.set_content_hash(value.content_hash);
        call.set_outcome_offset(value.outcome.offset);
        call.set_outcome_entry(value.outcome.entry);
        writer.add_call(std::move(call));
    }
    for (const auto& value : intakes_)
        writer.add_intake(value.job_id, value.nonce, value.chunks);
    for (const auto& hash : forgotten_)
        writer.add_forgotten({hash.data(), hash.size()});
    return writer.finish();
}

std::string partition_state::fingerprint() const
{
    std::string text;
    for (const auto& part : make_checkpoint(fingerprint_part_bytes))
        text += part.SerializeAsString();

    const auto progress = checkpoint_.value_or(checkpoint_progress{});
    for (const auto number :
         {std::uint64_t{live_}, claim_.offset, std::uint64_t{claim_.released},
          last_sequence_, checkpoint_offset_, progress.first_offset,
          std::uint64_t{progress.next_part}})
        text += std::to_string(number) + ' ';
    return common::hash128({text, claim_.holder, claim_.writer});
}

std::size_t partition_state::memory_bytes() const
{
    auto bytes = sizeof(*this) + forgotten_.size() * sizeof(id_hash);
    for (const auto& [id, value] : jobs_)
        bytes += map_node_bytes + id.capacity() + value.memory_bytes();
    for (const auto& [id, value] : calls_)
        bytes += map_node_bytes + sizeof(value) + id.capacity() +
                 value.content_hash.capacity();
    for (const auto& value : intakes_)
        bytes += sizeof(value) + value.job_id.capacity() +
                 value.nonce.capacity() +
                 value.chunks.capacity() * sizeof(chunk_location);
    return bytes;
}

void partition_state::clear()
{
    claim_ = {};
    last_sequence_ = 0;
    adopted_claim_ = 0;
    adopted_at_ = 0;
    checkpoint_offset_ = 0;
    checkpoint_.reset();
    jobs_.clear();
    calls_.clear();
    intakes_.clear();
    forgotten_.clear();
}

bool partition_state::is_malformed(const proto::PartitionRecord& record)
{
    const auto count = static_cast<std::size_t>(record.entries_size());
    if (count == 0 || count > max_entries_per_record)
        return true;
    const auto alone = [](const proto::PartitionEntry& entry)
    {
        return entry.has_claim() || entry.has_checkpoint();
    };
    if (count > 1 && std::ranges::any_of(record.entries(), alone))
        return true;
    return (find_claim(record) != nullptr) != (record.claim_offset() == 0);
}

record_verdict
partition_state::judge(const proto::PartitionRecord& record) const
{
    if (record.claim_offset() != claim_.offset || claim_.released ||
        record.writer() != claim_.writer)
        return record_verdict::void_claim;
    if (record.sequence() <= last_sequence_)
        return record_verdict::void_sequence;
    return record_verdict::valid;
}

bool partition_state::shows_replaced_adoption(std::uint64_t claim_offset) const
{
    if (adopted_claim_ == 0)
        return false;
    return claim_offset > claim_.offset ||
           (claim_offset > adopted_claim_ && claim_offset < adopted_at_);
}

bool partition_state::is_valid_claim(const proto::Claim& claim) const
{
    if (claim.replaces() == claim_.offset)
        return true;
    return is_fresh_start(claim) && checkpoint_offset_ < claim.first_kept();
}

record_verdict
partition_state::apply_claim(std::uint64_t offset,
                             const proto::PartitionRecord& record,
                             const partition_hooks& hooks)
{
    const auto& claim = *find_claim(record);
    if (!is_valid_claim(claim))
        return record_verdict::void_claim;

    const auto replaced = claim_;
    if (is_fresh_start(claim) && checkpoint_offset_ < claim.first_kept())
    {
        clear();
        checkpoint_offset_ = offset;
    }
    live_ = true;
    claim_ = {offset, claim.holder(), record.writer(), false};
    last_sequence_ = 0;
    checkpoint_.reset();
    intakes_.clear();
    notify(hooks.on_claimed, claim_, replaced);
    return record_verdict::valid;
}

record_verdict
partition_state::apply_start(std::uint64_t offset,
                             const proto::PartitionRecord& record,
                             const partition_hooks& hooks)
{
    if (const auto* claim = find_claim(record))
    {
        if (is_fresh_start(*claim))
            return apply_claim(offset, record, hooks);
        // Whether the claim is valid or not, what it names as the current
        // claim was valid before it and no longer is.
        if (claim->replaces() == claim_.offset)
            clear();
        newest_claim_ = std::max(newest_claim_, claim->replaces() + 1);
        return record_verdict::skipped;
    }
    if (record.claim_offset() < newest_claim_)
        return record_verdict::skipped;
    if (record.claim_offset() > newest_claim_)
        clear();
    newest_claim_ = record.claim_offset();

    // A resend doesn't interrupt the parts.
    if (checkpoint_ && judge(record) == record_verdict::void_sequence)
        return record_verdict::void_sequence;
    return load_record(offset, record, hooks);
}

record_verdict
partition_state::load_record(std::uint64_t offset,
                             const proto::PartitionRecord& record,
                             const partition_hooks& hooks)
{
    const auto* part = find_checkpoint(record);
    if (part == nullptr)
    {
        clear();
        return record_verdict::skipped;
    }
    if (part->part() == 0)
    {
        clear();
        claim_ = {record.claim_offset(), part->holder(), record.writer(),
                  false};
        checkpoint_ = checkpoint_progress{offset, 0};
    }
    const bool expected = checkpoint_ &&
                          part->part() == checkpoint_->next_part &&
                          record.writer() == claim_.writer;
    if (!expected || !load_part(*part) || (part->last() && !is_loaded()))
    {
        clear();
        return record_verdict::skipped;
    }

    last_sequence_ = record.sequence();
    const auto first_offset = checkpoint_->first_offset;
    follow_checkpoint(offset, *part, hooks);
    if (!part->last())
        return record_verdict::skipped;
    live_ = true;
    adopted_claim_ = claim_.offset;
    adopted_at_ = first_offset;
    return record_verdict::valid;
}

void partition_state::follow_checkpoint(std::uint64_t offset,
                                        const proto::Checkpoint& part,
                                        const partition_hooks& hooks)
{
    if (part.part() == 0)
        checkpoint_ = checkpoint_progress{offset, 0};
    if (!checkpoint_ || part.part() != checkpoint_->next_part)
    {
        checkpoint_.reset();
        return;
    }
    ++checkpoint_->next_part;
    if (!part.last())
        return;
    checkpoint_offset_ = checkpoint_->first_offset;
    checkpoint_.reset();
    notify(hooks.on_checkpoint, checkpoint_offset_);
}

void partition_state::apply_entry(entry_location place,
                                  const proto::PartitionEntry& entry,
                                  const partition_hooks& hooks)
{
    // A release ends the claim's validity also within its own record.
    if (claim_.released)
        return;
    switch (entry.kind_case())
    {
    case proto::PartitionEntry::kRelease:
        claim_.released = true;
        notify(hooks.on_released, claim_);
        break;
    case proto::PartitionEntry::kJobChunk:
        apply_chunk(place, entry.job_chunk());
        break;
    case proto::PartitionEntry::kJobCommit:
        apply_commit(place.offset, entry.job_commit(), hooks);
        break;
    case proto::PartitionEntry::kItemResults:
        apply_results(place, entry.item_results(), hooks);
        break;
    case proto::PartitionEntry::kJobCancel:
        apply_cancel(entry.job_cancel().job_id(), hooks);
        break;
    case proto::PartitionEntry::kJobForget:
        apply_forget(entry.job_forget().job_id(), hooks);
        break;
    case proto::PartitionEntry::kIntent:
        notify(hooks.on_intent, entry.intent(), apply_intent(entry.intent()));
        break;
    case proto::PartitionEntry::kOutcome:
        apply_outcome(place, entry.outcome(), hooks);
        break;
    default:
        break;
    }
}

void partition_state::apply_chunk(entry_location place,
                                  const proto::JobChunk& chunk)
{
    const auto count = static_cast<std::uint64_t>(chunk.items_size());
    if (count == 0 || chunk.first_item() + count > limits_.max_items_per_job)
        return;
    const chunk_location location{place, chunk.first_item(),
                                  static_cast<std::uint32_t>(count)};

    if (chunk.moved())
    {
        const auto owner = jobs_.find(chunk.job_id());
        if (owner != jobs_.end())
            owner->second.move_chunk(location);
        return;
    }

    auto found = find_intake(chunk.job_id(), chunk.intake());
    if (found == intakes_.end())
    {
        if (intakes_.size() >= limits_.max_intakes)
            intakes_.pop_front();
        intakes_.push_back({chunk.job_id(), chunk.intake(), {}});
        found = std::prev(intakes_.end());
    }
    if (found->chunks.size() >= limits_.max_chunks_per_intake)
        intakes_.erase(found);
    else
        found->chunks.push_back(location);
}

void partition_state::apply_commit(std::uint64_t offset,
                                   const proto::JobCommit& commit,
                                   const partition_hooks& hooks)
{
    std::vector<chunk_location> chunks;
    const auto found = find_intake(commit.job_id(), commit.intake());
    if (found != intakes_.end())
    {
        chunks = std::move(found->chunks);
        intakes_.erase(found);
        std::ranges::sort(chunks, {}, &chunk_location::first_item);
    }

    if (const auto refusal = judge_commit(commit, chunks))
    {
        notify(hooks.on_job_refused, commit, *refusal);
        return;
    }
    const auto [accepted, inserted] =
        jobs_.try_emplace(commit.job_id(), commit, offset, std::move(chunks));
    BOOST_ASSERT(inserted);
    notify(hooks.on_job_accepted, accepted->second);
}

std::optional<commit_refusal>
partition_state::judge_commit(const proto::JobCommit& commit,
                              const std::vector<chunk_location>& chunks) const
{
    if (const auto* known = find_job(commit.job_id()))
    {
        const bool same =
            known->commit().content_hash() == commit.content_hash();
        return same ? commit_refusal::repeated : commit_refusal::conflict;
    }
    if (is_forgotten(commit.job_id()))
        return commit_refusal::forgotten;
    if (commit.item_count() == 0 || !covers(chunks, commit.item_count()))
        return commit_refusal::incomplete;
    if (jobs_.size() >= limits_.max_jobs)
        return commit_refusal::full;
    return std::nullopt;
}

void partition_state::apply_results(entry_location place,
                                    const proto::ItemResults& results,
                                    const partition_hooks& hooks)
{
    const auto found = jobs_.find(results.job_id());
    if (found == jobs_.end())
        return;
    auto& owner = found->second;
    for (const auto& it : results.results())
    {
        if (it.item() >= owner.item_count() || !is_completion(it.status()))
            continue;
        const auto known = owner.status(it.item());
        if (results.moved())
        {
            if (known == it.status())
                owner.move_result(it.item(), place);
        }
        else if (known == proto::ITEM_PENDING)
        {
            owner.complete(it.item(), it.status(), place);
            notify(hooks.on_item_completed, owner, it);
        }
    }
}

void partition_state::apply_cancel(const std::string& id,
                                   const partition_hooks& hooks)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.cancelled())
        return;
    found->second.cancel();
    notify(hooks.on_job_cancelled, found->second);
}

void partition_state::apply_forget(const std::string& id,
                                   const partition_hooks& hooks)
{
    if (jobs_.erase(id) != 0)
        add_forgotten(hash_id(id));
    else if (calls_.erase(id) == 0)
        return;
    notify(hooks.on_forgotten, id);
}

intent_verdict partition_state::apply_intent(const proto::Intent& intent)
{
    if (intent.call_id().empty())
        return apply_item_intent(intent);
    return apply_call_intent(intent);
}

intent_verdict partition_state::apply_item_intent(const proto::Intent& intent)
{
    const auto found = jobs_.find(intent.job_id());
    if (found == jobs_.end() || intent.item() >= found->second.item_count())
        return intent_verdict::unknown;
    auto& owner = found->second;
    if (owner.status(intent.item()) != proto::ITEM_PENDING)
        return intent_verdict::finished;
    if (owner.cancelled())
        return intent_verdict::cancelled;
    if (owner.has_intent(intent.item()))
        return intent_verdict::repeated;
    owner.set_intent(intent.item());
    return intent_verdict::valid;
}

intent_verdict partition_state::apply_call_intent(const proto::Intent& intent)
{
    if (const auto* known = find_call(intent.call_id()))
    {
        return known->content_hash == intent.content_hash()
                   ? intent_verdict::repeated
                   : intent_verdict::conflict;
    }
    if (calls_.size() >= limits_.max_calls)
        return intent_verdict::full;
    calls_[intent.call_id()].content_hash = intent.content_hash();
    return intent_verdict::valid;
}

void partition_state::apply_outcome(entry_location place,
                                    const proto::Outcome& outcome,
                                    const partition_hooks& hooks)
{
    const auto found = calls_.find(outcome.call_id());
    if (found == calls_.end())
        return;
    auto& known = found->second.outcome;
    const bool first = known.offset == 0;
    if (first == outcome.moved())
        return;
    known = place;
    if (first)
        notify(hooks.on_outcome, outcome);
}

bool partition_state::is_loaded() const
{
    return std::ranges::all_of(jobs_, [](const job_map::value_type& it)
                               { return it.second.is_covered(); });
}

bool partition_state::load_part(const proto::Checkpoint& part)
{
    for (const auto& index : part.jobs())
    {
        if (!load_job(index))
            return false;
    }
    for (const auto& index : part.calls())
    {
        calls_[index.call_id()] = {
            index.content_hash(),
            {index.outcome_offset(), index.outcome_entry()}};
    }
    for (const auto& index : part.intakes())
        load_intake(index);
    for (const auto& hash : part.forgotten())
    {
        id_hash value{};
        if (hash.size() != value.size())
            return false;
        std::ranges::copy(hash, value.begin());
        add_forgotten(value);
    }
    return true;
}

bool partition_state::load_job(const proto::JobIndex& index)
{
    // Only the first piece of a job has the whole commit.
    const auto& commit = index.commit();
    if (commit.item_count() > limits_.max_items_per_job ||
        jobs_.size() > limits_.max_jobs)
        return false;
    if (commit.item_count() != 0)
    {
        const auto [added, inserted] =
            jobs_.try_emplace(commit.job_id(), commit, index.accepted_offset(),
                              std::vector<chunk_location>());
        if (!inserted)
            return false;
        if (index.cancelled())
            added->second.cancel();
    }
    const auto found = jobs_.find(index.commit().job_id());
    if (found == jobs_.end())
        return false;

    auto& owner = found->second;
    for (const auto& chunk : index.chunks())
    {
        if (!owner.add_chunk(to_chunk(chunk)))
            return false;
    }
    return load_items(index, owner);
}

bool partition_state::load_items(const proto::JobIndex& index, job& owner)
{
    const auto count = index.statuses().size();
    if (index.first_item() + count > owner.item_count() ||
        static_cast<std::size_t>(index.result_offsets_size()) != count ||
        static_cast<std::size_t>(index.result_entries_size()) != count)
        return false;
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto item = index.first_item() + static_cast<std::uint32_t>(i);
        const auto status = static_cast<proto::ItemStatus>(index.statuses()[i]);
        const entry_location place{index.result_offsets(static_cast<int>(i)),
                                   index.result_entries(static_cast<int>(i))};
        if (!is_completion(status))
            continue;
        if (owner.status(item) != proto::ITEM_PENDING ||
            place.entry >= max_entries_per_record)
            return false;
        owner.complete(item, status, place);
    }
    for (const auto item : index.intents())
    {
        if (item >= owner.item_count())
            return false;
        owner.set_intent(item);
    }
    return true;
}

void partition_state::load_intake(const proto::IntakeIndex& index)
{
    auto found = find_intake(index.job_id(), index.intake());
    if (found == intakes_.end())
    {
        intakes_.push_back({index.job_id(), index.intake(), {}});
        found = std::prev(intakes_.end());
    }
    for (const auto& chunk : index.chunks())
        found->chunks.push_back(to_chunk(chunk));
}

void partition_state::add_forgotten(id_hash hash)
{
    if (forgotten_.size() >= limits_.max_forgotten)
        forgotten_.pop_front();
    forgotten_.push_back(hash);
}

partition_state::id_hash partition_state::hash_id(std::string_view id)
{
    id_hash hash{};
    std::ranges::copy(common::hash128(id), hash.begin());
    return hash;
}

std::list<partition_state::intake>::iterator
partition_state::find_intake(std::string_view job_id, std::string_view nonce)
{
    return std::ranges::find_if(
        intakes_, [job_id, nonce](const intake& it)
        { return it.job_id == job_id && it.nonce == nonce; });
}

} // namespace tanagertrack::state
