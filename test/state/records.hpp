#ifndef TANAGERTRACK_TEST_STATE_RECORDS_HPP
#define TANAGERTRACK_TEST_STATE_RECORDS_HPP

#include "proto/records.pb.h"

#include <cstdint>
#include <string>
#include <utility>

namespace tanagertrack::test
{

inline proto::PartitionRecord claim_record(const std::string& writer,
                                           std::uint64_t replaces,
                                           std::uint64_t first_kept = 0)
{
    proto::PartitionRecord record;
    record.set_writer(writer);
    auto* claim = record.add_entries()->mutable_claim();
    claim->set_replaces(replaces);
    claim->set_holder(writer.substr(0, writer.find('/')));
    claim->set_first_kept(first_kept);
    return record;
}

inline proto::PartitionEntry chunk_entry(const std::string& job,
                                         const std::string& intake,
                                         std::uint32_t first, int count,
                                         bool moved = false)
{
    proto::PartitionEntry entry;
    auto* chunk = entry.mutable_job_chunk();
    chunk->set_job_id(job);
    chunk->set_intake(intake);
    chunk->set_first_item(first);
    chunk->set_moved(moved);
    for (int i = 0; i < count; ++i)
        chunk->add_items();
    return entry;
}

inline proto::PartitionEntry commit_entry(const std::string& job,
                                          const std::string& intake,
                                          std::uint32_t count,
                                          const std::string& hash = "h")
{
    proto::PartitionEntry entry;
    auto* commit = entry.mutable_job_commit();
    commit->set_job_id(job);
    commit->set_intake(intake);
    commit->set_item_count(count);
    commit->set_content_hash(hash);
    return entry;
}

inline proto::PartitionEntry
result_entry(const std::string& job, std::uint32_t item,
             proto::ItemStatus status = proto::ITEM_SUCCEEDED,
             bool moved = false)
{
    proto::PartitionEntry entry;
    auto* results = entry.mutable_item_results();
    results->set_job_id(job);
    results->set_moved(moved);
    auto* result = results->add_results();
    result->set_item(item);
    result->set_status(status);
    return entry;
}

inline proto::PartitionEntry cancel_entry(const std::string& job)
{
    proto::PartitionEntry entry;
    entry.mutable_job_cancel()->set_job_id(job);
    return entry;
}

inline proto::PartitionEntry forget_entry(const std::string& id)
{
    proto::PartitionEntry entry;
    entry.mutable_job_forget()->set_job_id(id);
    return entry;
}

inline proto::PartitionEntry release_entry()
{
    proto::PartitionEntry entry;
    entry.mutable_release();
    return entry;
}

inline proto::PartitionEntry intent_entry(const std::string& job,
                                          std::uint32_t item)
{
    proto::PartitionEntry entry;
    entry.mutable_intent()->set_job_id(job);
    entry.mutable_intent()->set_item(item);
    return entry;
}

inline proto::PartitionEntry call_intent_entry(const std::string& call,
                                               const std::string& hash = "h")
{
    proto::PartitionEntry entry;
    entry.mutable_intent()->set_call_id(call);
    entry.mutable_intent()->set_content_hash(hash);
    return entry;
}

inline proto::PartitionEntry outcome_entry(const std::string& call,
                                           bool moved = false)
{
    proto::PartitionEntry entry;
    entry.mutable_outcome()->set_call_id(call);
    entry.mutable_outcome()->set_status(proto::ITEM_SUCCEEDED);
    entry.mutable_outcome()->set_moved(moved);
    return entry;
}

inline proto::PartitionEntry checkpoint_entry(proto::Checkpoint part)
{
    proto::PartitionEntry entry;
    *entry.mutable_checkpoint() = std::move(part);
    return entry;
}

/// Record of a claim's writer with the given entries.
template<typename... Entries>
proto::PartitionRecord record(const std::string& writer, std::uint64_t claim,
                              std::uint64_t sequence, Entries... entries)
{
    proto::PartitionRecord out;
    out.set_writer(writer);
    out.set_claim_offset(claim);
    out.set_sequence(sequence);
    (out.mutable_entries()->Add(std::move(entries)), ...);
    return out;
}

} // namespace tanagertrack::test

#endif
